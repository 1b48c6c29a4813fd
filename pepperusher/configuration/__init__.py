"""The proxy's own file: typed, checked against the rules, each value with where it came from."""
