"""Share of the fleet's retry budget that one daemon may spend.

Summed over the fleet, a service may receive at most ``ratio`` retries per request, plus
``slack`` retries, in any time window. Each daemon applies ``ratio`` to the requests
that it received as entry daemon and has an equal share of ``slack``. The limit
therefore holds for the fleet without any message between daemons.

A target that runs a retry repeats the calls which that run makes, and they count at the
called services. The daemon beside the target cannot tell these calls from others, so
it charges each request it receives with the share of retries among the requests that
its target runs.
"""

import asyncio
from collections import deque

from ...ids import ServiceName

# Share of the budget that is spent. The rest is a reserve for calls of retried runs
# that enter at daemons without budget left, and for an outdated number of daemons.
SPENDABLE_SHARE = 0.6
# The same share during the first window after a restart. The daemon doesn't know what
# it spent before, and all daemons may restart together.
SPENDABLE_SHARE_AFTER_RESTART = 0.2


class _EventWindow:
    """Sum of the weights of the events in a sliding time window.

    Times are loop times in seconds.
    """

    def __init__(self) -> None:
        self._events: deque[tuple[float, float]] = deque()
        self._sum = 0.0

    def add(self, now: float, weight: float = 1.0) -> None:
        self._events.append((now, weight))
        self._sum += weight

    def sum(self, now: float, seconds: float) -> float:
        """Return the sum over the last ``seconds``; drops older events."""
        while self._events and self._events[0][0] <= now - seconds:
            self._sum -= self._events.popleft()[1]
        if not self._events:
            # Rounding errors must not add up over the life of the daemon.
            self._sum = 0.0
        return self._sum


class RetryBudget:
    """Limits the retries of this daemon by service; ``window`` is in seconds.

    ``first_start`` is true if the system has never run, so that nothing was spent.
    """

    def __init__(
        self, *, ratio: float, slack: float, window: float, first_start: bool = False
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._loop = asyncio.get_running_loop()
        self._restarted_at = float("-inf") if first_start else self._loop.time()
        self._requests_by_service: dict[ServiceName, _EventWindow] = {}
        self._retries_by_service: dict[ServiceName, _EventWindow] = {}

    def configure(self, *, ratio: float, slack: float, window: float) -> None:
        """Apply new limits; requests and retries already recorded keep counting."""
        self._ratio, self._slack, self._window = ratio, slack, window

    def record_request(self, service: ServiceName, retry_share: float = 0.0) -> None:
        """Record a client request to ``service``; its retries are not recorded here.

        ``retry_share`` is the probability that it is a call made by a run that was
        itself a retry.
        """
        now = self._loop.time()
        self._requests_by_service.setdefault(service, _EventWindow()).add(now)
        if retry_share > 0:
            retries = self._retries_by_service.setdefault(service, _EventWindow())
            retries.add(now, retry_share)

    def remaining(self, service: ServiceName, daemons: int) -> float:
        """Return how many retries this daemon may send now.

        ``daemons`` is the number of daemons that share the slack.
        """
        now = self._loop.time()
        requests = self._requests_by_service.setdefault(service, _EventWindow())
        retries = self._retries_by_service.setdefault(service, _EventWindow())
        earned = self._ratio * requests.sum(now, self._window)
        used = retries.sum(now, self._window)
        if now - self._restarted_at < self._window:
            # The slack may have been spent before the restart.
            return SPENDABLE_SHARE_AFTER_RESTART * earned - used
        return SPENDABLE_SHARE * (earned + self._slack / max(1, daemons)) - used

    def spend_retry(self, service: ServiceName, daemons: int) -> bool:
        """Record one retry to ``service``; false if the budget does not allow it."""
        if self.remaining(service, daemons) < 1:
            return False
        self._retries_by_service[service].add(self._loop.time())
        return True
