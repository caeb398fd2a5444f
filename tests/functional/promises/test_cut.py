"""A cut between the regions while a customer exceeds its allowance."""

import asyncio
import time
from functools import partial
from typing import Any

from pytest_bdd import scenarios, then, when

from devtools.quickstart import over_allowance

from .fleet import DATA_CENTRES, Fleet, Load

scenarios("cut.feature")

CUT_SECONDS = 13.0  # members across the cut count as unreachable after 10 s
# Allowance of the plan "small" in fleet.PLANS.
RATE, BURST, IN_FLIGHT = 16, 16, 40
OFFERED_RATE = 40  # calls/s on each side


@when("a customer exceeds its allowance on both sides of a cut")
def send_on_both_sides(fleet: Fleet, context: dict[str, Any]) -> None:
    async def work() -> None:
        send = partial(fleet.lookup, customer="small")
        await fleet.set_region_cut(True)
        context["cut_at"] = time.time()
        context["load_by_region"] = {
            region: Load(
                send, [vm for vm in fleet.vms if vm.region == region], OFFERED_RATE
            )
            for _, region in DATA_CENTRES
        }
        await asyncio.sleep(CUT_SECONDS / 2)

    fleet.run(work())


@when("a version is committed during the cut")
def commit_during_cut(fleet: Fleet, context: dict[str, Any]) -> None:
    async def work() -> None:
        # The command line runs in the region of the store.
        await fleet.commit()
        await asyncio.sleep(max(0.0, context["cut_at"] + CUT_SECONDS - time.time()))
        context["results_by_region"] = {
            region: await load.stop()
            for region, load in context["load_by_region"].items()
        }

    fleet.run(work())


@then("both sides have answered calls during the cut")
def both_answered(fleet: Fleet, context: dict[str, Any]) -> None:
    for region, results in context["results_by_region"].items():
        outcomes = [result.outcome for result in results]
        assert "lost" not in outcomes, region
        assert outcomes.count("answered") >= RATE * CUT_SECONDS / 8, region

    async def other_side_not_alive() -> None:
        for vm in fleet.vms:
            members = (await fleet.status(vm))["members"]
            not_alive = members["unreachable"] + members["dead"]
            assert not_alive == len(fleet.vms) / len(DATA_CENTRES), (vm.name, members)

    fleet.run(other_side_not_alive())


@then("both sides together have not exceeded the allowance")
def within_allowance(fleet: Fleet, context: dict[str, Any]) -> None:
    async def call_times() -> list[tuple[float, float]]:
        return [
            (start, end)
            for vm in fleet.vms
            for start, end, customer, _ in await fleet.target_page(vm, "_calls")
            if customer == "small"
        ]

    calls = fleet.run(call_times())
    results = [each for part in context["results_by_region"].values() for each in part]
    answered = [each for each in results if each.outcome == "answered"]
    assert len(calls) >= len(answered) > 0
    exceeded = over_allowance(
        calls,
        rate=RATE,
        burst=BURST,
        in_flight=IN_FLIGHT,
        slack=max(each.seconds for each in answered),
    )
    assert exceeded == 0


@then("the side with the store has the version in force")
def side_with_store(fleet: Fleet) -> None:
    region = fleet.layout.store_region
    side = [vm for vm in fleet.vms if vm.region == region]
    fleet.run(fleet.wait_for_version(fleet.version, side))


@when("the cut is healed")
def heal(fleet: Fleet) -> None:
    fleet.run(fleet.set_region_cut(False))
