"""How many slots of a target are used: what it announces, less what it sheds."""

import math

# After a shed the limit falls to this part at once and then rises slowly: additive
# increase, multiplicative decrease.
DECREASE = 0.7
# Sheds within this time belong to the same overload and lower the limit once.
DECREASE_INTERVAL = 0.5  # seconds
INCREASE_PER_SECOND = 1.0
# A target may ask for more patience than this, but it may also mislead.
MAX_HOLD = 5.0  # seconds
# A report of few free slots is believed for this long. Later ones are ignored until
# the target has reported all slots usable once or sheds, so a target whose report
# is stuck loses capacity for a moment only.
BELIEF_SECONDS = 2.0


class SlotLimit:
    """The number of slots to use now; never above the announced number."""

    def __init__(self, announced: int) -> None:
        self.announced = announced
        self._limit = float(announced)
        self._updated = 0.0
        self._hold_until = -math.inf
        self._last_decrease = -math.inf
        self._believed_slots = announced
        self._believed_since: float | None = None

    def set_announced(self, announced: int, now: float) -> None:
        """Take over a changed number of slots, keeping what was lost by sheds."""
        if announced == self.announced:
            return
        lost = self.announced - self._grown(now)
        self.announced = announced
        self._limit = max(1.0, announced - lost)

    def shed(self, now: float, in_flight: int, retry_after: float) -> None:
        """Lower the limit: the target refused a call for overload."""
        limit = self._grown(now)
        self._hold_until = max(self._hold_until, now + min(retry_after, MAX_HOLD))
        self._believed_since = None
        if now - self._last_decrease < DECREASE_INTERVAL:
            return
        self._last_decrease = now
        # What was in flight was too much, whatever the limit allowed.
        self._limit = max(1.0, min(limit, float(in_flight)) * DECREASE)

    def reported(self, now: float, in_flight: int, free_slots: int) -> None:
        """Take over the target's own count of free slots, only downwards."""
        usable = in_flight + max(free_slots, 0)
        if usable >= self.announced:
            self._believed_since = None
            return
        if self._believed_since is None:
            self._believed_since = now
        self._believed_slots = max(1, usable)

    def effective(self, now: float) -> int:
        """Return the number of slots to use now."""
        limit = math.floor(self._grown(now) + 1e-9)
        since = self._believed_since
        if since is not None and now - since < BELIEF_SECONDS:
            limit = min(limit, self._believed_slots)
        return max(1, min(limit, self.announced))

    def _grown(self, now: float) -> float:
        start = max(self._updated, self._hold_until)
        if now > start:
            grown = self._limit + (now - start) * INCREASE_PER_SECOND
            self._limit = min(float(self.announced), grown)
        self._updated = max(self._updated, now)
        return self._limit
