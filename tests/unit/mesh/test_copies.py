"""Copies of one unsafe request that reach the same daemon."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from cassiasail._internal.awake_clock import AwakeClock
from cassiasail._internal.coordination.mesh.copies import RequestCopies
from cassiasail._internal.state.kept_results import (
    KEEP_RESULT_SECONDS,
    MAX_KEPT_RESULT_BYTES,
)
from devtools.virtual_loop import VirtualLoop

NOT_RUN = b"not run"
UNKNOWN = b"unknown"


class Served:
    """Counts the calls of ``serve``, which takes a second and returns ``response``."""

    def __init__(self, response: bytes = b"done") -> None:
        self.response = response
        self.calls = self.ended = 0

    async def serve(self) -> bytes:
        self.calls += 1
        await asyncio.sleep(1)
        self.ended += 1
        return self.response


def new_copies() -> RequestCopies[bytes]:
    return RequestCopies(
        unknown=UNKNOWN,
        body_bytes=lambda response: None if response == NOT_RUN else len(response),
        awake=AwakeClock(),
    )


def run(main: Callable[[], Awaitable[None]]) -> None:
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main())  # type: ignore[arg-type]


def test_copies_get_the_response_of_the_first() -> None:
    """Guards against a second run while the first copy runs, or after its answer."""

    async def main() -> None:
        copies, served = new_copies(), Served()
        running = [asyncio.create_task(copies.serve("a", served.serve)) for _ in "ab"]
        assert [await each for each in running] == [b"done", b"done"]
        assert await copies.serve("a", served.serve) == b"done"
        assert served.calls == 1
        await copies.serve("b", served.serve)
        assert served.calls == 2
        await asyncio.sleep(KEEP_RESULT_SECONDS + 1)
        await copies.serve("a", served.serve)
        assert served.calls == 3

    run(main)


def test_request_that_did_not_run_is_served_anew() -> None:
    """Guards against a retry that is refused because its first copy was."""

    async def main() -> None:
        copies, served = new_copies(), Served(NOT_RUN)
        assert await copies.serve("a", served.serve) == NOT_RUN
        served.response = b"done"
        assert await copies.serve("a", served.serve) == b"done"

    run(main)


@pytest.mark.parametrize("leaving", [1, 2])
def test_request_is_cancelled_when_no_copy_waits(leaving: int) -> None:
    """Guards against work for clients that left, and against a run after it.

    The client that is left gets its answer.
    """

    async def main() -> None:
        copies, served = new_copies(), Served()
        running = [asyncio.create_task(copies.serve("a", served.serve)) for _ in "ab"]
        await asyncio.sleep(0.5)
        for each in running[:leaving]:
            each.cancel()
        await asyncio.sleep(2)
        assert served.ended == 2 - leaving
        expected = b"done" if leaving == 1 else UNKNOWN
        assert await copies.serve("a", served.serve) == expected
        assert served.calls == 1

    run(main)


def test_responses_kept_are_bounded() -> None:
    """Guards against answers to orders that fill the memory of a daemon."""

    async def main() -> None:
        copies, served = new_copies(), Served(b"x" * (MAX_KEPT_RESULT_BYTES * 3 // 4))
        for key in "ab":
            assert await copies.serve(key, served.serve) == served.response
        assert await copies.serve("b", served.serve) == served.response
        assert await copies.serve("a", served.serve) == UNKNOWN
        assert served.calls == 2
        await asyncio.sleep(KEEP_RESULT_SECONDS + 1)
        await copies.serve("c", served.serve)
        assert await copies.serve("c", served.serve) == served.response

    run(main)
