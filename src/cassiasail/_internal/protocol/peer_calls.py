"""Encoding of requests from an entry daemon to a host daemon, over HTTP/1.1.

A forwarded request keeps its method, path, headers and body. The header ``cs-call``
adds the fields from which the host daemon decides whether and when to dispatch the
request. ``cs-retry`` is set for one that was already dispatched to another target, and
``cs-resent`` for the second copy of a request, with the milliseconds since the first.
``cs-first-sent-to`` is the start of the host daemon that the entry daemon knew when it
sent the first copy, and ``cs-number`` has its own start and the number of the request;
earlier builds decide by the milliseconds whether the first copy may have run.
``cs-account`` is the client account that the entry daemon found for the request; the
key by which it was found is not sent. ``cs-limit`` is the rate limit of the target, in
requests a second: in a request the one that the entry daemon knows, in a response the
one in force. ``cs-link`` is the time in milliseconds for which the link of a VM is
busy with large responses. ``cs-leaving`` has the id
and the start time of a target that is leaving. They are headers of their own because
builds without them accept a fixed number of fields in ``cs-call``. The header
``cs-reply`` of the response carries the outcome and the load report of the target, and
``cs-attempt`` the attempt id of the request. Fields are separated by commas; texts in
``cs-call`` and ``cs-leaving`` are percent-encoded.
"""

from urllib.parse import quote, unquote

from ..ids import AccountName, DaemonStart, ServiceName, TargetId
from ..state import ranges
from ..state.calls import (
    ClientRequest,
    HostedRequest,
    HostLoad,
    HostOutcome,
    HostReason,
    HostReply,
    RequestNumber,
    TargetResponse,
)
from ..state.hosts import Incarnation
from .http1 import Header, HttpRequest, HttpResponse

CALL_HEADER = b"cs-call"
REPLY_HEADER = b"cs-reply"
ATTEMPT_HEADER = b"cs-attempt"
RETRY_HEADER = b"cs-retry"
RESENT_HEADER = b"cs-resent"
FIRST_SENT_TO_HEADER = b"cs-first-sent-to"
NUMBER_HEADER = b"cs-number"
LIMIT_HEADER = b"cs-limit"
LEAVING_HEADER = b"cs-leaving"
ACCOUNT_HEADER = b"cs-account"
LINK_HEADER = b"cs-link"
_HOST = b"host"
_ADDED_REQUEST_HEADERS = frozenset(
    (
        CALL_HEADER,
        RETRY_HEADER,
        RESENT_HEADER,
        FIRST_SENT_TO_HEADER,
        NUMBER_HEADER,
        LIMIT_HEADER,
        ACCOUNT_HEADER,
        _HOST,
        b"content-length",
    )
)
_ADDED_REPLY_HEADERS = frozenset(
    (
        REPLY_HEADER,
        ATTEMPT_HEADER,
        LIMIT_HEADER,
        LEAVING_HEADER,
        LINK_HEADER,
        b"content-length",
        b"connection",
        b"keep-alive",
    )
)
# HTTP status of replies without a response of the target; only daemons see it.
_NO_RESPONSE_STATUS = 299
# Bytes of the headers that an entry daemon adds, besides what it takes from those of
# the client: names of a service and a route, and of the service beside it, encoded.
MAX_ADDED_BYTES = 4096
_TRUE, _FALSE = "1", "0"


def max_header_bytes(client_bytes: int) -> int:
    """Return the most header bytes of a request that had ``client_bytes`` at most.

    Percent-encoding makes three bytes of one.
    """
    return 3 * client_bytes + MAX_ADDED_BYTES


def _encode_flag(value: bool) -> str:
    return _TRUE if value else _FALSE


def _encode_limit(limit: float | None) -> tuple[Header, ...]:
    return () if limit is None else ((LIMIT_HEADER, repr(limit).encode()),)


def _decode_limit(value: bytes | None) -> float | None:
    return None if value is None else ranges.parse_number(value, 0.0, ranges.MAX_RATE)


