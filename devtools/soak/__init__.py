"""Randomized soak of sidecars as real processes, with faults from outside."""
