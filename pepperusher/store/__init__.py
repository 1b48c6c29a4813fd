"""A store that lasts: a log of checksummed records with snapshots, and what a proxy keeps in it."""
