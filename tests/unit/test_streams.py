"""Multiplexed calls: each caller gets the whole answer to its own call, or an error."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import pytest

from cassiasail._internal.protocol.frames import (
    MAX_DATA_FRAME_BODY_BYTES,
    STREAM_CREDIT_BYTES,
    CallHead,
    DataFrame,
    EndFrame,
    ResponseFrame,
    encode_frame,
)
from cassiasail._internal.protocol.responses import Body, CallResponse
from cassiasail._internal.state.refusals import Executed, Refusal, RefusalReason
from cassiasail._internal.transport.streams import CallConnection
from tests.lib.sockets import MemorySocket, socket_pair
from tests.unit.test_frames import HEAD

Handler = Callable[[CallHead, Body], Awaitable[CallResponse | Refusal]]


class PartsReader:
    """A body in parts, optionally cut by a refusal."""

    def __init__(self, parts: list[bytes], cut: Refusal | None = None) -> None:
        self.parts = list(parts)
        self.cut = cut
        self.closed = False

    async def read(self) -> bytes | None | Refusal:
        await asyncio.sleep(0)
        return self.parts.pop(0) if self.parts else self.cut

    def close(self) -> None:
        self.closed = True


def connection(socket: MemorySocket, serve: Handler | None = None) -> CallConnection:
    async def refuse(head: CallHead, body: Body) -> CallResponse | Refusal:
        return Refusal(reason=RefusalReason.INTERNAL, executed=Executed.NO)

    async def reply(payload: Any) -> Any:
        return ["reply", payload]

    return CallConnection(
        socket=socket,
        serve_call=serve or refuse,
        serve_request=reply,
        report_for=lambda head: None,
    )


async def read_all(body: Body) -> bytes | Refusal:
    if isinstance(body, bytes):
        return body
    whole = b""
    while (part := await body.read()) is not None:
        if isinstance(part, Refusal):
            return part
        whole += part
    return whole


def run_pair(
    serve: Handler, use: Callable[[CallConnection, MemorySocket], Awaitable[None]]
) -> None:
    async def main() -> None:
        near, far = socket_pair()
        client, server = connection(near), connection(far, serve)
        loops = [asyncio.create_task(each.run()) for each in (client, server)]
        await use(client, far)
        await near.close()
        await asyncio.gather(*loops)

    asyncio.run(main())


def test_crossed_answers_reach_their_own_callers_whole() -> None:
    """Guards against answers that are mixed up or spliced when they cross."""
    rng = random.Random(7)

    async def echo(head: CallHead, body: Body) -> CallResponse | Refusal:
        data = await read_all(body)
        assert isinstance(data, bytes)
        for _ in range(rng.randrange(20)):
            await asyncio.sleep(0)
        parts = [data[start : start + 7000] for start in range(0, len(data), 7000)]
        return CallResponse(
            status=200, headers=[], body_length=len(data), body=PartsReader(parts)
        )

    async def use(client: CallConnection, far: MemorySocket) -> None:
        async def one(index: int) -> None:
            data = bytes([index]) * (index * 17_000)
            head = replace(HEAD, body_length=len(data))
            body: Body = PartsReader([data]) if index % 2 else data
            answer, _ = await client.call(head, body)
            assert isinstance(answer, CallResponse)
            assert await read_all(answer.body) == data

        await asyncio.gather(*(one(index) for index in range(40)))

    run_pair(echo, use)


@pytest.mark.parametrize(
    "cut", [None, Refusal(reason=RefusalReason.SHORT_BODY, executed=Executed.UNKNOWN)]
)
def test_short_answer_is_an_error(cut: Refusal | None) -> None:
    """Guards against a short body that the caller takes for the whole answer."""

    async def short(head: CallHead, body: Body) -> CallResponse | Refusal:
        reader = PartsReader([b"x" * 10], cut)
        return CallResponse(status=200, headers=[], body_length=20, body=reader)

    async def use(client: CallConnection, far: MemorySocket) -> None:
        answer, _ = await client.call(HEAD, b"")
        assert isinstance(answer, CallResponse)
        result = await read_all(answer.body)
        assert isinstance(result, Refusal)
        assert result.reason is RefusalReason.SHORT_BODY

    run_pair(short, use)


def test_late_frames_of_a_cancelled_call_reach_nobody() -> None:
    """Guards against a late answer that reaches the next call."""
    started = asyncio.Event()
    cancelled: list[str] = []

    async def slow(head: CallHead, body: Body) -> CallResponse | Refusal:
        if head.path == "/slow":
            started.set()
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                cancelled.append(head.path)
                raise
        return CallResponse(status=200, headers=[], body_length=2, body=b"ok")

    async def use(client: CallConnection, far: MemorySocket) -> None:
        call = asyncio.create_task(client.call(replace(HEAD, path="/slow"), b""))
        await started.wait()
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        late = ResponseFrame(
            stream=1,
            status=200,
            headers=[],
            body_length=4,
            body=b"late",
            load_report=None,
        )
        for frame in (
            late,
            DataFrame(stream=1, data=b"late"),
            EndFrame(stream=1, total=4),
        ):
            await far.send(encode_frame(frame))
        answer, _ = await client.call(HEAD, b"")
        assert isinstance(answer, CallResponse)
        assert answer.body == b"ok"
        assert cancelled == ["/slow"]

    run_pair(slow, use)


def test_lost_connection_ends_calls_as_unknown_and_later_ones_as_not_run() -> None:
    """Guards against a false "not run" for a call that had left already."""
    arrived = asyncio.Event()

    async def never(head: CallHead, body: Body) -> CallResponse | Refusal:
        arrived.set()
        await asyncio.Event().wait()
        raise AssertionError

    async def use(client: CallConnection, far: MemorySocket) -> None:
        call = asyncio.create_task(client.call(HEAD, b""))
        await arrived.wait()
        await far.close()
        lost, _ = await call
        assert isinstance(lost, Refusal)
        assert lost.executed is Executed.UNKNOWN
        later, _ = await client.call(HEAD, b"")
        assert isinstance(later, Refusal)
        assert later.executed is Executed.NO

    run_pair(never, use)


def test_malformed_frame_closes_only_its_connection() -> None:
    """Guards against a peer that ends the daemon with a malformed frame."""

    async def use(client: CallConnection, far: MemorySocket) -> None:
        assert await client.request("ping", 1.0) == ["reply", "ping"]
        await far.send(b"\xff\x00")
        assert await client.request("ping", 1.0) is None
        assert client.closed

    async def unused(head: CallHead, body: Body) -> CallResponse | Refusal:
        raise AssertionError

    run_pair(unused, use)


def test_answer_that_arrives_in_one_burst_keeps_its_body() -> None:
    """Guards against a body lost when its end arrives before the caller resumes."""
    near = MemorySocket()
    near.other = MemorySocket()

    async def main() -> None:
        client = connection(near)
        loop = asyncio.create_task(client.run())
        call = asyncio.create_task(client.call(HEAD, b""))
        while not near.sent:
            await asyncio.sleep(0)
        for frame in (
            ResponseFrame(
                stream=1,
                status=200,
                headers=[],
                body_length=6,
                body=None,
                load_report=None,
            ),
            DataFrame(stream=1, data=b"abc"),
            DataFrame(stream=1, data=b"def"),
            EndFrame(stream=1, total=6),
        ):
            near.inbox.put_nowait(encode_frame(frame))
        answer, _ = await call
        assert isinstance(answer, CallResponse)
        assert await read_all(answer.body) == b"abcdef"
        await near.close()
        await loop

    asyncio.run(main())


def test_fault_of_the_host_ends_the_call_as_unknown() -> None:
    """Guards against a call without any answer after a fault inside the host daemon."""

    async def broken(head: CallHead, body: Body) -> CallResponse | Refusal:
        raise RuntimeError("a fault of the test")

    async def use(client: CallConnection, far: MemorySocket) -> None:
        result, _ = await client.call(HEAD, b"")
        assert isinstance(result, Refusal)
        assert result.reason is RefusalReason.INTERNAL
        assert result.executed is Executed.UNKNOWN

    run_pair(broken, use)


def test_peer_that_ignores_its_credit_is_disconnected() -> None:
    """Guards against a peer that fills the memory of the daemon."""
    near = MemorySocket()
    near.other = MemorySocket()

    async def main() -> None:
        client = connection(near)
        loop = asyncio.create_task(client.run())
        call = asyncio.create_task(client.call(HEAD, b""))
        while not near.sent:
            await asyncio.sleep(0)
        head = ResponseFrame(
            stream=1,
            status=200,
            headers=[],
            body_length=None,
            body=None,
            load_report=None,
        )
        near.inbox.put_nowait(encode_frame(head))
        part = encode_frame(DataFrame(stream=1, data=bytes(MAX_DATA_FRAME_BODY_BYTES)))
        for _ in range(STREAM_CREDIT_BYTES // MAX_DATA_FRAME_BODY_BYTES + 1):
            near.inbox.put_nowait(part)
        await loop
        assert client.closed
        answer, _ = await call
        assert isinstance(answer, CallResponse)
        assert isinstance(await read_all(answer.body), Refusal)

    asyncio.run(main())
