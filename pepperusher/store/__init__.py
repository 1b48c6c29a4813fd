"""The persistent store: a log of checksummed records with snapshots, and the tables that a proxy keeps in it."""
