"""Encoding of requests from an entry daemon to a host daemon, over HTTP/1.1.

A forwarded request keeps its method, path, headers and body. The header ``cs-call``
adds the fields from which the host daemon decides whether and when to dispatch the
request. The header ``cs-reply`` of the response carries the outcome and the load report
of the target. Fields are separated by commas; those of ``cs-call`` are percent-encoded.
"""

from urllib.parse import quote, unquote

from ..ids import ServiceName
from ..state.calls import (
    HostedCall,
    HostLoad,
    HostOutcome,
    HostReason,
    HostReply,
    MeshCall,
    TargetAnswer,
)
from .http1 import HttpRequest, HttpResponse

CALL_HEADER = b"cs-call"
REPLY_HEADER = b"cs-reply"
_HOST = b"host"
_ADDED_REQUEST_HEADERS = frozenset((CALL_HEADER, _HOST, b"content-length"))
_ADDED_REPLY_HEADERS = frozenset(
    (REPLY_HEADER, b"content-length", b"connection", b"keep-alive")
)
# HTTP status of replies without a response of the target; only daemons see it.
_NO_RESPONSE_STATUS = 299
_TRUE, _FALSE = "1", "0"


def _encode_flag(value: bool) -> str:
    return _TRUE if value else _FALSE


def encode_call(hosted: HostedCall) -> HttpRequest:
    """Return the request that carries ``hosted`` to the host daemon."""
    call = hosted.call
    fields = (
        hosted.service,
        str(hosted.rank),
        hosted.route,
        _encode_flag(hosted.safe),
        _encode_flag(hosted.late),
        str(int(hosted.time_left * 1000)),
        str(int(hosted.max_wait * 1000)),
        call.caller,
        call.attempt,
    )
    value = ",".join(quote(each, safe="") for each in fields).encode()
    headers = ((_HOST, call.host.encode()), (CALL_HEADER, value), *call.headers)
    return HttpRequest(
        method=call.method, target=call.target, headers=headers, body=call.body
    )


def decode_call(request: HttpRequest) -> HostedCall | None:
    """Return the forwarded request in ``request``, None if it is malformed."""
    value = request.header(CALL_HEADER)
    if value is None:
        return None
    try:
        fields = [unquote(each) for each in value.decode("ascii").split(",")]
        service, rank, route, safe, late, time_left_ms, max_wait_ms, caller, attempt = (
            fields
        )
        headers = tuple(
            pair for pair in request.headers if pair[0] not in _ADDED_REQUEST_HEADERS
        )
        call = MeshCall(
            attempt=attempt,
            method=request.method,
            host=(request.header(_HOST) or b"").decode("latin-1"),
            target=request.target,
            headers=headers,
            body=request.body,
            caller=ServiceName(caller),
            arrived=request.arrived,
            time_left=int(time_left_ms) / 1000,
        )
        return HostedCall(
            call=call,
            service=ServiceName(service),
            rank=int(rank),
            route=route,
            safe=safe == _TRUE,
            late=late == _TRUE,
            time_left=int(time_left_ms) / 1000,
            max_wait=int(max_wait_ms) / 1000,
        )
    except (UnicodeDecodeError, ValueError):
        return None


def encode_reply(reply: HostReply) -> HttpResponse:
    """Return the response that carries ``reply``."""
    load = reply.load
    fields = [reply.outcome.value, reply.reason.value, str(int(reply.ran * 1000))]
    if load is not None:
        fields += [
            str(load.running),
            str(load.waiting),
            str(load.slots),
            str(int(load.seconds * 1000)),
            f"{load.failing:.2f}",
            str(int(load.route_seconds * 1000)),
        ]
    reply_header = (REPLY_HEADER, ",".join(fields).encode())
    answer = reply.answer
    if answer is None:
        return HttpResponse(status=_NO_RESPONSE_STATUS, headers=(reply_header,))
    return HttpResponse(
        status=answer.status,
        reason=answer.reason,
        headers=(reply_header, *answer.headers),
        body=answer.body,
    )


def decode_reply(response: HttpResponse) -> HostReply | None:
    """Return the reply in ``response``, None if it is malformed."""
    value = response.header(REPLY_HEADER)
    if value is None:
        return None
    try:
        outcome, reason, ran, *load_fields = value.decode("ascii").split(",")
        headers = tuple(
            pair for pair in response.headers if pair[0] not in _ADDED_REPLY_HEADERS
        )
        answer = TargetAnswer(
            status=response.status,
            reason=response.reason,
            headers=headers,
            body=response.body,
        )
        has_answer = response.status != _NO_RESPONSE_STATUS
        return HostReply(
            outcome=HostOutcome(outcome),
            reason=HostReason(reason),
            answer=answer if has_answer else None,
            load=_decode_load(load_fields) if load_fields else None,
            ran=int(ran) / 1000,
        )
    except (UnicodeDecodeError, ValueError):
        return None


def _decode_load(fields: list[str]) -> HostLoad:
    running, waiting, slots, milliseconds, failing, route_milliseconds = fields
    return HostLoad(
        running=int(running),
        waiting=int(waiting),
        slots=max(1, int(slots)),
        seconds=int(milliseconds) / 1000,
        failing=float(failing),
        route_seconds=int(route_milliseconds) / 1000,
    )
