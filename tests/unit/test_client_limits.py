"""Decisions on which clients wait, give way or come back, without sockets."""

import asyncio
from collections.abc import Callable

from cassiasail._internal.transport.http1.memory import UnsentResponses
from cassiasail._internal.transport.http1.pipelining import PipelinedRequests
from devtools.virtual_loop import VirtualLoop


def run_virtually(main: Callable[[], object]) -> None:
    loop = VirtualLoop()
    try:
        loop.run_until_complete(main())  # type: ignore[arg-type]
    finally:
        loop.close()


def test_answers_behind_a_slow_one_are_dropped_without_their_connection() -> None:
    """Guards against the loss of a connection whose client takes all it can."""

    async def main() -> None:
        unsent = UnsentResponses(limit=100)
        ended: list[str] = []

        def hold(name: str, size: int, *, is_waiting: bool) -> None:
            def end(how: str) -> None:
                ended.append(f"{name} {how}")
                unsent.release_all(name)

            unsent.hold(
                name,
                size,
                lambda: end("dropped"),
                is_waiting=lambda: is_waiting,
                shed=lambda: end("shed"),
            )

        hold("behind an order", 60, is_waiting=True)
        await asyncio.sleep(3)
        hold("not reading", 30, is_waiting=False)
        await asyncio.sleep(1)
        hold("ordinary", 50, is_waiting=False)
        hold("also ordinary", 50, is_waiting=False)
        assert ended == ["behind an order shed", "not reading dropped"]

    run_virtually(main)


def test_requests_behind_others_run_within_memory() -> None:
    """Guards against more answers behind slow requests than memory can hold."""

    async def main() -> None:
        unsent = UnsentResponses(limit=24 << 20)
        pipelined = PipelinedRequests(limit=100, unsent=unsent)
        for _ in range(100):
            pipelined.record_size(540_000)
        started = 0
        while pipelined.try_start():
            started += 1
        assert started * 540_000 <= unsent.limit / 2
        assert started >= 20
        pipelined.end()
        assert pipelined.try_start()
        # Small answers leave room for as many as there are connections.
        for _ in range(100):
            pipelined.record_size(100)
        while pipelined.try_start():
            started += 1
        assert started == 100

    run_virtually(main)
