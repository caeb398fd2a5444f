"""Frames of the call protocol between an entry daemon and a host daemon.

A frame is one CBOR array: the frame type, the stream id and the frame's fields.
Small bodies travel inside HEAD and ANSWER, so that a usual call takes one frame
each way. Longer bodies follow as DATA frames, bounded by CREDIT, and END states
the total number of bytes.
"""

import math
import re
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import cbor2

from ...exceptions import ProtocolError
from ..state.lists import CallClass
from ..state.refusals import Executed, Refusal, RefusalReason
from ..state.targets import LoadReport

# Bodies up to this size travel inside HEAD or ANSWER.
INLINE_BODY = 64 * 1024
# Largest body part in one DATA frame; smaller parts interleave better.
DATA_PART = 32 * 1024
# Bytes a sender may have outstanding on one stream before it waits for CREDIT.
STREAM_CREDIT = 256 * 1024
MAX_FRAME = 1024 * 1024

_LINE_END = re.compile(r"[\r\n\0]")
_CALL_CLASSES = frozenset(each.value for each in CallClass)

Headers = list[tuple[str, str]]


class FrameType(IntEnum):
    """First element of a frame."""

    HEAD = 1
    DATA = 2
    END = 3
    RESET = 4
    CREDIT = 5
    ANSWER = 6
    REQUEST = 7
    REPLY = 8
    CANCEL = 9


