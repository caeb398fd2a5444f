"""Requests that crash each target that runs them.

The daemon beside a target that dies names the requests that the target ran; the names
reach all daemons with its record. A request that was running at three deaths and was
answered nowhere in between is not sent on any more. One or two deaths are not enough:
targets die for other reasons as well, and then each of their requests is named.
"""

import asyncio
from collections import OrderedDict

from ...events import EventLog
from ...state.calls import MeshCall
from ...state.fingerprints import Fingerprint, fingerprint_of
from ...state.hosts import Incarnation, TargetDeath

# Deaths of targets that a request may cause before it is stopped; the users bound
# what it may reach after the third.
CRASHES = 3
# Time after its last death for which a request is stopped. Its sender may come back
# later than that, but no longer kills targets one after the other.
BLOCKED_SECONDS = 600.0
# Deaths remembered; beyond that the oldest are forgotten.
MAX_DEATHS = 256


def fingerprint(call: MeshCall) -> Fingerprint:
    """Return what a request has in common with its repetitions."""
    return fingerprint_of(
        call.caller,
        call.method.decode("latin-1"),
        call.target.decode("latin-1"),
        call.body,
    )


class CrashHistory:
    """Deaths of targets and the requests that they ran, as known to one daemon."""

    def __init__(self, *, events: EventLog) -> None:
        self._events = events
        self._loop = asyncio.get_running_loop()
        self._death_by_life: OrderedDict[Incarnation, TargetDeath] = OrderedDict()
        self._lives_by_fingerprint: dict[Fingerprint, dict[Incarnation, float]] = {}

    def record(self, death: TargetDeath) -> None:
        """Take a death into account unless it is known."""
        life = death.incarnation
        if life in self._death_by_life:
            return
        self._death_by_life[life] = death
        now = self._loop.time()
        for each in death.fingerprints:
            lives = self._lives_by_fingerprint.setdefault(each, {})
            lives[life] = now
            if len(lives) == CRASHES:
                self._events.write(
                    "request_quarantined",
                    fingerprint=each.hex(),
                    targets=[target for target, _ in lives],
                )
        while len(self._death_by_life) > MAX_DEATHS:
            self._forget_oldest()

    def blocks(self, call: MeshCall) -> bool:
        """Return whether ``call`` is not to be sent to another target."""
        if not self._lives_by_fingerprint:
            return False
        lives = self._lives_by_fingerprint.get(fingerprint(call))
        if lives is None or len(lives) < CRASHES:
            return False
        return self._loop.time() - max(lives.values()) < BLOCKED_SECONDS

    def answered(self, call: MeshCall) -> None:
        """Clear a request that a target has answered."""
        if self._lives_by_fingerprint:
            self._lives_by_fingerprint.pop(fingerprint(call), None)

    def _forget_oldest(self) -> None:
        life, death = self._death_by_life.popitem(last=False)
        for each in death.fingerprints:
            lives = self._lives_by_fingerprint.get(each)
            if lives is not None:
                lives.pop(life, None)
                if not lives:
                    del self._lives_by_fingerprint[each]


class CrashEvidence:
    """Tells the death of one life of a target from single lost connections.

    A lost connection alone may be one request that the target gave up. It counts if
    the target then refuses connections or starts anew, and did not answer a request
    that was sent after the loss.
    """

    def __init__(self) -> None:
        self._lost_by_fingerprint: dict[Fingerprint, float] = {}

    def lost(self, call: MeshCall, now: float) -> None:
        """Record that the connection of ``call`` was lost while the target ran it."""
        self._lost_by_fingerprint[fingerprint(call)] = now

    def answered(self, sent: float) -> None:
        """Record an answer to a request that was sent at the loop time ``sent``."""
        if not self._lost_by_fingerprint:
            return
        self._lost_by_fingerprint = {
            each: lost
            for each, lost in self._lost_by_fingerprint.items()
            if lost >= sent
        }

    def clear(self) -> None:
        """Forget all losses."""
        self._lost_by_fingerprint.clear()

    def died(self) -> tuple[Fingerprint, ...]:
        """Return what the target ran when it died, and begin anew."""
        named = tuple(self._lost_by_fingerprint)
        self.clear()
        return named
