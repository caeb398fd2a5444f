"""Routing, admission, retries and replicated tables of the sidecar."""
