"""Orders around lost answers and hand-overs between daemons or targets."""

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from devtools.platform_stand_in import PlatformStore, Sidecar, route
from devtools.soak.proxy import LinkMode, LoopbackProxy
from tests.lib.sidecar_mesh import (
    HeldRequests,
    plain_sidecars,
    put_proxy_before,
    run,
    sidecar_mesh,
    status_of,
    until,
)

ORDERS = 4
# Status of a request that may have run.
UNKNOWN = 502
# Far longer than a test takes, so that no order ends by its time-out.
TIMEOUT_SECONDS = 25.0
ROUTES = {
    "orders": route(
        "one", prefix="/orders/", kind="unsafe", timeoutMs=20000, sloMs=20000
    ),
    "two": route("two"),
}


class Orders:
    """Orders that one sidecar's clients send, and the runs that targets hold."""

    def __init__(self, entry: Sidecar, held: HeldRequests) -> None:
        self._entry = entry
        self._held = held
        self._task_by_id: dict[str, asyncio.Task[int]] = {}

    def send(self, number: int) -> None:
        """Send ``number`` orders at once."""
        for each in range(len(self._task_by_id), len(self._task_by_id) + number):
            order_id = f"o-{each}"
            self._task_by_id[order_id] = asyncio.create_task(self._send(order_id))

    def copy(self) -> "Orders":
        """Send all orders once more and return the copies."""
        copies = Orders(self._entry, self._held)
        copies.send(len(self._task_by_id))
        return copies

    async def _send(self, order_id: str) -> int:
        result = await self._entry.get(
            f"/orders/{order_id}",
            attempt=order_id,
            method="POST",
            timeout=TIMEOUT_SECONDS,
            deadline=TIMEOUT_SECONDS,
        )
        return status_of(result)

    async def wait_for_runs(self, number: int) -> None:
        await until(lambda: len(self._held.runs_by_attempt_id) >= number)

    def answered(self) -> list[str]:
        """Return the orders that have an answer."""
        return [name for name, task in self._task_by_id.items() if task.done()]

    async def statuses(self) -> dict[str, int]:
        """Return the status of each order; check that it is true and none ran twice.

        A refusal, or a request that was not sent, has not run.
        """
        statuses = {name: await task for name, task in self._task_by_id.items()}
        for name, status in statuses.items():
            runs = self._held.runs_by_attempt_id[name]
            assert len(runs) <= 1, (name, runs)
            assert status in (200, 502, 503), (name, status)
            assert status != 503 or not runs, (name, runs)
            assert status != 200 or runs, name
        return statuses


@asynccontextmanager
async def order_mesh(
    directory: Path, targets: int, *, slots: int = 2 * ORDERS
) -> AsyncIterator[tuple[Sidecar, LoopbackProxy, HeldRequests, Orders]]:
    """Run sidecars with one target each, and one with the clients of their service.

    Yields the first sidecar and the link by which the others reach its daemon.
    """
    links: list[LoopbackProxy] = []
    held = HeldRequests()

    def sidecars(store: PlatformStore) -> list[Sidecar]:
        started = plain_sidecars(*["one"] * targets, "two")(store)
        for sidecar in started:
            sidecar.slots = slots
        # Its daemon has a retry budget, so that only their kind keeps orders from it.
        started[-1].first_start = True
        links.append(put_proxy_before(started[0]))
        held.serve_targets_of(*started)
        return started

    async with sidecar_mesh(directory, sidecars, routes=ROUTES, links=links) as (
        _,
        (first, *_, entry),
    ):
        yield first, links[0], held, Orders(entry, held)


def lose_connections(link: LoopbackProxy) -> None:
    """Reset all connections of ``link``; new ones work."""
    link.set_mode(LinkMode.RESET)
    link.set_mode(LinkMode.NORMAL)


async def end(sidecar: Sidecar, number: signal.Signals) -> None:
    sidecar.signal(number)
    assert sidecar.process is not None
    await asyncio.wait_for(sidecar.process.wait(), 8)


