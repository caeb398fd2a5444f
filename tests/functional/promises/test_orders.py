"""Orders under loss of daemons and of the store."""

import asyncio
from collections.abc import Sequence
from typing import Any

from pytest_bdd import parsers, scenarios, then, when

from devtools.layouts import Vm

from .fleet import LIMIT, Fleet, Result

scenarios("orders.feature")

# One after the other in this time, so that one kill meets every stage of an order.
SPREAD = 0.5  # seconds
WORK_MS = 200
TOLD = ("answered", "outcome_unknown")
RESEND_PAUSE = 0.3  # seconds


async def orders_then_kill(
    fleet: Fleet, entry: Vm, killed: Vm, keys: Sequence[str]
) -> None:
    async def one(place: int, key: str) -> None:
        await asyncio.sleep(place * SPREAD / len(keys))
        await fleet.order(entry, key, Work_Ms=WORK_MS)

    sent = [asyncio.create_task(one(*item)) for item in enumerate(keys)]
    await asyncio.sleep(SPREAD)
    await fleet.kill(f"daemon-{killed.name}")
    await asyncio.gather(*sent)


async def resend(fleet: Fleet, key: str, through: Sequence[Vm]) -> Result:
    """Send an order again until it is answered or its outcome is unknown."""
    async with asyncio.timeout(LIMIT):
        attempt = 1
        while True:
            attempt += 1
            vm = through[attempt % len(through)]
            result = await fleet.order(vm, key, attempt=attempt, Work_Ms=WORK_MS)
            if result.outcome in TOLD:
                return result
            await asyncio.sleep(RESEND_PAUSE)


@when(parsers.parse("{count:d} orders are under way and {which} is killed"))
def kill_on_the_way(fleet: Fleet, seen: dict[str, Any], count: int, which: str) -> None:
    seen["keys"] = [fleet.new_key() for _ in range(count)]
    host = next(vm for vm in fleet.vms if vm.service == "array-ctl")
    other = next(vm for vm in fleet.vms if vm.service != "array-ctl")
    entry = host if which == "a daemon that is entry and host" else other
    seen["killed"] = other if which == "their entry daemon" else host
    fleet.run(orders_then_kill(fleet, entry, seen["killed"], seen["keys"]))


@when("each order is sent again through other daemons until its fate is told")
def send_again(fleet: Fleet, seen: dict[str, Any]) -> None:
    others = [vm for vm in fleet.vms if vm is not seen["killed"]]

    async def all_keys() -> list[Result]:
        return await asyncio.gather(
            *(resend(fleet, key, others) for key in seen["keys"])
        )

    seen["results"] = fleet.run(all_keys())


@when(parsers.parse("{count:d} orders are sent and the store loses {losses}"))
def lose_answers(fleet: Fleet, seen: dict[str, Any], count: int, losses: str) -> None:
    seen["keys"] = [fleet.new_key() for _ in range(count)]
    lost = 1 if losses == "an answer for each" else 1000

    async def work() -> list[Result]:
        results = []
        for vm, key in zip(fleet.vms, seen["keys"], strict=False):
            await fleet.processes.faults(lose_answers=lost)
            results.append(await fleet.order(vm, key))
        return results

    seen["results"] = fleet.run(work())


@when(parsers.parse("{count:d} orders are sent through every daemon"))
def through_every_daemon(fleet: Fleet, seen: dict[str, Any], count: int) -> None:
    vms = [vm for vm in fleet.vms for _ in range(count)]
    seen["keys"] = [fleet.new_key() for _ in vms]

    async def work() -> list[Result]:
        calls = zip(vms, seen["keys"], strict=True)
        return await asyncio.gather(*(fleet.order(vm, key) for vm, key in calls))

    seen["results"] = fleet.run(work())


@when("the store is up and the orders are sent again")
def store_up(fleet: Fleet, seen: dict[str, Any]) -> None:
    async def work() -> list[Result]:
        await fleet.processes.faults(down=False, lose_answers=0)
        return await asyncio.gather(
            *(resend(fleet, key, fleet.vms) for key in seen["keys"])
        )

    seen["results"] = fleet.run(work())


@then("no target ran an order twice")
def at_most_once(fleet: Fleet, seen: dict[str, Any]) -> None:
    runs = fleet.run(fleet.runs_by_key())
    assert {key: runs[key] for key in seen["keys"] if runs[key] > 1} == {}


@then("each answer belongs to an order that ran")
def answered_ran(fleet: Fleet, seen: dict[str, Any]) -> None:
    runs = fleet.run(fleet.runs_by_key())
    results = zip(seen["keys"], seen["results"], strict=True)
    answered = [key for key, result in results if result.outcome == "answered"]
    assert [key for key in answered if runs[key] != 1] == []


@then("no order that was refused as not run has run")
def refused_never_ran(fleet: Fleet, seen: dict[str, Any]) -> None:
    runs = fleet.run(fleet.runs_by_key())
    results = zip(seen["keys"], seen["results"], strict=True)
    refused = [key for key, result in results if result.executed == "no"]
    assert [key for key in refused if runs[key]] == []


@then("some orders were answered and some have an unknown outcome")
def both_outcomes(seen: dict[str, Any]) -> None:
    """Guards against a kill that met no order, or all of them at one stage."""
    assert {result.outcome for result in seen["results"]} == set(TOLD)


@then("all orders are answered")
def all_answered(seen: dict[str, Any]) -> None:
    assert {result.outcome for result in seen["results"]} == {"answered"}


@then("an order that is sent again gets its recorded answer")
def replayed(fleet: Fleet, seen: dict[str, Any]) -> None:
    async def work() -> list[Result]:
        return [await resend(fleet, key, fleet.vms) for key in seen["keys"]]

    again = fleet.run(work())
    assert [each.body for each in again] == [each.body for each in seen["results"]]
    at_most_once(fleet, seen)


@then(parsers.parse('each is refused as "{reason}", executed "{executed}"'))
def each_refused(seen: dict[str, Any], reason: str, executed: str) -> None:
    found = {(result.outcome, result.executed) for result in seen["results"]}
    assert found == {(reason, executed)}


@then("lookups go on")
def lookups(fleet: Fleet) -> None:
    async def work() -> set[str]:
        return {(await fleet.lookup(vm)).outcome for vm in fleet.vms}

    assert fleet.run(work()) == {"answered"}
