"""Calls multiplexed as streams over one connection between two daemons.

The daemon that opened the connection opens the streams; the other daemon serves them.
Stream ids increase and are never reused, so a late frame of one call can't be taken
for a frame of another call.
"""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from absl import logging

from ...exceptions import ProtocolError
from .. import invariants, metrics
from ..protocol.frames import (
    MAX_DATA_FRAME_BODY_BYTES,
    MAX_FRAME_BYTES,
    MAX_INLINE_BODY_BYTES,
    CallHead,
    CancelFrame,
    CreditFrame,
    DataFrame,
    EndFrame,
    Frame,
    HeadFrame,
    PeerReplyFrame,
    PeerRequestFrame,
    ResetFrame,
    ResponseFrame,
    decode_frame,
    encode_frame,
)
from ..protocol.responses import Body, BodyReader, CallResponse, close_body
from ..state.refusals import Executed, Refusal, RefusalReason
from ..state.targets import LoadReport
from .bodies import BytesReader, Credit, ReceivedBody


class Socket(Protocol):
    """A message connection; ``recv`` returns None once it is closed."""

    async def send(self, data: bytes) -> bool: ...

    async def recv(self) -> bytes | None: ...

    async def close(self) -> None: ...


CallHandler = Callable[[CallHead, Body], Awaitable[CallResponse | Refusal]]
CallResult = tuple[CallResponse | Refusal, LoadReport | None]
PeerRequestHandler = Callable[[Any], Awaitable[Any]]
LoadReportSource = Callable[[CallHead], LoadReport | None]


def peer_lost(executed: Executed) -> Refusal:
    """Return the refusal for a call whose connection was lost."""
    return Refusal(
        reason=RefusalReason.PEER_LOST,
        executed=executed,
        detail="the connection to the host daemon was lost",
    )


class _OutgoingCall:
    """State of a call forwarded to the peer.

    ``first_frame`` is the first frame of the result: the start of the response, or a
    reset with the refusal.
    """

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.first_frame: asyncio.Future[ResponseFrame | ResetFrame] = (
            loop.create_future()
        )
        self.credit = Credit()
        self.body: ReceivedBody | None = None
        self.sender: asyncio.Task[None] | None = None


class _IncomingCall:
    """State of a call received from the peer."""

    def __init__(self) -> None:
        self.task: asyncio.Task[None] | None = None
        self.credit = Credit()
        self.body: ReceivedBody | None = None


