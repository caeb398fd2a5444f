"""Stand-ins for the platform: its table store, and targets that send heartbeats."""

import asyncio
import base64
import json
import os
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from aiohttp import web

from cassiasail._internal.protocol.exchanges import Address, ExchangeFailed
from cassiasail._internal.protocol.http1 import HttpRequest, HttpResponse
from cassiasail._internal.transport.http1.pool import ConnectionPool

from .reservations import HOST, reserve_port

REPO = Path(__file__).resolve().parents[1]
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 1 << 20,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


def route(service: str, **more: Any) -> dict[str, Any]:
    """Return a route of host ``h`` in the format of the configuration."""
    entry = {
        "hostname": "h",
        "prefix": f"/{service}/",
        "kind": "safe",
        "timeoutMs": 2000,
        "sloMs": 1000,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
    }
    entry.update(more)
    return entry


def configuration(version: int, routes: dict[str, Any]) -> bytes:
    """Return a configuration document with ``routes`` by name."""
    services = {entry["service"] for entry in routes.values()}
    document = {
        "version": f"{version:08x}",
        "routes": routes,
        "services": {
            name: {"healthCheck": "/healthz", "maxConnections": 100}
            for name in services
        },
        "limits": LIMITS,
    }
    return json.dumps(document).encode()


