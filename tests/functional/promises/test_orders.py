"""Orders while daemons crash and the store loses responses or is down."""

import asyncio
from collections.abc import Sequence
from typing import Any

from pytest_bdd import parsers, scenarios, then, when

from devtools.layouts import Vm

from .fleet import WAIT_TIMEOUT_SECONDS, Fleet, Result

scenarios("orders.feature")

# Orders are sent one by one over this time, so that one kill hits orders at every
# stage.
SEND_SPREAD_SECONDS = 0.5
WORK_MS = 200
FINAL_OUTCOMES = ("answered", "outcome_unknown")
RETRY_PAUSE_SECONDS = 0.3


async def orders_then_kill(
    fleet: Fleet, entry: Vm, killed: Vm, keys: Sequence[str]
) -> None:
    async def send_one(position: int, key: str) -> None:
        await asyncio.sleep(position * SEND_SPREAD_SECONDS / len(keys))
        await fleet.order(entry, key, Work_Ms=WORK_MS)

    tasks = [asyncio.create_task(send_one(*item)) for item in enumerate(keys)]
    await asyncio.sleep(SEND_SPREAD_SECONDS)
    await fleet.kill(f"daemon-{killed.name}")
    await asyncio.gather(*tasks)


async def retry_until_final(fleet: Fleet, key: str, through: Sequence[Vm]) -> Result:
    """Retry an order until it is answered or its outcome is unknown."""
    async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
        attempt = 1
        while True:
            attempt += 1
            vm = through[attempt % len(through)]
            result = await fleet.order(vm, key, attempt=attempt, Work_Ms=WORK_MS)
            if result.outcome in FINAL_OUTCOMES:
                return result
            await asyncio.sleep(RETRY_PAUSE_SECONDS)


@when(parsers.parse("{count:d} orders are in flight and {which} is killed"))
def kill_daemon_in_flight(
    fleet: Fleet, context: dict[str, Any], count: int, which: str
) -> None:
    context["keys"] = [fleet.new_key() for _ in range(count)]
    host = next(vm for vm in fleet.vms if vm.service == "array-ctl")
    other = next(vm for vm in fleet.vms if vm.service != "array-ctl")
    entry = host if which == "a daemon that is entry and host" else other
    context["killed"] = other if which == "their entry daemon" else host
    fleet.run(orders_then_kill(fleet, entry, context["killed"], context["keys"]))


@when("each order is sent again through other daemons until its outcome is final")
def retry_orders(fleet: Fleet, context: dict[str, Any]) -> None:
    other_vms = [vm for vm in fleet.vms if vm is not context["killed"]]

    async def all_keys() -> list[Result]:
        return await asyncio.gather(
            *(retry_until_final(fleet, key, other_vms) for key in context["keys"])
        )

    context["results"] = fleet.run(all_keys())


@when(parsers.parse("{count:d} orders are sent and the store loses {losses}"))
def lose_responses(
    fleet: Fleet, context: dict[str, Any], count: int, losses: str
) -> None:
    context["keys"] = [fleet.new_key() for _ in range(count)]
    lost = 1 if losses == "a response for each" else 1000

    async def work() -> list[Result]:
        results = []
        for vm, key in zip(fleet.vms, context["keys"], strict=False):
            await fleet.processes.set_faults(lose_answers=lost)
            results.append(await fleet.order(vm, key))
        return results

    context["results"] = fleet.run(work())


@when(parsers.parse("{count:d} orders are sent through every daemon"))
def through_every_daemon(fleet: Fleet, context: dict[str, Any], count: int) -> None:
    vms = [vm for vm in fleet.vms for _ in range(count)]
    context["keys"] = [fleet.new_key() for _ in vms]

    async def work() -> list[Result]:
        calls = zip(vms, context["keys"], strict=True)
        return await asyncio.gather(*(fleet.order(vm, key) for vm, key in calls))

    context["results"] = fleet.run(work())


@when("the store is up and the orders are sent again")
def store_up(fleet: Fleet, context: dict[str, Any]) -> None:
    async def work() -> list[Result]:
        await fleet.processes.set_faults(down=False, lose_answers=0)
        return await asyncio.gather(
            *(retry_until_final(fleet, key, fleet.vms) for key in context["keys"])
        )

    context["results"] = fleet.run(work())


@then("no target ran an order twice")
def at_most_once(fleet: Fleet, context: dict[str, Any]) -> None:
    runs = fleet.run(fleet.runs_by_key())
    assert {key: runs[key] for key in context["keys"] if runs[key] > 1} == {}


@then("each answer belongs to an order that ran")
def answered_ran(fleet: Fleet, context: dict[str, Any]) -> None:
    runs = fleet.run(fleet.runs_by_key())
    results = zip(context["keys"], context["results"], strict=True)
    answered = [key for key, result in results if result.outcome == "answered"]
    assert [key for key in answered if runs[key] != 1] == []


@then("no order that was refused as not run has run")
def refused_never_ran(fleet: Fleet, context: dict[str, Any]) -> None:
    runs = fleet.run(fleet.runs_by_key())
    results = zip(context["keys"], context["results"], strict=True)
    refused = [key for key, result in results if result.executed == "no"]
    assert [key for key in refused if runs[key]] == []


@then("some orders were answered and some have an unknown outcome")
def both_outcomes(context: dict[str, Any]) -> None:
    """Guards against a kill that hits no order, or all of them at one stage."""
    assert {result.outcome for result in context["results"]} == set(FINAL_OUTCOMES)


@then("all orders are answered")
def all_answered(context: dict[str, Any]) -> None:
    assert {result.outcome for result in context["results"]} == {"answered"}


@then("an order that is sent again gets its recorded response")
def replayed(fleet: Fleet, context: dict[str, Any]) -> None:
    async def work() -> list[Result]:
        return [
            await retry_until_final(fleet, key, fleet.vms) for key in context["keys"]
        ]

    replays = fleet.run(work())
    assert [each.body for each in replays] == [each.body for each in context["results"]]
    at_most_once(fleet, context)


@then(parsers.parse('each is refused as "{reason}", executed "{executed}"'))
def each_refused(context: dict[str, Any], reason: str, executed: str) -> None:
    found = {(result.outcome, result.executed) for result in context["results"]}
    assert found == {(reason, executed)}


@then("lookups are served")
def lookups_served(fleet: Fleet) -> None:
    async def work() -> set[str]:
        return {(await fleet.lookup(vm)).outcome for vm in fleet.vms}

    assert fleet.run(work()) == {"answered"}
