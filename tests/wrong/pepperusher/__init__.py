"""A deliberately faulty proxy. The tests use it to verify that the checks of a rehearsal detect faults."""
