"""Machines that lose power and then stand still, with orders on their targets."""

import asyncio
import signal
from collections import defaultdict
from pathlib import Path

from aiohttp import web

from cassiasail._internal.protocol.exchanges import ExchangeFailed
from cassiasail._internal.protocol.http1 import HttpResponse
from devtools.platform_stand_in import PlatformStore, RequestHandler, Sidecar, route
from devtools.soak.proxy import LinkMode, LoopbackProxy
from tests.lib.sidecar_mesh import (
    plain_sidecars,
    put_proxy_before,
    run,
    sidecar_mesh,
    status_of,
    until,
)

ORDERS = 8
WORK_SECONDS = 0.4
# From the loss of power to the resets by which the entry daemon notices it.
RESET_SECONDS = 1.0
STAND_STILL_SECONDS = 3.5
TIMEOUT_SECONDS = 12.0
ROUTES = {
    "orders": route("one", prefix="/orders/", kind="unsafe", timeoutMs=10000),
    "two": route("two"),
}


class CountedOrders:
    """A handler of targets that has the targets which ran each order."""

    def __init__(self) -> None:
        self.runs_by_attempt_id: defaultdict[str, list[str]] = defaultdict(list)

    def handler_for(self, sidecar: Sidecar) -> RequestHandler:
        async def handle(request: web.Request) -> web.StreamResponse:
            attempt_id = request.headers["X-Cassiasail-Attempt-Id"]
            self.runs_by_attempt_id[attempt_id].append(sidecar.name)
            await asyncio.sleep(WORK_SECONDS)
            return sidecar.platform_response(request, f"filed {attempt_id}")

        return handle


async def lose_power_and_stand_still(
    sidecar: Sidecar, link: LoopbackProxy, directory: Path
) -> None:
    """Kill the daemon without a sign to others, start it again and suspend it."""
    loop = asyncio.get_running_loop()
    lost_at = loop.time()
    link.set_mode(LinkMode.SILENT)
    assert sidecar.process is not None
    sidecar.signal(signal.SIGKILL)
    await sidecar.process.wait()
    await sidecar.start_daemon(directory)
    await sidecar.wait_until_ready()
    sidecar.signal(signal.SIGSTOP)
    await asyncio.sleep(max(0.0, lost_at + RESET_SECONDS - loop.time()))
    link.set_mode(LinkMode.RESET)
    await asyncio.sleep(0)
    link.set_mode(LinkMode.NORMAL)
    await asyncio.sleep(STAND_STILL_SECONDS)
    sidecar.signal(signal.SIGCONT)


def test_order_is_not_run_again_by_a_daemon_that_lost_power_and_stood_still(
    tmp_path: Path,
) -> None:
    """Guards against orders that run twice, or are refused though they have run.

    The second copies of the orders wait in the socket of the daemon that stands still.
    When it reads them it has been up for longer than they are old.
    """
    links: list[LoopbackProxy] = []

    def sidecars(store: PlatformStore) -> list[Sidecar]:
        started = plain_sidecars("one", "one", "two")(store)
        links.extend(put_proxy_before(each) for each in started)
        return started

    async def main() -> None:
        orders = CountedOrders()
        async with sidecar_mesh(tmp_path, sidecars, routes=ROUTES, links=links) as (
            _,
            vms,
        ):
            for vm in vms:
                vm.handle_request = orders.handler_for(vm)
            entry = vms[2]

            async def order(number: int) -> HttpResponse | ExchangeFailed:
                return await entry.get(
                    "/orders/certificate",
                    attempt=f"order-{number}",
                    method="POST",
                    timeout=TIMEOUT_SECONDS,
                    deadline=TIMEOUT_SECONDS,
                )

            # Opens the connections between the daemons.
            assert status_of(await order(0)) == 200
            sent = {
                f"order-{number}": asyncio.create_task(order(number))
                for number in range(1, ORDERS + 1)
            }
            await until(lambda: len(orders.runs_by_attempt_id) > ORDERS // 2)
            lost = [orders.runs_by_attempt_id[each] for each in sent][0]
            await until(lambda: bool(lost))
            index = [vm.name for vm in vms].index(lost[0])
            await lose_power_and_stand_still(vms[index], links[index], tmp_path)
            statuses = {each: status_of(await task) for each, task in sent.items()}
            runs = {each: orders.runs_by_attempt_id[each] for each in sent}
            assert all(len(each) <= 1 for each in runs.values()), (runs, statuses)
            refused = {each for each, status in statuses.items() if status == 503}
            assert not any(runs[each] for each in refused), (runs, statuses)

    run(main)
