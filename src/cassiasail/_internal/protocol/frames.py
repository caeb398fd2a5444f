"""Frames of the call protocol between an entry daemon and a host daemon.

A frame is one CBOR array: the frame type, the stream id and the frame's fields.
HEAD and RESPONSE include small bodies, so that a typical call takes one frame in each
direction. Longer bodies follow in DATA frames, limited by CREDIT, and END has the total
number of bytes.
"""

import math
import re
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import cbor2

from ...exceptions import ProtocolError
from ..state import ranges
from ..state.lists import CallClass
from ..state.refusals import Executed, Refusal, RefusalReason
from ..state.targets import LoadReport

# Bodies up to this size are included in HEAD or RESPONSE.
MAX_INLINE_BODY_BYTES = 64 * 1024
# Largest part of a body in one DATA frame. Small parts let the streams of a connection
# interleave.
MAX_DATA_FRAME_BODY_BYTES = 32 * 1024
# Bytes that a sender may send on one stream before it has to wait for CREDIT.
STREAM_CREDIT_BYTES = 256 * 1024
MAX_FRAME_BYTES = 1024 * 1024

# Characters that would end or split a line of an HTTP request.
_LINE_BREAK = re.compile(r"[\r\n\0]")
_CALL_CLASSES = frozenset(call_class.value for call_class in CallClass)

Headers = list[tuple[str, str]]


class FrameType(IntEnum):
    """Type of a frame: the first item of its CBOR array."""

    HEAD = 1
    DATA = 2
    END = 3
    RESET = 4
    CREDIT = 5
    RESPONSE = 6
    PEER_REQUEST = 7
    PEER_REPLY = 8
    CANCEL = 9


@dataclass(frozen=True, slots=True, kw_only=True)
class CallHead:
    """A call as the entry daemon forwards it to the host daemon, without its body.

    ``path`` includes the query. ``remaining`` is the time in seconds from the sending
    of the frame to the deadline. ``attempt`` numbers the attempts of the entry daemon
    from 1. ``depth`` is the number of calls that led to this one. ``body_length``
    is None if the length is unknown.
    """

    target: str
    service: str
    route: str
    customer: str
    call_class: str
    method: str
    path: str
    headers: Headers
    remaining: float
    attempt: int
    depth: int
    fingerprint: bytes
    idempotent: bool
    body_length: int | None


@dataclass(frozen=True, slots=True, kw_only=True)
class HeadFrame:
    """Opens a stream. ``body`` is the whole body, None if DATA frames follow."""

    stream: int
    head: CallHead
    body: bytes | None


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseFrame:
    """Status and headers of a response.

    ``body`` is the whole body, None if DATA frames follow.
    """

    stream: int
    status: int
    headers: Headers
    body_length: int | None
    body: bytes | None
    load_report: LoadReport | None


@dataclass(frozen=True, slots=True, kw_only=True)
class DataFrame:
    """One part of a body."""

    stream: int
    data: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class EndFrame:
    """Ends a body that was sent in DATA frames; ``total`` is its length in bytes."""

    stream: int
    total: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ResetFrame:
    """Ends a call with a refusal, instead of a response or in the middle of one."""

    stream: int
    refusal: Refusal
    load_report: LoadReport | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CreditFrame:
    """Lets the other side send ``count`` more bytes of a body on the stream."""

    stream: int
    count: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CancelFrame:
    """Cancels a call whose caller disconnected or whose deadline passed."""

    stream: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerRequestFrame:
    """A message between daemons that expects one PEER_REPLY with its stream id."""

    stream: int
    payload: Any


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerReplyFrame:
    """The reply to a PEER_REQUEST; payload None means that it was not understood."""

    stream: int
    payload: Any


Frame = (
    HeadFrame
    | ResponseFrame
    | DataFrame
    | EndFrame
    | ResetFrame
    | CreditFrame
    | CancelFrame
    | PeerRequestFrame
    | PeerReplyFrame
)


def encode_frame(frame: Frame) -> bytes:
    """Return the CBOR encoding of ``frame``."""
    return cbor2.dumps(_to_wire(frame))


def decode_frame(data: bytes) -> Frame:
    """Return the frame in ``data``; raise ``ProtocolError`` if it is malformed."""
    try:
        items = cbor2.loads(data)
        if not isinstance(items, list) or not isinstance(items[1], int):
            raise ProtocolError("a frame must be an array with an integer stream id")
        return _DECODER_BY_TYPE[items[0]](items)
    except ProtocolError:
        raise
    # Malformed input makes the CBOR decoder and the constructors raise many types of
    # exceptions; callers handle ProtocolError only.
    except (
        cbor2.CBORDecodeError,
        LookupError,
        TypeError,
        ValueError,
        OverflowError,
        RecursionError,
        MemoryError,
    ) as error:
        raise ProtocolError(f"malformed frame: {error!r}") from None


def _to_wire(frame: Frame) -> list[Any]:
    match frame:
        case HeadFrame():
            return [FrameType.HEAD, frame.stream, _head_to_wire(frame.head), frame.body]
        case ResponseFrame():
            return [
                FrameType.RESPONSE,
                frame.stream,
                frame.status,
                frame.headers,
                frame.body_length,
                frame.body,
                _load_report_to_wire(frame.load_report),
            ]
        case DataFrame():
            return [FrameType.DATA, frame.stream, frame.data]
        case EndFrame():
            return [FrameType.END, frame.stream, frame.total]
        case ResetFrame():
            return [
                FrameType.RESET,
                frame.stream,
                _refusal_to_wire(frame.refusal),
                _load_report_to_wire(frame.load_report),
            ]
        case CreditFrame():
            return [FrameType.CREDIT, frame.stream, frame.count]
        case CancelFrame():
            return [FrameType.CANCEL, frame.stream]
        case PeerRequestFrame():
            return [FrameType.PEER_REQUEST, frame.stream, frame.payload]
        case PeerReplyFrame():
            return [FrameType.PEER_REPLY, frame.stream, frame.payload]


