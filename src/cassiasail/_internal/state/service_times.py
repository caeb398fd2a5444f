"""Measured service times of one target, and the slots its classes use.

Estimates are in seconds of one slot. They feed the expected wait, the fair shares
and the slots kept free of bulk; none of them can stop a route for good, because an
estimate that is not refreshed allows one trial a second.
"""

import math
from collections import OrderedDict

from ..ids import RoutePath
from .lists import CallClass

# Weight of a new sample: about the last 10 calls of a route decide.
SAMPLE_WEIGHT = 0.1
# Used before the first sample of a class. Too high refuses the first calls of a
# cold target, too low only delays the first refusals by one service time.
DEFAULT_SECONDS = 0.02
# A route costs about 300 bytes here; paths come from the lists, not from callers.
MAX_ROUTES = 1024
# An estimate without a sample for this long no longer refuses the next call, so one
# slow answer cannot lock a route out.
TRIAL_INTERVAL = 1.0  # seconds
# Time constant of the slots in use; long against a lookup, short against an outage.
LOAD_SECONDS = 2.0


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

    def measured(
        self, route: RoutePath, call_class: CallClass, seconds: float, now: float
    ) -> None:
        """Record that a call took ``seconds`` of a slot."""
        old = self._seconds_by_route.get(route, seconds)
        self._seconds_by_route[route] = old + SAMPLE_WEIGHT * (seconds - old)
        self._seconds_by_route.move_to_end(route)
        if len(self._seconds_by_route) > MAX_ROUTES:
            forgotten, _ = self._seconds_by_route.popitem(last=False)
            self._last_trial_by_route.pop(forgotten, None)
        self._last_trial_by_route[route] = now
        old = self._seconds_by_class.get(call_class, seconds)
        self._seconds_by_class[call_class] = old + SAMPLE_WEIGHT * (seconds - old)

    def take_trial(self, route: RoutePath, now: float) -> bool:
        """Return whether a call may run against its estimate, at most once a second.

        True for a route that has no sample yet.
        """
        last = self._last_trial_by_route.get(route)
        if last is None:
            return True
        if now - last < TRIAL_INTERVAL:
            return False
        self._last_trial_by_route[route] = now
        return True


class ClassLoad:
    """Slots used by each class, as an exponentially weighted average."""

    def __init__(self) -> None:
        self._slots_by_class = dict.fromkeys(CallClass, 0.0)
        self._updated = 0.0

    def started(self, call_class: CallClass, seconds: float, now: float) -> None:
        """Record the start of a call expected to take ``seconds`` of a slot."""
        self._decay(now)
        self._slots_by_class[call_class] += seconds / LOAD_SECONDS

    def slots(self, call_class: CallClass, now: float) -> float:
        """Return the mean number of slots that the class uses."""
        self._decay(now)
        return self._slots_by_class[call_class]

    def _decay(self, now: float) -> None:
        elapsed = now - self._updated
        if elapsed <= 0:
            return
        factor = math.exp(-elapsed / LOAD_SECONDS)
        for call_class in self._slots_by_class:
            self._slots_by_class[call_class] *= factor
        self._updated = now
