"""HTTP and websocket connections to callers, peers, targets and the platform."""
