"""One fleet for all scenarios; every scenario starts and ends with it at rest."""

import asyncio
from collections.abc import Iterator
from typing import Any

import pytest
from pytest_bdd import given, parsers, then

from .fleet import Fleet


@pytest.fixture(scope="session")
def running_fleet() -> Iterator[Fleet]:
    with asyncio.Runner() as runner:
        fleet = Fleet(runner)
        try:
            fleet.run(fleet.open())
            yield fleet
        finally:
            fleet.run(fleet.close())


@pytest.fixture
def fleet(running_fleet: Fleet) -> Iterator[Fleet]:
    running_fleet.run(running_fleet.rest())
    yield running_fleet
    running_fleet.run(check_invariants(running_fleet))


@pytest.fixture
def seen() -> dict[str, Any]:
    """What the steps of one scenario hand to each other."""
    return {}


async def check_invariants(fleet: Fleet) -> None:
    """Fail if a living daemon counted a broken invariant."""
    for vm in fleet.vms:
        if fleet.alive(f"daemon-{vm.name}"):
            name = "cassiasail_invariant_failures_total"
            assert await fleet.metric(vm, name) == 0, vm.name


@given("a fleet at rest")
def fleet_at_rest(fleet: Fleet) -> None:
    """The fixture has brought the fleet to rest."""


@given("the store is down")
def store_down(fleet: Fleet) -> None:
    fleet.run(fleet.processes.faults(down=True))


@then(parsers.parse("every daemon has the version in force within {limit:d} s"))
def version_everywhere(fleet: Fleet, limit: int) -> None:
    fleet.run(asyncio.wait_for(fleet.wait_version(fleet.version), limit))


@then("every daemon answers calls")
def all_answer(fleet: Fleet) -> None:
    fleet.run(fleet.rest())
