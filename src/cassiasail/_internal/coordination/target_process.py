"""Detects the crash of a local target's process and the calls in flight at that time.

A process has crashed when a connection with a call on it is reset and its port refuses
connections, or when a heartbeat carries another start time. A reset alone may be a
single request that the target aborted; a refused connection alone may be an orderly
stop.
"""

from collections.abc import Iterable

from ..state.fingerprints import Fingerprint

# Resets and refused connections up to this far apart count as one crash: after that
# time a restarted target has sent a heartbeat.
CRASH_EVIDENCE_SECONDS = 3.0
# A heartbeat sent before the crash may be read up to this long after the reset.
HEARTBEAT_DELAY_SECONDS = 0.5
# Heartbeats within this time after a recorded crash are ignored as sent before it. A
# process that still sends them later did not crash.
STALE_HEARTBEAT_SECONDS = 1.5


class TargetProcess:
    """Evidence on the current process of a target.

    ``start_time`` identifies the process; None before the first heartbeat.
    """

    def __init__(self) -> None:
        self.start_time: float | None = None
        self._crashed_at: float | None = None
        self._port_refused_at: float | None = None
        self._resets: list[tuple[float, Fingerprint]] = []

    def record_heartbeat(self, start_time: float, now: float) -> bool:
        """Record a heartbeat; returns whether it comes from a new process.

        In that case the caller handles the crash of the previous process and then
        calls ``start_incarnation``.
        """
        if start_time != self.start_time:
            return True
        self._port_refused_at = self._crashed_at = None
        # A process that sends a heartbeat after a reset survived it.
        self._resets = [
            each for each in self._resets if now - each[0] < HEARTBEAT_DELAY_SECONDS
        ]
        return False

    def is_stale_heartbeat(self, start_time: float, now: float) -> bool:
        """Return whether a heartbeat was sent before the recorded crash."""
        return (
            start_time == self.start_time
            and self._crashed_at is not None
            and now - self._crashed_at < STALE_HEARTBEAT_SECONDS
        )

    def start_incarnation(self, start_time: float) -> None:
        """Drop all evidence and track the process with ``start_time``."""
        self.start_time = start_time
        self._crashed_at = self._port_refused_at = None
        self._resets.clear()

    def record_reset(self, fingerprint: Fingerprint, now: float) -> None:
        """Record that a connection was reset while a call was on it."""
        self._resets.append((now, fingerprint))

    def record_port_refused(self, now: float) -> None:
        """Record that the port refused a connection."""
        self._port_refused_at = now

    def has_crash_evidence(self, now: float) -> bool:
        """Return whether the evidence shows a crash that is not yet recorded."""
        if self._crashed_at is not None or self._port_refused_at is None:
            return False
        if now - self._port_refused_at >= CRASH_EVIDENCE_SECONDS:
            return False
        return any(now - time < CRASH_EVIDENCE_SECONDS for time, _ in self._resets)

    def record_crash(
        self, in_flight: Iterable[Fingerprint], now: float
    ) -> tuple[Fingerprint, ...]:
        """Record the crash; returns the fingerprints to report, most recent first.

        Those are the fingerprints of recently reset calls and of ``in_flight``; none
        if the crash was recorded before.
        """
        recently_reset = [
            fingerprint
            for time, fingerprint in reversed(self._resets)
            if now - time < CRASH_EVIDENCE_SECONDS
        ]
        already_recorded = self._crashed_at is not None
        self._crashed_at = now
        self._resets.clear()
        if already_recorded:
            return ()
        return tuple(dict.fromkeys([*recently_reset, *in_flight]))
