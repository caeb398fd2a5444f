"""Decisions that involve other daemons or the store."""
