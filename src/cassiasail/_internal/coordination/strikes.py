"""What the deaths of targets say about one fingerprint: moments and their weight."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import combinations, pairwise

from ..ids import TargetId
from ..state.fingerprints import Fingerprint

SUSPECT_SECONDS = 2.0
QUARANTINE_SECONDS = 600.0
# A mass moment that one request explains may still be a rack on which that request
# was popular. After this time it is tried again; one more death settles it.
MASS_QUARANTINE_SECONDS = 30.0
# Deaths of one cause reach a daemon within the flood time; the caller of a poisonous
# request resends after a second or more.
MOMENT_SECONDS = 0.8
# Targets lost in one moment from which on a cause outside the requests is likelier.
MASS_TARGETS = 3
# A weak strike counts together with one that came after the suspicion: calls that
# were already running then cannot have been blocked. The margin covers the errors of
# ages. Later strikes are unrelated to the mass moment.
WEAK_GAP_SECONDS = SUSPECT_SECONDS - 0.2
WEAK_STRIKE_SECONDS = 10.0
# Repeated strikes on the same target double its suspicion up to this many times: the
# target may be at fault, so there is no quarantine, but the loss must not go on.
MAX_DOUBLINGS = 5


@dataclass(frozen=True, slots=True)
class Death:
    """A death as known here, with its time on the own clock."""

    target: TargetId
    started: float
    fingerprints: tuple[Fingerprint, ...]
    time: float


@dataclass(frozen=True, slots=True)
class Moment:
    """Strikes on one fingerprint that are judged together, ordered by time.

    ``mass`` if many targets died in the moment, ``explained`` if the fingerprint
    explains all of its deaths, ``weak`` if the strikes say little about it.
    """

    deaths: list[Death]
    mass: bool
    explained: bool
    weak: bool

    @property
    def targets(self) -> set[TargetId]:
        return {death.target for death in self.deaths}

    @property
    def first(self) -> float:
        return self.deaths[0].time

    @property
    def last(self) -> float:
        return self.deaths[-1].time


def moments_of(
    fingerprint: Fingerprint, deaths: list[Death], *, all_deaths: Iterable[Death]
) -> list[Moment]:
    """Group the deaths that struck a fingerprint, ordered by time, into moments.

    ``all_deaths`` are all recent deaths, of any fingerprint.
    """
    known = list(all_deaths)
    return [_moment(fingerprint, group, known) for group in _groups(deaths)]


def _moment(
    fingerprint: Fingerprint, struck: list[Death], known: list[Death]
) -> Moment:
    first = struck[0].time - MOMENT_SECONDS
    last = struck[-1].time + MOMENT_SECONDS
    dead = [death for death in known if first <= death.time <= last]
    strikes = Counter(each for death in dead for each in frozenset(death.fingerprints))
    own = strikes.pop(fingerprint)
    explained = own * 2 > len(dead) and all(count < own for count in strikes.values())
    mass = len({death.target for death in dead}) >= MASS_TARGETS
    return Moment(
        deaths=struck,
        mass=mass,
        explained=explained,
        weak=not explained and (mass or len(struck) > 1),
    )


def _groups(deaths: list[Death]) -> list[list[Death]]:
    """Group deaths, ordered by time, with gaps of at most ``MOMENT_SECONDS``."""
    groups = [[deaths[0]]]
    for before, death in pairwise(deaths):
        if death.time - before.time <= MOMENT_SECONDS:
            groups[-1].append(death)
        else:
            groups.append([death])
    return groups


def returned_and_killed(moments: list[Moment]) -> bool:
    """Return whether two separate moments on different targets accuse the request."""
    return any(
        len(earlier.targets | later.targets) > 1 and _are_separate(earlier, later)
        for earlier, later in combinations(moments, 2)
    )


def quarantine_seconds(moments: list[Moment]) -> float | None:
    """Return for how long the moments quarantine the request, None if they do not."""
    if returned_and_killed(moments):
        return QUARANTINE_SECONDS
    for moment in moments:
        if moment.explained and len(moment.targets) > 1:
            mass = len(moment.targets) >= MASS_TARGETS
            return MASS_QUARANTINE_SECONDS if mass else QUARANTINE_SECONDS
    return None


def _are_separate(earlier: Moment, later: Moment) -> bool:
    """Return whether two moments are independent evidence."""
    if not earlier.weak and not later.weak:
        return True
    return WEAK_GAP_SECONDS <= later.first - earlier.last <= WEAK_STRIKE_SECONDS


def suspicion_seconds(deaths: list[Death]) -> float:
    """Return how long the last of the deaths blocks the fingerprint."""
    if len({death.target for death in deaths}) > 1:
        return SUSPECT_SECONDS
    return SUSPECT_SECONDS * 2.0 ** min(len(deaths) - 1, MAX_DOUBLINGS)
