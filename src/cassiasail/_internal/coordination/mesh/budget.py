"""Share of the fleet's retry budget that one daemon may spend.

Summed over the fleet, a service may receive at most ``ratio`` retries per request, plus
``slack`` retries, in any time window. Each daemon applies ``ratio`` to the requests
that it received as entry daemon and has an equal share of ``slack``. The limit
therefore holds for the fleet without any message between daemons.
"""

import asyncio
from collections import deque

from ...ids import ServiceName

# Share of the budget that is spent. The rest is a reserve: a retry can cause nested
# requests that count as further retries, and the known number of daemons may be
# outdated.
SPENDABLE_SHARE = 0.6


class _EventWindow:
    """Counts the events of a sliding time window; times are loop times in seconds."""

    def __init__(self) -> None:
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        self._times.append(now)

    def count(self, now: float, seconds: float) -> int:
        """Return the number of events in the last ``seconds``; drops older ones."""
        while self._times and self._times[0] <= now - seconds:
            self._times.popleft()
        return len(self._times)


class RetryBudget:
    """Limits the retries of this daemon by service; ``window`` is in seconds."""

    def __init__(self, *, ratio: float, slack: float, window: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._loop = asyncio.get_running_loop()
        self._requests_by_service: dict[ServiceName, _EventWindow] = {}
        self._retries_by_service: dict[ServiceName, _EventWindow] = {}

    def configure(self, *, ratio: float, slack: float, window: float) -> None:
        """Apply new limits; requests and retries already recorded keep counting."""
        self._ratio, self._slack, self._window = ratio, slack, window

    def record_request(self, service: ServiceName) -> None:
        """Record a client request to ``service``; its retries are not recorded here."""
        window = self._requests_by_service.setdefault(service, _EventWindow())
        window.add(self._loop.time())

    def remaining(self, service: ServiceName, daemons: int) -> float:
        """Return how many retries this daemon may send now.

        ``daemons`` is the number of daemons that share the slack.
        """
        now = self._loop.time()
        requests = self._requests_by_service.setdefault(service, _EventWindow())
        retries = self._retries_by_service.setdefault(service, _EventWindow())
        earned = self._ratio * requests.count(now, self._window)
        allowed = SPENDABLE_SHARE * (earned + self._slack / max(1, daemons))
        return allowed - retries.count(now, self._window)

    def spend_retry(self, service: ServiceName, daemons: int) -> bool:
        """Record one retry to ``service``; false if the budget does not allow it."""
        if self.remaining(service, daemons) < 1:
            return False
        self._retries_by_service[service].add(self._loop.time())
        return True