class PlatformStore:
    """An in-memory table store with the HTTP interface of the platform.

    ``down`` makes all requests fail, ``delay`` delays them by some seconds, and
    ``drops_responses`` closes the connection after a write in place of a response.
    ``era`` rises by one with each restore.
    """

    def __init__(self) -> None:
        self.row_by_id: dict[tuple[str, str], dict[str, Any]] = {}
        self.version = 0
        self.era = 1
        self.down = False
        self.delay = 0.0
        self.drops_responses = False
        self._history_start = 0
        # Time, version and rows after each write.
        self._backups: list[tuple[float, int, dict[tuple[str, str], Any]]] = [
            (time.monotonic(), 0, {})
        ]
        self.address = Address(HOST, reserve_port())
        self._runner: web.AppRunner | None = None

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row with the next version."""
        self.version += 1
        self.row_by_id[table, key] = {
            "table": table,
            "part": "",
            "key": key,
            "value": base64.b64encode(value).decode(),
            "ver": self.version,
        }
        self._backups.append((time.monotonic(), self.version, dict(self.row_by_id)))

    def restore(self, age_seconds: float) -> None:
        """Return to the rows and the version of ``age_seconds`` ago, in a new era.

        The versions behind that one are given out again.
        """
        moment = time.monotonic() - age_seconds
        while len(self._backups) > 1 and self._backups[-1][0] > moment:
            self._backups.pop()
        _, self.version, rows = self._backups[-1]
        self.row_by_id = dict(rows)
        self._history_start = min(self._history_start, self.version)
        self.era += 1

    def value(self, table: str, key: str) -> bytes:
        """Return the value of a row, empty if there is none."""
        row = self.row_by_id.get((table, key))
        return b"" if row is None else base64.b64decode(row["value"])

    def drop_history(self) -> None:
        """Drop the feed history, so that readers must read the tables again."""
        self._history_start = self.version

    async def start(self) -> None:
        app = web.Application()
        app.router.add_post("/v1/rows-tx", self._transact)
        app.router.add_get("/v1/rows-get", self._read)
        app.router.add_get("/v1/rows-feed", self._feed)
        self._runner = web.AppRunner(app)
        await self._runner.setup()
        await web.TCPSite(self._runner, *self.address).start()

    async def stop(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()

    def _rows(self, table: str, after: int) -> list[dict[str, Any]]:
        rows = [row for (name, _), row in self.row_by_id.items() if name == table]
        return sorted(
            (row for row in rows if row["ver"] > after), key=lambda row: row["ver"]
        )

    def _reply(
        self, document: dict[str, Any] | None = None, *, status: int = 200
    ) -> web.Response:
        headers = {"Store-Era": str(self.era)}
        if document is None:
            return web.Response(status=status, headers=headers)
        return web.json_response(document, status=status, headers=headers)

    def _page(self, rows: list[dict[str, Any]]) -> web.Response:
        return self._reply(
            {"rows": rows, "hasMore": False, "ver": self.version, "nowMs": 1}
        )

    async def _read(self, request: web.Request) -> web.Response:
        await asyncio.sleep(self.delay)
        if self.down:
            return self._reply(status=503)
        return self._page(self._rows(request.query["table"], 0))

    async def _feed(self, request: web.Request) -> web.Response:
        deadline = (
            asyncio.get_running_loop().time() + int(request.query["watchWaitMs"]) / 1e3
        )
        while True:
            if self.down:
                return self._reply(status=503)
            after = int(request.query["after"])
            if not self._history_start <= after <= self.version:
                return self._reply(status=410)
            rows = self._rows(request.query["table"], after)
            if rows or asyncio.get_running_loop().time() >= deadline:
                # Build the page before the delay: its rows and version must match.
                page = self._page(rows)
                await asyncio.sleep(self.delay)
                return page
            await asyncio.sleep(0.01)

    async def _transact(self, request: web.Request) -> web.Response:
        await asyncio.sleep(self.delay)
        if self.down:
            return self._reply(status=503)
        body = await request.json()
        conditions = body["precondition"]
        current_rows = [self.row_by_id.get((c["table"], c["key"])) for c in conditions]
        if any(
            (row["ver"] if row else 0) != condition["ver"]
            for row, condition in zip(current_rows, conditions, strict=True)
        ):
            rows = [row for row in current_rows if row]
            return self._reply({"rows": rows, "ver": self.version}, status=412)
        for write in body["writes"]:
            self.put(write["table"], write["key"], base64.b64decode(write["value"]))
        if self.drops_responses and request.transport is not None:
            request.transport.close()
        return self._reply({"ver": self.version, "nowMs": 1})


RequestHandler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Sidecar:
    """One VM: a sidecar process, and its target, which runs in this process."""

    def __init__(self, *, store: PlatformStore, name: str, service: str) -> None:
        self.name = name
        self.service = service
        self.store = store
        self.store_address = store.address
        self.target_id = f"i-{name}"
        self.start_time_ms = 1
        self.sequence = 0
        self.state = "ready"
        # The health check succeeds whatever the state.
        self.health_check_always_ready = False
        self.slots = 4
        self.retry_slack = 62
        # Limits of the VM: memory in MB and descriptors of a process.
        self.memory_mb = 300
        self.max_fds = 4100
        # Whether the platform tells the daemon that the system has never run.
        self.first_start = False
        # Seconds from SIGTERM until the platform kills the daemon.
        self.grace_seconds = 6
        self.address_by_use = {
            use: Address(HOST, reserve_port())
            for use in ("inbound", "outbound", "readiness", "admin", "target")
        }
        self.metrics_port = reserve_port()
        # Attempt id and path of each request to the target.
        self.received: list[tuple[str, str]] = []
        self.handle_request: RequestHandler = self._default_response
        self.process: asyncio.subprocess.Process | None = None
        self._runner: web.AppRunner | None = None
        self._heartbeat_task: asyncio.Task[None] | None = None
        self.pool = ConnectionPool(connect_timeout=1, ack_timeout=2, idle_timeout=10)

    async def start_target(self) -> None:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._serve)
        # A target that stops does not wait for its requests.
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        port = self.address_by_use["target"].port
        await web.TCPSite(self._runner, HOST, port).start()
        self.start_heartbeats()

    def write_settings(self, directory: Path) -> Path:
        """Write the settings file as the platform does and return its path."""
        path = directory / f"{self.name}.toml"
        path.write_text(self._settings())
        return path

    async def start_daemon(self, directory: Path) -> None:
        """Start the daemon; settings and log are files in ``directory``."""
        path = self.write_settings(directory)
        environment = dict(os.environ, CASSIASAIL_BOOT=str(path))
        environment["PYTHONPATH"] = str(REPO / "src")
        with (directory / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "cassiasail.sidecar",
                f"--metrics-port={self.metrics_port}",
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    def start_heartbeats(self) -> None:
        """Start the periodic heartbeats of the target."""
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    def stop_heartbeats(self) -> None:
        """Stop the periodic heartbeats of the target."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()

    async def stop_target(self) -> None:
        """End the target; the connections of its requests are lost."""
        self.stop_heartbeats()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def stop(self) -> None:
        self.stop_heartbeats()
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self._runner is not None:
            await self._runner.cleanup()
        self.pool.close()

    async def get(
        self,
        path: str,
        *,
        attempt: str = "a",
        method: str = "GET",
        timeout: float = 5,
        deadline: float = 4,
    ) -> HttpResponse | ExchangeFailed:
        """Send a request as a client on this VM; times are in seconds.

        ``deadline`` is the one named in the request.
        """
        headers = (
            (b"host", b"h"),
            (b"x-cassiasail-attempt-id", attempt.encode()),
            (b"x-cassiasail-deadline-ms", b"%d" % int(deadline * 1000)),
        )
        request = HttpRequest(
            method=method.encode(), target=path.encode(), headers=headers
        )
        return await self.pool.exchange(
            self.address_by_use["outbound"], request, timeout=timeout
        )

    async def wait_until_ready(self, seconds: float = 10) -> None:
        request = HttpRequest(
            method=b"GET", target=b"/v1/ready", headers=((b"host", b"h"),)
        )
        async with asyncio.timeout(seconds):
            while True:
                result = await self.pool.exchange(
                    self.address_by_use["readiness"], request, timeout=1
                )
                if isinstance(result, HttpResponse) and result.status == 200:
                    return
                await asyncio.sleep(0.05)

    async def metrics(self) -> str:
        """Return the text of the metrics of the daemon."""
        request = HttpRequest(
            method=b"GET", target=b"/metrics", headers=((b"host", b"h"),)
        )
        address = Address(HOST, self.metrics_port)
        result = await self.pool.exchange(address, request, timeout=2)
        assert isinstance(result, HttpResponse)
        return result.body.decode()

    async def wait_for_ready_targets(self, targets: int, seconds: float = 10) -> None:
        """Wait until the daemon lists this number of ready targets."""
        wanted = f'cassiasail_mesh_hosts{{state="ready"}} {targets}.0'
        async with asyncio.timeout(seconds):
            while wanted not in await self.metrics():
                await asyncio.sleep(0.05)

    async def send_heartbeat(self, **changes: Any) -> HttpResponse | ExchangeFailed:
        """Send one heartbeat; ``changes`` replace fields of the target's status."""
        self.sequence += 1
        document = {
            "address": str(self.address_by_use["target"]),
            "born": self.start_time_ms,
            "details": {
                "service": self.service,
                "version": "v1",
                "zone": "dc",
                "capacity": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "coldLeftMs": 0,
                **changes,
            },
        }
        return await self._send_admin_request(b"PUT", json.dumps(document).encode())

    async def remove(self) -> HttpResponse | ExchangeFailed:
        """Remove the target from the daemon."""
        return await self._send_admin_request(b"DELETE", b"")

    async def _send_admin_request(
        self, method: bytes, body: bytes
    ) -> HttpResponse | ExchangeFailed:
        request = HttpRequest(
            method=method,
            target=f"/v1/instances/{self.target_id}".encode(),
            headers=((b"host", b"h"),),
            body=body,
        )
        return await self.pool.exchange(
            self.address_by_use["admin"], request, timeout=1
        )

    async def _send_heartbeats(self) -> None:
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(0.2)

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        if request.path == "/healthz":
            status = (
                200 if self.state == "ready" or self.health_check_always_ready else 503
            )
            headers = {"X-Cassiasail-Instance-Id": self.target_id}
            return web.Response(status=status, headers=headers)
        attempt = request.headers.get("X-Cassiasail-Attempt-Id", "")
        self.received.append((attempt, request.path))
        return await self.handle_request(request)

    async def _default_response(self, request: web.Request) -> web.StreamResponse:
        return self.platform_response(request, f"{self.name} {request.path}")

    def platform_response(
        self, request: web.Request, text: str, status: int = 200
    ) -> web.Response:
        """Return a response with the headers that targets of the platform set."""
        headers = {
            "X-Cassiasail-Server-Stamp": "stamp",
            "X-Cassiasail-Attempt-Id": request.headers.get(
                "X-Cassiasail-Attempt-Id", ""
            ),
        }
        return web.Response(text=text, status=status, headers=headers)

    def _settings(self) -> str:
        address = {use: str(each) for use, each in self.address_by_use.items()}
        return f"""
[self]
node = "{self.name}"
bindIp = "{HOST}"
bootstrap = {str(self.first_start).lower()}
zone = "dc"
region = "region"
appAddr = "{address["target"]}"
service = "{self.service}"
[self.limits]
linkMbps = 1000.0
memoryMb = {self.memory_mb}
maxFds = {self.max_fds}
[network.listenAddrs]
inbound = "{address["inbound"]}"
outbound = "{address["outbound"]}"
readiness = "{address["readiness"]}"
admin = "{address["admin"]}"
[platform]
heartbeatMs = 200
[platform.platform]
address = "{self.store_address}"
[terms.bounds]
drainMs = 2000
graceS = {self.grace_seconds}
configApplyMs = 2000
retryBudgetRatio = 0.2
budgetSlack = {self.retry_slack}
budgetWindowS = 10
"""
