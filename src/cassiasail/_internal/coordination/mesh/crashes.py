"""Quarantine of requests that crash every target that executes them.

When a target crashes, its host daemon adds the fingerprints of the requests that were
in flight to the host record, which all daemons read. A request that was in flight at
three crashes is quarantined: it is neither forwarded nor dispatched. Each daemon counts
the crashes itself and starts again from zero once it gets a response of a target to the
request. One or two crashes are not enough, because targets also crash for other reasons
and then all requests in flight are recorded.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable

from ...events import EventLog
from ...state.calls import ClientRequest
from ...state.fingerprints import Fingerprint, fingerprint_of
from ...state.hosts import Incarnation, TargetCrash

# Number of target crashes after which a request is quarantined. The requirements limit
# how many targets it may reach after the third crash.
QUARANTINE_CRASHES = 3
# A quarantine ends this long after the last crash. A client may then send the request
# again, but one more crash quarantines it at once, so it can't crash one target after
# the other.
QUARANTINE_SECONDS = 600.0
# Crashes kept in memory; beyond that the oldest are dropped.
MAX_CRASHES = 256


def request_fingerprint(request: ClientRequest) -> Fingerprint:
    """Return the fingerprint that a request and all its retries share."""
    return fingerprint_of(
        request.client_service,
        request.method.decode("latin-1"),
        request.request_target.decode("latin-1"),
        request.body,
    )


class CrashHistory:
    """Target crashes known to this daemon and the requests then in flight.

    An incarnation of a target is given by its id and start time. ``answered`` is called
    with each request to which a target responded after a crash.
    """

    def __init__(
        self,
        *,
        events: EventLog,
        answered: Callable[[Fingerprint], None] = lambda fingerprint: None,
    ) -> None:
        self._events = events
        self._answered = answered
        self._loop = asyncio.get_running_loop()
        self._crash_by_incarnation: OrderedDict[Incarnation, TargetCrash] = (
            OrderedDict()
        )
        self._crash_times_by_fingerprint: dict[
            Fingerprint, dict[Incarnation, float]
        ] = {}

    def record(self, crash: TargetCrash) -> None:
        """Record a crash; each incarnation of a target is counted once."""
        incarnation = crash.incarnation
        if incarnation in self._crash_by_incarnation:
            return
        self._crash_by_incarnation[incarnation] = crash
        now = self._loop.time()
        for fingerprint in crash.fingerprints:
            crash_times = self._crash_times_by_fingerprint.setdefault(fingerprint, {})
            crash_times[incarnation] = now
            if len(crash_times) == QUARANTINE_CRASHES:
                self._events.write(
                    "request_quarantined",
                    fingerprint=fingerprint.hex(),
                    targets=[target for target, _ in crash_times],
                )
        while len(self._crash_by_incarnation) > MAX_CRASHES:
            self._drop_oldest_crash()

    def is_quarantined(self, request: ClientRequest) -> bool:
        """Return whether ``request`` is quarantined now."""
        if not self._crash_times_by_fingerprint:
            return False
        crash_times = self._crash_times_by_fingerprint.get(request_fingerprint(request))
        if crash_times is None or len(crash_times) < QUARANTINE_CRASHES:
            return False
        return self._loop.time() - max(crash_times.values()) < QUARANTINE_SECONDS

    def record_response(self, request: ClientRequest) -> None:
        """Drop the crashes counted for a request to which a target responded."""
        if not self._crash_times_by_fingerprint:
            return
        fingerprint = request_fingerprint(request)
        if self._crash_times_by_fingerprint.pop(fingerprint, None) is not None:
            self._answered(fingerprint)

    def _drop_oldest_crash(self) -> None:
        incarnation, crash = self._crash_by_incarnation.popitem(last=False)
        for fingerprint in crash.fingerprints:
            crash_times = self._crash_times_by_fingerprint.get(fingerprint)
            if crash_times is not None:
                crash_times.pop(incarnation, None)
                if not crash_times:
                    del self._crash_times_by_fingerprint[fingerprint]


class CrashEvidence:
    """Lost connections that may be the sign of a crash of the local target.

    A target may also close the connection of a single request that it aborts. A lost
    connection therefore counts as a crash only if the target then refuses connections
    or restarts, and did not respond to any request dispatched after the loss.
    """

    def __init__(self) -> None:
        self._lost_at_by_fingerprint: dict[Fingerprint, float] = {}

    def record_lost_connection(self, request: ClientRequest, now: float) -> None:
        """Record that the connection was lost while the target executed ``request``."""
        self._lost_at_by_fingerprint[request_fingerprint(request)] = now

    def record_response(self, dispatched_at: float) -> None:
        """Drop the losses before the dispatch of a request that got a response.

        ``dispatched_at`` is a loop time in seconds.
        """
        if not self._lost_at_by_fingerprint:
            return
        self._lost_at_by_fingerprint = {
            fingerprint: lost_at
            for fingerprint, lost_at in self._lost_at_by_fingerprint.items()
            if lost_at >= dispatched_at
        }

    def clear(self) -> None:
        """Drop all recorded losses."""
        self._lost_at_by_fingerprint.clear()

    def take_fingerprints(self) -> tuple[Fingerprint, ...]:
        """Return the requests whose connections were lost, and drop all losses."""
        fingerprints = tuple(self._lost_at_by_fingerprint)
        self.clear()
        return fingerprints
