"""The number of slots of a target to use: those it advertises, reduced under overload.

Shed calls lower the limit; it then rises slowly: additive increase, multiplicative
decrease.
"""

import math

# A shed call lowers the limit at once to this part.
DECREASE_FACTOR = 0.7
# Calls shed within this time belong to the same overload and lower the limit once.
DECREASE_INTERVAL_SECONDS = 0.5
INCREASE_SLOTS_PER_SECOND = 1.0
# Longest time without an increase after a shed call. A target may send a longer
# Retry-After, but that may also be wrong.
MAX_HOLD_SECONDS = 5.0
# A load report of few free slots is applied for this long. Later ones are ignored until
# the target has once reported all slots as usable or sheds a call, so a target whose
# load report is stuck loses capacity for a short time only.
FREE_SLOTS_VALID_SECONDS = 2.0


class SlotLimit:
    """The number of slots to use now; never above the advertised number."""

    def __init__(self, advertised: int) -> None:
        self.advertised = advertised
        self._limit = float(advertised)
        self._updated_at = 0.0
        self._hold_until = -math.inf
        self._last_decrease = -math.inf
        self._reported_slots = advertised
        self._reported_since: float | None = None

    def set_advertised(self, advertised: int, now: float) -> None:
        """Apply a changed number of slots, less the reduction by shed calls."""
        if advertised == self.advertised:
            return
        reduction = self.advertised - self._increase_limit(now)
        self.advertised = advertised
        self._limit = max(1.0, advertised - reduction)

    def record_shed(self, now: float, in_flight: int, retry_after: float) -> None:
        """Lower the limit because the target shed a call.

        The limit does not rise again before ``retry_after`` seconds have passed.
        """
        limit = self._increase_limit(now)
        self._hold_until = max(
            self._hold_until, now + min(retry_after, MAX_HOLD_SECONDS)
        )
        self._reported_since = None
        if now - self._last_decrease < DECREASE_INTERVAL_SECONDS:
            return
        self._last_decrease = now
        # The calls in flight were too many, even if the limit allowed more.
        self._limit = max(1.0, min(limit, float(in_flight)) * DECREASE_FACTOR)

    def apply_free_slots(self, now: float, in_flight: int, free_slots: int) -> None:
        """Apply the target's count of free slots; it can only lower the limit."""
        usable = in_flight + max(free_slots, 0)
        if usable >= self.advertised:
            self._reported_since = None
            return
        if self._reported_since is None:
            self._reported_since = now
        self._reported_slots = max(1, usable)

    def effective(self, now: float) -> int:
        """Return the number of slots to use now."""
        limit = math.floor(self._increase_limit(now) + 1e-9)
        since = self._reported_since
        if since is not None and now - since < FREE_SLOTS_VALID_SECONDS:
            limit = min(limit, self._reported_slots)
        return max(1, min(limit, self.advertised))

    def _increase_limit(self, now: float) -> float:
        """Raise the limit by the time since the last update and return it."""
        start = max(self._updated_at, self._hold_until)
        if now > start:
            increased = self._limit + (now - start) * INCREASE_SLOTS_PER_SECOND
            self._limit = min(float(self.advertised), increased)
        self._updated_at = max(self._updated_at, now)
        return self._limit
