"""Data structures of one daemon; no input or output."""
