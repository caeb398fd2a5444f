"""HTTP/1.1 server and client of the sidecar, based on the parser of ``httptools``."""