def _encode_link(seconds: float) -> tuple[Header, ...]:
    """Return the header for a busy link; a free one needs none."""
    milliseconds = int(seconds * 1000)
    return ((LINK_HEADER, b"%d" % milliseconds),) if milliseconds else ()


def _encode_leaving(incarnation: Incarnation | None) -> tuple[Header, ...]:
    if incarnation is None:
        return ()
    target, start_time_ms = incarnation
    return ((LEAVING_HEADER, f"{quote(target, safe='')},{start_time_ms}".encode()),)


def _decode_leaving(value: bytes | None) -> Incarnation | None:
    if value is None:
        return None
    target, start_time_ms = value.decode("ascii").split(",")
    return (
        TargetId(ranges.name(unquote(target))),
        ranges.parse_integer(start_time_ms, high=ranges.MAX_TIMESTAMP_MS),
    )


def _encode_number(number: RequestNumber | None) -> tuple[Header, ...]:
    if number is None:
        return ()
    return ((NUMBER_HEADER, f"{number.entry_start},{number.number}".encode()),)


def _decode_number(value: bytes | None) -> RequestNumber | None:
    if value is None:
        return None
    entry_start, number = value.decode("ascii").split(",")
    return RequestNumber(
        DaemonStart(ranges.token(entry_start)), ranges.parse_integer(number)
    )


def _encode_account(account: AccountName | None) -> tuple[Header, ...]:
    if account is None:
        return ()
    return ((ACCOUNT_HEADER, quote(account, safe="").encode()),)


def _decode_account(value: bytes | None) -> AccountName | None:
    if value is None:
        return None
    return AccountName(ranges.name(unquote(value.decode("ascii"))))


def encode_request(hosted: HostedRequest) -> HttpRequest:
    """Return the HTTP request that carries ``hosted`` to the host daemon.

    Headers of the client with the names of those added here are dropped: the host
    daemon would take them for the entry daemon's.
    """
    request = hosted.request
    fields = (
        hosted.service,
        str(hosted.priority),
        hosted.route,
        _encode_flag(hosted.safe),
        _encode_flag(hosted.late),
        str(max(0, int(hosted.remaining_time * 1000))),
        str(int(hosted.max_wait * 1000)),
        request.client_service,
        request.attempt_id,
    )
    value = ",".join(quote(each, safe="") for each in fields).encode()
    retry = ((RETRY_HEADER, _TRUE.encode()),) if hosted.retry else ()
    resent: tuple[Header, ...] = ()
    if hosted.resent_after is not None:
        resent = ((RESENT_HEADER, b"%d" % int(hosted.resent_after * 1000)),)
    if hosted.first_sent_to is not None:
        resent += ((FIRST_SENT_TO_HEADER, hosted.first_sent_to.encode()),)
    own_headers = ((_HOST, request.host.encode()), (CALL_HEADER, value))
    return HttpRequest(
        method=request.method,
        target=request.request_target,
        headers=(
            *own_headers,
            *retry,
            *resent,
            *_encode_number(hosted.number),
            *_encode_limit(hosted.known_limit),
            *_encode_account(request.account),
            *(
                pair
                for pair in request.headers
                if pair[0] not in _ADDED_REQUEST_HEADERS
            ),
        ),
        body=request.body,
    )


