"""Multiplexed calls: each call gets its whole response or ends with a refusal."""

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
    """A body in parts, optionally truncated by a refusal."""

    def __init__(self, parts: list[bytes], truncation: Refusal | None = None) -> None:
        self.parts = list(parts)
        self.truncation = truncation
        self.closed = False

    async def read(self) -> bytes | None | Refusal:
        await asyncio.sleep(0)
        return self.parts.pop(0) if self.parts else self.truncation

    def close(self) -> None:
        self.closed = True


def open_connection(
    socket: MemorySocket, serve: Handler | None = None
) -> CallConnection:
    async def refuse(head: CallHead, body: Body) -> CallResponse | Refusal:
        return Refusal(reason=RefusalReason.INTERNAL, executed=Executed.NO)

    async def reply(payload: Any) -> Any:
        return ["reply", payload]

    return CallConnection(
        socket=socket,
        serve_call=serve or refuse,
        serve_request=reply,
        load_report_for=lambda head: None,
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
    serve: Handler,
    use_connection: Callable[[CallConnection, MemorySocket], Awaitable[None]],
) -> None:
    async def main() -> None:
        near, far = socket_pair()
        client, server = open_connection(near), open_connection(far, serve)
        run_tasks = [asyncio.create_task(each.run()) for each in (client, server)]
        await use_connection(client, far)
        await near.close()
        await asyncio.gather(*run_tasks)

    asyncio.run(main())


def test_interleaved_responses_reach_their_callers_whole() -> None:
    """Guards against mixing up the responses of concurrent calls or their parts."""
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

    async def use_connection(client: CallConnection, far: MemorySocket) -> None:
        async def call_and_compare(index: int) -> None:
            data = bytes([index]) * (index * 17_000)
            head = replace(HEAD, body_length=len(data))
            body: Body = PartsReader([data]) if index % 2 else data
            response, _ = await client.call(head, body)
            assert isinstance(response, CallResponse)
            assert await read_all(response.body) == data

        await asyncio.gather(*(call_and_compare(index) for index in range(40)))

    run_pair(echo, use_connection)


@pytest.mark.parametrize(
    "truncation",
    [None, Refusal(reason=RefusalReason.SHORT_BODY, executed=Executed.UNKNOWN)],
)
def test_truncated_response_is_an_error(truncation: Refusal | None) -> None:
    """Guards against a truncated body that counts as the whole response."""

    async def short(head: CallHead, body: Body) -> CallResponse | Refusal:
        reader = PartsReader([b"x" * 10], truncation)
        return CallResponse(status=200, headers=[], body_length=20, body=reader)

    async def use_connection(client: CallConnection, far: MemorySocket) -> None:
        response, _ = await client.call(HEAD, b"")
        assert isinstance(response, CallResponse)
        result = await read_all(response.body)
        assert isinstance(result, Refusal)
        assert result.reason is RefusalReason.SHORT_BODY

    run_pair(short, use_connection)


def test_late_frames_of_a_cancelled_call_are_dropped() -> None:
    """Guards against a late response that is returned for the next call."""
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

    async def use_connection(client: CallConnection, far: MemorySocket) -> None:
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
        response, _ = await client.call(HEAD, b"")
        assert isinstance(response, CallResponse)
        assert response.body == b"ok"
        assert cancelled == ["/slow"]

    run_pair(slow, use_connection)


def test_lost_connection_leaves_open_calls_unknown_and_later_ones_not_run() -> None:
    """Guards against reporting a call that was already sent as not run."""
    arrived = asyncio.Event()

    async def never(head: CallHead, body: Body) -> CallResponse | Refusal:
        arrived.set()
        await asyncio.Event().wait()
        raise AssertionError

    async def use_connection(client: CallConnection, far: MemorySocket) -> None:
        call = asyncio.create_task(client.call(HEAD, b""))
        await arrived.wait()
        await far.close()
        lost, _ = await call
        assert isinstance(lost, Refusal)
        assert lost.executed is Executed.UNKNOWN
        later, _ = await client.call(HEAD, b"")
        assert isinstance(later, Refusal)
        assert later.executed is Executed.NO

    run_pair(never, use_connection)


def test_malformed_frame_closes_only_its_connection() -> None:
    """Guards against a malformed frame from a peer that stops the daemon."""

    async def use_connection(client: CallConnection, far: MemorySocket) -> None:
        assert await client.request("ping", 1.0) == ["reply", "ping"]
        await far.send(b"\xff\x00")
        assert await client.request("ping", 1.0) is None
        assert client.closed

    async def unused(head: CallHead, body: Body) -> CallResponse | Refusal:
        raise AssertionError

    run_pair(unused, use_connection)


def test_response_that_arrives_before_its_call_resumes_keeps_its_body() -> None:
    """Guards against losing a body whose end arrives before ``call`` resumes."""
    near = MemorySocket()
    near.peer = MemorySocket()

    async def main() -> None:
        client = open_connection(near)
        run_task = asyncio.create_task(client.run())
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
        response, _ = await call
        assert isinstance(response, CallResponse)
        assert await read_all(response.body) == b"abcdef"
        await near.close()
        await run_task

    asyncio.run(main())


def test_internal_error_of_the_host_daemon_ends_the_call_as_unknown() -> None:
    """Guards against a call that gets no reply after an error in the host daemon."""

    async def broken(head: CallHead, body: Body) -> CallResponse | Refusal:
        raise RuntimeError("raised by the test")

    async def use_connection(client: CallConnection, far: MemorySocket) -> None:
        result, _ = await client.call(HEAD, b"")
        assert isinstance(result, Refusal)
        assert result.reason is RefusalReason.INTERNAL
        assert result.executed is Executed.UNKNOWN

    run_pair(broken, use_connection)


def test_peer_that_exceeds_its_credit_is_disconnected() -> None:
    """Guards against a peer that fills the daemon's memory with unread body parts."""
    near = MemorySocket()
    near.peer = MemorySocket()

    async def main() -> None:
        client = open_connection(near)
        run_task = asyncio.create_task(client.run())
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
        await run_task
        assert client.closed
        response, _ = await call
        assert isinstance(response, CallResponse)
        assert isinstance(await read_all(response.body), Refusal)

    asyncio.run(main())
