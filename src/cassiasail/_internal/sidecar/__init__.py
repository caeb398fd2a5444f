"""The sidecar daemon: wiring of its components, startup and shutdown."""
