"""Requests that run before earlier ones of their connection are answered.

Each of them takes a connection to a host while it runs, and memory for its response
until all earlier ones are sent. The first unanswered request of a connection always
runs; those behind it only while there is room for them.
"""

from .memory import UnsentResponses

# Assumed size of a response while none is known.
FIRST_EXPECTED_BYTES = 512 << 10
# Weight of one response in the mean size.
SIZE_WEIGHT = 0.1
# Share of the memory for responses not taken that those of requests behind others may
# be expected to fill.
MEMORY_SHARE = 0.5


class PipelinedRequests:
    """Counts the running requests behind others, over all connections of a server.

    At most ``limit`` run at a time. ``unsent`` holds the responses that are ready.
    """

    def __init__(self, *, limit: int, unsent: UnsentResponses) -> None:
        self._limit = limit
        self._unsent = unsent
        self._running = 0
        self._expected_bytes = float(FIRST_EXPECTED_BYTES)

    def try_start(self) -> bool:
        """Count one more request; false if there is no room for it."""
        if self._running >= self._limit:
            return False
        expected = (self._running + 1) * self._expected_bytes
        if self._unsent.held + expected > MEMORY_SHARE * self._unsent.limit:
            return False
        self._running += 1
        return True

    def end(self) -> None:
        """Count a request no longer."""
        self._running -= 1

    def record_size(self, size: int) -> None:
        """Note the size of a response in bytes."""
        self._expected_bytes += SIZE_WEIGHT * (size - self._expected_bytes)
