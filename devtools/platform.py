"""Stand-in for the platform: a transactional table and an object store over HTTP.

Faults are switched with ``POST /faults`` (JSON): ``delay`` in seconds before each
request, ``down`` (503 without effect), ``refuse_writes`` (503 to writes),
``lose_answers`` (the next N writes take effect, then the connection is closed).
``GET /counters`` returns requests by operation as JSON, ``GET /commits`` the wall time
at which each configuration version was committed.
"""

import argparse
import asyncio
import json
import time
from collections import Counter
from typing import Any

import cbor2
from aiohttp import web

from cassiasail._internal.coordination.store import ABSENT


class Table:
    """Rows with revisions; every committed transaction gets the next revision."""

    def __init__(self) -> None:
        self.row_by_key: dict[str, tuple[Any, int]] = {}
        self.revision = 0
        self.commit_time_by_version: dict[int, float] = {}

    def transact(self, body: dict[str, Any]) -> dict[str, Any]:
        """Apply all writes if all conditions hold, otherwise none."""
        mismatched = {
            key: self.row_by_key.get(key)
            for key, revision in body["conditions"]
            if self.row_by_key.get(key, (None, ABSENT))[1] != revision
        }
        if mismatched:
            return {"committed": False, "rows": mismatched}
        self.revision += 1
        for key, value in body["puts"]:
            self.row_by_key[key] = (value, self.revision)
            if key == "config/head":
                self.commit_time_by_version[value["version"]] = time.time()
        for key in body["removes"]:
            self.row_by_key.pop(key, None)
        return {"committed": True, "revision": self.revision}

    def scan(self, body: dict[str, Any]) -> dict[str, Any]:
        """Return up to ``limit`` rows whose key starts with ``prefix``."""
        keys = (key for key in self.row_by_key if key.startswith(body["prefix"]))
        chosen = sorted(keys, reverse=body.get("descending", False))
        return {"rows": {key: self.row_by_key[key] for key in chosen[: body["limit"]]}}


class Platform:
    """State and faults of the stand-in."""

    def __init__(self) -> None:
        self.table = Table()
        self.object_by_name: dict[str, bytes] = {}
        self.faults: dict[str, Any] = {
            "delay": 0.0,
            "down": False,
            "refuse_writes": False,
            "lose_answers": 0,
        }
        self.count_by_operation: Counter[str] = Counter()

    async def admit(self, operation: str, *, writes: bool) -> None:
        """Count one request and apply the faults that precede its execution."""
        self.count_by_operation[operation] += 1
        if self.faults["delay"]:
            await asyncio.sleep(self.faults["delay"])
        if self.faults["down"] or (writes and self.faults["refuse_writes"]):
            raise web.HTTPServiceUnavailable

    def lose_answer(self, request: web.Request) -> bool:
        """Close the connection in place of a response if ``lose_answers`` is set."""
        if self.faults["lose_answers"] <= 0 or request.transport is None:
            return False
        self.faults["lose_answers"] -= 1
        request.transport.abort()
        return True


def build_app(platform: Platform) -> web.Application:
    """Return the HTTP application of the stand-in."""

    async def read(request: web.Request) -> web.Response:
        body = cbor2.loads(await request.read())
        await platform.admit("read", writes=False)
        rows = {key: platform.table.row_by_key.get(key) for key in body["keys"]}
        return web.Response(body=cbor2.dumps({"rows": rows}))

    async def scan(request: web.Request) -> web.Response:
        body = cbor2.loads(await request.read())
        await platform.admit("scan", writes=False)
        return web.Response(body=cbor2.dumps(platform.table.scan(body)))

    async def transact(request: web.Request) -> web.Response:
        body = cbor2.loads(await request.read())
        await platform.admit("transact", writes=True)
        reply = platform.table.transact(body)
        platform.lose_answer(request)
        return web.Response(body=cbor2.dumps(reply))

    async def get_object(request: web.Request) -> web.Response:
        await platform.admit("get_object", writes=False)
        data = platform.object_by_name.get(request.match_info["name"])
        if data is None:
            raise web.HTTPNotFound
        return web.Response(body=data)

    async def put_object(request: web.Request) -> web.Response:
        data = await request.read()
        await platform.admit("put_object", writes=True)
        platform.object_by_name.setdefault(request.match_info["name"], data)
        platform.lose_answer(request)
        return web.Response()

    async def set_faults(request: web.Request) -> web.Response:
        changes = await request.json()
        unknown = set(changes) - set(platform.faults)
        if unknown:
            raise web.HTTPBadRequest(text=f"unknown faults: {sorted(unknown)}")
        platform.faults.update(changes)
        return web.json_response(platform.faults)

    async def counters(request: web.Request) -> web.Response:
        return web.json_response(dict(platform.count_by_operation))

    async def commits(request: web.Request) -> web.Response:
        return web.json_response(platform.table.commit_time_by_version)

    app = web.Application(client_max_size=256 << 20)
    app.router.add_post("/table/read", read)
    app.router.add_post("/table/scan", scan)
    app.router.add_post("/table/transact", transact)
    app.router.add_get("/objects/{name:.+}", get_object)
    app.router.add_put("/objects/{name:.+}", put_object)
    app.router.add_post("/faults", set_faults)
    app.router.add_get("/counters", counters)
    app.router.add_get("/commits", commits)
    return app


async def start_platform(
    host: str, port: int, platform: Platform | None = None
) -> web.AppRunner:
    """Start the stand-in in this process; the caller must clean up the runner."""
    runner = web.AppRunner(build_app(platform or Platform()), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return runner


async def _serve(host: str, port: int) -> None:
    await start_platform(host, port)
    print(json.dumps({"listening": f"{host}:{port}"}), flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Run the stand-in as a program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    options = parser.parse_args()
    asyncio.run(_serve(options.host, options.port))


if __name__ == "__main__":
    main()
