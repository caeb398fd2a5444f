"""Servers for the tests of the command line, on an event loop in another thread."""

import asyncio
import threading
from collections.abc import Coroutine, Iterator
from contextlib import contextmanager
from typing import Any

from aiohttp import web

from devtools.platform import Platform, build_app


class LossyPlatform(Platform):
    """A platform that drops the responses to the next ``lose_commits`` transactions."""

    def __init__(self) -> None:
        super().__init__()
        self.lose_commits = 0

    def lose_answer(self, request: web.Request) -> bool:
        if request.path == "/table/transact" and self.lose_commits > 0:
            self.lose_commits -= 1
            self.faults["lose_answers"] = 1
        return super().lose_answer(request)


class StubDaemon:
    """Serves admin pages that the test sets, and records offers and queries."""

    def __init__(self) -> None:
        self.status: Any = {}
        self.explanation: Any = {}
        self.offer_status = 200
        self.offers: list[bytes] = []
        self.queries: list[dict[str, str]] = []

    def build_app(self) -> web.Application:
        async def status(request: web.Request) -> web.Response:
            return web.json_response(self.status)

        async def explain(request: web.Request) -> web.Response:
            self.queries.append(dict(request.query))
            return web.json_response(self.explanation)

        async def offer(request: web.Request) -> web.Response:
            self.offers.append(await request.read())
            return web.Response(status=self.offer_status, text="no thanks")

        app = web.Application()
        app.router.add_get("/status", status)
        app.router.add_get("/explain", explain)
        app.router.add_post("/config/offer", offer)
        return app


class ServerThread:
    """A thread with an event loop that runs servers on free loopback ports."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._runners: list[web.AppRunner] = []
        self._thread.start()

    def serve(self, app: web.Application) -> str:
        """Start ``app`` and return its address."""
        return str(self._run(self._start(app)))

    def close(self) -> None:
        """Stop all servers and the thread."""
        for runner in self._runners:
            self._run(runner.cleanup())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(30)

    async def _start(self, app: web.Application) -> str:
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self._runners.append(runner)
        return f"127.0.0.1:{runner.addresses[0][1]}"


@contextmanager
def platform_and_daemon() -> Iterator[tuple[LossyPlatform, str, StubDaemon, str]]:
    """Run a platform and a stub daemon; yields both with their addresses."""
    server_thread = ServerThread()
    platform, daemon = LossyPlatform(), StubDaemon()
    try:
        store = server_thread.serve(build_app(platform))
        yield platform, store, daemon, server_thread.serve(daemon.build_app())
    finally:
        server_thread.close()