def decode_request(request: HttpRequest) -> HostedRequest | None:
    """Return the forwarded request in ``request``, None if it is malformed."""
    value = request.header(CALL_HEADER)
    if value is None:
        return None
    try:
        fields = [unquote(each) for each in value.decode("ascii").split(",")]
        (
            service,
            priority,
            route,
            safe,
            late,
            remaining_ms,
            max_wait_ms,
            client_service,
            attempt_id,
        ) = fields
        resent_ms = request.header(RESENT_HEADER)
        first_sent_to = request.header(FIRST_SENT_TO_HEADER)
        headers = tuple(
            pair for pair in request.headers if pair[0] not in _ADDED_REQUEST_HEADERS
        )
        client_request = ClientRequest(
            attempt_id=attempt_id,
            method=request.method,
            host=(request.header(_HOST) or b"").decode("latin-1"),
            request_target=request.target,
            headers=headers,
            body=request.body,
            client_service=ServiceName(client_service),
            arrived_at=request.arrived,
            remaining_time=ranges.parse_seconds(remaining_ms),
            account=_decode_account(request.header(ACCOUNT_HEADER)),
        )
        return HostedRequest(
            request=client_request,
            service=ServiceName(service),
            priority=ranges.parse_integer(priority),
            route=route,
            safe=safe == _TRUE,
            late=late == _TRUE,
            retry=request.header(RETRY_HEADER) is not None,
            resent_after=None if resent_ms is None else ranges.parse_seconds(resent_ms),
            first_sent_to=(
                None
                if first_sent_to is None
                else DaemonStart(ranges.token(first_sent_to.decode("ascii")))
            ),
            number=_decode_number(request.header(NUMBER_HEADER)),
            known_limit=_decode_limit(request.header(LIMIT_HEADER)),
            remaining_time=ranges.parse_seconds(remaining_ms),
            max_wait=ranges.parse_seconds(max_wait_ms),
        )
    except ValueError:
        return None


def encode_reply(reply: HostReply, *, attempt_id: str) -> HttpResponse:
    """Return the HTTP response that carries ``reply`` to the entry daemon.

    ``attempt_id`` is that of the request, empty if it has none.
    """
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
    own_headers: tuple[Header, ...] = ((REPLY_HEADER, ",".join(fields).encode()),)
    own_headers += _encode_leaving(reply.leaving_target)
    if load is not None:
        own_headers += _encode_limit(load.rate_limit)
        own_headers += _encode_link(load.link_seconds)
    if attempt_id:
        own_headers += ((ATTEMPT_HEADER, attempt_id.encode("latin-1")),)
    response = reply.response
    if response is None:
        return HttpResponse(status=_NO_RESPONSE_STATUS, headers=own_headers)
    return HttpResponse(
        status=response.status,
        reason=response.reason,
        headers=(*own_headers, *response.headers),
        body=response.body,
    )


def attempt_id_of(response: HttpResponse) -> str | None:
    """Return the attempt id that a reply names, None if it names none."""
    value = response.header(ATTEMPT_HEADER)
    return None if value is None else value.decode("latin-1")


def decode_reply(response: HttpResponse) -> HostReply | None:
    """Return the reply in ``response``, None if it is malformed."""
    value = response.header(REPLY_HEADER)
    if value is None:
        return None
    try:
        outcome, reason, run_ms, *load_fields = value.decode("ascii").split(",")
        headers = tuple(
            pair for pair in response.headers if pair[0] not in _ADDED_REPLY_HEADERS
        )
        target_response = TargetResponse(
            status=response.status,
            reason=response.reason,
            headers=headers,
            body=response.body,
        )
        has_response = response.status != _NO_RESPONSE_STATUS
        return HostReply(
            outcome=HostOutcome(outcome),
            reason=HostReason(reason),
            response=target_response if has_response else None,
            load=(
                _decode_load(
                    load_fields,
                    _decode_limit(response.header(LIMIT_HEADER)),
                    ranges.parse_seconds(response.header(LINK_HEADER) or b"0"),
                )
                if load_fields
                else None
            ),
            run_seconds=ranges.parse_seconds(run_ms),
            leaving_target=_decode_leaving(response.header(LEAVING_HEADER)),
        )
    except ValueError:
        return None


def _decode_load(
    fields: list[str], rate_limit: float | None, link_seconds: float
) -> HostLoad:
    running, waiting, slots, service_ms, failure_share, route_service_ms = fields
    return HostLoad(
        running=ranges.parse_integer(running),
        waiting=ranges.parse_integer(waiting),
        slots=max(1, ranges.parse_integer(slots, high=ranges.MAX_SLOTS)),
        service_seconds=ranges.parse_seconds(service_ms),
        failure_share=ranges.parse_number(failure_share, 0.0, 1.0),
        route_service_seconds=ranges.parse_seconds(route_service_ms),
        rate_limit=rate_limit,
        link_seconds=link_seconds,
    )
