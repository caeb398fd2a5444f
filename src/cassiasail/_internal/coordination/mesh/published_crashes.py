"""Crashes of the targets of one VM that its daemon publishes in its record.

A daemon that starts learns from the records which requests were in flight at crashes,
and has not seen the responses to them since. The daemon that publishes a crash
therefore takes the requests out of it that were answered after it. What is left are
requests that may have caused the crash.
"""

from collections.abc import Callable, Iterable
from dataclasses import replace

from ...state.fingerprints import Fingerprint
from ...state.hosts import Incarnation, TargetCrash
from .crashes import QUARANTINE_SECONDS

# Crashes kept in a record. Ten crashing requests on two VMs are quarantined after 15
# crashes a VM. Most crashes have few requests left a second later.
MAX_PUBLISHED_CRASHES = 32


class PublishedCrashes:
    """The latest crashes with requests that were not answered since, the oldest first.

    ``now`` returns seconds. A crash from the record of a former start of this daemon
    has the time at which it was read.
    """

    def __init__(self, *, now: Callable[[], float]) -> None:
        self._now = now
        self._crash_by_incarnation: dict[Incarnation, TargetCrash] = {}
        self._known_since: dict[Incarnation, float] = {}

    @property
    def crashes(self) -> tuple[TargetCrash, ...]:
        """The crashes to publish."""
        return tuple(self._crash_by_incarnation.values())

    def add(self, crash: TargetCrash) -> None:
        """Add a crash of the current target."""
        self._crash_by_incarnation[crash.incarnation] = crash
        self._known_since[crash.incarnation] = self._now()
        while len(self._crash_by_incarnation) > MAX_PUBLISHED_CRASHES:
            self._drop(next(iter(self._crash_by_incarnation)))

    def restore(self, crashes: Iterable[TargetCrash]) -> None:
        """Add the crashes that a former start of this daemon published."""
        own = self.crashes
        for crash in (*crashes, *own):
            self._drop(crash.incarnation)
            self.add(crash)

    def acquit(self, fingerprint: Fingerprint) -> bool:
        """Take an answered request out of all crashes; return whether it was in one."""
        affected = [
            crash for crash in self.crashes if fingerprint in crash.fingerprints
        ]
        for crash in affected:
            left = tuple(each for each in crash.fingerprints if each != fingerprint)
            if left:
                self._crash_by_incarnation[crash.incarnation] = replace(
                    crash, fingerprints=left
                )
            else:
                self._drop(crash.incarnation)
        return bool(affected)

    def expire(self) -> bool:
        """Drop crashes for which nothing is quarantined any more; return if any was."""
        limit = self._now() - QUARANTINE_SECONDS
        expired = [each for each, since in self._known_since.items() if since < limit]
        for incarnation in expired:
            self._drop(incarnation)
        return bool(expired)

    def _drop(self, incarnation: Incarnation) -> None:
        self._crash_by_incarnation.pop(incarnation, None)
        self._known_since.pop(incarnation, None)
