"""Requests that arrive in pieces of any size."""

import asyncio
from dataclasses import replace
from itertools import pairwise

from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from cassiasail._internal.ids import ServiceName
from cassiasail._internal.protocol import peer_calls
from cassiasail._internal.protocol.http1 import (
    HttpRequest,
    HttpResponse,
    encode_request,
)
from cassiasail._internal.state.mesh_config import ClientLimits
from cassiasail._internal.transport.http1.memory import BodyMemory
from cassiasail._internal.transport.http1.server_connection import ServerConnection
from cassiasail._internal.transport.http1.service import HttpService
from cassiasail.platform import requests
from devtools.virtual_loop import VirtualLoop
from tests.unit.mesh.test_hosting import UNSAFE
from tests.unit.mesh.test_http1_idle import FakeTransport
from tests.unit.mesh.test_http1_server import statuses

LIMITS = ClientLimits(
    header_bytes=200, body_bytes=2000, header_seconds=5.0, idle_seconds=5.0
)


class RecordingTransport(FakeTransport):
    """Keeps what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.written += bytes(data)


def serve(pieces: list[bytes], limits: ClientLimits) -> tuple[list[int], list[bytes]]:
    """Return the statuses and the paths and bodies of the requests in ``pieces``."""
    handled: list[bytes] = []

    async def handle(request: HttpRequest) -> HttpResponse:
        handled.append(request.target + b" " + request.body)
        return HttpResponse(status=200)

    async def main() -> bytes:
        connection = ServerConnection(
            service=HttpService(
                handler=handle,
                limits=lambda: limits,
                time_limit=lambda request: None,
                memory=BodyMemory(limit=1 << 20),
            ),
            closed=lambda connection: None,
        )
        transport = RecordingTransport()
        connection.connection_made(transport)
        for piece in pieces:
            connection.data_received(piece)
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.1)
        connection.connection_lost(None)
        return transport.written

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return statuses(runner.run(main())), sorted(handled)


def request_of(number: int, header_bytes: int, body: bytes) -> bytes:
    padding = b"x" * header_bytes
    lines = [b"%s /%d HTTP/1.1" % (b"POST" if body else b"GET", number)]
    lines += [b"Host: h", b"X: " + padding]
    if body:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


valid_requests = st.lists(
    st.tuples(
        # Up to the limit of the header section.
        st.integers(0, LIMITS.header_bytes - 60),
        st.one_of(st.just(b""), st.binary(min_size=1, max_size=900)),
    ),
    min_size=1,
    max_size=12,
)


def split(data: bytes, cuts: list[int]) -> list[bytes]:
    places = sorted({0, len(data), *(cut % len(data) for cut in cuts)})
    return [data[start:end] for start, end in pairwise(places)]


@settings(deadline=None, max_examples=200, suppress_health_check=list(HealthCheck))
@given(requests=valid_requests, cuts=st.lists(st.integers(0, 20000), max_size=8))
@example(requests=[(140, b"")] * 6, cuts=[6 * 170 - 5])
@example(requests=[(10, b"\n" * 900), (140, b"")], cuts=[960])
def test_valid_requests_are_served_however_they_are_cut(
    requests: list[tuple[int, bytes]], cuts: list[int]
) -> None:
    """Guards against 431 for a proper request because of bytes that came before it."""
    encoded = [
        request_of(number, header_bytes, body)
        for number, (header_bytes, body) in enumerate(requests)
    ]
    data = b"".join(encoded)
    expected = sorted(
        b"/%d " % number + body for number, (_, body) in enumerate(requests)
    )
    for pieces in ([data], split(data, cuts), encoded):
        assert serve(pieces, LIMITS) == ([200] * len(requests), expected)


@settings(deadline=None, max_examples=100, suppress_health_check=list(HealthCheck))
@given(
    requests=valid_requests,
    cuts=st.lists(st.integers(0, 20000), max_size=8),
    line=st.sampled_from((b"GET /", b"GET / HTTP/1.1\r\nHost: h\r\nX: ")),
)
def test_endless_line_is_refused_however_it_is_cut(
    requests: list[tuple[int, bytes]], cuts: list[int], line: bytes
) -> None:
    """Guards against memory that a client fills with a line that never ends."""
    data = b"".join(
        request_of(number, header_bytes, body)
        for number, (header_bytes, body) in enumerate(requests)
    )
    endless = line + b"x" * (5 * LIMITS.header_bytes)
    received, _ = serve([*split(data + endless, cuts)], LIMITS)
    assert received == [200] * len(requests) + [431]


@settings(deadline=None, max_examples=100)
@given(
    attempt_id=st.binary(max_size=150).map(
        lambda data: bytes(33 + each % 94 for each in data)
    ),
    padding=st.integers(0, 400),
)
def test_request_that_an_entry_daemon_accepted_is_accepted_by_the_host_daemon(
    attempt_id: bytes, padding: int
) -> None:
    """Guards against an order that is refused behind the limit that it had passed."""
    headers = (
        (b"host", b"h"),
        (b"x-cassiasail-attempt-id", attempt_id),
        (b"x", b"x" * padding),
    )
    client = HttpRequest(method=b"POST", target=b"/x", headers=headers)
    limit = len(encode_request(client))
    decoded = requests.decode_request(client, client_service=ServiceName("c" * 200))
    hosted = replace(
        UNSAFE, request=decoded, service=ServiceName("%" * 200), route="%" * 200
    )
    forwarded = encode_request(peer_calls.encode_request(hosted))
    assert len(forwarded) <= peer_calls.max_header_bytes(limit)
    limits = ClientLimits(header_bytes=peer_calls.max_header_bytes(limit))
    received, _ = serve([forwarded], limits)
    assert received == [200]
