"""Adapter between the platform's wire formats and the types of the sidecar.

Only this package uses the names of the platform's messages, settings and headers. Each
module decodes or encodes one kind of message and makes no decisions.
"""
