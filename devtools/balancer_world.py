"""Simulation of one balancer with random targets, calls and faults, and its oracle.

The oracle checks that only usable targets are chosen, that at most half of them are
ejected, and that calls to other regions stay within the link budget on average.
"""

from collections import Counter
from dataclasses import replace
from random import Random

from cassiasail._internal.coordination.balancer import (
    SUBSET_SIZE,
    Balancer,
    LinkBudget,
)
from cassiasail._internal.ids import (
    DaemonId,
    DataCentre,
    Region,
    ServiceName,
    TargetId,
)
from cassiasail._internal.state.members import EndpointState
from cassiasail._internal.state.refusals import Refusal, RefusalReason
from cassiasail._internal.state.targets import (
    AttemptOutcome,
    LoadReport,
    TargetView,
)
from devtools.virtualtime import VirtualLoop

SERVICE = ServiceName("outlook-svc")
LOCAL_PLACE = (Region("kzn-coast"), DataCentre("kzn-1"))
PLACES = (
    LOCAL_PLACE,
    LOCAL_PLACE,
    (Region("kzn-coast"), DataCentre("kzn-2")),
    (Region("ec-coast"), DataCentre("ec-1")),
)
LINK_RATE = 10_000.0  # bytes per second, between regions


class BalancerWorld:
    """One daemon's balancer, its targets and the calls in flight."""

    def __init__(self, seed: int) -> None:
        self.loop = VirtualLoop()
        self.rng = Random(seed)
        self.link = LinkBudget(clock=self.loop, rate=LINK_RATE)
        region, data_centre = LOCAL_PLACE
        self.balancer = Balancer(
            daemon=DaemonId("127.0.0.1:7000"),
            region=region,
            data_centre=data_centre,
            clock=self.loop,
            rng=self.rng,
            link=self.link,
        )
        self.view_by_id: dict[TargetId, TargetView] = {}
        self.in_flight: list[TargetView] = []
        self.outcome_counts: Counter[str] = Counter()
        self.started_at = self.loop.now()
        self.link_bytes = 0
        self.largest_call_bytes = 0
        self._last_number = 0

    def add(self, place: int, slots: int) -> None:
        """Add a ready target with ``slots`` slots at ``PLACES[place]``."""
        self._last_number += 1
        region, data_centre = PLACES[place % len(PLACES)]
        view = TargetView(
            target_id=TargetId(f"t{self._last_number}"),
            daemon_id=DaemonId(f"127.0.0.1:{7000 + self._last_number}"),
            region=region,
            data_centre=data_centre,
            state=EndpointState.READY,
            slots=slots,
            ready_since=self.loop.now(),
            reachable=True,
        )
        self.view_by_id[view.target_id] = view
        self._publish_targets()

    def change(self, index: int, state: EndpointState, reachable: bool) -> None:
        """Change the state and the reachability of a target."""
        if not self.view_by_id:
            return
        target = list(self.view_by_id)[index % len(self.view_by_id)]
        view = self.view_by_id[target]
        self.view_by_id[target] = replace(view, state=state, reachable=reachable)
        self._publish_targets()

    def remove(self, index: int) -> None:
        """Remove a target, even if it has calls in flight."""
        if self.view_by_id:
            del self.view_by_id[list(self.view_by_id)[index % len(self.view_by_id)]]
            self._publish_targets()

    def call(self, excluded: int, size: int) -> None:
        """Choose a target for a call and start the call if one was chosen.

        ``excluded`` targets, drawn at random, are excluded. ``size`` is the expected
        size of the call in bytes.
        """
        ids = list(self.view_by_id)
        exclude = frozenset(self.rng.sample(ids, min(excluded, len(ids))))
        had_budget = self.link.seconds_until_available() == 0.0
        chosen = self.balancer.choose(SERVICE, exclude=exclude, expected_bytes=size)
        usable = [
            view
            for view in self.view_by_id.values()
            if view.is_usable and view.target_id not in exclude
        ]
        if isinstance(chosen, Refusal):
            self._check_refusal(chosen, usable, had_budget)
            return
        assert chosen in usable, f"{chosen} is excluded or not usable"
        if chosen.region != LOCAL_PLACE[0]:
            assert had_budget, "chose another region with the link budget used up"
            self.link_bytes += size
            self.largest_call_bytes = max(self.largest_call_bytes, size)
        self.outcome_counts["chosen"] += 1
        self.balancer.attempt_started(chosen)
        self.in_flight.append(chosen)

    def finish(
        self, index: int, outcome: AttemptOutcome, seconds: float, queued: int | None
    ) -> None:
        """End a call in flight, with a load report if ``queued`` is given."""
        if not self.in_flight:
            return
        view = self.in_flight.pop(index % len(self.in_flight))
        report = None
        if queued is not None:
            report = LoadReport(queued=queued, in_flight=view.slots, slots=view.slots)
        self.balancer.attempt_ended(view, outcome, seconds, report)

    def advance(self, seconds: float) -> None:
        """Advance virtual time by ``seconds``."""
        self.loop.run_until(self.loop.now() + seconds)

    def check(self) -> None:
        """Check the invariants of the subset, the ejections and the link budget."""
        now = self.loop.now()
        usable = sum(view.is_usable for view in self.view_by_id.values())
        ejected = self.balancer.ejected_count(SERVICE)
        assert ejected <= usable // 2, f"{ejected} of {usable} targets ejected"
        self.outcome_counts["ejected"] += ejected
        subset = self.balancer.subset(SERVICE)
        # A target whose ejection ended rejoins the subset at the next review only.
        min_subset = 1 if self.outcome_counts["ejected"] else SUBSET_SIZE
        assert len(subset) >= min(min_subset, usable), (
            f"{len(subset)} of {usable} targets"
        )
        places = [self.balancer.place_of(view) for view in subset]
        assert places == sorted(places), "subset is not sorted by distance"
        # One second of burst, and one call that exceeds the rest of the budget.
        max_bytes = LINK_RATE * (now - self.started_at + 1) + self.largest_call_bytes
        assert self.link_bytes <= max_bytes, (
            f"{self.link_bytes} bytes sent to other regions"
        )

    def check_all_used(self) -> None:
        """Check that without faults every usable target gets calls."""
        for view in self.in_flight:
            self.balancer.attempt_ended(view, AttemptOutcome.ANSWERED, 0.01, None)
        self.in_flight.clear()
        self.advance(120.0)
        used: set[TargetId] = set()
        for _ in range(20):
            # Three calls per slot at a time are more than the near targets get before
            # calls spill over to farther ones.
            slots = sum(view.slots for view in self.view_by_id.values())
            for _ in range(3 * slots):
                self.call(0, 1)
            used.update(view.target_id for view in self.in_flight)
            while self.in_flight:
                self.finish(-1, AttemptOutcome.ANSWERED, 0.01, None)
            self.advance(1.0)
        usable = {view.target_id for view in self.view_by_id.values() if view.is_usable}
        assert used == usable, f"never used: {usable - used}"

    def _check_refusal(
        self, refusal: Refusal, usable: list[TargetView], had_budget: bool
    ) -> None:
        self.outcome_counts[refusal.reason.value] += 1
        local = [view for view in usable if view.region == LOCAL_PLACE[0]]
        assert not local, "refused although a target of the region was usable"
        if refusal.reason is RefusalReason.NO_TARGET:
            assert not usable, "refused although a target was usable"
        else:
            assert not had_budget, "refused although the link had budget"

    def _publish_targets(self) -> None:
        self.balancer.set_targets(SERVICE, list(self.view_by_id.values()))


