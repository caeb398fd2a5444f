"""Structured log of decisions: one JSON object per line on standard output.

Every line has ``t`` (monotonic clock in seconds), ``event`` and the fields of the
event. Writing never blocks. Lines that don't fit into the pipe are dropped, and the
next line that is written has their number in the field ``unread``. Each event has a
rate limit; the field ``left_out`` has the number of its lines that the limit
suppressed.
"""

import json
import os
import time
from typing import Any

from . import metrics

# Rate limit of each event: lines in a burst, and lines per second after it.
BURST_LINES = 50
LINES_PER_SECOND = 10.0


class EventLog:
    """Writes events to the file descriptor ``fd``, which becomes non-blocking."""

    def __init__(self, *, fd: int = 1) -> None:
        self._fd = fd
        os.set_blocking(fd, False)
        self._tokens_by_event: dict[str, tuple[float, float]] = {}
        self._suppressed_lines_by_event: dict[str, int] = {}
        self._dropped_lines = 0

    def write(self, event: str, **fields: Any) -> None:
        """Write one line unless ``event`` has reached its rate limit."""
        now = time.monotonic()
        if not self._take_token(event, now):
            self._suppressed_lines_by_event[event] = (
                self._suppressed_lines_by_event.get(event, 0) + 1
            )
            metrics.LOG_LINES_LEFT_OUT.labels("rate").inc()
            return
        line: dict[str, Any] = {"t": round(now, 3), "event": event, **fields}
        suppressed = self._suppressed_lines_by_event.pop(event, 0)
        if suppressed:
            line["left_out"] = suppressed
        if self._dropped_lines:
            line["unread"] = self._dropped_lines
        self._write_line(json.dumps(line, separators=(",", ":"), default=str) + "\n")

    def _take_token(self, event: str, now: float) -> bool:
        """Take a token from the token bucket of ``event``; false if it is empty."""
        tokens, updated_at = self._tokens_by_event.get(event, (float(BURST_LINES), now))
        tokens = min(float(BURST_LINES), tokens + (now - updated_at) * LINES_PER_SECOND)
        if tokens < 1:
            self._tokens_by_event[event] = (tokens, now)
            return False
        self._tokens_by_event[event] = (tokens - 1, now)
        return True

    def _write_line(self, text: str) -> None:
        try:
            os.write(self._fd, text.encode())
        except OSError:
            # The pipe is full or closed. The line is dropped, because requests must not
            # wait for the log; the next line that is written has the count.
            self._dropped_lines += 1
            metrics.LOG_LINES_LEFT_OUT.labels("full_pipe").inc()
        else:
            self._dropped_lines = 0
