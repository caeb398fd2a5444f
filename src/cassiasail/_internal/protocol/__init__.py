"""Encoding of calls, responses, refusals and messages between daemons."""
