"""Daemons and targets that leave in an orderly way."""

import asyncio
import signal
import time
from typing import Any

import pytest
from pytest_bdd import parsers, scenarios, then, when

from devtools.layouts import Vm

from .fleet import Fleet, Load, Result

scenarios("shutdown.feature")

WORK_MS = 3500  # longer than the 2 s for which a leaving daemon serves callers
ANSWER_BYTES = 300_000  # not sent in one frame
EACH_WAY = 4  # calls through each daemon
LEAVE_TIME = 2.0  # seconds until a leaving target gets no new work, as promised


async def slow_call(fleet: Fleet, vm: Vm) -> Result:
    return await fleet.lookup(vm, Work_Ms=WORK_MS, Answer_Bytes=ANSWER_BYTES)


@pytest.fixture
def leaving(fleet: Fleet, seen: dict[str, Any]) -> Vm:
    """The VM whose daemon or target leaves; others are callers' entry daemons."""
    vm = next(vm for vm in fleet.vms if vm.service == "outlook-svc")
    seen["others"] = [other for other in fleet.vms if other is not vm]
    return vm


@when("slow calls are in flight through a daemon and on its target")
def slow_calls(fleet: Fleet, leaving: Vm, seen: dict[str, Any]) -> None:
    async def work() -> None:
        seen["load"] = Load(fleet.lookup, seen["others"], rate=40)
        entries = [leaving] * EACH_WAY + seen["others"] * EACH_WAY
        seen["slow"] = [asyncio.create_task(slow_call(fleet, vm)) for vm in entries]

        async def on_its_target() -> bool:
            page = await fleet.status(leaving)
            hosted = sum(row["in_flight"] for row in page["targets"])
            # More than the calls that entered there: some came from other daemons.
            enough = bool(hosted > page["calls_in_flight"] >= EACH_WAY)
            if not enough:
                # Its target may be in slow start and get few of the calls.
                seen["slow"] += [
                    asyncio.create_task(slow_call(fleet, vm)) for vm in near
                ]
            return enough

        near = [vm for vm in seen["others"] if vm.region == leaving.region]
        await fleet.wait(on_its_target)

    fleet.run(work())


@when("the daemon gets SIGTERM, and once more")
def terminate_twice(fleet: Fleet, leaving: Vm) -> None:
    async def work() -> None:
        for _ in range(2):
            fleet.processes.signal(f"daemon-{leaving.name}", signal.SIGTERM)
            await asyncio.sleep(0.3)

    fleet.run(work())


@when("the daemon and its target get SIGTERM during a commit")
def leave_together(fleet: Fleet, leaving: Vm) -> None:
    async def work() -> None:
        commit = asyncio.create_task(fleet.commit())
        await asyncio.sleep(0.2)
        fleet.processes.signal(f"target-{leaving.name}", signal.SIGTERM)
        fleet.processes.signal(f"daemon-{leaving.name}", signal.SIGTERM)
        await commit

    fleet.run(work())


@when("a target says under load that it drains")
def drain_target(fleet: Fleet, leaving: Vm, seen: dict[str, Any]) -> None:
    async def work() -> None:
        seen["load"] = Load(fleet.lookup, seen["others"], rate=60)
        await asyncio.sleep(1)
        seen["calls_before"] = len(await fleet.target(leaving, "_calls"))
        seen["left_at"] = time.time()
        fleet.processes.signal(f"target-{leaving.name}", signal.SIGTERM)
        await asyncio.sleep(LEAVE_TIME - 0.2)
        # Read until the process is gone, since it takes its record with it.
        while fleet.alive(f"target-{leaving.name}"):
            try:
                seen["calls"] = await fleet.target(leaving, "_calls")
            except OSError:
                break
            await asyncio.sleep(0.05)
        await asyncio.sleep(1)

    fleet.run(work())


@then(parsers.parse("no call started there after {seconds:d} s"))
def no_late_call(seen: dict[str, Any], seconds: int) -> None:
    assert seen["calls_before"] > 5
    starts = [start - seen["left_at"] for start, *_ in seen["calls"]]
    assert [start for start in starts if start > seconds] == []


@then("all slow calls are answered whole")
def slow_answered(fleet: Fleet, seen: dict[str, Any]) -> None:
    async def work() -> list[Result]:
        return await asyncio.gather(*seen["slow"])

    results = fleet.run(work())
    assert [each for each in results if each.outcome != "answered"] == []


@then("the daemon exits with code 0")
def exit_code(fleet: Fleet, leaving: Vm) -> None:
    exited = fleet.processes.wait_exit(f"daemon-{leaving.name}")
    assert fleet.run(asyncio.wait_for(exited, 40)) == 0


@then("calls through the other daemons went on")
def others_went_on(fleet: Fleet, seen: dict[str, Any]) -> None:
    results = fleet.run(seen["load"].stop())
    assert len(results) > 50
    assert [each for each in results if each.outcome != "answered"] == []


@then(parsers.parse("every other daemon has the version in force within {limit:d} s"))
def version_elsewhere(fleet: Fleet, seen: dict[str, Any], limit: int) -> None:
    reached = fleet.wait_version(fleet.version, seen["others"])
    fleet.run(asyncio.wait_for(reached, limit))
