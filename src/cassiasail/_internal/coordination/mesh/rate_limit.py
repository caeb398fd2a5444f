"""The rate of requests that a target names as its limit while it is in need."""

import asyncio

from ...state.calls import MIN_LIMITED_RATE

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

    def wait_for(self, requests: int) -> float:
        """Return the seconds until ``requests`` more are admitted."""
        if self.rate is None:
            return 0.0
        self._refill(self._loop.time())
        return max(0.0, requests - self._tokens) / self._effective_rate

    @property
    def _effective_rate(self) -> float:
        return max(MIN_LIMITED_RATE, self.rate or 0.0)

    def _refill(self, now: float) -> None:
        if self.rate is not None:
            added = (now - self._updated_at) * self._effective_rate
            most = 1.0 + BURST_SECONDS * self._effective_rate
            self._tokens = min(most, self._tokens + added)
        self._updated_at = now