class CallConnection:
    """One side of a multiplexed connection.

    ``serve_call`` and ``serve_request`` handle the calls and the requests of the peer;
    ``load_report_for`` returns the load report that is sent with each response.
    """

    def __init__(
        self,
        *,
        socket: Socket,
        serve_call: CallHandler,
        serve_request: PeerRequestHandler,
        load_report_for: LoadReportSource,
    ) -> None:
        self._socket = socket
        self._serve_call = serve_call
        self._serve_request = serve_request
        self._load_report_for = load_report_for
        self._next_stream = itertools.count(1)
        self._last_incoming_stream = 0
        self._outgoing_by_stream: dict[int, _OutgoingCall] = {}
        self._incoming_by_stream: dict[int, _IncomingCall] = {}
        self._replies_by_stream: dict[int, asyncio.Future[Any]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.closed = False
        # Calls and requests sent so far. A change shows that the connection was used.
        self.opened_stream_count = 0

    @property
    def idle(self) -> bool:
        """Whether no call is open and no request waits for its reply."""
        return not (
            self._outgoing_by_stream
            or self._incoming_by_stream
            or self._replies_by_stream
        )

    async def run(self) -> None:
        """Read frames until the connection closes."""
        try:
            while (data := await self._socket.recv()) is not None:
                if len(data) > MAX_FRAME_BYTES:
                    raise ProtocolError(f"frame of {len(data)} bytes is too large")
                self._receive(decode_frame(data))
        except ProtocolError as error:
            metrics.MESSAGES_REFUSED.labels("malformed_frame").inc()
            logging.warning(
                "closing a call connection after a protocol error: %s", error
            )
        finally:
            self._end_all_streams()
            await self._socket.close()

    async def call(self, head: CallHead, body: Body) -> CallResult:
        """Forward a call; return the response or refusal with the load report."""
        if self.closed:
            return peer_lost(Executed.NO), None
        self.opened_stream_count += 1
        stream = next(self._next_stream)
        call = _OutgoingCall()
        self._outgoing_by_stream[stream] = call
        finished = False
        try:
            inline = body if isinstance(body, bytes) else None
            if inline is not None and len(inline) > MAX_INLINE_BODY_BYTES:
                body, inline = BytesReader(inline), None
            if not await self._send(HeadFrame(stream=stream, head=head, body=inline)):
                return peer_lost(Executed.UNKNOWN), None
            if inline is None and not isinstance(body, bytes):
                sending = self._send_request_body(stream, body, call.credit)
                call.sender = self._spawn(sending)
            frame = await call.first_frame
            finished = True
        finally:
            if not finished:
                self._cancel_outgoing(stream)
        return self._response_from(stream, call, frame), frame.load_report

    async def request(self, payload: Any, timeout: float) -> Any:
        """Send a request to the peer and return its reply.

        Returns None if the connection was lost or ``timeout`` seconds have passed.
        """
        if self.closed:
            return None
        self.opened_stream_count += 1
        stream = next(self._next_stream)
        reply: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._replies_by_stream[stream] = reply
        try:
            if not await self._send(PeerRequestFrame(stream=stream, payload=payload)):
                return None
            async with asyncio.timeout(timeout):
                return await reply
        except TimeoutError:
            return None
        finally:
            self._replies_by_stream.pop(stream, None)

    async def close(self) -> None:
        """Close the connection; calls in flight end with ``PEER_LOST``."""
        # Set before closing, so that a call that starts in the meantime opens a new
        # connection instead of ending with an unknown outcome.
        self.closed = True
        await self._socket.close()

    def _response_from(
        self, stream: int, call: _OutgoingCall, frame: ResponseFrame | ResetFrame
    ) -> CallResponse | Refusal:
        if isinstance(frame, ResetFrame):
            self._drop_outgoing(stream)
            return frame.refusal
        # If the body has already arrived whole, the stream is no longer in
        # ``_outgoing_by_stream``. ``call`` still has the body.
        body: Body | None = frame.body
        if body is None:
            body = call.body
        else:
            self._drop_outgoing(stream)
        invariants.check("answer_has_body", body is not None, f"stream {stream}")
        return CallResponse(
            status=frame.status,
            headers=frame.headers,
            body_length=frame.body_length,
            body=b"" if body is None else body,
            load_report=frame.load_report,
        )

    def _spawn(self, coroutine: Any) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _send(self, frame: Frame) -> bool:
        return await self._socket.send(encode_frame(frame))

    def _cancel_outgoing(self, stream: int) -> None:
        if self._drop_outgoing(stream) and not self.closed:
            self._spawn(self._send_cancel(stream))

    def _drop_outgoing(self, stream: int) -> bool:
        call = self._outgoing_by_stream.pop(stream, None)
        if call is None:
            return False
        # A response can complete while the request body is still being sent.
        if call.sender is not None:
            call.sender.cancel()
        return True

    async def _send_cancel(self, stream: int) -> None:
        await self._send(CancelFrame(stream=stream))

    async def _send_request_body(
        self, stream: int, body: BodyReader, credit: Credit
    ) -> None:
        refusal = await self._send_body(stream, body, credit)
        if refusal is not None:
            await self._send(CancelFrame(stream=stream))

    async def _send_body(
        self, stream: int, body: BodyReader, credit: Credit
    ) -> Refusal | None:
        """Send ``body`` as the credit allows; return the refusal that truncated it."""
        total = 0
        while True:
            part = await body.read()
            if isinstance(part, Refusal):
                return part
            if part is None:
                break
            for start in range(0, len(part), MAX_DATA_FRAME_BODY_BYTES):
                data = part[start : start + MAX_DATA_FRAME_BODY_BYTES]
                await credit.take(len(data))
                if not await self._send(DataFrame(stream=stream, data=data)):
                    body.close()
                    return None
                total += len(data)
        await self._send(EndFrame(stream=stream, total=total))
        return None

    def _receive(self, frame: Frame) -> None:
        match frame:
            case HeadFrame():
                self._start_incoming(frame)
            case ResponseFrame() | ResetFrame():
                self._receive_response(frame)
            case DataFrame() | EndFrame():
                self._receive_body(frame)
            case CreditFrame():
                self._receive_credit(frame)
            case CancelFrame():
                self._receive_cancel(frame)
            case PeerRequestFrame():
                self._spawn(self._serve_peer_request(frame))
            case PeerReplyFrame():
                reply = self._replies_by_stream.pop(frame.stream, None)
                if reply is not None and not reply.done():
                    reply.set_result(frame.payload)

    def _start_incoming(self, frame: HeadFrame) -> None:
        if frame.stream <= self._last_incoming_stream:
            raise ProtocolError(f"stream id {frame.stream} was already used")
        self._last_incoming_stream = frame.stream
        call = _IncomingCall()
        self._incoming_by_stream[frame.stream] = call
        body: Body
        if frame.body is not None:
            body = frame.body
        else:
            body = call.body = self._received_body(
                frame.stream, frame.head.body_length, lambda: None
            )
        call.task = self._spawn(self._serve_stream(frame, body, call))

    def _received_body(
        self, stream: int, body_length: int | None, on_abandon: Callable[[], None]
    ) -> ReceivedBody:
        return ReceivedBody(
            stream=stream,
            expected_length=body_length,
            send=self._send,
            on_abandon=on_abandon,
        )

    def _receive_response(self, frame: ResponseFrame | ResetFrame) -> None:
        call = self._outgoing_by_stream.get(frame.stream)
        if call is None:
            metrics.FRAMES_DROPPED.labels("late_answer").inc()
            return
        if call.first_frame.done():
            # After the first frame only a reset is valid; it truncates the body.
            if isinstance(frame, ResetFrame) and call.body is not None:
                call.body.fail(frame.refusal)
                self._drop_outgoing(frame.stream)
            else:
                metrics.FRAMES_DROPPED.labels("second_answer").inc()
            return
        if isinstance(frame, ResponseFrame) and frame.body is None:
            stream = frame.stream
            call.body = self._received_body(
                stream, frame.body_length, lambda: self._cancel_outgoing(stream)
            )
        call.first_frame.set_result(frame)

    def _receive_body(self, frame: DataFrame | EndFrame) -> None:
        # The peer opens no streams on a connection that this daemon opened, and the
        # other way round, so at most one of the two tables has the stream.
        call = self._outgoing_by_stream.get(
            frame.stream
        ) or self._incoming_by_stream.get(frame.stream)
        if call is None or call.body is None:
            metrics.FRAMES_DROPPED.labels("late_data").inc()
            return
        if isinstance(frame, DataFrame):
            call.body.add(frame.data)
            return
        call.body.finish(frame.total)
        self._drop_outgoing(frame.stream)

    def _receive_credit(self, frame: CreditFrame) -> None:
        call = self._outgoing_by_stream.get(
            frame.stream
        ) or self._incoming_by_stream.get(frame.stream)
        if call is not None:
            call.credit.add(frame.count)

    def _receive_cancel(self, frame: CancelFrame) -> None:
        call = self._incoming_by_stream.get(frame.stream)
        if call is not None and call.task is not None:
            call.task.cancel()

    async def _serve_stream(
        self, frame: HeadFrame, body: Body, call: _IncomingCall
    ) -> None:
        try:
            result = await self._serve_or_refuse(frame.head, body)
            report = self._load_report_for(frame.head)
            if isinstance(result, Refusal):
                await self._send(
                    ResetFrame(stream=frame.stream, refusal=result, load_report=report)
                )
                return
            try:
                await self._send_response(frame.stream, result, report, call)
            finally:
                close_body(result.body)
        finally:
            self._incoming_by_stream.pop(frame.stream, None)

    async def _serve_or_refuse(
        self, head: CallHead, body: Body
    ) -> CallResponse | Refusal:
        try:
            return await self._serve_call(head, body)
        except Exception:
            # Without a reset frame the entry daemon would wait until the deadline.
            logging.exception("internal error while serving a call from a peer")
            return Refusal(reason=RefusalReason.INTERNAL, executed=Executed.UNKNOWN)

    async def _send_response(
        self,
        stream: int,
        response: CallResponse,
        report: LoadReport | None,
        call: _IncomingCall,
    ) -> None:
        body: Body = response.body
        inline = body if isinstance(body, bytes) else None
        if inline is not None and len(inline) > MAX_INLINE_BODY_BYTES:
            body, inline = BytesReader(inline), None
        await self._send(
            ResponseFrame(
                stream=stream,
                status=response.status,
                headers=response.headers,
                body_length=response.body_length,
                body=inline,
                load_report=report,
            )
        )
        if inline is not None or isinstance(body, bytes):
            return
        refusal = await self._send_body(stream, body, call.credit)
        if refusal is not None:
            await self._send(ResetFrame(stream=stream, refusal=refusal))

    async def _serve_peer_request(self, frame: PeerRequestFrame) -> None:
        payload = await self._serve_request(frame.payload)
        await self._send(PeerReplyFrame(stream=frame.stream, payload=payload))

    def _end_all_streams(self) -> None:
        self.closed = True
        lost = peer_lost(Executed.UNKNOWN)
        for stream, call in list(self._outgoing_by_stream.items()):
            if call.body is not None:
                call.body.fail(lost)
            if not call.first_frame.done():
                call.first_frame.set_result(ResetFrame(stream=stream, refusal=lost))
        self._outgoing_by_stream.clear()
        for reply in self._replies_by_stream.values():
            if not reply.done():
                reply.set_result(None)
        # Cancels the calls of the peer, whose responses can no longer be delivered.
        for task in list(self._tasks):
            task.cancel()
