"""Configuration distribution for a service mesh, driven by two lists."""

__version__ = "0.1.0"
