"""Whether the process of a local target lives, and what it ran when it died.

A process is dead when a connection with a call on it is reset and its port refuses,
or when an announcement carries another start time. A reset alone may be a single
request that the target gave up; a refused port alone may be an orderly stop.
"""

from collections.abc import Iterable

from ..state.fingerprints import Fingerprint

# Resets and refusals this far apart belong to one death: by then a restarted target
# has announced itself.
EVIDENCE_SECONDS = 3.0
# An announcement sent before the crash may be read after the reset.
ANNOUNCEMENT_LAG = 0.5  # seconds
# A dead process that still announces itself after this time was not dead.
REVIVAL_SECONDS = 1.5


class TargetProcess:
    """Evidence on one target's process; ``started`` identifies the current one."""

    def __init__(self) -> None:
        self.started: float | None = None
        self._died: float | None = None
        self._refused: float | None = None
        self._resets: list[tuple[float, Fingerprint]] = []

    def announced(self, started: float, now: float) -> bool:
        """Take over an announcement; returns whether its process is a new one.

        The caller draws the conclusions for the old one, then calls ``replace``.
        """
        if started != self.started:
            return True
        self._refused = self._died = None
        # A process that announces itself after a reset survived it.
        self._resets = [
            each for each in self._resets if now - each[0] < ANNOUNCEMENT_LAG
        ]
        return False

    def is_stale(self, started: float, now: float) -> bool:
        """Return whether an announcement was sent before the death seen here."""
        return (
            started == self.started
            and self._died is not None
            and now - self._died < REVIVAL_SECONDS
        )

    def replace(self, started: float) -> None:
        """Start over with the process that announced itself with ``started``."""
        self.started = started
        self._died = self._refused = None
        self._resets.clear()

    def reset(self, fingerprint: Fingerprint, now: float) -> None:
        """Record that a connection was reset while a call was on it."""
        self._resets.append((now, fingerprint))

    def refused(self, now: float) -> None:
        """Record that the port refused a connection."""
        self._refused = now

    def is_dead(self, now: float) -> bool:
        """Return whether the evidence shows a death not yet recorded."""
        if self._died is not None or self._refused is None:
            return False
        if now - self._refused >= EVIDENCE_SECONDS:
            return False
        return any(now - time < EVIDENCE_SECONDS for time, _ in self._resets)

    def die(
        self, in_flight: Iterable[Fingerprint], now: float
    ) -> tuple[Fingerprint, ...]:
        """Record the death; returns the fingerprints it names, most recent first."""
        recent = [
            fingerprint
            for time, fingerprint in reversed(self._resets)
            if now - time < EVIDENCE_SECONDS
        ]
        already_dead = self._died is not None
        self._died = now
        self._resets.clear()
        if already_dead:
            return ()
        return tuple(dict.fromkeys([*recent, *in_flight]))
