"""HTTP/1.1 connections of the sidecar, on the parser of ``httptools``."""
