"""Tests which targets the balancer may choose, and how it treats slow or bad ones."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiasail._internal.coordination.balancer import SUBSET_SIZE
from cassiasail._internal.ids import TargetId
from cassiasail._internal.state.members import EndpointState
from cassiasail._internal.state.targets import AttemptOutcome
from devtools.balancer_world import SERVICE, BalancerWorld, run_balancer
from devtools.bench_balancing import measure_balancing


class BalancerMachine(RuleBasedStateMachine):
    """Guards against calls to targets that are removed, draining or unreachable."""

    def __init__(self) -> None:
        super().__init__()
        self.world = BalancerWorld(seed=1)

    @rule(place=st.integers(0, 3), slots=st.sampled_from([1, 9]))
    def add(self, place: int, slots: int) -> None:
        self.world.add(place, slots)

    @rule(
        index=st.integers(0, 20),
        state=st.sampled_from(EndpointState),
        reachable=st.booleans(),
    )
    def change(self, index: int, state: EndpointState, reachable: bool) -> None:
        self.world.change(index, state, reachable)

    @rule(index=st.integers(0, 20))
    def remove(self, index: int) -> None:
        self.world.remove(index)

    @rule(excluded=st.integers(0, 3), size=st.sampled_from([100, 200_000]))
    def call(self, excluded: int, size: int) -> None:
        self.world.call(excluded, size)

    @rule(
        outcome=st.sampled_from(AttemptOutcome),
        seconds=st.sampled_from([0.001, 1.0]),
        queued=st.sampled_from([None, 0, 50]),
    )
    def finish_all(
        self, outcome: AttemptOutcome, seconds: float, queued: int | None
    ) -> None:
        while self.world.in_flight:
            self.world.finish(0, outcome, seconds, queued)

    @rule(seconds=st.sampled_from([0.1, 1.0, 30.0]))
    def advance(self, seconds: float) -> None:
        self.world.advance(seconds)

    @invariant()
    def choices_and_ejections_are_allowed(self) -> None:
        self.world.check()


BalancerMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=50, deadline=None, derandomize=True
)
TestBalancer = BalancerMachine.TestCase


def test_all_usable_targets_get_calls() -> None:
    """Guards against a target that never gets calls again after one bad measurement."""
    world = BalancerWorld(seed=2)
    for place in range(14):
        world.add(place, 9)
    world.call(0, 1)
    world.finish(0, AttemptOutcome.FAILED, 5.0, 50)
    world.check_all_used()


def test_one_new_target_moves_at_most_one_member_of_the_subset() -> None:
    """Guards against a subset that is replaced as a whole, with all connections."""
    world = BalancerWorld(seed=3)
    for _ in range(40):
        world.add(0, 9)
        before = set(world.balancer.subset(SERVICE))
        world.add(0, 9)
        after = set(world.balancer.subset(SERVICE))
        assert len(after) >= len(before)
        assert len(before - after) <= 1


def test_targets_that_are_slow_or_report_no_load_get_few_calls() -> None:
    """Guards against a choice by load reports alone.

    The ``lying`` target is slow and refuses calls, but reports that it has no load.
    """
    results = {
        name: measure_balancing(name, seconds=5.0, seed=5)
        for name in ("round_robin", "balancer")
    }
    share = results["balancer"].share_by_kind
    fair = 1 / 12
    assert share["lying"] < fair / 4
    assert share["slow"] < fair / 2
    assert results["balancer"].p99_ms < results["round_robin"].p99_ms / 2
    assert results["balancer"].refused < results["round_robin"].refused / 4


def test_at_most_half_are_ejected_when_each_target_is_slower_than_the_last() -> None:
    """Guards against ejecting targets one after the other until few are left."""
    world = BalancerWorld(seed=4)
    for _ in range(8):
        world.add(0, 9)
    targets = list(world.view_by_id)
    max_ejected = 0
    for _ in range(40):
        for _ in range(200):
            world.call(0, 1)
        while world.in_flight:
            view = world.in_flight[0]
            seconds = 0.002 * 8 ** targets.index(view.target_id)
            world.finish(0, AttemptOutcome.ANSWERED, seconds, None)
        world.advance(1.0)
        world.check()
        max_ejected = max(max_ejected, world.balancer.ejected_count(SERVICE))
    assert max_ejected == 4
    # When other targets are removed, ejected ones are readmitted.
    for _ in range(5):
        world.remove(0)
        world.check()


def test_random_run_reaches_choice_ejection_and_link_budget() -> None:
    """Guards against a simulation that no longer reaches the cases it checks."""
    counts = run_balancer(seed=1, steps=4000)
    assert all(counts[name] > 10 for name in ("chosen", "ejected", "link_budget"))


@pytest.mark.parametrize(("latency_factor", "refusal_rate"), [(3.0, 0.0), (1.0, 0.2)])
def test_target_below_ejection_limits_gets_fewer_calls(
    latency_factor: float, refusal_rate: float
) -> None:
    """Guards against a full share for a target not bad enough to be ejected."""
    world = BalancerWorld(seed=7)
    for _ in range(4):
        world.add(0, 9)
    bad = next(iter(world.view_by_id))
    calls = 0
    for _ in range(300):
        for _ in range(8):
            world.call(0, 1)
        for view in list(world.in_flight):
            calls += view.target_id == bad
            refused = view.target_id == bad and world.rng.random() < refusal_rate
            outcome = AttemptOutcome.REFUSED if refused else AttemptOutcome.ANSWERED
            seconds = 0.01 * (latency_factor if view.target_id == bad else 1.0)
            # No load report, so that only the daemon's own measurements count.
            world.finish(0, outcome, seconds, None)
        world.advance(0.1)
    assert world.balancer.ejected_count(SERVICE) == 0
    assert 0 < calls < 0.6 * 300 * 8 / 4


def test_target_that_was_slow_once_gets_calls_again() -> None:
    """Guards against a bad measurement that does not decay while no calls come."""
    world = BalancerWorld(seed=8)
    world.add(0, 9)
    world.add(0, 9)
    slow = next(iter(world.view_by_id))
    world.advance(60.0)
    later_calls = 0
    was_slow = False
    for second in range(180):
        world.call(0, 1)
        chosen = world.in_flight[0].target_id
        first_time = chosen == slow and not was_slow
        was_slow = was_slow or first_time
        later_calls += chosen == slow and second > 60
        world.finish(0, AttemptOutcome.ANSWERED, 5.0 if first_time else 0.01, None)
        world.advance(1.0)
    assert was_slow
    # It gets a call about every half minute until its average latency is normal again.
    assert later_calls >= 3


def count_calls(
    world: BalancerWorld, target: TargetId, *, rounds: int, slow: float = 0.01
) -> int:
    """Make 8 calls at a time, ten times a second; return how many ``target`` got.

    Calls to ``target`` take ``slow`` seconds, all others 0.01.
    """
    calls = 0
    for _ in range(rounds):
        for _ in range(8):
            world.call(0, 1)
        while world.in_flight:
            is_target = world.in_flight[0].target_id == target
            calls += is_target
            world.finish(0, AttemptOutcome.ANSWERED, slow if is_target else 0.01, None)
        world.advance(0.1)
    return calls


def test_new_target_gets_few_calls_at_first_and_its_share_later() -> None:
    """Guards against full load on a target that has just started."""
    world = BalancerWorld(seed=9)
    for _ in range(3):
        world.add(0, 9)
    world.advance(60.0)
    world.add(0, 9)
    new = list(world.view_by_id)[-1]
    fair = 20 * 8 / 4
    assert count_calls(world, new, rounds=20) < fair / 4
    world.advance(10.0)
    assert count_calls(world, new, rounds=20) > fair / 2


def test_single_slow_target_of_the_data_centre_loses_calls_to_the_region() -> None:
    """Guards against a slow local target that is compared with no other target."""
    world = BalancerWorld(seed=10)
    world.add(0, 9)
    local = next(iter(world.view_by_id))
    for _ in range(3):
        world.add(2, 9)
    world.advance(60.0)
    assert count_calls(world, local, rounds=10) > 70
    count_calls(world, local, rounds=600, slow=0.2)
    # Ejections last at most 60 s, so it still gets some calls.
    assert count_calls(world, local, rounds=300, slow=0.2) < 300 * 8 / 4


def test_subset_grows_under_saturation_and_shrinks_after_it() -> None:
    """Guards against a subset that stays large and keeps its connections for ever."""
    world = BalancerWorld(seed=11)
    for _ in range(20):
        world.add(0, 1)
    for _ in range(5):
        for _ in range(30):
            world.call(0, 1)
        world.advance(1.0)
    assert len(world.balancer.subset(SERVICE)) == 20
    while world.in_flight:
        world.finish(0, AttemptOutcome.ANSWERED, 0.01, None)
    for _ in range(300):
        world.call(0, 1)
        world.finish(0, AttemptOutcome.ANSWERED, 0.01, None)
        world.advance(1.0)
    assert len(world.balancer.subset(SERVICE)) == SUBSET_SIZE
