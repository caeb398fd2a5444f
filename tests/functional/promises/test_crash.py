"""A request that crashes each target that executes it."""

import asyncio
from typing import Any

from pytest_bdd import parsers, scenarios, then, when

from devtools.layouts import Vm

from .fleet import Fleet, Load, Result

scenarios("crash.feature")


async def restart_and_count(fleet: Fleet, crashes: list[str]) -> None:
    """Restart each crashed target and record it, as an operator's supervisor does."""
    while True:
        for vm in fleet.vms:
            if not fleet.is_running(f"target-{vm.name}"):
                crashes.append(vm.name)
                await fleet.processes.start_target(vm)
        await asyncio.sleep(0.1)


async def send_crashing_request(fleet: Fleet, vm: Vm, key: str) -> Result:
    path = "/outlook-svc/outlooks/poison"
    return await fleet.send(vm, "GET", path, headers={"Crash": key})


@when(
    parsers.parse(
        "a request that crashes its target is sent every second for {time:d} s"
    )
)
def send_repeatedly(fleet: Fleet, context: dict[str, Any], time: int) -> None:
    context["crashes"], context["result_by_key"] = [], {}

    async def work() -> None:
        supervisor = asyncio.create_task(restart_and_count(fleet, context["crashes"]))
        load = Load(fleet.lookup, fleet.vms, rate=20)
        for position in range(time):
            vm = fleet.vms[position % len(fleet.vms)]
            key = fleet.new_key()
            result = await send_crashing_request(fleet, vm, key)
            context["result_by_key"][key] = result
            await asyncio.sleep(1)
        context["others"] = await load.stop()
        supervisor.cancel()

    fleet.run(work())


@then(parsers.parse("targets crashed at least once and at most {most:d} times"))
def crash_count(fleet: Fleet, context: dict[str, Any], most: int) -> None:
    crashes = fleet.targets_crashed_by_key()
    by_request = sum(crashes[key] for key in context["result_by_key"])
    assert 1 <= by_request <= most, (crashes, context["result_by_key"])
    # A target that ended for another reason counts as well.
    assert len(context["crashes"]) <= most, context["crashes"]


@then(
    parsers.parse('the request is finally refused as "{reason}", executed "{executed}"')
)
def refused_last(context: dict[str, Any], reason: str, executed: str) -> None:
    *_, last = context["result_by_key"].values()
    assert (last.outcome, last.executed) == (reason, executed)


@then("no attempt that crashed a target was refused as not run")
def none_refused_as_not_run(fleet: Fleet, context: dict[str, Any]) -> None:
    crashes = fleet.targets_crashed_by_key()
    crashing = [
        result for key, result in context["result_by_key"].items() if crashes[key]
    ]
    assert crashing
    assert [each for each in crashing if each.executed != "unknown"] == []


@then("other requests of the same customer were served")
def others_served(context: dict[str, Any]) -> None:
    outcomes = [result.outcome for result in context["others"]]
    # Calls on a target at its crash may fail; the others run on other targets.
    failed = [each for each in outcomes if each != "answered"]
    assert len(outcomes) > 100
    assert len(failed) <= len(outcomes) / 20, failed
