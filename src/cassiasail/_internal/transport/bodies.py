"""Bodies on a multiplexed connection: receiving, credit, and complete ones."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

from ...exceptions import ProtocolError
from .. import metrics
from ..protocol.frames import STREAM_CREDIT_BYTES, CreditFrame, Frame
from ..state.refusals import Executed, Refusal, RefusalReason


class ReceivedBody:
    """A body that arrives in DATA frames; grants credit as it is read."""

    def __init__(
        self,
        *,
        stream: int,
        announced: int | None,
        send: Callable[[Frame], Awaitable[bool]],
        stop: Callable[[], None],
    ) -> None:
        self._stream = stream
        self._announced = announced
        self._send = send
        self._stop = stop
        self._parts: deque[bytes] = deque()
        self._received = 0
        self._granted = STREAM_CREDIT_BYTES
        self._unacknowledged = 0
        self._end: Refusal | None = None
        self.ended = False
        self._changed = asyncio.Event()

    def add(self, data: bytes) -> None:
        """Queue a part that arrived."""
        if self.ended:
            metrics.FRAMES_DROPPED.labels("after_end").inc()
            return
        self._received += len(data)
        if self._received > self._granted:
            raise ProtocolError("a body exceeds its credit")
        self._parts.append(data)
        self._changed.set()

    def finish(self, total: int) -> None:
        """Note the end; a byte count that differs makes the body cut."""
        expected = total if self._announced is None else self._announced
        if total != self._received or total != expected:
            self.fail(_short_body(self._received, expected))
            return
        self.ended = True
        self._changed.set()

    def fail(self, refusal: Refusal) -> None:
        """Note that the rest will not come."""
        if not self.ended:
            self._end = refusal
            self.ended = True
            self._changed.set()

    async def read(self) -> bytes | None | Refusal:
        while not self._parts and not self.ended:
            self._changed.clear()
            await self._changed.wait()
        if not self._parts:
            return self._end
        part = self._parts.popleft()
        self._unacknowledged += len(part)
        if self._unacknowledged >= STREAM_CREDIT_BYTES // 2 and not self.ended:
            count, self._unacknowledged = self._unacknowledged, 0
            self._granted += count
            await self._send(CreditFrame(stream=self._stream, count=count))
        return part

    def close(self) -> None:
        if not self.ended:
            self.fail(
                Refusal(reason=RefusalReason.CANCELLED, executed=Executed.UNKNOWN)
            )
            self._stop()


class Credit:
    """Bytes that may still be sent on a stream."""

    def __init__(self) -> None:
        self._left = STREAM_CREDIT_BYTES
        self._changed = asyncio.Event()

    def add(self, count: int) -> None:
        """Take over what the receiver granted."""
        self._left += count
        self._changed.set()

    async def take(self, count: int) -> None:
        """Wait until ``count`` bytes may be sent."""
        while self._left < count:
            self._changed.clear()
            await self._changed.wait()
        self._left -= count


class BytesReader:
    """A body that is already complete."""

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
