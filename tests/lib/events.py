"""An event log for tests that do not check it."""

import os

from cassiasail._internal.events import EventLog


def null_event_log() -> EventLog:
    """Return a log that discards its lines."""
    return EventLog(fd=os.open(os.devnull, os.O_WRONLY))
