"""Structured log of decisions: one JSON object a line on standard output.

Every line has ``t`` (seconds of the steady clock), ``event`` and the fields of the
event. Writing never blocks: what the reader of the pipe does not take is dropped and
counted, and the count is reported with the next line that is taken. Lines of one
kind are limited to a rate, with a count of those left out.
"""

import json
import os
import time
from typing import Any

from . import metrics

# A burst of lines of one event, and how many a second are written after it.
BURST = 50
LINES_PER_SECOND = 10.0


class EventLog:
    """Writes events to a file descriptor; ``fd`` is set to non-blocking."""

    def __init__(self, *, fd: int = 1) -> None:
        self._fd = fd
        os.set_blocking(fd, False)
        self._allowance_by_event: dict[str, tuple[float, float]] = {}
        self._left_out_by_event: dict[str, int] = {}
        self._unread = 0

    def write(self, event: str, **fields: Any) -> None:
        """Write one line unless the rate of ``event`` is used up."""
        now = time.monotonic()
        if not self._within_rate(event, now):
            self._left_out_by_event[event] = self._left_out_by_event.get(event, 0) + 1
            metrics.LOG_LINES_LEFT_OUT.labels("rate").inc()
            return
        line: dict[str, Any] = {"t": round(now, 3), "event": event, **fields}
        left_out = self._left_out_by_event.pop(event, 0)
        if left_out:
            line["left_out"] = left_out
        if self._unread:
            line["unread"] = self._unread
        self._send(json.dumps(line, separators=(",", ":"), default=str) + "\n")

    def _within_rate(self, event: str, now: float) -> bool:
        tokens, last = self._allowance_by_event.get(event, (float(BURST), now))
        tokens = min(float(BURST), tokens + (now - last) * LINES_PER_SECOND)
        if tokens < 1:
            self._allowance_by_event[event] = (tokens, now)
            return False
        self._allowance_by_event[event] = (tokens - 1, now)
        return True

    def _send(self, text: str) -> None:
        try:
            os.write(self._fd, text.encode())
        except OSError:
            # Nobody reads the log, or not fast enough; requests go first. The count
            # appears in the next line that is taken.
            self._unread += 1
            metrics.LOG_LINES_LEFT_OUT.labels("full_pipe").inc()
        else:
            self._unread = 0