def random_step(world: BalancerWorld, rng: Random) -> None:
    """Do one random step and check the invariants."""
    draw = rng.random()
    if draw < 0.45:
        world.call(rng.choice((0, 0, 0, 1, 3, 30)), rng.choice((100, 5_000, 200_000)))
    elif draw < 0.75:
        # Every third call is slow and may end with any outcome; load reports are
        # random.
        index = rng.randrange(1000)
        is_faulty = bool(world.in_flight) and index % len(world.in_flight) % 3 == 0
        outcome = (
            rng.choice(list(AttemptOutcome)) if is_faulty else AttemptOutcome.ANSWERED
        )
        seconds = 0.3 if is_faulty else 0.01
        world.finish(index, outcome, seconds, rng.choice((None, 0, 5, 100)))
    elif draw < 0.85:
        world.advance(rng.choice((0.01, 0.3, 1.0, 20.0)))
    elif draw < 0.90 and len(world.view_by_id) < 40:
        world.add(rng.randrange(4), rng.choice((1, 9, 18)))
    elif draw < 0.97:
        state = rng.choice((EndpointState.READY, EndpointState.READY, *EndpointState))
        world.change(rng.randrange(1000), state, rng.random() < 0.8)
    elif len(world.view_by_id) > 3:
        world.remove(rng.randrange(1000))
    world.check()


def run_balancer(seed: int, steps: int) -> Counter[str]:
    """Run ``steps`` random steps in rounds of 500; return the counts of outcomes."""
    rng = Random(seed)
    total: Counter[str] = Counter()
    while steps > 0:
        world = BalancerWorld(rng.getrandbits(32))
        # With few targets, or all of them in another region, the balancer often has
        # to use ejected or remote ones.
        places = rng.choice(((0,), (3,), (0, 1, 2, 3)))
        for _ in range(rng.choice((1, 4, 12, 30))):
            world.add(rng.choice(places), 9)
        for _ in range(min(steps, 500)):
            random_step(world, rng)
        steps -= 500
        if rng.random() < 0.1:
            world.check_all_used()
        total.update(world.outcome_counts)
    return total
