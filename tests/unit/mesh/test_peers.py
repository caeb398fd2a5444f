"""Forwarding of requests to host daemons that lose, refuse or never end an answer."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

import pytest

from cassiasail._internal.coordination.mesh import peers
from cassiasail._internal.ids import DaemonStart, ServiceName
from cassiasail._internal.protocol import peer_calls
from cassiasail._internal.protocol.exchanges import (
    Address,
    ExchangeFailed,
    FailureReason,
    ResponseMatch,
)
from cassiasail._internal.protocol.http1 import HttpRequest, HttpResponse
from cassiasail._internal.state.calls import (
    ClientRequest,
    HostedRequest,
    HostOutcome,
    HostReason,
    HostReply,
    RequestNumber,
    TargetResponse,
)
from tests.lib.clocks import VirtualClock

HOSTED = HostedRequest(
    request=ClientRequest(
        attempt_id="id-1",
        method=b"POST",
        host="h",
        request_target=b"/",
        headers=(),
        body=b"",
        client_service=ServiceName("two"),
        arrived_at=0.0,
        remaining_time=2.0,
    ),
    service=ServiceName("one"),
    priority=1,
    route="r",
    safe=False,
    late=False,
    remaining_time=2.0,
    max_wait=1.0,
)
RESET = ExchangeFailed(reason=FailureReason.RESET, sent=True)
TOO_LARGE = ExchangeFailed(reason=FailureReason.TOO_LARGE, sent=True)
NO_MEMORY = HttpResponse(status=503)
RAN = peer_calls.encode_reply(
    HostReply(
        outcome=HostOutcome.ANSWERED,
        response=TargetResponse(status=200, reason=b"", headers=(), body=b"ran"),
    ),
    attempt_id="id-1",
)


class FakePool:
    """Returns ``results`` one after the other."""

    def __init__(self, *results: HttpResponse | ExchangeFailed) -> None:
        self.results = list(results)

    async def exchange(
        self,
        address: Address,
        request: HttpRequest,
        *,
        timeout: float,
        match: Callable[[HttpResponse], ResponseMatch] | None = None,
        max_idle: float | None = None,
    ) -> HttpResponse | ExchangeFailed:
        return self.results.pop(0)


def forward(
    hosted: HostedRequest, *results: HttpResponse | ExchangeFailed
) -> HostReply:
    pool = FakePool(*results)
    reply = asyncio.run(
        peers.forward(
            pool,  # type: ignore[arg-type]
            Address("10.0.0.1", 80),
            hosted,
            host_start=None,
            next_number=lambda: RequestNumber(DaemonStart("entry"), 1),
            clock=VirtualClock(),
        )
    )
    assert pool.results == []
    return reply


def test_second_copy_without_memory_is_no_refusal() -> None:
    """Guards against an order that runs twice, or is reported as not run.

    The host daemon had read the first copy, but had no memory left to read the second.
    """
    reply = forward(HOSTED, RESET, NO_MEMORY)
    assert reply.outcome is HostOutcome.FAILED
    assert forward(HOSTED, NO_MEMORY).outcome is HostOutcome.REFUSED


@pytest.mark.parametrize(
    ("safe", "results", "outcome"),
    [
        (False, (TOO_LARGE, RAN), HostOutcome.ANSWERED),
        (False, (TOO_LARGE, TOO_LARGE), HostOutcome.FAILED),
        (True, (TOO_LARGE,), HostOutcome.FAILED),
    ],
)
def test_endless_answer_is_a_lost_one(
    safe: bool,
    results: tuple[HttpResponse | ExchangeFailed, ...],
    outcome: HostOutcome,
) -> None:
    """Guards against an answer without end that is reported as a time-out.

    The client then got 504 long before any time-out, and the VM was not suspected. An
    answer that was dropped for lack of memory is fetched by a second copy.
    """
    reply = forward(replace(HOSTED, safe=safe), *results)
    assert reply.outcome is outcome
    if outcome is HostOutcome.FAILED:
        assert reply.reason is HostReason.PEER_LOST
