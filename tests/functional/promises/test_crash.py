"""Loss of targets by one request."""

import asyncio
from typing import Any

from pytest_bdd import parsers, scenarios, then, when

from devtools.layouts import Vm

from .fleet import Fleet, Load, Result

scenarios("crash.feature")


async def restart_and_count(fleet: Fleet, deaths: list[str]) -> None:
    """Restart each target that has died, as an operator's supervisor does."""
    while True:
        for vm in fleet.vms:
            if not fleet.alive(f"target-{vm.name}"):
                deaths.append(vm.name)
                await fleet.processes.start_target(vm)
        await asyncio.sleep(0.1)


async def crash(fleet: Fleet, vm: Vm) -> Result:
    path = "/outlook-svc/outlooks/poison"
    return await fleet.send(vm, "GET", path, headers={"Crash": 1})


@when(
    parsers.parse(
        "a request that crashes its target is sent every second for {time:d} s"
    )
)
def send_poison(fleet: Fleet, seen: dict[str, Any], time: int) -> None:
    seen["deaths"], seen["poison"] = [], []

    async def work() -> None:
        supervisor = asyncio.create_task(restart_and_count(fleet, seen["deaths"]))
        load = Load(fleet.lookup, fleet.vms, rate=20)
        for place in range(time):
            vm = fleet.vms[place % len(fleet.vms)]
            before = len(seen["deaths"])
            result = await crash(fleet, vm)
            await asyncio.sleep(1)
            seen["poison"].append((result, len(seen["deaths"]) - before))
        seen["others"] = await load.stop()
        supervisor.cancel()

    fleet.run(work())


@then(parsers.parse("targets died at least once and at most {most:d} times"))
def few_deaths(seen: dict[str, Any], most: int) -> None:
    assert 1 <= len(seen["deaths"]) <= most, (seen["deaths"], seen["poison"])


@then(
    parsers.parse(
        'the request is refused in the end as "{reason}", executed "{executed}"'
    )
)
def refused_last(seen: dict[str, Any], reason: str, executed: str) -> None:
    last, _ = seen["poison"][-1]
    assert (last.outcome, last.executed) == (reason, executed)


@then("no sending that killed a target was refused as not run")
def truthful(seen: dict[str, Any]) -> None:
    killers = [result for result, deaths in seen["poison"] if deaths]
    assert killers
    assert [each for each in killers if each.executed != "unknown"] == []


@then("other requests of the same customer went on")
def others_went_on(seen: dict[str, Any]) -> None:
    outcomes = [result.outcome for result in seen["others"]]
    # Calls that ran on a target at its death may fail; the others go elsewhere.
    failed = [each for each in outcomes if each != "answered"]
    assert len(outcomes) > 100
    assert len(failed) <= len(outcomes) / 20, failed
