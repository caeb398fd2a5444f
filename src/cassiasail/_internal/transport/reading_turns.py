"""Shares the time for parsing among connections.

A few kilobytes in chunks of one byte take milliseconds to parse. A connection that uses
more than a small share of the loop's time reads in small pieces and in turn with all
others like it: one piece in each iteration of the event loop, whatever their number.
"""

import asyncio
import time
from collections import deque
from collections.abc import Callable

# Sizes of the buffer for one read: at first, and its bounds. It grows while a full one
# is parsed quickly.
FIRST_READ_BYTES = 8 << 10
MIN_READ_BYTES = 512
MAX_READ_BYTES = 64 << 10
# Time in which one piece should be parsed.
PIECE_SECONDS = 0.001
# A connection may use this share of the time, and this much at once, without turns.
FREE_SHARE = 0.02
FREE_SECONDS = 0.002


class ReadingTurns:
    """The connections of a process that wait for their turn to read."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._waiting: deque[Callable[[], None]] = deque()
        # All connections read into it, as each copies what it has read at once.
        self.buffer = memoryview(bytearray(MAX_READ_BYTES))

    def wait(self, resume: Callable[[], None]) -> None:
        """Call ``resume`` when it is the turn of its connection."""
        if not self._waiting:
            self._loop.call_soon(self._grant)
        self._waiting.append(resume)

    def _grant(self) -> None:
        self._waiting.popleft()()
        if self._waiting:
            self._loop.call_soon(self._grant)


class PacedReader(asyncio.BufferedProtocol):
    """Reads from a connection in turn with others and hands the data to ``protocol``.

    ``clock`` returns the seconds by which the time for parsing is measured.
    """

    def __init__(
        self,
        *,
        protocol: asyncio.Protocol,
        turns: ReadingTurns,
        clock: Callable[[], float] = time.perf_counter,
    ) -> None:
        self._protocol = protocol
        self._turns = turns
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._size = FIRST_READ_BYTES
        # Seconds used beyond the free share, as of the clock's time ``_used_at``.
        self._used = 0.0
        self._used_at = clock()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._protocol.connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._protocol.connection_lost(exc)

    def eof_received(self) -> bool | None:
        return self._protocol.eof_received()

    def pause_writing(self) -> None:
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        self._protocol.resume_writing()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._turns.buffer[: self._size]

    def buffer_updated(self, nbytes: int) -> None:
        data = bytes(self._turns.buffer[:nbytes])
        seconds = self.measure(lambda: self._protocol.data_received(data))
        self._adapt_size(nbytes, seconds)

    def measure(self, parse: Callable[[], None]) -> float:
        """Call ``parse`` and return the seconds that it took.

        They count as time for parsing, after which the connection may have to wait.
        """
        started_at = self._clock()
        parse()
        ended_at = self._clock()
        regained = FREE_SHARE * (started_at - self._used_at)
        self._used = max(0.0, self._used - regained) + ended_at - started_at
        self._used_at = ended_at
        if self._used > FREE_SECONDS:
            self._wait_for_turn()
        return ended_at - started_at

    def _adapt_size(self, received: int, seconds: float) -> None:
        if seconds > PIECE_SECONDS:
            self._size = max(MIN_READ_BYTES, self._size // 2)
        elif received == self._size and seconds < PIECE_SECONDS / 4:
            self._size = min(MAX_READ_BYTES, 2 * self._size)

    def _wait_for_turn(self) -> None:
        transport = self._transport
        # A protocol that has paused reading itself resumes it as well.
        if transport is not None and transport.is_reading():
            transport.pause_reading()
            self._turns.wait(self._resume)

    def _resume(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
