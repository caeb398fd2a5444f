"""Responses of targets, and the replies to entry daemons that follow from them."""

from collections.abc import Callable
from dataclasses import dataclass

from ... import metrics
from ...ids import TargetId
from ...protocol.exchanges import ExchangeFailed, FailureReason
from ...protocol.http1 import HttpRequest, HttpResponse
from ...state.calls import (
    ClientRequest,
    HostOutcome,
    HostReason,
    HostReply,
    TargetResponse,
)

_REASON_BY_FAILURE = {
    FailureReason.CONNECT_FAILED: HostReason.TARGET_DOWN,
    FailureReason.NO_DESCRIPTOR: HostReason.NO_DESCRIPTOR,
    FailureReason.RESET: HostReason.TARGET_RESET,
    FailureReason.CUT_SHORT: HostReason.TARGET_RESPONSE_TRUNCATED,
    FailureReason.MALFORMED: HostReason.TARGET_RESPONSE_CORRUPT,
    FailureReason.TOO_LARGE: HostReason.TARGET_RESPONSE_CORRUPT,
    FailureReason.TIMED_OUT: HostReason.TIMED_OUT,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class DecodedTargetResponse:
    """A target response decoded by the platform adapter.

    ``ran`` is false if the target states that it did not execute the request,
    ``misdirected`` true if another target than the one addressed responded.
    ``rate_limit`` is the number of requests a second that the target takes from all
    daemons together, None if it names none. ``leaving`` is true if the target states
    that it accepts no new requests. ``valid`` is false for bytes that are no
    response of the target to the request: what they say is not believed.
    """

    response: TargetResponse
    ran: bool
    misdirected: bool
    rate_limit: float | None = None
    leaving: bool = False
    valid: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetCodec:
    """Encoding of requests and responses on the connection to the target.

    ``encode`` gets the remaining time in seconds as its last argument.
    ``attempt_id_of`` returns the attempt id that a response echoes, None without one,
    and ``has_run`` false for one which states that the target did not run the request.
    """

    encode: Callable[[ClientRequest, TargetId, float], HttpRequest]
    decode: Callable[[HttpResponse], DecodedTargetResponse]
    attempt_id_of: Callable[[HttpResponse], str | None]
    has_run: Callable[[HttpResponse], bool]


def reply_of_failure(result: ExchangeFailed, run_seconds: float) -> HostReply:
    """Return the reply to the entry daemon for a dispatch without a response."""
    reason = _REASON_BY_FAILURE[result.reason]
    if not result.sent:
        return refused(reason)
    return HostReply(outcome=HostOutcome.FAILED, reason=reason, run_seconds=run_seconds)


def reply_of_response(decoded: DecodedTargetResponse, run_seconds: float) -> HostReply:
    """Return the reply to the entry daemon for a response of the target."""
    if not decoded.valid:
        metrics.MESH_RESPONSES_DROPPED.labels("invalid").inc()
        return HostReply(
            outcome=HostOutcome.FAILED,
            reason=HostReason.TARGET_RESPONSE_CORRUPT,
            run_seconds=run_seconds,
        )
    if decoded.misdirected:
        return HostReply(
            outcome=HostOutcome.SHED,
            reason=HostReason.MISDIRECTED,
            run_seconds=run_seconds,
        )
    if not decoded.ran:
        return HostReply(
            outcome=HostOutcome.SHED,
            reason=HostReason.TARGET_FULL,
            response=decoded.response,
            run_seconds=run_seconds,
        )
    return HostReply(
        outcome=HostOutcome.ANSWERED,
        response=decoded.response,
        run_seconds=run_seconds,
    )


def refused(reason: HostReason) -> HostReply:
    """Return the reply to the entry daemon for a request that is not dispatched."""
    return HostReply(outcome=HostOutcome.REFUSED, reason=reason)
