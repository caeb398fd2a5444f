"""Requests and responses of clients and targets with the platform's headers."""

from .._internal import metrics
from .._internal.coordination.mesh.final_responses import (
    FinalResponse,
    KeyRefused,
    NoRoute,
    NotRun,
    OutcomeUnknown,
    OverQuota,
)
from .._internal.coordination.mesh.target_responses import (
    DecodedTargetResponse,
    TargetCodec,
)
from .._internal.ids import ServiceName, TargetId
from .._internal.protocol.http1 import (
    Header,
    HttpRequest,
    HttpResponse,
    end_to_end,
)
from .._internal.state import ranges
from .._internal.state.calls import ClientRequest, TargetResponse

_ATTEMPT_ID = b"x-cassiasail-attempt-id"
_DEADLINE = b"x-cassiasail-deadline-ms"
_DISPATCH_TARGET = b"x-cassiasail-target-instance"
_CLIENT_SERVICE = b"x-cassiasail-caller-service"
_NOT_RUN = b"x-cassiasail-not-run"
_LOAD_REPORT = b"x-cassiasail-server-load"
_RATE_LIMIT = b"server-limit"
_LEAVING = b"server-leaving"
_STAMP = b"x-cassiasail-server-stamp"
_TARGET_ID = b"x-cassiasail-instance-id"
_HOST = b"host"
_RETRY_AFTER = b"retry-after"
_ACCOUNT = b"x-cassiasail-tenant"
_AUTHORIZATION = b"authorization"
_CHALLENGE = b"www-authenticate"
# Scheme of the ``Authorization`` header that carries the key of a client account.
_KEY_SCHEME = "token"
# A request with several keys names no account.
_AMBIGUOUS_KEY = ""

# Carried in fields of the decoded request, or set by the host daemon at dispatch.
_DAEMON_REQUEST_HEADERS = frozenset(
    (_ATTEMPT_ID, _DEADLINE, _DISPATCH_TARGET, _CLIENT_SERVICE, _ACCOUNT, _HOST)
)
# Meant for the host daemon; clients have no use for them.
_DAEMON_RESPONSE_HEADERS = frozenset((_LOAD_REPORT, _TARGET_ID, b"date"))
_MISDIRECTED_STATUS = 421


def decode_request(
    request: HttpRequest, *, client_service: ServiceName, takes_keys: bool = False
) -> ClientRequest:
    """Return the request of a client or target; ``client_service`` is its service.

    Drops hop-by-hop headers, the headers in ``_DAEMON_REQUEST_HEADERS`` and the port of
    the ``Host`` header. If the configuration ``takes_keys`` of client accounts, the
    header with the key is dropped as well, so that no target sees it.
    """
    headers = tuple(
        pair
        for pair in end_to_end(request.headers)
        if pair[0] not in _DAEMON_REQUEST_HEADERS
        and not (takes_keys and _is_account_key(pair))
    )
    host = (request.header(_HOST) or b"").decode("latin-1").lower()
    name, colon, port = host.rpartition(":")
    if colon and port.isdigit():
        host = name
    return ClientRequest(
        attempt_id=attempt_id_of(request),
        method=request.method,
        host=host,
        request_target=request.target,
        headers=headers,
        body=request.body,
        client_service=client_service,
        arrived_at=request.arrived,
        remaining_time=_decode_deadline(request.header(_DEADLINE)),
        account_key=_decode_account_key(request) if takes_keys else None,
    )


def _is_account_key(header: Header) -> bool:
    name, value = header
    scheme = value.strip().partition(b" ")[0]
    return name == _AUTHORIZATION and scheme.lower() == _KEY_SCHEME.encode()


def _decode_account_key(request: HttpRequest) -> str | None:
    """Return the key of a client account, None if the client sent none."""
    keys = [value for name, value in filter(_is_account_key, request.headers)]
    if not keys:
        return None
    if len(keys) > 1:
        return _AMBIGUOUS_KEY
    return keys[0].strip().partition(b" ")[2].strip().decode("latin-1")


def attempt_id_of(request: HttpRequest) -> str:
    """Return the attempt id of a client's request, empty without one."""
    return (request.header(_ATTEMPT_ID) or b"").decode("latin-1")