def _head_to_wire(head: CallHead) -> list[Any]:
    return [
        head.target,
        head.service,
        head.route,
        head.customer,
        head.call_class,
        head.method,
        head.path,
        head.headers,
        head.remaining,
        head.attempt,
        head.depth,
        head.fingerprint,
        head.idempotent,
        head.body_length,
    ]


def _head_from_wire(items: list[Any]) -> CallHead:
    # A newer version of the software may append fields; they are ignored.
    (
        target,
        service,
        route,
        customer,
        call_class,
        method,
        path,
        headers,
        remaining,
        attempt,
        depth,
        fingerprint,
        idempotent,
        body_length,
    ) = items[:14]
    return CallHead(
        target=_require_text(target),
        service=_require_text(service),
        route=_require_text(route),
        customer=_require_text(customer),
        call_class=_require_call_class(call_class),
        method=_require_single_line(method),
        path=_require_single_line(path),
        headers=[
            (_require_single_line(name), _require_single_line(value))
            for name, value in headers
        ],
        remaining=_parse_seconds(remaining),
        attempt=int(attempt),
        depth=int(depth),
        fingerprint=_require_bytes(fingerprint),
        idempotent=bool(idempotent),
        body_length=None if body_length is None else _require_count(body_length),
    )


def _refusal_to_wire(refusal: Refusal) -> list[Any]:
    return [
        refusal.reason.value,
        refusal.executed.value,
        refusal.detail,
        refusal.retry_after,
        refusal.retried,
    ]


def _refusal_from_wire(items: list[Any]) -> Refusal:
    reason, executed, detail, retry_after, retried = items[:5]
    return Refusal(
        reason=RefusalReason(reason),
        executed=Executed(executed),
        detail=_require_text(detail),
        retry_after=None if retry_after is None else float(retry_after),
        retried=bool(retried),
    )


def _load_report_to_wire(load_report: LoadReport | None) -> list[Any] | None:
    if load_report is None:
        return None
    return [load_report.slots, load_report.in_flight, load_report.queued]


def _load_report_from_wire(items: list[Any] | None) -> LoadReport | None:
    if items is None:
        return None
    slots, in_flight, queued = items[:3]
    return LoadReport(
        slots=_require_count(slots),
        in_flight=_require_count(in_flight),
        queued=_require_count(queued),
    )


def _require_text(value: Any) -> str:
    if not isinstance(value, str):
        raise ProtocolError(f"expected text, got {type(value).__name__}")
    return value


def _require_single_line(value: Any) -> str:
    """Return ``value`` if it is text without line breaks and NUL characters.

    Otherwise a peer could inject lines into the request to the target.
    """
    text = _require_text(value)
    if _LINE_BREAK.search(text):
        raise ProtocolError("line break or NUL in a header, method or path")
    return text


def _require_call_class(value: Any) -> str:
    if value not in _CALL_CLASSES:
        raise ProtocolError(f"unknown call class {value!r}")
    return str(value)


def _parse_seconds(value: Any) -> float:
    seconds = float(value)
    if not 0 <= seconds < math.inf:
        raise ProtocolError("expected a finite time in seconds, at least 0")
    return seconds


def _require_bytes(value: Any) -> bytes:
    if not isinstance(value, bytes):
        raise ProtocolError(f"expected bytes, got {type(value).__name__}")
    return value


def _require_count(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ProtocolError("expected an integer, at least 0")
    return value


def _require_status(value: Any) -> int:
    try:
        return ranges.http_status(value)
    except ranges.OutOfRangeError as error:
        raise ProtocolError(f"status of a response: {error}") from error


def _parse_headers(value: Any) -> Headers:
    return [(_require_text(name), _require_text(text)) for name, text in value]


def _require_optional_bytes(value: Any) -> bytes | None:
    return None if value is None else _require_bytes(value)


def _decode_response(items: list[Any]) -> ResponseFrame:
    _, stream, status, headers, body_length, body, load_report = items[:7]
    return ResponseFrame(
        stream=stream,
        status=_require_status(status),
        headers=_parse_headers(headers),
        body_length=None if body_length is None else _require_count(body_length),
        body=_require_optional_bytes(body),
        load_report=_load_report_from_wire(load_report),
    )


_DECODER_BY_TYPE: dict[int, Callable[[list[Any]], Frame]] = {
    FrameType.HEAD: lambda items: HeadFrame(
        stream=items[1],
        head=_head_from_wire(items[2]),
        body=_require_optional_bytes(items[3]),
    ),
    FrameType.RESPONSE: _decode_response,
    FrameType.DATA: lambda items: DataFrame(
        stream=items[1], data=_require_bytes(items[2])
    ),
    FrameType.END: lambda items: EndFrame(
        stream=items[1], total=_require_count(items[2])
    ),
    FrameType.RESET: lambda items: ResetFrame(
        stream=items[1],
        refusal=_refusal_from_wire(items[2]),
        load_report=_load_report_from_wire(items[3]),
    ),
    FrameType.CREDIT: lambda items: CreditFrame(
        stream=items[1], count=_require_count(items[2])
    ),
    FrameType.CANCEL: lambda items: CancelFrame(stream=items[1]),
    FrameType.PEER_REQUEST: lambda items: PeerRequestFrame(
        stream=items[1], payload=items[2]
    ),
    FrameType.PEER_REPLY: lambda items: PeerReplyFrame(
        stream=items[1], payload=items[2]
    ),
}
