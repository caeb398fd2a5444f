"""A small deployment: daemons as processes, with stand-ins for the platform.

Store, workers and clients run in this process, on loopback addresses and the real
clock. They do what the users' pages say; a case changes the behaviour of one of them
for a while. Only the standard library is used.
"""

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

REPOSITORY = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
SERVICE_HOST = "case.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Bounds of the users' site files.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "revertSlackMs": 250,
    "maxStretchMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 62,
    "recoverS": 15,
}
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 1 << 20,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


# Bound and never listened on, so that no other program gets their ports meanwhile.
_reservations: list[socket.socket] = []


def free_port() -> int:
    """Return a port of the loopback address that is reserved for this run."""
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((HOST, 0))
    _reservations.append(reservation)
    return int(reservation.getsockname()[1])


class Journal:
    """Writes what was sent, answered and run to ``record.txt`` of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        seconds = time.monotonic() - self._started_at
        line = f"{seconds:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)


@dataclass
class Message:
    """A request or an answer; ``first`` is its first line."""

    first: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        return int(self.first.split(" ")[1])

    @property
    def method(self) -> str:
        return self.first.split(" ")[0]

    @property
    def target(self) -> str:
        return self.first.split(" ")[1]

    @property
    def attempt_id(self) -> str:
        return self.headers.get("x-cassiasail-attempt-id", "")


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message; IncompleteReadError if the connection ends before it does."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(first, headers, body)


def encode(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def exchange(
    address: tuple[str, int], request: bytes, *, timeout: float
) -> Message | str:
    """Send ``request`` on a new connection; return the answer or what went wrong."""
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(request)
                return await read_message(reader)
            finally:
                writer.close()
    except TimeoutError:
        return "no answer"
    except (OSError, asyncio.IncompleteReadError) as error:
        return f"connection ended: {type(error).__name__}"


class Server:
    """An HTTP/1.1 server with one request at a time on each connection.

    ``serve`` returns the bytes of the answer, or None to reset the connection.
    """

    def __init__(
        self, port: int, serve: Callable[[Message], Awaitable[bytes | None]]
    ) -> None:
        self.address = (HOST, port)
        self.serve = serve
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._connected, *self.address)

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                answering = asyncio.ensure_future(self.serve(request))
                answer = await answering
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass  # The other side closed the connection.
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class Store:
    """The platform's metadata store: tables of rows, with conditions and a feed.

    ``mode`` is "sound", "busy" (503 for every call) or "silent" (no answer).
    """

    def __init__(self, journal: Journal) -> None:
        self.mode = "sound"
        self.rows: dict[tuple[str, str], dict[str, Any]] = {}
        self.version = 0
        self._journal = journal
        self._changed = asyncio.Event()
        self._started_at = time.monotonic()
        self.server = Server(free_port(), self._serve)

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row as the operator does; the return is the acknowledgement."""
        self.version += 1
        self.rows[table, key] = {
            "table": table,
            "part": "",
            "key": key,
            "value": base64.b64encode(value).decode(),
            "ver": self.version,
        }
        self._wake()
        return self.version

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, request: Message) -> bytes | None:
        if self.mode == "silent":
            await asyncio.Event().wait()
        if self.mode == "busy":
            return encode("HTTP/1.1 503 Service Unavailable", {})
        await asyncio.sleep(0.004)
        path, _, query_text = request.target.partition("?")
        query = dict(part.partition("=")[::2] for part in query_text.split("&") if part)
        if path == "/v1/rows-tx":
            return self._transact(json.loads(request.body))
        if path == "/v1/rows-get":
            return self._answer(rows=self._table(query["table"], 0), hasMore=False)
        if path == "/v1/rows-feed":
            return await self._feed(query)
        return encode("HTTP/1.1 404 Not Found", {})

    def _table(self, table: str, after: int) -> list[dict[str, Any]]:
        rows = [
            row
            for (name, _), row in self.rows.items()
            if name == table and row["ver"] > after
        ]
        # The feed has the rows in order of their versions, a table in that of keys.
        return sorted(rows, key=lambda row: row["ver"] if after else row["key"])

    async def _feed(self, query: dict[str, str]) -> bytes:
        deadline = time.monotonic() + int(query["watchWaitMs"]) / 1000
        while True:
            changed = self._changed
            rows = self._table(query["table"], max(1, int(query["after"])))
            remaining = deadline - time.monotonic()
            if rows or remaining <= 0:
                return self._answer(rows=rows)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining):
                    await changed.wait()

    def _transact(self, body: dict[str, Any]) -> bytes:
        wanted = body.get("precondition", [])
        current = [self.rows.get((each["table"], each["key"])) for each in wanted]
        if any(
            (row["ver"] if row else 0) != each["ver"]
            for row, each in zip(current, wanted, strict=True)
        ):
            rows = [row for row in current if row]
            return self._answer("412 Precondition Failed", rows=rows)
        writes, removals = body.get("writes", []), body.get("remove", [])
        if writes or removals:
            self.version += 1
        for write in writes:
            row = {**write, "part": "", "ver": self.version}
            self.rows[write["table"], write["key"]] = row
        for row in removals:
            gone = {**row, "part": "", "ver": self.version, "deleted": True}
            self.rows[row["table"], row["key"]] = gone
        self._wake()
        return self._answer()

    def _answer(self, status: str = "200 OK", **fields: Any) -> bytes:
        now_ms = int((time.monotonic() - self._started_at) * 1000)
        document = {**fields, "ver": self.version, "nowMs": now_ms}
        headers = {"content-type": "application/json"}
        return encode(f"HTTP/1.1 {status}", headers, json.dumps(document).encode())


