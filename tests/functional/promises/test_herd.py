"""Restart of all daemons with and without the store, and of one without it."""

import asyncio

from pytest_bdd import parsers, scenarios, then, when

from .fleet import Fleet

scenarios("herd.feature")


@when("all daemons are killed and restarted")
def restart_all(fleet: Fleet) -> None:
    async def work() -> None:
        await asyncio.gather(*(fleet.kill(f"daemon-{vm.name}") for vm in fleet.vms))
        await fleet.restart_stopped_processes()

    fleet.run(work())


@when("one daemon is killed and restarted")
def restart_one(fleet: Fleet) -> None:
    async def work() -> None:
        await fleet.kill(f"daemon-{fleet.vms[0].name}")
        await fleet.restart_stopped_processes()

    fleet.run(work())


@when("the store is up")
def store_up(fleet: Fleet) -> None:
    fleet.run(fleet.processes.set_faults(down=False))


@then(parsers.parse('every daemon refuses calls as "{reason}", executed "{executed}"'))
def all_refuse(fleet: Fleet, reason: str, executed: str) -> None:
    async def joined() -> bool:
        pages = [await fleet.status(vm) for vm in fleet.vms]
        return all(page["members"]["alive"] == len(fleet.vms) for page in pages)

    async def work() -> None:
        # Wait until the daemons have joined: one that is still alone refuses too.
        await fleet.wait_until(joined)
        for vm in fleet.vms:
            for result in (await fleet.lookup(vm), await fleet.order(vm)):
                assert (result.outcome, result.executed) == (reason, executed)

    fleet.run(work())


@then("no daemon reports that it is ready")
def not_ready(fleet: Fleet) -> None:
    async def work() -> None:
        for vm in fleet.vms:
            async with fleet.http.get(f"http://{vm.admin}/readyz") as response:
                assert response.status == 503

    fleet.run(work())


@then("the restarted daemon answers lookups")
def restarted_serves(fleet: Fleet) -> None:
    async def lookup_served() -> bool:
        return (await fleet.lookup(fleet.vms[0])).outcome == "answered"

    fleet.run(fleet.wait_until(lookup_served))


@then("the status of the relays shows the store as unreachable")
def store_shown_unreachable(fleet: Fleet) -> None:
    async def shown() -> bool:
        pages = [await fleet.status(vm) for vm in fleet.vms]
        return any(page["store"]["reachable"] is False for page in pages)

    fleet.run(fleet.wait_until(shown))
