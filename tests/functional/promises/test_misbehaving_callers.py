"""Callers that keep to no limit, against a real ``cassiasaild`` with few descriptors.

Each test checks that the daemon lives, that its memory stays under a bound, that its
log has no tracebacks, and that an ordinary call is answered while the crowd is there
and afterwards.
"""

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import aiohttp

from devtools.layouts import STORE_PORT, Layout, Vm
from devtools.processes import LayoutProcesses
from devtools.quickstart import run_cli_checked
from devtools.reservations import reserve_net
from tests.lib.sidecar_mesh import process_memory_kb
from tests.lib.uncontrolled import QUIET_SECONDS, send

from .fleet import CUSTOMERS, PLANS

# The ordinary caller has an allowance of its own.
ORDINARY = "[customer ordinary]\nplan = desk\n"
MAX_DESCRIPTORS = 256
UNFINISHED_BODIES, BODY_BYTES = 100, 900_000
# Growth of memory by all bodies together; a single daemon process takes 50 MB.
MAX_GROWTH_KB = 64 << 10
IDLE_CALLERS = 400
CHUNKING_CALLERS, CHUNKS_AT_ONCE = 60, 20_000
# The daemon limits its own descriptors before its start, as an operator would.
LIMITED_DAEMON = (
    "-c",
    "import resource\n"
    f"limit = ({MAX_DESCRIPTORS}, {MAX_DESCRIPTORS})\n"
    "resource.setrlimit(resource.RLIMIT_NOFILE, limit)\n"
    "from cassiasail._internal.daemon import main\n"
    "main()\n",
)


class Daemon:
    """One daemon with its target, and callers of it."""

    def __init__(self, *, vm: Vm, processes: LayoutProcesses) -> None:
        self._vm = vm
        self._name = f"daemon-{vm.name}"
        self._processes = processes

    def memory_kb(self) -> int:
        """Return the highest resident memory so far in kilobytes."""
        return process_memory_kb(self._processes.pid(self._name), "VmHWM")

    async def connect(self, address: str | None = None) -> socket.socket:
        """Return a connection of a caller, by default to the listener for callers."""
        host, _, port = (address or self._vm.http).partition(":")
        caller = socket.socket()
        caller.setblocking(False)
        await asyncio.get_running_loop().sock_connect(caller, (host, int(port)))
        return caller

    @property
    def addresses(self) -> tuple[str, ...]:
        """The addresses of all listeners."""
        return (self._vm.http, self._vm.admin, self._vm.peer)

    async def ordinary_status(self) -> int:
        """Return the status of an ordinary call on a new connection, 0 without one."""
        url = f"http://{self._vm.http}/outlook-svc/outlooks/ordinary"
        headers = {"Cassiasail-Customer": "ordinary"}
        timeout = aiohttp.ClientTimeout(total=5)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(url, headers=headers) as response,
            ):
                await response.read()
                return response.status
        except (aiohttp.ClientError, TimeoutError):
            return 0

    async def wait_until_serving(self) -> None:
        """Wait until the daemon answers ordinary calls."""
        async with asyncio.timeout(40):
            while await self.ordinary_status() != 200:
                await asyncio.sleep(0.1)

    def log(self) -> str:
        """Return what the daemon has printed."""
        return self._processes.log(self._name)


@asynccontextmanager
async def running_daemon() -> AsyncIterator[Daemon]:
    """Run a daemon; afterwards it lives and serves a call, and its log is clean."""
    net = reserve_net()
    vm = Vm(
        name="kzn-1-1",
        region="kzn-coast",
        data_centre="kzn-1",
        ip=f"127.{net}.1.1",
        service="outlook-svc",
        slots=20,
    )
    layout = Layout(
        name="one",
        vms=(vm,),
        store=f"127.{net}.0.1:{STORE_PORT}",
        store_region="kzn-coast",
        region_delay_ms=0.0,
        region_mbit=0.0,
    )
    processes = LayoutProcesses(layout=layout)
    processes.set_daemon_command(LIMITED_DAEMON)
    daemon = Daemon(vm=vm, processes=processes)
    try:
        await processes.start()
        directory = processes.directory / "lists"
        directory.mkdir()
        (directory / "plans.ini").write_text(PLANS)
        (directory / "customers.ini").write_text(CUSTOMERS + ORDINARY)
        await run_cli_checked(layout, "apply", str(directory), "--expect=0")
        await daemon.wait_until_serving()
        yield daemon
        assert processes.is_running(f"daemon-{vm.name}")
        assert await daemon.ordinary_status() == 200
        assert "Traceback" not in daemon.log()
    finally:
        await processes.stop()


def head(*more: str) -> bytes:
    lines = (
        "POST /outlook-svc/outlooks/x HTTP/1.1",
        "Host: h",
        "Cassiasail-Customer: desk",
        *more,
        "\r\n",
    )
    return "\r\n".join(lines).encode()


def run(main: Callable[[Daemon], Awaitable[None]]) -> None:
    async def run_with_daemon() -> None:
        async with running_daemon() as daemon:
            await main(daemon)

    asyncio.run(run_with_daemon())


def test_bodies_that_never_end() -> None:
    """Guards against memory for bodies that many callers do not finish."""

    async def main(daemon: Daemon) -> None:
        before = daemon.memory_kb()
        callers = [await daemon.connect() for _ in range(UNFINISHED_BODIES)]
        data = head(f"Content-Length: {BODY_BYTES + 1}") + bytes(BODY_BYTES)
        await asyncio.gather(*(send(caller, data) for caller in callers))
        await asyncio.sleep(QUIET_SECONDS)
        assert daemon.memory_kb() - before < MAX_GROWTH_KB
        assert await daemon.ordinary_status() == 200
        for caller in callers:
            caller.close()

    run(main)


def test_connections_without_a_call() -> None:
    """Guards against idle connections to any listener that keep callers out."""

    async def main(daemon: Daemon) -> None:
        for address in daemon.addresses:
            callers = [await daemon.connect(address) for _ in range(IDLE_CALLERS)]
            await asyncio.sleep(QUIET_SECONDS)
            for _ in range(3):
                assert await daemon.ordinary_status() == 200
            for caller in callers:
                caller.close()

    run(main)


def test_heads_that_never_go_on() -> None:
    """Guards against unfinished heads that keep new callers out."""

    async def main(daemon: Daemon) -> None:
        callers = []
        for _ in range(IDLE_CALLERS):
            callers.append(await daemon.connect())
            await send(callers[-1], b"P")
        for _ in range(3):
            assert await daemon.ordinary_status() == 200
        for caller in callers:
            caller.close()

    run(main)


def test_bodies_in_chunks_of_one_byte() -> None:
    """Guards against bodies whose parsing keeps the daemon from other callers."""

    async def send_chunks(caller: socket.socket) -> None:
        data = b"1\r\nx\r\n" * CHUNKS_AT_ONCE + b"0\r\n\r\n"
        while await send(caller, head("Transfer-Encoding: chunked") + data):
            pass

    async def main(daemon: Daemon) -> None:
        callers = [await daemon.connect() for _ in range(CHUNKING_CALLERS)]
        senders = [asyncio.create_task(send_chunks(caller)) for caller in callers]
        await asyncio.sleep(QUIET_SECONDS)
        for _ in range(5):
            assert await daemon.ordinary_status() == 200
        for sender in senders:
            sender.cancel()
        await asyncio.wait(senders)
        for caller in callers:
            caller.close()

    run(main)
