"""Requests between the entry daemon and the daemon beside the target, over HTTP/1.1.

The request keeps its method, path, headers and body. One header, ``cs-call``, carries
what the daemon beside the target decides by; one header of the answer, ``cs-reply``,
carries the outcome and the load of the target. Fields are separated by commas and
percent-encoded.
"""

from urllib.parse import quote, unquote

from ..ids import ServiceName
from ..state.calls import (
    ClientRequest,
    HostedRequest,
    HostLoad,
    HostOutcome,
    HostReason,
    HostReply,
    TargetResponse,
)
from .http1 import HttpRequest, HttpResponse

CALL_HEADER = b"cs-call"
REPLY_HEADER = b"cs-reply"
_HOST = b"host"
_OWN_REQUEST_HEADERS = frozenset((CALL_HEADER, _HOST, b"content-length"))
_CONNECTION_HEADERS = frozenset(
    (REPLY_HEADER, b"content-length", b"connection", b"keep-alive")
)
# Status of replies without an answer of the target; only other daemons see it.
_NO_ANSWER_STATUS = 299
_TRUE, _FALSE = "1", "0"


def _flag(value: bool) -> str:
    return _TRUE if value else _FALSE


def encode_call(hosted: HostedRequest) -> HttpRequest:
    """Return the request that carries ``hosted`` to the daemon beside the target."""
    request = hosted.request
    fields = (
        hosted.service,
        str(hosted.priority),
        hosted.route,
        _flag(hosted.safe),
        _flag(hosted.late),
        str(int(hosted.remaining_time * 1000)),
        str(int(hosted.max_wait * 1000)),
        request.client_service,
        request.attempt_id,
    )
    value = ",".join(quote(each, safe="") for each in fields).encode()
    headers = ((_HOST, request.host.encode()), (CALL_HEADER, value), *request.headers)
    return HttpRequest(
        method=request.method,
        target=request.request_target,
        headers=headers,
        body=request.body,
    )


def decode_call(request: HttpRequest) -> HostedRequest | None:
    """Return the call that ``request`` carries, None if it is not one."""
    value = request.header(CALL_HEADER)
    if value is None:
        return None
    try:
        fields = [unquote(each) for each in value.decode("ascii").split(",")]
        service, priority, route, safe, late, left, wait, caller, attempt = fields
        headers = tuple(
            pair for pair in request.headers if pair[0] not in _OWN_REQUEST_HEADERS
        )
        client_request = ClientRequest(
            attempt_id=attempt,
            method=request.method,
            host=(request.header(_HOST) or b"").decode("latin-1"),
            request_target=request.target,
            headers=headers,
            body=request.body,
            client_service=ServiceName(caller),
            arrived_at=request.arrived,
            remaining_time=int(left) / 1000,
        )
        return HostedRequest(
            request=client_request,
            service=ServiceName(service),
            priority=int(priority),
            route=route,
            safe=safe == _TRUE,
            late=late == _TRUE,
            remaining_time=int(left) / 1000,
            max_wait=int(wait) / 1000,
        )
    except (UnicodeDecodeError, ValueError):
        return None


def encode_reply(reply: HostReply) -> HttpResponse:
    """Return the response that carries ``reply``."""
    load = reply.load
    fields = [
        reply.outcome.value,
        reply.reason.value,
        str(int(reply.run_seconds * 1000)),
    ]
    if load is not None:
        fields += [
            str(load.running),
            str(load.waiting),
            str(load.slots),
            str(int(load.service_seconds * 1000)),
            f"{load.failure_share:.2f}",
            str(int(load.route_service_seconds * 1000)),
        ]
    own = (REPLY_HEADER, ",".join(fields).encode())
    response = reply.response
    if response is None:
        return HttpResponse(status=_NO_ANSWER_STATUS, headers=(own,))
    return HttpResponse(
        status=response.status,
        reason=response.reason,
        headers=(own, *response.headers),
        body=response.body,
    )


def decode_reply(response: HttpResponse) -> HostReply | None:
    """Return the reply that ``response`` carries, None if it is not one."""
    value = response.header(REPLY_HEADER)
    if value is None:
        return None
    try:
        outcome, reason, ran, *rest = value.decode("ascii").split(",")
        kept = tuple(
            pair for pair in response.headers if pair[0] not in _CONNECTION_HEADERS
        )
        answer = TargetResponse(
            status=response.status,
            reason=response.reason,
            headers=kept,
            body=response.body,
        )
        answered = response.status != _NO_ANSWER_STATUS
        return HostReply(
            outcome=HostOutcome(outcome),
            reason=HostReason(reason),
            response=answer if answered else None,
            load=_decode_load(rest) if rest else None,
            run_seconds=int(ran) / 1000,
        )
    except (UnicodeDecodeError, ValueError):
        return None


def _decode_load(fields: list[str]) -> HostLoad:
    running, waiting, slots, milliseconds, failing, route_milliseconds = fields
    return HostLoad(
        running=int(running),
        waiting=int(waiting),
        slots=max(1, int(slots)),
        service_seconds=int(milliseconds) / 1000,
        failure_share=float(failing),
        route_service_seconds=int(route_milliseconds) / 1000,
    )
