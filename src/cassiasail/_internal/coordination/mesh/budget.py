"""The part of the fleet's retry budget that one daemon may spend.

A service may get at most ``ratio`` repeats for each request, plus ``slack``, in any
window, summed over the fleet. Each daemon spends the ratio on the requests that it
took itself and an equal share of the slack, so the sum holds without a call to any
other daemon.
"""

import asyncio
from collections import deque

from ...ids import ServiceName

# Repeats cause nested calls that count as repeats where they arrive, and the number of
# daemons known may lag: a part of the budget is left for both.
SPENDABLE = 0.6


class _Window:
    """Times of events of the last ``seconds``."""

    def __init__(self) -> None:
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        self._times.append(now)

    def count(self, now: float, seconds: float) -> int:
        while self._times and self._times[0] <= now - seconds:
            self._times.popleft()
        return len(self._times)


class RetryBudget:
    """Repeats of this daemon by service; ``window`` is in seconds."""

    def __init__(self, *, ratio: float, slack: float, window: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._loop = asyncio.get_running_loop()
        self._requests_by_service: dict[ServiceName, _Window] = {}
        self._repeats_by_service: dict[ServiceName, _Window] = {}

    def configure(self, *, ratio: float, slack: float, window: float) -> None:
        """Take new limits into force; what was sent before counts on."""
        self._ratio, self._slack, self._window = ratio, slack, window

    def requested(self, service: ServiceName) -> None:
        """Record the first sending of a request to ``service``."""
        window = self._requests_by_service.setdefault(service, _Window())
        window.add(self._loop.time())

    def left(self, service: ServiceName, daemons: int) -> float:
        """Return how many repeats may be sent now in a fleet of ``daemons``."""
        now = self._loop.time()
        requests = self._requests_by_service.setdefault(service, _Window())
        repeats = self._repeats_by_service.setdefault(service, _Window())
        earned = self._ratio * requests.count(now, self._window)
        allowed = SPENDABLE * (earned + self._slack / max(1, daemons))
        return allowed - repeats.count(now, self._window)

    def take(self, service: ServiceName, daemons: int) -> bool:
        """Spend one repeat to ``service``; false if none is left."""
        if self.left(service, daemons) < 1:
            return False
        self._repeats_by_service[service].add(self._loop.time())
        return True
