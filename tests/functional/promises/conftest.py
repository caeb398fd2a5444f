"""One fleet for all scenarios; its faults are cleared before each of them."""

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
            fleet.run(fleet.start())
            yield fleet
        finally:
            fleet.run(fleet.stop())


@pytest.fixture
def fleet(running_fleet: Fleet) -> Iterator[Fleet]:
    running_fleet.run(running_fleet.clear_faults())
    yield running_fleet
    running_fleet.run(check_invariants(running_fleet))


@pytest.fixture
def context() -> dict[str, Any]:
    """Values that the steps of one scenario share."""
    return {}


async def check_invariants(fleet: Fleet) -> None:
    """Fail if a running daemon counted an invariant failure."""
    for vm in fleet.vms:
        if fleet.is_running(f"daemon-{vm.name}"):
            name = "cassiasail_invariant_failures_total"
            assert await fleet.metric(vm, name) == 0, vm.name


@given("a fleet without faults")
def fleet_without_faults(fleet: Fleet) -> None:
    """The fixture has cleared all faults."""


@given("the store is down")
def store_down(fleet: Fleet) -> None:
    fleet.run(fleet.processes.set_faults(down=True))


@then(parsers.parse("every daemon has the version in force within {limit:d} s"))
def version_in_force_everywhere(fleet: Fleet, limit: int) -> None:
    fleet.run(asyncio.wait_for(fleet.wait_for_version(fleet.version), limit))


@then("every daemon serves calls")
def all_daemons_serve(fleet: Fleet) -> None:
    """``clear_faults`` waits until every daemon has served calls."""
    fleet.run(fleet.clear_faults())
