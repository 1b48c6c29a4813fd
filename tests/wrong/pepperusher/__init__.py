"""A proxy that is wrong on purpose, to prove that the books of a rehearsal can fail."""
