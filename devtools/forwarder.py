"""Bare HTTP forwarder to one target, the baseline of ``devtools.bench_calls``.

It makes no routing, admission or retry decisions.
"""

import argparse
import asyncio
from collections.abc import Awaitable, Callable

import aiohttp
from aiohttp import web


def build_handler(
    session: aiohttp.ClientSession, target: str
) -> Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]:
    """Return a handler that forwards each request to ``target`` (``host:port``)."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        async with session.request(
            request.method,
            f"http://{target}{request.raw_path}",
            headers=request.headers,
            data=await request.read(),
        ) as response:
            return web.Response(
                status=response.status,
                body=await response.read(),
                content_type=response.content_type,
            )

    return handle


async def _serve(host: str, port: int, target: str) -> None:
    async with aiohttp.ClientSession(auto_decompress=False) as session:
        runner = web.ServerRunner(web.Server(build_handler(session, target)))
        await runner.setup()
        await web.TCPSite(runner, host, port).start()
        await asyncio.Event().wait()


def main() -> None:
    """Parse the flags and serve until the process is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--target", required=True)
    options = parser.parse_args()
    asyncio.run(_serve(options.host, options.port, options.target))


if __name__ == "__main__":
    main()
