"""Callers that go away before their answer."""

import asyncio
from typing import Any

from pytest_bdd import parsers, scenarios, then, when

from .fleet import Fleet

scenarios("callers.feature")

WORK_MS = 4500  # below the deadline of the route


async def cancelled(fleet: Fleet) -> int:
    """Return the calls that the targets have cancelled so far."""
    return sum([(await fleet.target(vm))["cancelled"] for vm in fleet.vms])


async def running(fleet: Fleet) -> int:
    """Return the calls that run on targets now."""
    return sum([(await fleet.target(vm))["in_flight"] for vm in fleet.vms])


@when(
    parsers.parse(
        "a caller gives up {count:d} calls through a daemon {place} their target"
    )
)
def give_up(fleet: Fleet, seen: dict[str, Any], count: int, place: str) -> None:
    entry = next(
        vm for vm in fleet.vms if (vm.service == "outlook-svc") == (place == "beside")
    )

    async def work() -> None:
        seen["before"] = await cancelled(fleet)
        calls = [
            asyncio.create_task(fleet.lookup(entry, Work_Ms=WORK_MS))
            for _ in range(count)
        ]

        async def all_run() -> bool:
            return await running(fleet) == count

        await fleet.wait(all_run)
        for call in calls:
            call.cancel()

    fleet.run(work())


@then(
    parsers.parse("{count:d} calls are cancelled at targets before their work is done")
)
def cancelled_at_targets(fleet: Fleet, seen: dict[str, Any], count: int) -> None:
    async def none_runs() -> bool:
        return await running(fleet) == 0

    fleet.run(fleet.wait(none_runs))
    # A call that ended by itself or at its deadline is not one that was cancelled
    # for its caller; the targets count only cancellations within the work.
    assert fleet.run(cancelled(fleet)) - seen["before"] == count


@then("no daemon holds a call any more")
def none_held(fleet: Fleet) -> None:
    async def none_held() -> bool:
        pages = [await fleet.status(vm) for vm in fleet.vms]
        return all(page["calls_in_flight"] == 0 for page in pages)

    fleet.run(fleet.wait(none_held))
