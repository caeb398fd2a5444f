"""Bodies of calls on a multiplexed connection, and their flow control."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

from ...exceptions import ProtocolError
from .. import metrics
from ..protocol.frames import STREAM_CREDIT_BYTES, CreditFrame, Frame
from ..state.refusals import Executed, Refusal, RefusalReason


class ReceivedBody:
    """A body that arrives in DATA frames; grants the sender credit as it is read.

    ``expected_length`` is None if it is unknown. ``on_abandon`` is called when the body
    is closed before it has arrived whole.
    """

    def __init__(
        self,
        *,
        stream: int,
        expected_length: int | None,
        send: Callable[[Frame], Awaitable[bool]],
        on_abandon: Callable[[], None],
    ) -> None:
        self._stream = stream
        self._expected_length = expected_length
        self._send = send
        self._on_abandon = on_abandon
        self._parts: deque[bytes] = deque()
        self._received_bytes = 0
        self._granted_bytes = STREAM_CREDIT_BYTES
        self._uncredited_bytes = 0
        self._failure: Refusal | None = None
        self.ended = False
        self._changed = asyncio.Event()

    def add(self, data: bytes) -> None:
        """Queue a part that arrived."""
        if self.ended:
            metrics.FRAMES_DROPPED.labels("after_end").inc()
            return
        self._received_bytes += len(data)
        if self._received_bytes > self._granted_bytes:
            raise ProtocolError("the peer sent more body bytes than its credit allows")
        self._parts.append(data)
        self._changed.set()

    def finish(self, total: int) -> None:
        """End the body; it counts as truncated if its length is not as expected."""
        expected = total if self._expected_length is None else self._expected_length
        if total != self._received_bytes or total != expected:
            self.fail(_short_body(self._received_bytes, expected))
            return
        self.ended = True
        self._changed.set()

    def fail(self, refusal: Refusal) -> None:
        """End the body with ``refusal``, unless it has already ended."""
        if not self.ended:
            self._failure = refusal
            self.ended = True
            self._changed.set()

    async def read(self) -> bytes | None | Refusal:
        while not self._parts and not self.ended:
            self._changed.clear()
            await self._changed.wait()
        if not self._parts:
            return self._failure
        part = self._parts.popleft()
        self._uncredited_bytes += len(part)
        if self._uncredited_bytes >= STREAM_CREDIT_BYTES // 2 and not self.ended:
            count, self._uncredited_bytes = self._uncredited_bytes, 0
            self._granted_bytes += count
            await self._send(CreditFrame(stream=self._stream, count=count))
        return part

    def close(self) -> None:
        if not self.ended:
            self.fail(
                Refusal(reason=RefusalReason.CANCELLED, executed=Executed.UNKNOWN)
            )
            self._on_abandon()


class Credit:
    """Number of bytes that may be sent on a stream before the receiver grants more."""

    def __init__(self) -> None:
        self._available = STREAM_CREDIT_BYTES
        self._changed = asyncio.Event()

    def add(self, count: int) -> None:
        """Add ``count`` bytes that the receiver granted."""
        self._available += count
        self._changed.set()

    async def take(self, count: int) -> None:
        """Wait until ``count`` bytes may be sent and use up this credit."""
        while self._available < count:
            self._changed.clear()
            await self._changed.wait()
        self._available -= count


class BytesReader:
    """A reader for a body that is already in memory."""

    def __init__(self, data: bytes) -> None:
        self._data: bytes | None = data

    async def read(self) -> bytes | None | Refusal:
        data, self._data = self._data, None
        return data

    def close(self) -> None:
        self._data = None


def _short_body(received: int, expected: int) -> Refusal:
    return Refusal(
        reason=RefusalReason.SHORT_BODY,
        executed=Executed.UNKNOWN,
        detail=f"{received} of {expected} bytes arrived",
    )
