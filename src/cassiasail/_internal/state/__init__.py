"""State of a daemon or sidecar as plain data structures that perform no I/O."""
