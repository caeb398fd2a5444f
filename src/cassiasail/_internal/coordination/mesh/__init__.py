"""Decisions about requests of the mesh: where they run, when, and how often."""