def _decode_deadline(value: bytes | None) -> float | None:
    """Return the remaining seconds, None if the header is missing or malformed."""
    if value is None:
        return None
    try:
        milliseconds = float(value)
    except ValueError:
        return None
    if milliseconds != milliseconds:
        return None
    return max(0.0, milliseconds / 1000)


def encode_client_response(result: FinalResponse, attempt_id: str) -> HttpResponse:
    """Return the response that a client receives for ``result``.

    A response of the target is passed on. Otherwise the daemon responds itself and
    echoes the attempt id: 404 without a route, 401 without a valid key of an account,
    429 over the quota of the account, 503 for another request that was not run, and 502
    or 504 (timeout) for one that may have run.
    """
    if isinstance(result, TargetResponse):
        return HttpResponse(
            status=result.status,
            reason=result.reason,
            headers=result.headers,
            body=result.body,
        )
    echoed = ((_ATTEMPT_ID, attempt_id.encode("latin-1")),) if attempt_id else ()
    match result:
        case NoRoute():
            return HttpResponse(status=404, headers=echoed)
        case KeyRefused():
            challenge = (_CHALLENGE, _KEY_SCHEME.capitalize().encode())
            return HttpResponse(status=401, headers=(*echoed, challenge))
        case NotRun(retry_after=seconds) | OverQuota(retry_after=seconds):
            status = 429 if isinstance(result, OverQuota) else 503
            retry_after = (_RETRY_AFTER, f"{seconds:.2f}".encode())
            return HttpResponse(status=status, headers=(*echoed, retry_after))
        case OutcomeUnknown(timed_out=timed_out):
            return HttpResponse(status=504 if timed_out else 502, headers=echoed)


def _encode_target_request(
    request: ClientRequest, target: TargetId, remaining_time: float
) -> HttpRequest:
    """Return ``request`` for dispatch to ``target``.

    ``remaining_time`` is the time in seconds until the deadline of the request.
    """
    dispatch_headers = [
        (_HOST, request.host.encode("latin-1")),
        (_DEADLINE, str(max(1, int(remaining_time * 1000))).encode()),
        (_DISPATCH_TARGET, target.encode()),
        (_CLIENT_SERVICE, request.client_service.encode()),
    ]
    if request.account is not None:
        dispatch_headers.append((_ACCOUNT, request.account.encode()))
    if request.attempt_id:
        dispatch_headers.append((_ATTEMPT_ID, request.attempt_id.encode("latin-1")))
    return HttpRequest(
        method=request.method,
        target=request.request_target,
        headers=(*dispatch_headers, *request.headers),
        body=request.body,
    )


def _decode_target_response(response: HttpResponse) -> DecodedTargetResponse:
    """Return the response of a target and whether the target ran the request.

    The request counts as run unless the response has the not-run header or status 421,
    by which another target than the addressed one rejects it.
    """
    passed_on = tuple(
        pair
        for pair in end_to_end(response.headers)
        if pair[0] not in _DAEMON_RESPONSE_HEADERS
    )
    return DecodedTargetResponse(
        response=TargetResponse(
            status=response.status,
            reason=response.reason,
            headers=passed_on,
            body=response.body,
        ),
        ran=_has_run(response),
        misdirected=response.status == _MISDIRECTED_STATUS,
        rate_limit=_decode_rate_limit(response.header(_RATE_LIMIT)),
        leaving=response.header(_LEAVING) == b"1",
        valid=response.status // 100 != 2 or response.header(_STAMP) is not None,
    )


def _has_run(response: HttpResponse) -> bool:
    return response.header(_NOT_RUN) is None and response.status != _MISDIRECTED_STATUS


def _decode_rate_limit(value: bytes | None) -> float | None:
    """Return the requests a second, None if the header is missing or malformed."""
    if value is None:
        return None
    try:
        return ranges.parse_number(value, 0.0, ranges.MAX_RATE)
    except ranges.OutOfRangeError:
        metrics.MESH_ENTRIES_REFUSED.labels("target_limit").inc()
        return None


def _decode_attempt_id(response: HttpResponse) -> str | None:
    """Return the attempt id that a target echoes, None without one."""
    attempt_id = response.header(_ATTEMPT_ID)
    return None if attempt_id is None else attempt_id.decode("latin-1")


TARGET_CODEC = TargetCodec(
    encode=_encode_target_request,
    decode=_decode_target_response,
    attempt_id_of=_decode_attempt_id,
    has_run=_has_run,
)
