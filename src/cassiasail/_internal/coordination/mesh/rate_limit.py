"""The rate of requests that a target in need takes, and the rate of arrivals."""

import asyncio
import math

from ...state.calls import admitted_rate

# Time over which the rate of arrivals is averaged: long enough for some requests of a
# rare priority, and short beside the time for which a target is in need.
ARRIVAL_SECONDS = 1.0
# Requests that may follow each other without a pause, as the time in which the limit
# admits them. It smooths the arrival of requests; the limit itself is an average.
BURST_SECONDS = 0.1


class RateLimit:
    """Admits requests at the rate that the target named last, in requests a second.

    ``rate`` is None while the target names none. The limit ends with a response that
    names none, to a request that was dispatched after the limit was last named:
    responses overtake each other.
    """

    def __init__(self) -> None:
        self.rate: float | None = None
        self._named_at = 0.0
        self._tokens = 0.0
        self._updated_at = 0.0
        self._loop = asyncio.get_running_loop()

    def set(self, rate: float | None, *, dispatched_at: float) -> bool:
        """Apply what a response names; return whether the limit changed.

        ``dispatched_at`` is the loop time at which its request was dispatched.
        """
        if rate is None and dispatched_at < self._named_at:
            return False
        now = self._loop.time()
        self._refill(now)
        if rate is not None:
            self._named_at = now
            if self.rate is None:
                # What was dispatched before the limit was known used up the burst.
                self._tokens = 0.0
        changed = rate != self.rate
        self.rate = rate
        return changed

    def take(self) -> bool:
        """Use the admission of one request; false if it isn't due yet."""
        if self.rate is None:
            return True
        self._refill(self._loop.time())
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def wait_for(self, requests: int, *, overtaking: float = 0.0) -> float:
        """Return the seconds until ``requests`` more are admitted.

        ``overtaking`` is the rate of requests, in requests a second, that arrive later
        and are admitted before them.
        """
        if self.rate is None:
            return 0.0
        self._refill(self._loop.time())
        left = admitted_rate(self.rate) - overtaking
        missing = max(0.0, requests - self._tokens)
        if missing and left <= 0:
            return math.inf
        return missing / left if missing else 0.0

    def _refill(self, now: float) -> None:
        if self.rate is not None:
            rate = admitted_rate(self.rate)
            added = (now - self._updated_at) * rate
            most = 1.0 + BURST_SECONDS * rate
            self._tokens = min(most, self._tokens + added)
        self._updated_at = now


# How urgent a request is, compared in order: its priority, and whether it is late.
Urgency = tuple[int, bool]


class ArrivalRates:
    """Recent rates of arriving requests by urgency, in requests a second."""

    def __init__(self) -> None:
        self._rate_by_urgency: dict[Urgency, float] = {}
        self._updated_at = 0.0
        self._loop = asyncio.get_running_loop()

    def record(self, urgency: Urgency) -> None:
        """Record the arrival of a request."""
        self._decay()
        rate = self._rate_by_urgency.get(urgency, 0.0)
        self._rate_by_urgency[urgency] = rate + 1 / ARRIVAL_SECONDS

    def above(self, urgency: Urgency) -> float:
        """Return the rate of all requests that are more urgent."""
        self._decay()
        return sum(
            rate for each, rate in self._rate_by_urgency.items() if each < urgency
        )

    def _decay(self) -> None:
        now = self._loop.time()
        factor = math.exp((self._updated_at - now) / ARRIVAL_SECONDS)
        self._updated_at = now
        for urgency in self._rate_by_urgency:
            self._rate_by_urgency[urgency] *= factor