@pytest.mark.parametrize("answered", [False, True])
def test_order_survives_a_lost_connection_between_daemons(
    tmp_path: Path, answered: bool
) -> None:
    """Guards against an order that runs again because its connection was lost.

    The connection is lost while the order runs, or with its answer on the way. The
    second copy on the next connection gets the result of the first.
    """

    async def main() -> None:
        async with order_mesh(tmp_path, 1) as (_, link, held, orders):
            orders.send(ORDERS)
            await orders.wait_for_runs(ORDERS)
            if answered:
                link.set_mode(LinkMode.DROPS_TO_CLIENT)
                held.release.set()
                await asyncio.sleep(0.5)
                assert not orders.answered()
            lose_connections(link)
            await asyncio.sleep(0.2)
            held.release.set()
            assert set((await orders.statuses()).values()) == {200}

    run(main)


def test_second_copy_of_an_order_does_not_run_after_a_restart(tmp_path: Path) -> None:
    """Guards against an order that runs again, or is reported as not run.

    Its daemon was killed while the order ran, and is back when the daemon of the client
    learns that the connection was lost. Only the targets know of the order.
    """

    async def main() -> None:
        async with order_mesh(tmp_path, 2) as (first, link, held, orders):
            orders.send(2 * ORDERS)
            await orders.wait_for_runs(2 * ORDERS)
            link.set_mode(LinkMode.SILENT)
            await end(first, signal.SIGKILL)
            await first.start_daemon(tmp_path)
            await first.wait_until_ready()
            await first.send_heartbeat()
            lose_connections(link)
            await asyncio.sleep(0.3)
            held.release.set()
            runs = dict(held.runs_by_attempt_id)
            assert [first.name] in runs.values()
            for name, status in (await orders.statuses()).items():
                assert status == (UNKNOWN if runs[name] == [first.name] else 200)

    run(main)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGKILL])
def test_orders_around_the_hand_over_to_a_new_daemon(
    tmp_path: Path, number: signal.Signals
) -> None:
    """Guards against an order that both incarnations of a daemon send to a target.

    Orders come all the while. With SIGTERM those that run are answered as well.
    """

    async def main() -> None:
        async with order_mesh(tmp_path, 2) as (first, _, held, orders):
            orders.send(ORDERS)
            await orders.wait_for_runs(ORDERS)
            ending = asyncio.create_task(end(first, number))
            for _ in range(5):
                orders.send(1)
                await asyncio.sleep(0.05)
            held.release.set()
            while not ending.done():
                orders.send(1)
                await asyncio.sleep(0.05)
            await ending
            await first.start_daemon(tmp_path)
            started = asyncio.create_task(first.wait_until_ready())
            while not started.done():
                orders.send(1)
                await asyncio.sleep(0.05)
            orders.send(ORDERS)
            statuses = await orders.statuses()
            if number is signal.SIGTERM:
                assert set(statuses.values()) == {200}

    run(main)


def test_orders_around_the_hand_over_to_a_new_target(tmp_path: Path) -> None:
    """Guards against an order that a target and its successor both get.

    The target ends with orders running and queued, and another one starts at its
    address. Its daemon learns of that by lost connections and by a heartbeat.
    """

    async def main() -> None:
        async with order_mesh(tmp_path, 1, slots=ORDERS) as (first, _, held, orders):
            orders.send(2 * ORDERS)
            await orders.wait_for_runs(ORDERS)
            await asyncio.sleep(0.2)
            await first.stop_target()
            first.target_id, first.start_time_ms = "i-successor", 2
            orders.send(1)
            await first.start_target()
            await first.send_heartbeat()
            await asyncio.sleep(0.2)
            held.release.set()
            orders.send(ORDERS)
            statuses = list((await orders.statuses()).values())
            assert statuses.count(UNKNOWN) <= ORDERS
            assert statuses[-1] == 200

    run(main)


def test_copies_of_an_order_by_two_connections_run_once(tmp_path: Path) -> None:
    """Guards against an order that two targets run because its client sent it again.

    The copies come on two connections to one daemon while the first runs, and once more
    behind the answer. With four orders each target would run some.
    """

    async def main() -> None:
        async with order_mesh(tmp_path, 2) as (_, _, held, orders):
            orders.send(ORDERS)
            copies = orders.copy()
            await orders.wait_for_runs(ORDERS)
            await asyncio.sleep(0.2)
            held.release.set()
            for each in (orders, copies, orders.copy()):
                assert set((await each.statuses()).values()) == {200}

    run(main)
