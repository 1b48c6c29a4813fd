"""The proxy's own configuration file: typed tables, validation against the rules, and the origin of each value."""
