"""Measured service times of one target, and the slots that each class uses.

Estimates are in seconds of one slot. They determine the expected wait, the fair shares
and the slots kept free of bulk. None of them can block a route permanently, because an
estimate without a recent sample lets one trial call a second through.
"""

import math
from collections import OrderedDict

from ..ids import RoutePath
from .lists import CallClass

# Weight of a new sample in the moving average; the last 10 calls or so dominate it.
SAMPLE_WEIGHT = 0.1
# Used before the first sample of a class. Too high a value refuses the first calls of
# a cold target; too low a value only delays the first refusals by one service time.
DEFAULT_SECONDS = 0.02
# A route takes about 300 bytes here; paths come from the lists, not from callers.
MAX_ROUTES = 1024
# An estimate without a sample for this long does not refuse the next call, so one
# slow response cannot block a route.
TRIAL_INTERVAL_SECONDS = 1.0
# Time constant of the average of slots in use: long compared with a lookup, short
# compared with an outage.
LOAD_TIME_CONSTANT_SECONDS = 2.0


class ServiceTimes:
    """Moving averages of the service time per route, with the class as fallback."""

    def __init__(self) -> None:
        self._seconds_by_route: OrderedDict[RoutePath, float] = OrderedDict()
        self._last_trial_by_route: dict[RoutePath, float] = {}
        self._seconds_by_class: dict[CallClass, float] = {}

    def expected(self, route: RoutePath, call_class: CallClass) -> float:
        """Return the expected service time of a call in seconds."""
        seconds = self._seconds_by_route.get(route)
        if seconds is not None:
            return seconds
        return self._seconds_by_class.get(call_class, DEFAULT_SECONDS)

    def record(
        self, route: RoutePath, call_class: CallClass, seconds: float, now: float
    ) -> None:
        """Record that a call took ``seconds`` of a slot."""
        previous = self._seconds_by_route.get(route, seconds)
        self._seconds_by_route[route] = previous + SAMPLE_WEIGHT * (seconds - previous)
        self._seconds_by_route.move_to_end(route)
        if len(self._seconds_by_route) > MAX_ROUTES:
            dropped_route, _ = self._seconds_by_route.popitem(last=False)
            self._last_trial_by_route.pop(dropped_route, None)
        self._last_trial_by_route[route] = now
        previous = self._seconds_by_class.get(call_class, seconds)
        self._seconds_by_class[call_class] = previous + SAMPLE_WEIGHT * (
            seconds - previous
        )

    def allow_trial(self, route: RoutePath, now: float) -> bool:
        """Return whether a call may run despite its estimate, at most once a second.

        True for a route that has no sample yet.
        """
        last = self._last_trial_by_route.get(route)
        if last is None:
            return True
        if now - last < TRIAL_INTERVAL_SECONDS:
            return False
        self._last_trial_by_route[route] = now
        return True


class ClassSlotUsage:
    """Slots used by each class, as an exponentially weighted average."""

    def __init__(self) -> None:
        self._slots_by_class = dict.fromkeys(CallClass, 0.0)
        self._updated_at = 0.0

    def record_start(self, call_class: CallClass, seconds: float, now: float) -> None:
        """Record the start of a call expected to take ``seconds`` of a slot."""
        self._decay(now)
        self._slots_by_class[call_class] += seconds / LOAD_TIME_CONSTANT_SECONDS

    def mean_slots(self, call_class: CallClass, now: float) -> float:
        """Return the mean number of slots that the class uses."""
        self._decay(now)
        return self._slots_by_class[call_class]

    def _decay(self, now: float) -> None:
        elapsed = now - self._updated_at
        if elapsed <= 0:
            return
        factor = math.exp(-elapsed / LOAD_TIME_CONSTANT_SECONDS)
        for call_class in self._slots_by_class:
            self._slots_by_class[call_class] *= factor
        self._updated_at = now
