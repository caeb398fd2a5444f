"""Choice of a target: locality, a stable subset, and power of two choices.

The balancer does no I/O. It is told about targets, about the start and end of calls
and about reported load, and answers ``choose``. Calls stay in the daemon's data
centre, then in its region, as long as targets there have free slots.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from random import Random
from statistics import median_low

import xxhash

from .. import metrics
from ..clock import Clock
from ..ids import DaemonId, DataCentre, Region, ServiceName, TargetId
from ..state.refusals import Executed, Refusal, RefusalReason
from ..state.targets import LoadReport, Outcome, TargetView
from .outliers import eject_outliers, restore_floor
from .targetscores import TargetScore

SUBSET_SIZE = 8
# Targets added to a subset whose members are all saturated, and taken out again one
# by one after each quiet period.
SUBSET_GROWTH = 4
QUIET_PERIOD = 10.0  # seconds
# Costs that differ by less than this factor count as equal. Without it, the fading
# rest of one bad measurement would keep all calls away from an idle target.
TIE = 1.1
REVIEW_INTERVAL = 1.0  # seconds between judgements of outliers
# With fewer targets in the data centre than this, their latency has to be compared
# with targets elsewhere in the region. The share stays below the 1 call in 100 that
# may take longer.
COMPARABLE = 3
EXPLORATION = 1 / 128


class Place(IntEnum):
    """How far a target is from this daemon."""

    DATA_CENTRE = 0
    REGION = 1
    ELSEWHERE = 2


# Load per slot at which a call goes to the next place. Leaving the region costs
# 12 ms and paid bytes, so a queue as long as the slots comes first.
SPILL_LOAD = {Place.DATA_CENTRE: 1.0, Place.REGION: 2.0, Place.ELSEWHERE: 1.0}

# Looking a label up for each call would cost a tenth of the choice.
_CHOSEN_BY_PLACE = {
    place: metrics.TARGETS_CHOSEN.labels(place.name.lower()) for place in Place
}


class LinkBudget:
    """Bytes that this daemon may send and cause over the link between regions.

    One call may overdraw the budget by its own size; the next ones wait until the
    debt is paid, so the average stays within ``rate`` bytes per second.
    """

    def __init__(self, *, clock: Clock, rate: float) -> None:
        self._clock = clock
        self.rate = rate
        self._bytes = rate
        self._refilled_at = clock.now()

    def wait(self) -> float:
        """Return the seconds until a call may use the link; 0 if it may now."""
        now = self._clock.now()
        gained = (now - self._refilled_at) * self.rate
        # One second's worth is kept at most, so that daemons do not all use savings
        # at the same time.
        self._bytes = min(self.rate, self._bytes + gained)
        self._refilled_at = now
        if self._bytes > 0:
            return 0.0
        return (1.0 - self._bytes) / self.rate if self.rate > 0 else float("inf")

    def charge(self, amount: float) -> None:
        """Take ``amount`` bytes; negative gives back what was expected in vain."""
        self._bytes -= amount


@dataclass(slots=True)
class _Service:
    # Scores of usable targets with their place, nearest first, then by rendezvous
    # hash, which moves few entries when targets come and go.
    ranked: list[tuple[Place, TargetScore]] = field(default_factory=list)
    subset_by_place: dict[Place, list[TargetScore]] = field(default_factory=dict)
    extra: int = 0
    typical: float = 0.0
    reviewed_at: float = float("-inf")
    grown_at: float = float("-inf")
    saturated_at: float = float("-inf")


class Balancer:
    """Chooses targets for the calls of one daemon.

    ``link`` bounds what is sent to other regions; the daemon sets its rate as the
    number of living daemons of the region changes.
    """

    def __init__(
        self,
        *,
        daemon: DaemonId,
        region: Region,
        data_centre: DataCentre,
        clock: Clock,
        rng: Random,
        link: LinkBudget,
    ) -> None:
        self._daemon = daemon
        self._region = region
        self._data_centre = data_centre
        self._clock = clock
        self._rng = rng
        self._link = link
        self._score_by_target: dict[TargetId, TargetScore] = {}
        self._targets_by_service: dict[ServiceName, frozenset[TargetId]] = {}
        self._service_by_name: dict[ServiceName, _Service] = {}

    def update(self, service: ServiceName, targets: Sequence[TargetView]) -> None:
        """Replace what is known about the targets of a service."""
        present = frozenset(view.target_id for view in targets)
        for gone in self._targets_by_service.get(service, frozenset()) - present:
            self._score_by_target.pop(gone, None)
        self._targets_by_service[service] = present
        if not targets:
            self._service_by_name.pop(service, None)
            return
        for view in targets:
            score = self._score_by_target.setdefault(view.target_id, TargetScore(view))
            if score.view.ready_since != view.ready_since:
                score.restart(view)
            score.view = view
        state = self._service_by_name.setdefault(service, _Service())
        state.ranked = self._rank(service, targets)
        self._select_subset(state)

    def choose(
        self, service: ServiceName, *, exclude: frozenset[TargetId], expected_bytes: int
    ) -> TargetView | Refusal:
        """Return the target for one call, or why there is none.

        ``exclude`` names targets that this call already tried. ``expected_bytes`` of
        request and answer are charged to the link budget if the target is in another
        region; ``LinkBudget.charge`` corrects them afterwards.
        """
        state = self._service_by_name.get(service)
        if state is None:
            return _no_target("no target of the service is ready")
        now = self._clock.now()
        if now - state.reviewed_at >= REVIEW_INTERVAL:
            self._review(state, now)
        chosen = self._choose_within_limits(
            state, exclude, now
        ) or self._choose_saturated(state, exclude, now)
        if isinstance(chosen, Refusal):
            return chosen
        place, score = chosen
        if place is Place.ELSEWHERE:
            self._link.charge(expected_bytes)
        _CHOSEN_BY_PLACE[place].inc()
        return score.view

    def started(self, target: TargetView) -> None:
        """Note that a call is sent to ``target``."""
        score = self._score_by_target.get(target.target_id)
        if score is not None:
            score.in_flight += 1

    def finished(
        self,
        target: TargetView,
        outcome: Outcome,
        seconds: float,
        report: LoadReport | None,
    ) -> None:
        """Note the end of a call that took ``seconds``, with the host's report."""
        score = self._score_by_target.get(target.target_id)
        # A target that left and came back in between has no calls of its own yet.
        if score is not None and score.in_flight > 0:
            score.finish(outcome, seconds, report, self._clock.now())

    def subset(self, service: ServiceName) -> list[TargetView]:
        """Return the targets that new calls are spread over, nearest first."""
        state = self._service_by_name.get(service)
        members = state.subset_by_place.values() if state else ()
        return [score.view for scores in members for score in scores]

    def ejected(self, service: ServiceName) -> int:
        """Return how many targets of the service are ejected now."""
        state = self._service_by_name.get(service)
        now = self._clock.now()
        ranked = state.ranked if state else ()
        return sum(score.is_ejected(now) for _, score in ranked)

    def place_of(self, view: TargetView) -> Place:
        """Return how far a target is from this daemon."""
        if view.data_centre == self._data_centre:
            return Place.DATA_CENTRE
        return Place.REGION if view.region == self._region else Place.ELSEWHERE

    def _choose_within_limits(
        self, state: _Service, exclude: frozenset[TargetId], now: float
    ) -> tuple[Place, TargetScore] | None:
        """Choose in the nearest place with free capacity, None if none has any."""
        for place, members in state.subset_by_place.items():
            candidates = _without(members, exclude)
            if not candidates or not self._may_use(place):
                continue
            if self._explores(state, place):
                continue
            limit = SPILL_LOAD[place]
            score = self._better_of_two(candidates, state.typical, now)
            if score.load(now) < limit * score.view.slots:
                return place, score
            free = [
                item for item in candidates if item.load(now) < limit * item.view.slots
            ]
            if free:
                return place, min(free, key=lambda item: item.cost(now, state.typical))
        return None

    def _choose_saturated(
        self, state: _Service, exclude: frozenset[TargetId], now: float
    ) -> tuple[Place, TargetScore] | Refusal:
        """Choose when the subset has no free capacity; the host's queue decides."""
        self._grow(state, now)
        for place, members in state.subset_by_place.items():
            candidates = _without(members, exclude)
            if candidates and self._may_use(place):
                return place, self._better_of_two(candidates, state.typical, now)
        # Only targets outside the subset are left; ejected ones are better than none.
        rest = [
            (place, score)
            for place, score in state.ranked
            if score.view.target_id not in exclude
        ]
        allowed = [item for item in rest if self._may_use(item[0])]
        if allowed:
            return min(allowed, key=lambda item: (item[1].is_ejected(now), item[0]))
        if not rest:
            return _no_target("every ready target of the service was tried")
        return Refusal(
            reason=RefusalReason.LINK_BUDGET,
            executed=Executed.NO,
            detail="only targets in other regions are left; their link is full",
            retry_after=min(60.0, self._link.wait()),
        )

    def _better_of_two(
        self, candidates: Sequence[TargetScore], typical: float, now: float
    ) -> TargetScore:
        count = len(candidates)
        if count == 1:
            return candidates[0]
        # Two different indices from one draw each; random.sample is 5 times slower.
        first = int(self._rng.random() * count)
        second = int(self._rng.random() * (count - 1))
        second += second >= first
        one, other = candidates[first], candidates[second]
        cost, other_cost = one.cost(now, typical), other.cost(now, typical)
        if cost <= TIE * other_cost and other_cost <= TIE * cost:
            # The target beside this daemon saves a hop.
            return other if other.view.daemon_id == self._daemon else one
        return one if cost < other_cost else other

    def _explores(self, state: _Service, place: Place) -> bool:
        """Return whether a call leaves the data centre to measure the region."""
        if place is not Place.DATA_CENTRE or Place.REGION not in state.subset_by_place:
            return False
        near = len(state.subset_by_place[place])
        return near < COMPARABLE and self._rng.random() < EXPLORATION

    def _may_use(self, place: Place) -> bool:
        return place is not Place.ELSEWHERE or self._link.wait() == 0.0

    def _rank(
        self, service: ServiceName, targets: Sequence[TargetView]
    ) -> list[tuple[Place, TargetScore]]:
        def order(view: TargetView) -> tuple[Place, bool, int]:
            rank = xxhash.xxh64_intdigest(
                f"{self._daemon} {service} {view.target_id}".encode()
            )
            return self.place_of(view), view.daemon_id != self._daemon, rank

        usable = sorted((view for view in targets if view.is_usable), key=order)
        return [
            (self.place_of(view), self._score_by_target[view.target_id])
            for view in usable
        ]

    def _select_subset(self, state: _Service) -> None:
        now = self._clock.now()
        scores = [score for _, score in state.ranked]
        restore_floor(scores, len(scores), now)
        active = [item for item in state.ranked if not item[1].is_ejected(now)]
        state.subset_by_place = {}
        for place, score in active[: SUBSET_SIZE + state.extra]:
            state.subset_by_place.setdefault(place, []).append(score)

    def _review(self, state: _Service, now: float) -> None:
        state.reviewed_at = now
        scores = [score for _, score in state.ranked]
        latencies = [score.latency for score in scores if score.latency is not None]
        # The lower median: of two targets the slow one must not set the norm.
        state.typical = median_low(latencies) if latencies else 0.0
        eject_outliers(scores, len(scores), now)
        if state.extra and now - max(state.saturated_at, state.grown_at) > QUIET_PERIOD:
            state.extra -= 1
            state.grown_at = now
        self._select_subset(state)

    def _grow(self, state: _Service, now: float) -> None:
        state.saturated_at = now
        full = SUBSET_SIZE + state.extra >= len(state.ranked)
        if full or now - state.grown_at < REVIEW_INTERVAL:
            return
        state.grown_at = now
        state.extra += SUBSET_GROWTH
        self._select_subset(state)


def _without(
    members: Sequence[TargetScore], exclude: frozenset[TargetId]
) -> Sequence[TargetScore]:
    if not exclude:
        return members
    return [score for score in members if score.view.target_id not in exclude]


def _no_target(detail: str) -> Refusal:
    return Refusal(reason=RefusalReason.NO_TARGET, executed=Executed.NO, detail=detail)
