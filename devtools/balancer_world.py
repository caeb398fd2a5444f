"""Random targets, calls and faults around one balancer, beside a simple oracle.

The oracle knows which targets may be chosen at all, that at most half of the usable
ones are ejected, and that the link budget holds on average.
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
HOME = (Region("kzn-coast"), DataCentre("kzn-1"))
PLACES = (
    HOME,
    HOME,
    (Region("kzn-coast"), DataCentre("kzn-2")),
    (Region("ec-coast"), DataCentre("ec-1")),
)
LINK_RATE = 10_000.0  # bytes per second


class BalancerWorld:
    """One daemon's balancer, its targets and the calls in flight."""

    def __init__(self, seed: int) -> None:
        self.loop = VirtualLoop()
        self.rng = Random(seed)
        self.link = LinkBudget(clock=self.loop, rate=LINK_RATE)
        region, data_centre = HOME
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
        self.seen: Counter[str] = Counter()
        self.started_at = self.loop.now()
        self.link_bytes = 0
        self.largest = 0
        self._next = 0

    def add(self, place: int, slots: int) -> None:
        """Announce a new target that is ready."""
        self._next += 1
        region, data_centre = PLACES[place % len(PLACES)]
        view = TargetView(
            target_id=TargetId(f"t{self._next}"),
            daemon_id=DaemonId(f"127.0.0.1:{7000 + self._next}"),
            region=region,
            data_centre=data_centre,
            state=EndpointState.READY,
            slots=slots,
            ready_since=self.loop.now(),
            reachable=True,
        )
        self.view_by_id[view.target_id] = view
        self._update()

    def change(self, index: int, state: EndpointState, reachable: bool) -> None:
        """Change the state of a target."""
        if not self.view_by_id:
            return
        target = list(self.view_by_id)[index % len(self.view_by_id)]
        view = self.view_by_id[target]
        self.view_by_id[target] = replace(view, state=state, reachable=reachable)
        self._update()

    def remove(self, index: int) -> None:
        """Let a target vanish, even with calls in flight."""
        if self.view_by_id:
            del self.view_by_id[list(self.view_by_id)[index % len(self.view_by_id)]]
            self._update()

    def call(self, excluded: int, size: int) -> None:
        """Choose a target, excluding some, and start a call on it."""
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
        assert chosen in usable, f"{chosen} must not be chosen"
        if chosen.region != HOME[0]:
            assert had_budget, "the link budget was used up"
            self.link_bytes += size
            self.largest = max(self.largest, size)
        self.seen["chosen"] += 1
        self.balancer.attempt_started(chosen)
        self.in_flight.append(chosen)

    def finish(
        self, index: int, outcome: AttemptOutcome, seconds: float, queued: int | None
    ) -> None:
        """End one of the calls in flight."""
        if not self.in_flight:
            return
        view = self.in_flight.pop(index % len(self.in_flight))
        report = None
        if queued is not None:
            report = LoadReport(queued=queued, in_flight=view.slots, slots=view.slots)
        self.balancer.attempt_ended(view, outcome, seconds, report)

    def advance(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.loop.run_until(self.loop.now() + seconds)

    def check(self) -> None:
        """Check what must hold at any time."""
        now = self.loop.now()
        usable = sum(view.is_usable for view in self.view_by_id.values())
        ejected = self.balancer.ejected_count(SERVICE)
        assert ejected <= usable // 2, f"{ejected} of {usable} targets ejected"
        self.seen["ejected"] += ejected
        subset = self.balancer.subset(SERVICE)
        # A target whose ejection ended is taken back at the next review only.
        least = 1 if self.seen["ejected"] else SUBSET_SIZE
        assert len(subset) >= min(least, usable), f"{len(subset)} of {usable} targets"
        places = [self.balancer.place_of(view) for view in subset]
        assert places == sorted(places), "nearest targets come first"
        # One burst, and one call that overdrew the budget.
        allowed = LINK_RATE * (now - self.started_at + 1) + self.largest
        assert self.link_bytes <= allowed, f"{self.link_bytes} bytes over the link"

    def check_all_used(self) -> None:
        """Check that without faults every target of the subset gets calls."""
        for view in self.in_flight:
            self.balancer.attempt_ended(view, AttemptOutcome.ANSWERED, 0.01, None)
        self.in_flight.clear()
        self.advance(120.0)
        used: set[TargetId] = set()
        for _ in range(20):
            # More calls at a time than near targets take before calls spill over.
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
        self.seen[refusal.reason.value] += 1
        near = [view for view in usable if view.region == HOME[0]]
        assert not near, "a target of the region was left"
        if refusal.reason is RefusalReason.NO_TARGET:
            assert not usable, "a target was left"
        else:
            assert not had_budget, "the link was free"

    def _update(self) -> None:
        self.balancer.set_targets(SERVICE, list(self.view_by_id.values()))


def random_step(world: BalancerWorld, rng: Random) -> None:
    """Take one random step."""
    draw = rng.random()
    if draw < 0.45:
        world.call(rng.choice((0, 0, 0, 1, 3, 30)), rng.choice((100, 5_000, 200_000)))
    elif draw < 0.75:
        # Every third target is bad at what it does; reports are mostly wrong.
        index = rng.randrange(1000)
        bad = bool(world.in_flight) and index % len(world.in_flight) % 3 == 0
        outcome = rng.choice(list(AttemptOutcome)) if bad else AttemptOutcome.ANSWERED
        seconds = 0.3 if bad else 0.01
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
    """Run ``steps`` random steps in rounds of 500 and return what was seen."""
    rng = Random(seed)
    total: Counter[str] = Counter()
    while steps > 0:
        world = BalancerWorld(rng.getrandbits(32))
        # Few targets, or all in another region, make the last resorts likely.
        places = rng.choice(((0,), (3,), (0, 1, 2, 3)))
        for _ in range(rng.choice((1, 4, 12, 30))):
            world.add(rng.choice(places), 9)
        for _ in range(min(steps, 500)):
            random_step(world, rng)
        steps -= 500
        if rng.random() < 0.1:
            world.check_all_used()
        total.update(world.seen)
    return total
