"""Evaluates the crash records of one fingerprint: groups them into bursts of crashes.

A crash record says that the fingerprint was in flight when a target crashed.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import combinations, pairwise

from ..ids import TargetId
from ..state.fingerprints import Fingerprint

SUSPECT_SECONDS = 2.0
QUARANTINE_SECONDS = 600.0
# A mass crash that one request explains may still be the loss of a rack on which that
# request was popular. After this time the request is allowed again; one more crash
# quarantines it for the full time.
MASS_QUARANTINE_SECONDS = 30.0
# Notices of crashes with one cause reach a daemon within the time of a flood; the
# caller of a request that crashes targets sends it again after a second or more.
BURST_GAP_SECONDS = 0.8
# From this many crashed targets in one burst, a cause outside the requests is likelier.
MASS_CRASH_TARGETS = 3
# A weak crash record counts together with one that came after the suspicion: calls
# that already ran before could not have been blocked. The margin of 0.2 s covers the
# errors of ages. Records after the maximum gap are unrelated to the mass crash.
WEAK_RECORD_MIN_GAP_SECONDS = SUSPECT_SECONDS - 0.2
WEAK_RECORD_MAX_GAP_SECONDS = 10.0
# Repeated crashes of the same target double the suspicion up to this many times: the
# target may be at fault, so there is no quarantine, but the crashes must not continue.
MAX_SUSPICION_DOUBLINGS = 5


@dataclass(frozen=True, slots=True)
class TargetCrash:
    """A crash of a target; ``time`` is on the clock of this daemon."""

    target: TargetId
    start_time: float
    fingerprints: tuple[Fingerprint, ...]
    time: float


@dataclass(frozen=True, slots=True)
class CrashBurst:
    """Crashes with one fingerprint in flight, close to each other, ordered by time.

    ``is_mass_crash`` if many targets crashed in the burst. ``is_explained`` if the
    fingerprint explains the burst: it was in flight at more than half of the crashes,
    and no other fingerprint was at as many. ``is_weak`` if the crashes are weak
    evidence against the fingerprint.
    """

    crashes: list[TargetCrash]
    is_mass_crash: bool
    is_explained: bool
    is_weak: bool

    @property
    def targets(self) -> set[TargetId]:
        return {crash.target for crash in self.crashes}

    @property
    def first(self) -> float:
        return self.crashes[0].time

    @property
    def last(self) -> float:
        return self.crashes[-1].time


def group_into_bursts(
    fingerprint: Fingerprint,
    crashes: list[TargetCrash],
    *,
    all_crashes: Iterable[TargetCrash],
) -> list[CrashBurst]:
    """Group the crashes with a fingerprint in flight, ordered by time, into bursts.

    ``all_crashes`` are all recent crashes, of any fingerprint.
    """
    recent = list(all_crashes)
    return [_burst(fingerprint, group, recent) for group in _split_at_gaps(crashes)]


def _burst(
    fingerprint: Fingerprint, crashes: list[TargetCrash], recent: list[TargetCrash]
) -> CrashBurst:
    """Classify a burst by all recent crashes close to it, of any fingerprint."""
    first = crashes[0].time - BURST_GAP_SECONDS
    last = crashes[-1].time + BURST_GAP_SECONDS
    nearby = [crash for crash in recent if first <= crash.time <= last]
    records_by_fingerprint = Counter(
        each for crash in nearby for each in frozenset(crash.fingerprints)
    )
    records = records_by_fingerprint.pop(fingerprint)
    is_explained = records * 2 > len(nearby) and all(
        count < records for count in records_by_fingerprint.values()
    )
    is_mass_crash = len({crash.target for crash in nearby}) >= MASS_CRASH_TARGETS
    return CrashBurst(
        crashes=crashes,
        is_mass_crash=is_mass_crash,
        is_explained=is_explained,
        is_weak=not is_explained and (is_mass_crash or len(crashes) > 1),
    )


def _split_at_gaps(crashes: list[TargetCrash]) -> list[list[TargetCrash]]:
    """Split crashes, ordered by time, at gaps longer than ``BURST_GAP_SECONDS``."""
    groups = [[crashes[0]]]
    for previous, crash in pairwise(crashes):
        if crash.time - previous.time <= BURST_GAP_SECONDS:
            groups[-1].append(crash)
        else:
            groups.append([crash])
    return groups


def has_independent_crashes(bursts: list[CrashBurst]) -> bool:
    """Return whether two independent bursts hit different targets."""
    return any(
        len(earlier.targets | later.targets) > 1 and _are_independent(earlier, later)
        for earlier, later in combinations(bursts, 2)
    )


def quarantine_seconds(bursts: list[CrashBurst]) -> float | None:
    """Return for how long the bursts quarantine the request, None if they do not."""
    if has_independent_crashes(bursts):
        return QUARANTINE_SECONDS
    for burst in bursts:
        if burst.is_explained and len(burst.targets) > 1:
            is_mass_crash = len(burst.targets) >= MASS_CRASH_TARGETS
            return MASS_QUARANTINE_SECONDS if is_mass_crash else QUARANTINE_SECONDS
    return None


def _are_independent(earlier: CrashBurst, later: CrashBurst) -> bool:
    """Return whether two bursts are independent evidence against the request."""
    if not earlier.is_weak and not later.is_weak:
        return True
    return (
        WEAK_RECORD_MIN_GAP_SECONDS
        <= later.first - earlier.last
        <= WEAK_RECORD_MAX_GAP_SECONDS
    )


def suspicion_seconds(crashes: list[TargetCrash]) -> float:
    """Return for how long after the last crash the fingerprint is blocked."""
    if len({crash.target for crash in crashes}) > 1:
        return SUSPECT_SECONDS
    return SUSPECT_SECONDS * 2.0 ** min(len(crashes) - 1, MAX_SUSPICION_DOUBLINGS)
