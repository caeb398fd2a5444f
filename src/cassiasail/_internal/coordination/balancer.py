"""Load balancing: chooses the target for each attempt of a call.

The balancer combines three methods. Locality: attempts go to the daemon's data centre
first, then to its region, then to other regions, and move on when the load of the
nearer targets reaches a limit. Subsetting: each daemon uses a small, stable subset of a
service's targets. Power of two choices: of two random members, the one with the lower
cost is used. The balancer does no I/O; its owner passes in the targets, the start and
end of each attempt, and the load reports.
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
from ..state.targets import AttemptOutcome, LoadReport, TargetView
from .outliers import eject_outliers, readmit_surplus
from .targetscores import TargetScore

SUBSET_SIZE = 8  # targets
# Targets added to a subset when all of its members are saturated. They are removed
# again one at a time, each after SUBSET_SHRINK_SECONDS without saturation.
SUBSET_GROWTH_STEP = 4
SUBSET_SHRINK_SECONDS = 10.0
# Costs that differ by at most this factor count as equal. Without this tolerance, the
# decaying remainder of one bad measurement would keep all calls away from an idle
# target.
COST_TIE_FACTOR = 1.1
REVIEW_INTERVAL_SECONDS = 1.0  # between two checks for outliers
# With fewer targets in the data centre than this, a few calls go to the rest of the
# region, because otherwise no other latency is known that a slow local target could be
# compared with. Their share stays below the 1 call in 100 that may take longer.
MIN_COMPARABLE_TARGETS = 3
EXPLORATION_PROBABILITY = 1 / 128


class Place(IntEnum):
    """Where a target is, seen from this daemon; the nearest place comes first."""

    DATA_CENTRE = 0
    REGION = 1
    ELSEWHERE = 2


# Load per slot, in running and queued calls, at which a call goes to the next place.
# Leaving the region costs 12 ms and bytes that are paid for, so targets of the region
# first get a queue as long as their number of slots.
SPILLOVER_LOAD_PER_SLOT = {
    Place.DATA_CENTRE: 1.0,
    Place.REGION: 2.0,
    Place.ELSEWHERE: 1.0,
}

# Resolved once, because looking up the label for each call would take a tenth of the
# time of a choice.
_CHOICE_COUNTER_BY_PLACE = {
    place: metrics.TARGETS_CHOSEN.labels(place.name.lower()) for place in Place
}


class LinkBudget:
    """Token bucket for the bytes of this daemon's calls on the link between regions.

    Calls and their responses both count. One call may overdraw the bucket by its own
    size; later calls may use the link only when the bucket is positive again, so the
    average stays within ``rate`` bytes per second.
    """

    def __init__(self, *, clock: Clock, rate: float) -> None:
        self._clock = clock
        self.rate = rate
        self._available_bytes = rate
        self._refilled_at = clock.now()

    def seconds_until_available(self) -> float:
        """Return the seconds until a call may use the link; 0 if it may use it now."""
        now = self._clock.now()
        refill = (now - self._refilled_at) * self.rate
        # The bucket holds at most the bytes of one second, so that the daemons cannot
        # all send a large burst at the same time.
        self._available_bytes = min(self.rate, self._available_bytes + refill)
        self._refilled_at = now
        if self._available_bytes > 0:
            return 0.0
        return (
            (1.0 - self._available_bytes) / self.rate if self.rate > 0 else float("inf")
        )

    def charge(self, amount: float) -> None:
        """Charge ``amount`` bytes; a negative amount refunds an overestimate."""
        self._available_bytes -= amount


@dataclass(slots=True)
class _ServiceState:
    """Ranking, subset and outlier checks of one service's targets.

    ``median_latency`` is in seconds, 0 if nothing was measured; the other times are
    those of the clock. ``resized_at`` is when ``extra_members`` last changed.
    """

    # Usable targets with their place: nearest first, the target beside this daemon
    # before others of its place, then by rendezvous hash, which reorders few targets
    # when some are added or removed.
    ranked_scores: list[tuple[Place, TargetScore]] = field(default_factory=list)
    subset_by_place: dict[Place, list[TargetScore]] = field(default_factory=dict)
    extra_members: int = 0
    median_latency: float = 0.0
    reviewed_at: float = float("-inf")
    resized_at: float = float("-inf")
    saturated_at: float = float("-inf")


class Balancer:
    """Chooses the targets for the calls of one daemon.

    ``link`` limits the bytes sent to and received from other regions. Its rate is
    updated from outside when the number of live daemons in the region changes.
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
        self._state_by_service: dict[ServiceName, _ServiceState] = {}

    def set_targets(self, service: ServiceName, targets: Sequence[TargetView]) -> None:
        """Replace the targets of a service.

        Measurements of a target are kept as long as it is listed and its
        ``ready_since`` is the same; otherwise they start anew.
        """
        listed = frozenset(view.target_id for view in targets)
        for removed in self._targets_by_service.get(service, frozenset()) - listed:
            self._score_by_target.pop(removed, None)
        self._targets_by_service[service] = listed
        if not targets:
            self._state_by_service.pop(service, None)
            return
        for view in targets:
            score = self._score_by_target.setdefault(view.target_id, TargetScore(view))
            if score.view.ready_since != view.ready_since:
                score.reset(view)
            score.view = view
        state = self._state_by_service.setdefault(service, _ServiceState())
        state.ranked_scores = self._rank_targets(service, targets)
        self._select_subset(state)

    def choose(
        self, service: ServiceName, *, exclude: frozenset[TargetId], expected_bytes: int
    ) -> TargetView | Refusal:
        """Return the target for one attempt of a call, or why there is none.

        ``exclude`` names the targets that this call must not use. If the target is in
        another region, ``expected_bytes`` of call and response are charged to the link
        budget; ``LinkBudget.charge`` can correct them afterwards.
        """
        state = self._state_by_service.get(service)
        if state is None:
            return _no_target("no target of the service is ready")
        now = self._clock.now()
        if now - state.reviewed_at >= REVIEW_INTERVAL_SECONDS:
            self._review_targets(state, now)
        chosen = self._choose_unsaturated(
            state, exclude, now
        ) or self._choose_saturated(state, exclude, now)
        if isinstance(chosen, Refusal):
            return chosen
        place, score = chosen
        if place is Place.ELSEWHERE:
            self._link.charge(expected_bytes)
        _CHOICE_COUNTER_BY_PLACE[place].inc()
        return score.view

    def attempt_started(self, target: TargetView) -> None:
        """Count an attempt that is being forwarded to ``target``."""
        score = self._score_by_target.get(target.target_id)
        if score is not None:
            score.in_flight += 1

    def attempt_ended(
        self,
        target: TargetView,
        outcome: AttemptOutcome,
        seconds: float,
        report: LoadReport | None,
    ) -> None:
        """Record an attempt that ended after ``seconds``.

        ``report`` is the load report of the target's host daemon, if it sent one.
        """
        score = self._score_by_target.get(target.target_id)
        # If the target was removed and listed again meanwhile, its new score has not
        # counted the start of this attempt.
        if score is not None and score.in_flight > 0:
            score.record_end(outcome, seconds, report, self._clock.now())

    def subset(self, service: ServiceName) -> list[TargetView]:
        """Return the targets that new calls are distributed over, nearest first."""
        state = self._state_by_service.get(service)
        places = state.subset_by_place.values() if state else ()
        return [score.view for scores in places for score in scores]

    def ejected_count(self, service: ServiceName) -> int:
        """Return the number of targets of the service that are ejected now."""
        state = self._state_by_service.get(service)
        now = self._clock.now()
        ranked_scores = state.ranked_scores if state else ()
        return sum(score.is_ejected(now) for _, score in ranked_scores)

    def place_of(self, view: TargetView) -> Place:
        """Return the place of a target, seen from this daemon."""
        if view.data_centre == self._data_centre:
            return Place.DATA_CENTRE
        return Place.REGION if view.region == self._region else Place.ELSEWHERE

    def _choose_unsaturated(
        self, state: _ServiceState, exclude: frozenset[TargetId], now: float
    ) -> tuple[Place, TargetScore] | None:
        """Choose from the nearest place with free capacity; None if there is none.

        Capacity is free while a target's load per slot is below the spillover limit of
        its place. Now and then skips the data centre to measure the region.
        """
        for place, members in state.subset_by_place.items():
            candidates = _without_excluded(members, exclude)
            if not candidates or not self._link_allows(place):
                continue
            if self._explores_region(state, place):
                continue
            load_per_slot = SPILLOVER_LOAD_PER_SLOT[place]
            score = self._choose_cheaper_of_two(candidates, state.median_latency, now)
            if score.estimated_load(now) < load_per_slot * score.view.slots:
                return place, score
            free = [
                item
                for item in candidates
                if item.estimated_load(now) < load_per_slot * item.view.slots
            ]
            if free:
                return place, min(
                    free, key=lambda item: item.cost(now, state.median_latency)
                )
        return None

    def _choose_saturated(
        self, state: _ServiceState, exclude: frozenset[TargetId], now: float
    ) -> tuple[Place, TargetScore] | Refusal:
        """Choose a target although the subset has no free capacity; grow the subset.

        The host daemon of the chosen target queues the call or refuses it. Refuses the
        call here only if all targets are excluded or the link budget is used up.
        """
        self._grow_subset(state, now)
        for place, members in state.subset_by_place.items():
            candidates = _without_excluded(members, exclude)
            if candidates and self._link_allows(place):
                return place, self._choose_cheaper_of_two(
                    candidates, state.median_latency, now
                )
        # The subset has no target that may be used. Falls back to all usable targets,
        # to ejected ones only if there is no other.
        remaining = [
            (place, score)
            for place, score in state.ranked_scores
            if score.view.target_id not in exclude
        ]
        allowed = [item for item in remaining if self._link_allows(item[0])]
        if allowed:
            return min(allowed, key=lambda item: (item[1].is_ejected(now), item[0]))
        if not remaining:
            return _no_target("every ready target of the service was tried")
        return Refusal(
            reason=RefusalReason.LINK_BUDGET,
            executed=Executed.NO,
            detail="only targets in other regions are left; the link budget is used up",
            retry_after=min(60.0, self._link.seconds_until_available()),
        )

    def _choose_cheaper_of_two(
        self, candidates: Sequence[TargetScore], median_latency: float, now: float
    ) -> TargetScore:
        """Return the cheaper of two random candidates."""
        candidate_count = len(candidates)
        if candidate_count == 1:
            return candidates[0]
        # Draws two different indices; random.sample would be 5 times slower.
        first = int(self._rng.random() * candidate_count)
        second = int(self._rng.random() * (candidate_count - 1))
        second += second >= first
        one, other = candidates[first], candidates[second]
        cost, other_cost = (
            one.cost(now, median_latency),
            other.cost(now, median_latency),
        )
        if (
            cost <= COST_TIE_FACTOR * other_cost
            and other_cost <= COST_TIE_FACTOR * cost
        ):
            # Prefers the target beside this daemon, which saves a network hop.
            return other if other.view.daemon_id == self._daemon else one
        return one if cost < other_cost else other

    def _explores_region(self, state: _ServiceState, place: Place) -> bool:
        """Return whether to skip the data centre for one call.

        True for a small random share of calls if the data centre has too few targets
        for a comparison and the region has others.
        """
        if place is not Place.DATA_CENTRE or Place.REGION not in state.subset_by_place:
            return False
        local_count = len(state.subset_by_place[place])
        return (
            local_count < MIN_COMPARABLE_TARGETS
            and self._rng.random() < EXPLORATION_PROBABILITY
        )

    def _link_allows(self, place: Place) -> bool:
        return (
            place is not Place.ELSEWHERE or self._link.seconds_until_available() == 0.0
        )

    def _rank_targets(
        self, service: ServiceName, targets: Sequence[TargetView]
    ) -> list[tuple[Place, TargetScore]]:
        def sort_key(view: TargetView) -> tuple[Place, bool, int]:
            rendezvous_hash = xxhash.xxh64_intdigest(
                f"{self._daemon} {service} {view.target_id}".encode()
            )
            return self.place_of(view), view.daemon_id != self._daemon, rendezvous_hash

        usable = sorted((view for view in targets if view.is_usable), key=sort_key)
        return [
            (self.place_of(view), self._score_by_target[view.target_id])
            for view in usable
        ]

    def _select_subset(self, state: _ServiceState) -> None:
        """Select the first targets of the ranking that are not ejected."""
        now = self._clock.now()
        scores = [score for _, score in state.ranked_scores]
        readmit_surplus(scores, len(scores), now)
        available = [
            item for item in state.ranked_scores if not item[1].is_ejected(now)
        ]
        state.subset_by_place = {}
        for place, score in available[: SUBSET_SIZE + state.extra_members]:
            state.subset_by_place.setdefault(place, []).append(score)

    def _review_targets(self, state: _ServiceState, now: float) -> None:
        """Update the median latency, eject outliers and shrink a grown subset."""
        state.reviewed_at = now
        scores = [score for _, score in state.ranked_scores]
        latencies = [score.latency for score in scores if score.latency is not None]
        # The lower median, so that of two targets the faster one is the reference.
        state.median_latency = median_low(latencies) if latencies else 0.0
        eject_outliers(scores, len(scores), now)
        if (
            state.extra_members
            and now - max(state.saturated_at, state.resized_at) > SUBSET_SHRINK_SECONDS
        ):
            state.extra_members -= 1
            state.resized_at = now
        self._select_subset(state)

    def _grow_subset(self, state: _ServiceState, now: float) -> None:
        """Add targets to a saturated subset, at most once per review interval."""
        state.saturated_at = now
        covers_all = SUBSET_SIZE + state.extra_members >= len(state.ranked_scores)
        if covers_all or now - state.resized_at < REVIEW_INTERVAL_SECONDS:
            return
        state.resized_at = now
        state.extra_members += SUBSET_GROWTH_STEP
        self._select_subset(state)


def _without_excluded(
    members: Sequence[TargetScore], exclude: frozenset[TargetId]
) -> Sequence[TargetScore]:
    if not exclude:
        return members
    return [score for score in members if score.view.target_id not in exclude]


def _no_target(detail: str) -> Refusal:
    return Refusal(reason=RefusalReason.NO_TARGET, executed=Executed.NO, detail=detail)
