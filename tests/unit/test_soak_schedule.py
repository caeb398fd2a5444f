"""The faults that a soak draws from its seed."""

import random

import pytest

from devtools.soak.faults import FAULTS
from devtools.soak.hostile_clients import BEHAVIOURS, CONNECTIONS, draw_groups
from devtools.soak.schedule import MAX_OVERLAPPING, draw_schedule

SEEDS = range(1, 30)


def lines(seed: int, seconds: float = 20.0) -> list[str]:
    return [str(fault) for fault in draw_schedule(seed, seconds=seconds, vms=5)]


def test_seed_gives_the_same_faults_whatever_else_draws() -> None:
    """Guards against a failed seed whose faults cannot be run again.

    The faults were drawn one by one, from what was free at that time of the run.
    """
    before = lines(7)
    random.random()
    assert lines(7) == before
    assert lines(8) != before
    # A longer soak begins with the same faults.
    assert lines(7, 30.0)[: len(before)] == before


@pytest.mark.parametrize("seed", SEEDS)
def test_faults_at_one_time_are_few_and_on_different_vms(seed: int) -> None:
    """Guards against faults that undo each other, and against a fleet without VMs."""
    schedule = draw_schedule(seed, seconds=30.0, vms=5)
    for fault in schedule:
        running = [
            other
            for other in schedule
            if other.start <= fault.start < other.planned_end
        ]
        busy = [vm for other in running for vm in other.vms]
        assert len(running) <= MAX_OVERLAPPING
        assert len(set(busy)) == len(busy)


def test_seeds_together_draw_every_kind() -> None:
    """Guards against a kind of fault that no soak ever tries."""
    names = {line.split()[1] for seed in SEEDS for line in lines(seed)}
    assert names == {kind.name for kind in FAULTS}


def test_hostile_clients_are_drawn_from_the_seed_alone() -> None:
    """Guards against a failed seed whose hostile clients cannot be run again."""
    before = [str(each) for each in draw_groups(7, seconds=20.0, vms=5)]
    random.random()
    assert [str(each) for each in draw_groups(7, seconds=20.0, vms=5)] == before
    groups = [
        group for seed in SEEDS for group in draw_groups(seed, seconds=20.0, vms=5)
    ]
    assert {group.behaviour for group in groups} == set(BEHAVIOURS)
    assert {group.connections for group in groups} == set(CONNECTIONS)
