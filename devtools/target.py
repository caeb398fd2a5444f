"""Stand-in for a target of a service: a small HTTP server with a limited number of
slots that sends heartbeats to the daemon on its VM.

``GET /_stats`` and ``GET /_calls`` return what it executed, so that tests and reports
can compare the daemons' responses with what was executed. The request header
``Work-Ms`` sets the duration of a call, ``Answer-Bytes`` the length of the response,
and ``Crash`` ends the process, after its value was printed.
"""

import argparse
import asyncio
import json
import os
import signal
import time
from collections import Counter
from typing import Any

import aiohttp
from aiohttp import web

HEARTBEAT_INTERVAL_SECONDS = 1.0
DEFAULT_WORK_MS = 2.0


class Target:
    """Record of the calls that one target executed.

    Keys of ``runs_by_key`` are idempotency keys.
    """

    def __init__(self, *, slots: int) -> None:
        self.slots = slots
        self.started = time.time()
        self.state = "ready"
        self.in_flight = 0
        self.most_in_flight = 0
        self.executed = 0
        self.cancelled = 0
        self.runs_by_key: Counter[str] = Counter()
        # Start, end, customer and path of each call; end is 0.0 while it runs.
        self.calls: list[tuple[float, float, str, str]] = []

    def record_start(self, customer: str, path: str, key: str | None) -> int:
        """Record the start of a call; return its index in ``calls``."""
        self.executed += 1
        if key is not None:
            self.runs_by_key[key] += 1
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        self.calls.append((time.time(), 0.0, customer, path))
        return len(self.calls) - 1

    def record_end(self, index: int) -> None:
        """Record the end of the call at ``index``."""
        self.in_flight -= 1
        start, _, customer, path = self.calls[index]
        self.calls[index] = (start, time.time(), customer, path)

    def stats(self) -> dict[str, Any]:
        """Return everything as JSON-encodable values."""
        return {
            "started": self.started,
            "state": self.state,
            "in_flight": self.in_flight,
            "most_in_flight": self.most_in_flight,
            "executed": self.executed,
            "cancelled": self.cancelled,
            "runs_by_key": dict(self.runs_by_key),
            "last_call_at": self.calls[-1][0] if self.calls else 0.0,
        }


def build_app(target: Target) -> web.Application:
    """Return the HTTP application of a target."""

    async def stats(request: web.Request) -> web.Response:
        return web.json_response(target.stats())

    async def calls(request: web.Request) -> web.Response:
        return web.json_response(target.calls)

    async def set_state(request: web.Request) -> web.Response:
        target.state = (await request.json())["state"]
        return web.Response()

    async def execute(request: web.Request) -> web.StreamResponse:
        customer = request.headers.get("Cassiasail-Customer", "")
        key = request.headers.get("Idempotency-Key")
        index = target.record_start(customer, request.path, key)
        try:
            body = await request.read()
            if (crash := request.headers.get("Crash")) is not None:
                print(json.dumps({"crash": crash, "at": time.time()}), flush=True)
                os._exit(1)
            await asyncio.sleep(float(request.headers.get("Work-Ms", 2)) / 1000)
            return await respond(request, body)
        except asyncio.CancelledError:
            target.cancelled += 1
            raise
        finally:
            target.record_end(index)

    async def respond(request: web.Request, body: bytes) -> web.StreamResponse:
        length = int(request.headers.get("Answer-Bytes", 0))
        if not length:
            # With the echo, a caller checks that the response belongs to its call.
            return web.json_response({"path": request.path, "echo": body.decode()})
        response = web.StreamResponse()
        response.content_length = length
        await response.prepare(request)
        chunk = bytes(16384)
        for start in range(0, length, len(chunk)):
            await response.write(chunk[: min(len(chunk), length - start)])
        return response

    app = web.Application(client_max_size=64 << 20)
    app.router.add_get("/_stats", stats)
    app.router.add_get("/_calls", calls)
    app.router.add_post("/_state", set_state)
    app.router.add_route("*", "/{path:.*}", execute)
    return app


async def send_heartbeats(
    target: Target, *, name: str, service: str, port: int, daemon: str
) -> None:
    """Send a heartbeat to the daemon at ``daemon`` every second."""
    timeout = aiohttp.ClientTimeout(total=1.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            body = {
                "service": service,
                "port": port,
                "slots": target.slots,
                "connections": 130,
                "state": target.state,
                "load": target.in_flight,
                "started": target.started,
            }
            url = f"http://{daemon}/_cassiasail/targets/{name}"
            try:
                async with session.put(url, json=body):
                    pass
            except (aiohttp.ClientError, TimeoutError):
                pass
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)


async def _serve(options: argparse.Namespace) -> None:
    target = Target(slots=options.slots)
    runner = web.AppRunner(
        build_app(target), access_log=None, handler_cancellation=True
    )
    await runner.setup()
    await web.TCPSite(runner, options.host, options.port).start()
    print(json.dumps({"listening": f"{options.host}:{options.port}"}), flush=True)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    heartbeat_task = asyncio.create_task(
        send_heartbeats(
            target,
            name=options.name,
            service=options.service,
            port=options.port,
            daemon=options.daemon,
        )
    )
    await stopped.wait()
    target.state = "draining"
    # The next heartbeat reports the drain to the daemon; calls that were dispatched
    # before still run.
    await asyncio.sleep(2 * HEARTBEAT_INTERVAL_SECONDS)
    while target.in_flight:
        await asyncio.sleep(0.05)
    heartbeat_task.cancel()
    await runner.cleanup()


def main() -> None:
    """Run one target as a program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--slots", type=int, default=9)
    parser.add_argument("--daemon", required=True)
    asyncio.run(_serve(parser.parse_args()))


if __name__ == "__main__":
    main()