@dataclass
class Run:
    """A request that a worker began to run."""

    at: float
    worker: str
    service: str
    attempt_id: str
    request: Message


@dataclass
class Vm:
    """One machine: a worker in this process and the daemon beside it as a process.

    ``work`` runs one request of the worker and returns its body.
    """

    name: str
    service: str
    deployment: "Deployment"
    state: str = "ready"
    beats: bool = True
    capacity: int = 9
    work_seconds: float = 0.02
    sequence: int = 0
    born: int = 0
    process: asyncio.subprocess.Process | None = None
    ports: dict[str, int] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    acks: list[tuple[float, str]] = field(default_factory=list)

    def __post_init__(self) -> None:
        uses = ("outbound", "inbound", "readiness", "admin", "metrics", "app")
        self.ports = {use: free_port() for use in uses}
        self.born = int(time.time() * 1000)
        self.instance_id = f"i-{self.name}"
        self.worker = Server(self.ports["app"], self.serve_request)
        self._beating: asyncio.Task[None] | None = None
        self.work: Callable[[Message], Awaitable[bytes]] = self._default_work

    def address(self, use: str) -> tuple[str, int]:
        return HOST, self.ports[use]

    # The worker.

    async def start_worker(self) -> None:
        await self.worker.start()
        self._beating = asyncio.create_task(self._beat())

    async def stop_worker(self) -> None:
        if self._beating is not None:
            self._beating.cancel()
        await self.worker.stop()

    async def serve_request(self, request: Message) -> bytes | None:
        if request.target == "/healthz":
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            headers = {"X-Cassiasail-Instance-Id": self.instance_id}
            return encode(f"HTTP/1.1 {status}", headers)
        named = request.headers.get("x-cassiasail-target-instance", self.instance_id)
        echo = {"X-Cassiasail-Attempt-Id": request.attempt_id}
        if named != self.instance_id:
            return encode("HTTP/1.1 421 Misdirected Request", echo)
        run = Run(
            time.monotonic(), self.name, self.service, request.attempt_id, request
        )
        self.runs.append(run)
        self.deployment.journal.write(
            f"run      {request.attempt_id} {request.target} by {self.name} "
            f"({self.service})"
        )
        body = await self.work(request)
        stamp = {"X-Cassiasail-Server-Stamp": f"{self.instance_id}.{len(self.runs)}"}
        return encode("HTTP/1.1 200 OK", {**echo, **stamp}, body)

    async def _default_work(self, request: Message) -> bytes:
        await asyncio.sleep(self.work_seconds)
        return f"{self.service} {request.target}".encode()

    async def _beat(self) -> None:
        while True:
            if self.beats:
                await self.send_beat()
            await asyncio.sleep(self.deployment.heartbeat_ms / 1000)

    async def send_beat(self, state: str | None = None) -> bool:
        """Send a heartbeat; return whether it was acknowledged within a second."""
        self.sequence += 1
        document = {
            "address": f"{HOST}:{self.ports['app']}",
            "born": self.born,
            "details": {
                "service": self.service,
                "version": "v1",
                "zone": "zone-a",
                "capacity": self.capacity,
            },
            "status": {
                "state": state or self.state,
                "sequence": self.sequence,
                "coldLeftMs": 0,
            },
        }
        return await self._tell_daemon("PUT", json.dumps(document).encode())

    async def send_removal(self) -> bool:
        """Tell the daemon that the worker ends; return whether it acknowledged."""
        return await self._tell_daemon(
            "DELETE", json.dumps({"born": self.born}).encode()
        )

    async def _tell_daemon(self, method: str, body: bytes) -> bool:
        headers = {"Host": "admin", "Content-Type": "application/json"}
        first = f"{method} /v1/instances/{self.instance_id} HTTP/1.1"
        answer = await exchange(
            self.address("admin"), encode(first, headers, body), timeout=1
        )
        return isinstance(answer, Message) and answer.status // 100 == 2

    # The daemon.

    def settings(self) -> str:
        listen = {use: self.ports[use] for use in self.ports if use != "app"}
        del listen["metrics"]
        addresses = "\n".join(
            f'{use} = "{HOST}:{port}"' for use, port in listen.items()
        )
        bounds = "\n".join(f"{name} = {value}" for name, value in BOUNDS.items())
        store_port = self.deployment.store_port(self)
        return f"""
[self]
node = "{self.name}"
role = "sidecar"
machineClass = "sidecar"
serving = ["sidecar"]
bindIp = "{HOST}"
zone = "zone-a"
region = "region-a"
lossCounts = false
bootstrap = false
appAddr = "{HOST}:{self.ports["app"]}"
service = "{self.service}"
[self.limits]
cpuShare = 0.86
cpuCores = 1
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[network]
seedNodes = []
[network.listenAddrs]
{addresses}
[network.zones]
zone-a = "region-a"
[platform]
discovery = "static"
entryMode = "static"
heartbeatMs = {self.deployment.heartbeat_ms}
[platform.platform]
address = "{HOST}:{store_port}"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 8.0
partWritesS = 150
rowBytes = 65536
across = false
historyS = 20
[terms]
contracts = ["base", "drain", "config", "cost", "retry", "recover", "platform"]
[terms.bounds]
{bounds}
"""

    async def start_daemon(self) -> None:
        """Start the daemon with the command of the deploy file."""
        folder = self.deployment.folder
        path = folder / f"{self.name}.toml"
        path.write_text(self.settings())
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["CASSIASAIL_BOOT"] = str(path)
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        command = ("-S", "-m", "cassiasail.sidecar", "--metrics-port")
        with (folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *command,
                str(self.ports["metrics"]),
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    async def end_daemon(self) -> None:
        process = self.process
        if process is not None and process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()

    async def is_ready(self) -> bool:
        request = encode("GET /v1/ready HTTP/1.1", {"Host": "ready"})
        answer = await exchange(self.address("readiness"), request, timeout=1)
        return isinstance(answer, Message) and answer.status == 200

    async def known_workers(self) -> int:
        """Return how many ready workers the daemon knows."""
        request = encode("GET /metrics HTTP/1.1", {"Host": "metrics"})
        answer = await exchange(self.address("metrics"), request, timeout=1)
        if not isinstance(answer, Message):
            return 0
        prefix = 'cassiasail_mesh_hosts{state="ready"} '
        for line in answer.body.decode().splitlines():
            if line.startswith(prefix):
                return int(float(line.removeprefix(prefix)))
        return 0

    # A client on this machine.

    async def request(
        self,
        path: str,
        attempt_id: str,
        *,
        method: str = "GET",
        deadline_ms: int = 1500,
        body: bytes = b"",
    ) -> Message | str:
        """Send a request as a client of this machine; note it and its answer."""
        headers = {
            "Host": SERVICE_HOST,
            "X-Cassiasail-Attempt-Id": attempt_id,
            "X-Cassiasail-Deadline-Ms": str(deadline_ms),
        }
        journal = self.deployment.journal
        journal.write(f"sent     {attempt_id} {method} {path} at {self.name}")
        answer = await exchange(
            self.address("outbound"),
            encode(f"{method} {path} HTTP/1.1", headers, body),
            timeout=deadline_ms / 1000 + 0.6,
        )
        if isinstance(answer, Message):
            text = f"{answer.status} {answer.body[:60].decode('latin-1')}"
        else:
            text = answer
        journal.write(f"answered {attempt_id} {text}")
        return answer


class Deployment:
    """The store and some machines; ``folder`` holds settings and logs."""

    def __init__(self, journal: Journal, folder: Path) -> None:
        self.journal = journal
        self.folder = folder
        self.heartbeat_ms = 1500
        self.store = Store(journal)
        self.vms: list[Vm] = []
        self.store_ports: dict[str, int] = {}

    def store_port(self, vm: Vm) -> int:
        """Return the port at which ``vm`` reaches the store."""
        return self.store_ports.get(vm.name, self.store.server.address[1])

    def add(self, name: str, service: str) -> Vm:
        vm = Vm(name=name, service=service, deployment=self)
        self.vms.append(vm)
        return vm

    def configure(self, version: int, routes: dict[str, dict[str, Any]]) -> None:
        """Write a configuration; the store acknowledges it before the return."""
        services = sorted({vm.service for vm in self.vms})
        document = {
            "version": f"{version:08x}",
            "routes": routes,
            "services": {
                name: {"healthCheck": "/healthz", "maxConnections": 110}
                for name in services
            },
            "limits": LIMITS,
        }
        self.store.put("op", "config", json.dumps(document).encode())
        self.journal.write(f"config   version {version} acknowledged")

    async def start(self) -> None:
        """Start all machines and wait until each daemon knows each worker."""
        await self.store.server.start()
        for vm in self.vms:
            await vm.start_worker()
        await asyncio.gather(*(vm.start_daemon() for vm in self.vms))
        await self.wait_until_known()

    async def wait_until_known(self, seconds: float = 20) -> None:
        deadline = time.monotonic() + seconds
        for vm in self.vms:
            while not (
                await vm.is_ready() and await vm.known_workers() >= len(self.vms)
            ):
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{vm.name} is not ready")
                await asyncio.sleep(0.05)
        self.journal.write("all daemons are ready")

    async def stop(self) -> None:
        await asyncio.gather(*(vm.end_daemon() for vm in self.vms))
        for vm in self.vms:
            await vm.stop_worker()
        await self.store.server.stop()


def route(service: str, prefix: str, **more: Any) -> dict[str, Any]:
    """Return a route in the format of the configuration."""
    entry = {
        "hostname": SERVICE_HOST,
        "prefix": prefix,
        "kind": "safe",
        "timeoutMs": 1500,
        "sloMs": 600,
        "priority": 1,
        "maxAttempts": 2,
    }
    if service:
        entry["service"] = service
    return {**entry, **more}


@contextlib.asynccontextmanager
async def deployment_for(case: Path) -> AsyncIterator[Deployment]:
    """Yield a deployment that is stopped at the end; its record is in ``case``."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Journal(case), Path(folder))
        try:
            yield deployment
        finally:
            await deployment.stop()


def run_case(main: Callable[[bool], Awaitable[int]]) -> None:
    """Run ``main`` with whether the disruption is on; exit with what it returns."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def limited() -> int:
        try:
            async with asyncio.timeout(110):
                return await main(trouble)
        except Exception as error:
            print(f"the case could not run: {type(error).__name__}: {error}")
            return NOT_RUN

    sys.exit(asyncio.run(limited()))
