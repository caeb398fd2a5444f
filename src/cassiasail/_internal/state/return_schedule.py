"""When clients that were refused for lack of room should return."""

import math

# Bounds of what clients are told, in seconds.
MAX_RETURN_SECONDS = 2.0
MIN_RETURN_SECONDS = 0.1
# Time over which the rate is measured at which places become free, and the places a
# second that are assumed at least.
RATE_WINDOW_SECONDS = 2.0
MIN_RATE = 20.0


class ReturnSchedule:
    """Gives each refused client a time of its own, one for each place that gets free.

    Clients that were refused together would return together otherwise, and most of them
    would be refused again. Times are in seconds; ``now`` never decreases.

    >>> schedule = ReturnSchedule()
    >>> first, second = schedule.retry_after(0.0), schedule.retry_after(0.0)
    >>> round(second - first, 3)
    0.05
    """

    def __init__(self) -> None:
        self._rate = 0.0
        self._updated_at = 0.0
        self._next_at = 0.0

    def record_free(self, now: float) -> None:
        """Note that a place became free."""
        self._decay(now)
        self._rate += 1 / RATE_WINDOW_SECONDS

    def retry_after(self, now: float) -> float:
        """Return the seconds after which the next refused client should return."""
        self._decay(now)
        first_at = now + MIN_RETURN_SECONDS
        self._next_at = max(self._next_at, first_at) + 1 / max(MIN_RATE, self._rate)
        if self._next_at > now + MAX_RETURN_SECONDS:
            # All times until then are given out: begin with the first one again.
            self._next_at = first_at
        return self._next_at - now

    def _decay(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._rate *= math.exp(-elapsed / RATE_WINDOW_SECONDS)
        self._updated_at = now
