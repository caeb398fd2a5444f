"""Requests of clients and their form at the target: the platform's headers."""

from .._internal.coordination.mesh.entry import (
    FinalResponse,
    NoRoute,
    NotRun,
    OutcomeUnknown,
)
from .._internal.coordination.mesh.hosting import DecodedTargetResponse, TargetCodec
from .._internal.ids import ServiceName, TargetId
from .._internal.protocol.http1 import HttpRequest, HttpResponse, end_to_end
from .._internal.state.calls import ClientRequest, TargetResponse

_ATTEMPT = b"x-cassiasail-attempt-id"
_DEADLINE = b"x-cassiasail-deadline-ms"
_TARGET = b"x-cassiasail-target-instance"
_CALLER = b"x-cassiasail-caller-service"
_NOT_RUN = b"x-cassiasail-not-run"
_LOAD = b"x-cassiasail-server-load"
_INSTANCE = b"x-cassiasail-instance-id"
_HOST = b"host"
_RETRY_AFTER = b"retry-after"

# Set by the system or carried in fields of the call.
_OWN_REQUEST_HEADERS = frozenset((_ATTEMPT, _DEADLINE, _TARGET, _CALLER, _HOST))
# Said by the target to the daemon beside it, of no use to clients.
_OWN_ANSWER_HEADERS = frozenset((_LOAD, _INSTANCE, b"date"))
_MISDIRECTED = 421


def decode_request(request: HttpRequest, *, caller: ServiceName) -> ClientRequest:
    """Return the call that a client or a target made; ``caller`` is the service."""
    headers = tuple(
        pair
        for pair in end_to_end(request.headers)
        if pair[0] not in _OWN_REQUEST_HEADERS
    )
    host = (request.header(_HOST) or b"").decode("latin-1").lower()
    name, colon, port = host.rpartition(":")
    if colon and port.isdigit():
        host = name
    return ClientRequest(
        attempt_id=(request.header(_ATTEMPT) or b"").decode("latin-1"),
        method=request.method,
        host=host,
        request_target=request.target,
        headers=headers,
        body=request.body,
        client_service=caller,
        arrived_at=request.arrived,
        remaining_time=_time_left(request.header(_DEADLINE)),
    )


def _time_left(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        milliseconds = float(value)
    except ValueError:
        return None
    if milliseconds != milliseconds:
        return None
    return max(0.0, milliseconds / 1000)


def encode_answer(answer: FinalResponse, attempt: str) -> HttpResponse:
    """Return the response that tells a client the final answer."""
    if isinstance(answer, TargetResponse):
        return HttpResponse(
            status=answer.status,
            reason=answer.reason,
            headers=answer.headers,
            body=answer.body,
        )
    own = ((_ATTEMPT, attempt.encode("latin-1")),) if attempt else ()
    match answer:
        case NoRoute():
            return HttpResponse(status=404, headers=own)
        case NotRun(retry_after=seconds):
            later = (_RETRY_AFTER, f"{seconds:.2f}".encode())
            return HttpResponse(status=503, headers=(*own, later))
        case OutcomeUnknown(timed_out=timed_out):
            return HttpResponse(status=504 if timed_out else 502, headers=own)


def _encode_target_request(
    call: ClientRequest, target: TargetId, left: float
) -> HttpRequest:
    own = [
        (_HOST, call.host.encode("latin-1")),
        (_DEADLINE, str(max(1, int(left * 1000))).encode()),
        (_TARGET, target.encode()),
        (_CALLER, call.client_service.encode()),
    ]
    if call.attempt_id:
        own.append((_ATTEMPT, call.attempt_id.encode("latin-1")))
    return HttpRequest(
        method=call.method,
        target=call.request_target,
        headers=(*own, *call.headers),
        body=call.body,
    )


def _decode_target_response(response: HttpResponse) -> DecodedTargetResponse:
    kept = tuple(
        pair
        for pair in end_to_end(response.headers)
        if pair[0] not in _OWN_ANSWER_HEADERS
    )
    return DecodedTargetResponse(
        response=TargetResponse(
            status=response.status,
            reason=response.reason,
            headers=kept,
            body=response.body,
        ),
        ran=response.header(_NOT_RUN) is None and response.status != _MISDIRECTED,
        misdirected=response.status == _MISDIRECTED,
    )


def _attempt_of(response: HttpResponse) -> str | None:
    attempt = response.header(_ATTEMPT)
    return None if attempt is None else attempt.decode("latin-1")


TARGET_CODEC = TargetCodec(
    encode=_encode_target_request,
    decode=_decode_target_response,
    attempt_id_of=_attempt_of,
)
