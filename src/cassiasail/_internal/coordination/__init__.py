"""Coordination of a daemon with its targets, the other daemons and the store."""
