"""The daemon on the users' platform: wiring of its parts and its life."""
