"""Graceful shutdown of daemons and targets."""

import asyncio
import signal
import time
from typing import Any

import pytest
from pytest_bdd import parsers, scenarios, then, when

from devtools.layouts import Vm

from .fleet import Fleet, Load, Result

scenarios("shutdown.feature")

WORK_MS = 3500  # longer than the 2 s for which a stopping daemon serves callers
ANSWER_BYTES = 300_000  # too long for one frame
CALLS_PER_DAEMON = 4  # slow calls sent through each daemon
DRAIN_SECONDS = 2.0  # after this a draining target must get no new calls


async def slow_call(fleet: Fleet, vm: Vm) -> Result:
    return await fleet.lookup(vm, Work_Ms=WORK_MS, Answer_Bytes=ANSWER_BYTES)


@pytest.fixture
def stopping_vm(fleet: Fleet, context: dict[str, Any]) -> Vm:
    """The VM whose daemon or target stops; the other VMs are entry daemons."""
    vm = next(vm for vm in fleet.vms if vm.service == "outlook-svc")
    context["others"] = [other for other in fleet.vms if other is not vm]
    return vm


@when("slow calls are in flight through a daemon and on its target")
def slow_calls(fleet: Fleet, stopping_vm: Vm, context: dict[str, Any]) -> None:
    async def work() -> None:
        context["load"] = Load(fleet.lookup, context["others"], rate=40)
        entries = [stopping_vm] * CALLS_PER_DAEMON + context[
            "others"
        ] * CALLS_PER_DAEMON
        context["slow"] = [asyncio.create_task(slow_call(fleet, vm)) for vm in entries]

        async def calls_on_target() -> bool:
            page = await fleet.status(stopping_vm)
            in_flight_on_target = sum(row["in_flight"] for row in page["targets"])
            # More than this daemon received itself: some were forwarded by others.
            enough = bool(
                in_flight_on_target > page["calls_in_flight"] >= CALLS_PER_DAEMON
            )
            if not enough:
                # The target may be in slow start and receive few of the calls.
                context["slow"] += [
                    asyncio.create_task(slow_call(fleet, vm)) for vm in same_region
                ]
            return enough

        same_region = [
            vm for vm in context["others"] if vm.region == stopping_vm.region
        ]
        await fleet.wait_until(calls_on_target)

    fleet.run(work())


@when("the daemon gets SIGTERM twice")
def terminate_twice(fleet: Fleet, stopping_vm: Vm) -> None:
    async def work() -> None:
        for _ in range(2):
            fleet.processes.signal(f"daemon-{stopping_vm.name}", signal.SIGTERM)
            await asyncio.sleep(0.3)

    fleet.run(work())


@when("the daemon and its target get SIGTERM during a commit")
def stop_together(fleet: Fleet, stopping_vm: Vm) -> None:
    async def work() -> None:
        commit = asyncio.create_task(fleet.commit())
        await asyncio.sleep(0.2)
        fleet.processes.signal(f"target-{stopping_vm.name}", signal.SIGTERM)
        fleet.processes.signal(f"daemon-{stopping_vm.name}", signal.SIGTERM)
        await commit

    fleet.run(work())


@when("a target under load reports that it is draining")
def drain_target(fleet: Fleet, stopping_vm: Vm, context: dict[str, Any]) -> None:
    async def work() -> None:
        context["load"] = Load(fleet.lookup, context["others"], rate=60)
        await asyncio.sleep(1)
        context["calls_before"] = len(await fleet.target_page(stopping_vm, "_calls"))
        context["drain_started"] = time.time()
        fleet.processes.signal(f"target-{stopping_vm.name}", signal.SIGTERM)
        await asyncio.sleep(DRAIN_SECONDS - 0.2)
        # Read until the process has exited, since its record ends with it.
        while fleet.is_running(f"target-{stopping_vm.name}"):
            try:
                context["calls"] = await fleet.target_page(stopping_vm, "_calls")
            except OSError:
                break
            await asyncio.sleep(0.05)
        await asyncio.sleep(1)

    fleet.run(work())


@then(parsers.parse("no call started there after {seconds:d} s"))
def no_late_call(context: dict[str, Any], seconds: int) -> None:
    assert context["calls_before"] > 5
    starts = [start - context["drain_started"] for start, *_ in context["calls"]]
    assert [start for start in starts if start > seconds] == []


@then("all slow calls are answered in full")
def slow_answered(fleet: Fleet, context: dict[str, Any]) -> None:
    async def work() -> list[Result]:
        return await asyncio.gather(*context["slow"])

    results = fleet.run(work())
    assert [each for each in results if each.outcome != "answered"] == []


@then("the daemon exits with code 0")
def exit_code(fleet: Fleet, stopping_vm: Vm) -> None:
    exited = fleet.processes.wait_exit(f"daemon-{stopping_vm.name}")
    assert fleet.run(asyncio.wait_for(exited, 40)) == 0


@then("calls through the other daemons were served")
def others_served(fleet: Fleet, context: dict[str, Any]) -> None:
    results = fleet.run(context["load"].stop())
    assert len(results) > 50
    assert [each for each in results if each.outcome != "answered"] == []


@then(parsers.parse("every other daemon has the version in force within {limit:d} s"))
def version_elsewhere(fleet: Fleet, context: dict[str, Any], limit: int) -> None:
    reached = fleet.wait_for_version(fleet.version, context["others"])
    fleet.run(asyncio.wait_for(reached, limit))
