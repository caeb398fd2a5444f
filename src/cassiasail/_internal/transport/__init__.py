"""Connections to peers, callers, targets and the platform."""
