"""Forwards a request to a host daemon and decodes its reply."""

from collections.abc import Callable
from dataclasses import replace

from ...clock import Clock
from ...ids import DaemonStart
from ...protocol import peer_calls
from ...protocol.exchanges import (
    NEW_CONNECTION,
    Address,
    ExchangeFailed,
    Exchanger,
    FailureReason,
    ResponseMatch,
    match_attempt,
)
from ...protocol.http1 import HttpResponse
from ...state.calls import (
    HostedRequest,
    HostOutcome,
    HostReason,
    HostReply,
    RequestNumber,
)

# Added to the remaining time of the request: the host daemon times requests out itself,
# and its reply needs time to arrive.
REPLY_MARGIN_SECONDS = 0.15
# Status of a host daemon that had no memory for the body and did not read the request.
NO_MEMORY_STATUS = 503
# Failures after which an unsafe request may be sent a second time: the host daemon
# recognizes its attempt id and replies to the second copy with the result of the first.
_CONNECTION_LOST_REASONS = frozenset(
    (
        FailureReason.RESET,
        FailureReason.CUT_SHORT,
        FailureReason.MALFORMED,
        # The reply never ended, or was dropped because other bodies needed its memory.
        FailureReason.TOO_LARGE,
    )
)


async def forward(
    pool: Exchanger,
    address: Address,
    hosted: HostedRequest,
    *,
    host_start: DaemonStart | None,
    next_number: Callable[[], RequestNumber],
    clock: Clock,
) -> HostReply:
    """Forward ``hosted`` to the host daemon at ``address`` and return its reply.

    ``host_start`` is the start of that daemon in its newest record, None if the record
    has none. An unsafe request whose connection is lost is sent once more. This can't
    execute it twice, because the host daemon runs each attempt id only once, and a copy
    that another start of it may have run not at all.
    """
    if hosted.safe or not hosted.request.attempt_id:
        return await _forward_once(pool, address, hosted)
    hosted = replace(hosted, number=next_number())
    sent_at = clock.now()
    reply = await _forward_once(pool, address, hosted)
    if reply.reason is not HostReason.PEER_LOST:
        return reply
    resent_after = clock.now() - sent_at
    copy = replace(
        hosted,
        resent_after=resent_after,
        first_sent_to=host_start,
        remaining_time=hosted.remaining_time - resent_after,
    )
    if copy.remaining_time <= 0:
        return reply
    second = await _forward_once(pool, address, copy)
    if second.outcome is HostOutcome.REFUSED and second.load is None:
        # The host daemon did not read the second copy: each reply to a request that it
        # read has a load report. It may have executed the first copy.
        return reply
    return second


async def _forward_once(
    pool: Exchanger, address: Address, hosted: HostedRequest
) -> HostReply:
    def match(response: HttpResponse) -> ResponseMatch:
        echoed = peer_calls.attempt_id_of(response)
        return match_attempt(echoed, hosted.request.attempt_id)

    result = await pool.exchange(
        address,
        peer_calls.encode_request(hosted),
        timeout=hosted.remaining_time + REPLY_MARGIN_SECONDS,
        match=match,
        max_idle=None if hosted.request.attempt_id else NEW_CONNECTION,
    )
    if isinstance(result, ExchangeFailed):
        return _reply_of_failure(result)
    reply = peer_calls.decode_reply(result)
    if reply is None and result.status == NO_MEMORY_STATUS:
        return HostReply(outcome=HostOutcome.REFUSED, reason=HostReason.BUSY)
    if reply is None:
        return HostReply(outcome=HostOutcome.FAILED, reason=HostReason.PEER_MALFORMED)
    return reply


def _reply_of_failure(result: ExchangeFailed) -> HostReply:
    if result.reason is FailureReason.NO_DESCRIPTOR:
        return HostReply(outcome=HostOutcome.REFUSED, reason=HostReason.NO_DESCRIPTOR)
    if not result.sent:
        return HostReply(
            outcome=HostOutcome.REFUSED, reason=HostReason.PEER_UNREACHABLE
        )
    reason = (
        HostReason.PEER_LOST
        if result.reason in _CONNECTION_LOST_REASONS
        else HostReason.TIMED_OUT
    )
    return HostReply(outcome=HostOutcome.FAILED, reason=reason)