@dataclass(frozen=True, slots=True, kw_only=True)
class CallHead:
    """What the host daemon needs to know of a call.

    ``remaining`` is the time left in seconds when the frame was sent, ``path``
    includes the query, ``body_length`` is None when the length is not known.
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
    """Opens a stream; ``body`` is the whole body, or None if DATA frames follow."""

    stream: int
    head: CallHead
    body: bytes | None


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerFrame:
    """Head of an answer; ``body`` is the whole body, or None if DATA follows."""

    stream: int
    status: int
    headers: Headers
    body_length: int | None
    body: bytes | None
    report: LoadReport | None


@dataclass(frozen=True, slots=True, kw_only=True)
class DataFrame:
    """A part of a body."""

    stream: int
    data: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class EndFrame:
    """The body is complete and ``total`` bytes long."""

    stream: int
    total: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ResetFrame:
    """The call ends with a refusal, before or within the answer."""

    stream: int
    refusal: Refusal
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CreditFrame:
    """The receiver takes ``count`` more bytes on the stream."""

    stream: int
    count: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CancelFrame:
    """The caller went away or its deadline passed."""

    stream: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestFrame:
    """A message that expects one REPLY with the same stream id."""

    stream: int
    payload: Any


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplyFrame:
    """The reply to a REQUEST; payload None means that it was not understood."""

    stream: int
    payload: Any


Frame = (
    HeadFrame
    | AnswerFrame
    | DataFrame
    | EndFrame
    | ResetFrame
    | CreditFrame
    | CancelFrame
    | RequestFrame
    | ReplyFrame
)


def encode_frame(frame: Frame) -> bytes:
    """Return the wire form of a frame."""
    return cbor2.dumps(_to_wire(frame))


def decode_frame(data: bytes) -> Frame:
    """Return the frame in ``data``; raise ``ProtocolError`` if there is none."""
    try:
        items = cbor2.loads(data)
        if not isinstance(items, list) or not isinstance(items[1], int):
            raise ProtocolError("frame is not an array with a stream id")
        return _DECODER_BY_TYPE[items[0]](items)
    except ProtocolError:
        raise
    # The decoder raises many types for malformed input; none may escape.
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
        case AnswerFrame():
            return [
                FrameType.ANSWER,
                frame.stream,
                frame.status,
                frame.headers,
                frame.body_length,
                frame.body,
                _report_to_wire(frame.report),
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
                _report_to_wire(frame.report),
            ]
        case CreditFrame():
            return [FrameType.CREDIT, frame.stream, frame.count]
        case CancelFrame():
            return [FrameType.CANCEL, frame.stream]
        case RequestFrame():
            return [FrameType.REQUEST, frame.stream, frame.payload]
        case ReplyFrame():
            return [FrameType.REPLY, frame.stream, frame.payload]


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
    # Fields appended by a newer version are ignored.
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
        target=_text(target),
        service=_text(service),
        route=_text(route),
        customer=_text(customer),
        call_class=_call_class(call_class),
        method=_field(method),
        path=_field(path),
        headers=[(_field(name), _field(value)) for name, value in headers],
        remaining=_seconds(remaining),
        attempt=int(attempt),
        depth=int(depth),
        fingerprint=_bytes(fingerprint),
        idempotent=bool(idempotent),
        body_length=None if body_length is None else _count(body_length),
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
        detail=_text(detail),
        retry_after=None if retry_after is None else float(retry_after),
        retried=bool(retried),
    )


def _report_to_wire(report: LoadReport | None) -> list[Any] | None:
    if report is None:
        return None
    return [report.slots, report.in_flight, report.queued]


def _report_from_wire(items: list[Any] | None) -> LoadReport | None:
    if items is None:
        return None
    slots, in_flight, queued = items[:3]
    return LoadReport(
        slots=_count(slots),
        in_flight=_count(in_flight),
        queued=_count(queued),
    )


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise ProtocolError(f"expected text, got {type(value).__name__}")
    return value


def _field(value: Any) -> str:
    """Return text that may stand in the head of an HTTP request."""
    text = _text(value)
    if _LINE_END.search(text):
        raise ProtocolError("line end within a header, method or path")
    return text


def _call_class(value: Any) -> str:
    if value not in _CALL_CLASSES:
        raise ProtocolError(f"unknown call class {value!r}")
    return str(value)


def _seconds(value: Any) -> float:
    seconds = float(value)
    if not 0 <= seconds < math.inf:
        raise ProtocolError("expected a time in seconds")
    return seconds


def _bytes(value: Any) -> bytes:
    if not isinstance(value, bytes):
        raise ProtocolError(f"expected bytes, got {type(value).__name__}")
    return value


def _count(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ProtocolError("expected a count")
    return value


def _headers(value: Any) -> Headers:
    return [(_text(name), _text(content)) for name, content in value]


def _optional_bytes(value: Any) -> bytes | None:
    return None if value is None else _bytes(value)


def _decode_answer(items: list[Any]) -> AnswerFrame:
    _, stream, status, headers, length, body, report = items[:7]
    return AnswerFrame(
        stream=stream,
        status=_count(status),
        headers=_headers(headers),
        body_length=None if length is None else _count(length),
        body=_optional_bytes(body),
        report=_report_from_wire(report),
    )


_DECODER_BY_TYPE: dict[int, Callable[[list[Any]], Frame]] = {
    FrameType.HEAD: lambda items: HeadFrame(
        stream=items[1],
        head=_head_from_wire(items[2]),
        body=_optional_bytes(items[3]),
    ),
    FrameType.ANSWER: _decode_answer,
    FrameType.DATA: lambda items: DataFrame(stream=items[1], data=_bytes(items[2])),
    FrameType.END: lambda items: EndFrame(stream=items[1], total=_count(items[2])),
    FrameType.RESET: lambda items: ResetFrame(
        stream=items[1],
        refusal=_refusal_from_wire(items[2]),
        report=_report_from_wire(items[3]),
    ),
    FrameType.CREDIT: lambda items: CreditFrame(
        stream=items[1], count=_count(items[2])
    ),
    FrameType.CANCEL: lambda items: CancelFrame(stream=items[1]),
    FrameType.REQUEST: lambda items: RequestFrame(stream=items[1], payload=items[2]),
    FrameType.REPLY: lambda items: ReplyFrame(stream=items[1], payload=items[2]),
}
