"""Callers that disconnect before their response."""

import asyncio
from typing import Any

from pytest_bdd import parsers, scenarios, then, when

from .fleet import Fleet

scenarios("callers.feature")

WORK_MS = 4500  # below the deadline of the route


async def cancelled_call_count(fleet: Fleet) -> int:
    """Return the number of calls that the targets have cancelled so far."""
    return sum([(await fleet.target_page(vm))["cancelled"] for vm in fleet.vms])


async def running_call_count(fleet: Fleet) -> int:
    """Return the number of calls that are running on targets."""
    return sum([(await fleet.target_page(vm))["in_flight"] for vm in fleet.vms])


@when(
    parsers.parse(
        "a caller cancels {count:d} calls through a daemon {place} their target"
    )
)
def cancel_calls(fleet: Fleet, context: dict[str, Any], count: int, place: str) -> None:
    entry = next(
        vm for vm in fleet.vms if (vm.service == "outlook-svc") == (place == "beside")
    )

    async def work() -> None:
        context["before"] = await cancelled_call_count(fleet)
        calls = [
            asyncio.create_task(fleet.lookup(entry, Work_Ms=WORK_MS))
            for _ in range(count)
        ]

        async def all_run() -> bool:
            return await running_call_count(fleet) == count

        await fleet.wait_until(all_run)
        for call in calls:
            call.cancel()

    fleet.run(work())


@then(
    parsers.parse("{count:d} calls are cancelled at targets before their work is done")
)
def cancelled_at_targets(fleet: Fleet, context: dict[str, Any], count: int) -> None:
    async def no_call_running() -> bool:
        return await running_call_count(fleet) == 0

    fleet.run(fleet.wait_until(no_call_running))
    # The targets count only calls cancelled while they ran, not calls that finished
    # or reached their deadline.
    assert fleet.run(cancelled_call_count(fleet)) - context["before"] == count


@then("no daemon has a call in flight")
def no_call_in_flight(fleet: Fleet) -> None:
    async def all_idle() -> bool:
        pages = [await fleet.status(vm) for vm in fleet.vms]
        return all(page["calls_in_flight"] == 0 for page in pages)

    fleet.run(fleet.wait_until(all_idle))
