"""Service mesh that is configured by the lists of its customers and plans."""

__version__ = "0.1.0"
