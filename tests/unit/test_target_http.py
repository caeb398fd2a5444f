"""The client to the target against a server that resets connections."""

import asyncio

import pytest

from cassiasail._internal.coordination.permits import CallOutcome
from cassiasail._internal.protocol.frames import CallHead
from cassiasail._internal.state.refusals import Refusal, RefusalReason
from cassiasail._internal.transport.target_http import TargetClient, TargetFailure


def head(method: str, *, idempotent: bool) -> CallHead:
    return CallHead(
        target="t",
        service="s",
        route="/",
        customer="c",
        call_class="order",
        method=method,
        path="/",
        headers=[],
        remaining=5.0,
        attempt=1,
        depth=0,
        fingerprint=b"",
        idempotent=idempotent,
        body_length=0,
    )


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
def test_reset_call_is_not_sent_again(method: str, idempotent: bool) -> None:
    """Guards against a library that sends idempotent methods twice on its own."""
    received = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal received
        await reader.readuntil(b"\r\n\r\n")
        received += 1
        writer.transport.abort()

    async def run() -> object:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = TargetClient()
        call = head(method, idempotent=idempotent)
        result = await client.send(f"127.0.0.1:{port}", call, b"", 5.0)
        await client.close()
        server.close()
        return result

    result = asyncio.run(run())
    assert isinstance(result, TargetFailure)
    assert result.outcome is CallOutcome.RESET
    assert received == 1


@pytest.mark.parametrize("length", [10, 1_000_000])
def test_answer_that_stalls_ends_at_the_deadline(length: int) -> None:
    """Guards against a call that outlives its deadline and its in-flight permit."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nabc" % length)
        await reader.read()
        writer.close()

    async def run() -> object:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = TargetClient()
        call = head("GET", idempotent=True)
        result = await client.send(f"127.0.0.1:{port}", call, b"", 0.3)
        if isinstance(result, TargetFailure):
            found: object = result.refusal.reason
        else:
            assert not isinstance(result.body, bytes)
            assert await result.body.read() == b"abc"
            cut = await result.body.read()
            assert isinstance(cut, Refusal)
            found = cut.reason
        await client.close()
        server.close()
        return found

    assert asyncio.run(run()) is RefusalReason.DEADLINE_EXCEEDED
