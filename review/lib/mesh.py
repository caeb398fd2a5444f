"""Stand-ins and processes of the review's scripts; standard library only.

A mesh is a few VMs on loopback addresses of their own. On each VM runs the program of
the deploy file beside a worker stand-in, which lives in the process of the script. One
store stand-in serves all of them. Times are in seconds unless a name says otherwise.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
INBOUND, APP, READINESS, OUTBOUND, ADMIN, STORE = 8300, 8301, 8302, 8304, 8306, 8309
METRICS = 9464
HEARTBEAT_SECONDS = 0.87
HELD, BROKEN, NOT_RUN = 0, 1, 2

Headers = dict[str, str]


class CannotRunError(Exception):
    """The case could not be set up."""


class Record:
    """The file ``record.txt`` of a case: one JSON object a line."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._start

    def write(self, event: str, **fields: Any) -> None:
        line = {"t": round(self.now(), 3), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, Headers, bytes] | None:
    """Return first line, headers (lower case) and body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")[:-2]
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return first, headers, body


def encode(first: str, headers: Headers, body: bytes) -> bytes:
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """The platform's metadata store; writes and reads of the operator included."""

    def __init__(self, host: str) -> None:
        self.host = host
        self._rows: dict[tuple[str, str, str], dict[str, Any]] = {}
        self._version = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.host, STORE)

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def put_configuration(
        self, version: int, routes: dict[str, Any], services: list[str]
    ) -> None:
        document = {
            "version": f"{version:08x}",
            "routes": routes,
            "services": {
                name: {
                    "healthCheck": "/healthz",
                    "maxConnections": 110,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in services
            },
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        self._version += 1
        self._set("op", "", "config", json.dumps(document).encode(), deleted=False)

    def _set(
        self, table: str, part: str, key: str, value: bytes, deleted: bool
    ) -> None:
        row = {"table": table, "part": part, "key": key, "ver": self._version}
        if deleted:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        self._rows[table, part, key] = row
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        while (message := await read_message(reader)) is not None:
            first, _, body = message
            _, target, _ = first.split(" ")
            path, _, query_text = target.partition("?")
            query = dict(
                part.split("=", 1) for part in query_text.split("&") if "=" in part
            )
            status, document = await self._reply(path, query, body)
            writer.write(
                encode(
                    f"HTTP/1.1 {status} X",
                    {"Content-Type": "application/json"},
                    json.dumps(document).encode(),
                )
            )
        writer.close()

    async def _reply(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        await asyncio.sleep(0.004)
        if path == "/v1/rows-tx":
            return self._transact(json.loads(body))
        table = query["table"]
        if path == "/v1/rows-get":
            rows = [
                row
                for (name, _, _), row in sorted(self._rows.items())
                if name == table and "deleted" not in row
            ]
            return 200, self._page(rows)
        if path == "/v1/rows-feed":
            after = int(query["after"])
            deadline = time.monotonic() + int(query.get("watchWaitMs", 0)) / 1000
            while True:
                rows = [
                    row
                    for (name, _, _), row in self._rows.items()
                    if name == table and row["ver"] > after
                ]
                remaining = deadline - time.monotonic()
                if rows or remaining <= 0:
                    return 200, self._page(sorted(rows, key=lambda row: row["ver"]))
                try:
                    await asyncio.wait_for(self._changed.wait(), remaining)
                except TimeoutError:
                    pass
        return 404, {}

    def _page(self, rows: list[dict[str, Any]]) -> dict[str, Any]:
        now_ms = int(time.monotonic() * 1000)
        return {"rows": rows, "hasMore": False, "ver": self._version, "nowMs": now_ms}

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        current = []
        holds = True
        for entry in body["precondition"]:
            row = self._rows.get((entry["table"], entry.get("part", ""), entry["key"]))
            exists = row is not None and "deleted" not in row
            if exists and row is not None:
                current.append(row)
            holds &= entry["ver"] == (row["ver"] if exists and row is not None else 0)
        if not holds:
            return 412, self._page(current)
        self._version += 1
        for entry in body["writes"]:
            value = base64.b64decode(entry["value"])
            self._set(entry["table"], entry.get("part", ""), entry["key"], value, False)
        for entry in body["remove"]:
            self._set(entry["table"], entry.get("part", ""), entry["key"], b"", True)
        return 200, self._page([])


@dataclass
class Request:
    """A request as a worker received it; ``closed`` is set when its caller leaves."""

    method: str
    target: str
    headers: Headers
    body: bytes
    attempt: str
    closed: asyncio.Event


Behaviour = Callable[["Worker", Request], Awaitable[tuple[int, bytes] | None]]


class Worker:
    """A worker of the platform, with its heartbeats.

    ``behaviour`` runs a request and returns status and body; None closes the connection
    without an answer. ``on_run`` is called when a request begins to run. A request is
    dropped when its connection closes.
    """

    def __init__(
        self,
        *,
        host: str,
        name: str,
        service: str,
        slots: int,
        zone: str,
        behaviour: Behaviour,
        record: Record,
    ) -> None:
        self.host, self.name, self.service = host, name, service
        self.slots, self.zone = slots, zone
        self.behaviour = behaviour
        self.record = record
        # Bytes that follow an answer late, when the next request of its connection has
        # arrived; called after each answer, empty for none.
        self.late_bytes: Callable[[], bytes] = bytes
        self.instance = ""
        self.born = 0
        self.sequence = 0
        self.running = 0
        self.crashed = False
        self._starts = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._heartbeats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start a new incarnation with a new id."""
        self._starts += 1
        self.instance = f"i-{self.name}-{self._starts}"
        self.born = int(time.time() * 1000)
        self.sequence = self.running = 0
        self.crashed = False
        self._server = await asyncio.start_server(
            self._serve, self.host, APP, limit=1 << 20
        )
        self._heartbeats = asyncio.create_task(self._send_heartbeats())
        self.record.write("worker_started", worker=self.instance, vm=self.name)

    def crash(self) -> None:
        """End at once: the port is closed and all connections are reset."""
        self.crashed = True
        if self._server is not None:
            self._server.close()
            self._server = None
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        for writer in tuple(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        late = b""
        try:
            while (message := await read_message(reader)) is not None:
                if late:
                    writer.write(late)
                if not await self._answer(message, reader, writer):
                    break
                late = self.late_bytes()
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self,
        message: tuple[str, Headers, bytes],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer one request; false if its connection ended."""
        if self.crashed:
            return False
        first, headers, body = message
        method, target, _ = first.split(" ")
        attempt = headers.get("x-cassiasail-attempt-id", "")
        own: Headers = {"X-Cassiasail-Instance-Id": self.instance}
        if target == "/healthz":
            writer.write(encode("HTTP/1.1 200 OK", own, b""))
            return True
        own["X-Cassiasail-Attempt-Id"] = attempt
        wanted = headers.get("x-cassiasail-target-instance", self.instance)
        if wanted != self.instance:
            writer.write(encode("HTTP/1.1 421 Misdirected Request", own, b""))
            return True
        if self.running >= self.slots:
            own["X-Cassiasail-Not-Run"] = "1"
            writer.write(encode("HTTP/1.1 503 Service Unavailable", own, b""))
            return True
        self.running += 1
        instance = self.instance
        self.record.write(
            "run", attempt=attempt, worker=instance, vm=self.name, path=target
        )
        closed = asyncio.Event()
        request = Request(method, target, headers, body, attempt, closed)
        running = asyncio.create_task(self.behaviour(self, request))
        watching = asyncio.create_task(_wait_for_end(reader))
        await asyncio.wait((running, watching), return_when=asyncio.FIRST_COMPLETED)
        if watching.done() and not running.done():
            closed.set()
            if method == "GET":
                running.cancel()
            await asyncio.wait((running,))
        watching.cancel()
        if instance == self.instance:
            self.running -= 1
        result = None if running.cancelled() else running.result()
        self.record.write(
            "run_ended",
            attempt=attempt,
            worker=instance,
            status=result[0] if result else 0,
            caller_left=closed.is_set(),
        )
        if result is None or closed.is_set():
            return False
        status, answer = result
        own["X-Cassiasail-Server-Stamp"] = f"stamp-{attempt}"
        own["X-Cassiasail-Server-Load"] = f"{self.running},0,{self.slots}"
        writer.write(encode(f"HTTP/1.1 {status} X", own, answer))
        return True

    async def _send_heartbeats(self) -> None:
        while True:
            self.sequence += 1
            document = {
                "address": f"{self.host}:{APP}",
                "born": self.born,
                "details": {
                    "service": self.service,
                    "version": "v1",
                    "zone": self.zone,
                    "capacity": self.slots,
                },
                "status": {
                    "state": "ready",
                    "sequence": self.sequence,
                    "coldLeftMs": 0,
                },
            }
            await call(
                (self.host, ADMIN),
                "PUT",
                f"/v1/instances/{self.instance}",
                {"Host": "admin", "Content-Type": "application/json"},
                json.dumps(document).encode(),
                timeout=1.0,
            )
            await asyncio.sleep(HEARTBEAT_SECONDS)


async def _wait_for_end(reader: asyncio.StreamReader) -> None:
    """Return once the caller has closed its side; a worker gets one request a time."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)


@dataclass
class Answer:
    """Status 0: no answer. ``connected`` is false if no connection was opened."""

    status: int = 0
    headers: Headers = field(default_factory=dict)
    body: bytes = b""
    connected: bool = False


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: Headers,
    body: bytes = b"",
    *,
    timeout: float,
) -> Answer:
    """Send one request on a connection of its own."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
            writer.write(encode(f"{method} {target} HTTP/1.1", headers, body))
            message = await read_message(reader)
    except (OSError, TimeoutError):
        return Answer(connected=writer is not None)
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return Answer(connected=True)
    first, answer_headers, answer_body = message
    return Answer(int(first.split(" ")[1]), answer_headers, answer_body, True)


class Vm:
    """One VM: the daemon as a process, and its worker."""

    def __init__(
        self,
        *,
        mesh: "Mesh",
        name: str,
        host: str,
        zone: str,
        service: str,
        slots: int,
        behaviour: Behaviour,
        inbound_host: str | None = None,
    ) -> None:
        self.mesh, self.name, self.host, self.zone = mesh, name, host, zone
        self.service = service
        # Where other daemons reach this one; a proxy may listen there.
        self.inbound_host = inbound_host or host
        self.worker = Worker(
            host=host,
            name=name,
            service=service,
            slots=slots,
            zone=zone,
            behaviour=behaviour,
            record=mesh.record,
        )
        self.process: asyncio.subprocess.Process | None = None
        # When the daemon was last started or sent a signal.
        self.disturbed_at = 0.0
        self._first_start = True

    async def start_daemon(self) -> None:
        settings = self.mesh.directory / f"{self.name}.toml"
        settings.write_text(self._settings())
        self._first_start = False
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["CASSIASAIL_BOOT"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.mesh.directory / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.mesh.command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.disturbed_at = self.mesh.record.now()
        self.mesh.record.write("daemon_started", vm=self.name)

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)
        self.disturbed_at = self.mesh.record.now()
        self.mesh.record.write("signal", vm=self.name, signal=number.name)

    async def wait_exit(self, seconds: float) -> bool:
        assert self.process is not None
        try:
            await asyncio.wait_for(self.process.wait(), seconds)
        except TimeoutError:
            return False
        return True

    async def is_ready(self) -> bool:
        answer = await call(
            (self.host, READINESS), "GET", "/v1/ready", {"Host": "p"}, timeout=1.0
        )
        return answer.status == 200

    async def ready_workers(self) -> int:
        """Return how many ready workers the daemon knows, by its own metrics."""
        answer = await call(
            (self.host, METRICS), "GET", "/metrics", {"Host": "p"}, timeout=1.0
        )
        for line in answer.body.decode().splitlines():
            if line.startswith('cassiasail_mesh_hosts{state="ready"}'):
                return int(float(line.rpartition(" ")[2]))
        return 0

    def _settings(self) -> str:
        host = self.host
        return f"""[self]
node = "{self.name}"
role = "sidecar"
machineClass = "sidecar"
serving = ["sidecar"]
bindIp = "{host}"
zone = "{self.zone}"
region = "region-1"
lossCounts = false
bootstrap = {str(self._first_start).lower()}
appAddr = "{host}:{APP}"
service = "{self.service}"
[self.limits]
cpuShare = 0.86
cpuCores = 1
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[network]
portRange = [7620, 7635]
seedNodes = []
[network.listenAddrs]
inbound = "{self.inbound_host}:{INBOUND}"
outbound = "{host}:{OUTBOUND}"
readiness = "{host}:{READINESS}"
admin = "{host}:{ADMIN}"
[network.zones]
"{self.zone}" = "region-1"
[platform]
discovery = "static"
entryMode = "static"
heartbeatMs = {int(HEARTBEAT_SECONDS * 1000)}
[platform.platform]
address = "{self.mesh.store.host}:{STORE}"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 8.0
partWritesS = 150
rowBytes = 65536
across = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
[terms]
contracts = ["base","drain","config","cost","retry","recover","platform"]
[terms.faultTolerance]
machines = 2
zones = 0
regions = 0
[terms.bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
revertSlackMs = 250
maxStretchMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 58
recoverS = 15
"""


class Mesh:
    """The store and the VMs of one case."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = _free_net()
        self.store = Store(f"{self.net}.200")
        self.vms: list[Vm] = []
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command: list[str] = deploy["roles"]["sidecar"]["run"].split()
        if not (ROOT / "target" / "deps" / "cassiasail").is_dir():
            raise CannotRunError("build the deploy file first: target/deps is missing")

    def add_vm(self, name: str, **more: Any) -> Vm:
        host = f"{self.net}.{len(self.vms) + 1}"
        vm = Vm(mesh=self, name=name, host=host, **more)
        self.vms.append(vm)
        return vm

    async def start(self) -> None:
        """Start everything and wait until each daemon knows each worker."""
        await self.store.start()
        for vm in self.vms:
            await vm.worker.start()
            await vm.start_daemon()
        await self.wait_until_known(30.0)

    async def wait_until_known(self, seconds: float) -> None:
        deadline = time.monotonic() + seconds
        for vm in self.vms:
            while not (
                await vm.is_ready() and await vm.ready_workers() == len(self.vms)
            ):
                if time.monotonic() > deadline:
                    raise CannotRunError(f"{vm.name} did not get ready")
                await asyncio.sleep(0.1)

    def all_in_touch(self, contact_seconds: float = 3.0) -> bool:
        """Return whether no daemon was started or sent a signal in that time."""
        now = self.record.now()
        return all(now - vm.disturbed_at > contact_seconds for vm in self.vms)

    async def stop(self) -> None:
        for vm in self.vms:
            vm.worker.crash()
            if vm.process is not None and vm.process.returncode is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
                await vm.process.wait()
        self.store.stop()
        # Lets the connections end before the loop does.
        await asyncio.sleep(0.1)


def _free_net() -> str:
    """Return three octets of a loopback network on which the ports are free."""
    for _ in range(200):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        if all(_is_free(f"{net}.{last}") for last in (1, 2, 3, 4, 101, 102, 103, 200)):
            return net
    raise CannotRunError("no free loopback network")


def _is_free(host: str) -> bool:
    for port in (INBOUND, APP, READINESS, OUTBOUND, ADMIN, STORE, METRICS):
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


def route(prefix: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of host ``mesh.example`` as the operator writes it."""
    entry: dict[str, Any] = {
        "hostname": "mesh.example",
        "prefix": prefix,
        "kind": "safe",
        "timeoutMs": 4000,
        "sloMs": 1200,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
    }
    entry.update(more)
    return entry


def client_headers(attempt: str, deadline: float) -> Headers:
    return {
        "Host": "mesh.example",
        "X-Cassiasail-Attempt-Id": attempt,
        "X-Cassiasail-Deadline-Ms": str(int(deadline * 1000)),
    }


def main(case: Callable[[Mesh, Record, bool], Awaitable[bool]], folder: Path) -> None:
    """Run ``case``, which returns whether the rule held, and exit with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.write("case", trouble=trouble)

    async def run() -> int:
        mesh = None
        try:
            mesh = Mesh(record)
            async with asyncio.timeout(115):
                return HELD if await case(mesh, record, trouble) else BROKEN
        except (CannotRunError, TimeoutError, OSError) as error:
            record.write("cannot_run", reason=repr(error))
            return NOT_RUN
        finally:
            if mesh is not None:
                await mesh.stop()

    code = asyncio.run(run())
    record.write("result", exit_code=code)
    sys.exit(code)
