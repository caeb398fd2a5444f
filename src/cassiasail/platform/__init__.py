"""Translation between the users' platform and cassiasail; no decisions.

The names of the platform's messages, settings and headers stand only here. Each
module decodes one kind of message into types of the product, or encodes one.
"""
