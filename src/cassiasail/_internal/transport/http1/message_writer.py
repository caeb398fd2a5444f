"""Hands messages to a transport no faster than its peer takes them.

A transport keeps in memory what the peer has not taken. The writer gives it one piece
at a time and waits while it reports that its buffer is full, so that only the message
itself is held, and no copy of it.
"""

import asyncio
from collections.abc import Callable

from .link_pacer import MAX_UNPACED_BYTES, LinkPacer, PacedMessage

# Bytes handed to a transport at once; its buffer counts as full at the same size.
PIECE_BYTES = 64 << 10


class MessageWriter:
    """Writes one message at a time to ``transport``.

    ``finished`` is called once a message that could not be written at once is. A large
    message is paced by ``pacer``, if there is one.
    """

    def __init__(
        self,
        *,
        transport: asyncio.Transport,
        pacer: LinkPacer | None,
        finished: Callable[[], None],
    ) -> None:
        self._transport = transport
        self._pacer = pacer
        self._finished = finished
        self._rest = memoryview(b"")
        self._paced: PacedMessage | None = None
        self.is_paused = False

    @property
    def remaining(self) -> int:
        """Number of bytes that the transport has not been given yet."""
        return len(self._rest)

    def write(self, head: bytes, body: bytes, *, urgent: bool = False) -> bool:
        """Write a message; return whether all of it was handed to the transport.

        An ``urgent`` one goes before others that are paced.
        """
        size = len(head) + len(body)
        pacer = self._pacer
        is_large = size > (PIECE_BYTES if pacer is None else MAX_UNPACED_BYTES)
        if not is_large and not self.is_paused:
            self._transport.write(head + body)
            if pacer is not None:
                pacer.record_sent(size)
            return True
        self._transport.write(head)
        self._rest = memoryview(body)
        if pacer is None or not is_large:
            self._write_unpaced()
            return not self._rest
        pacer.record_sent(len(head))
        self._paced = PacedMessage(
            remaining=len(body), write=self._write_paced_piece, urgent=urgent
        )
        if not self.is_paused:
            pacer.add(self._paced)
        return not self._rest

    def pause(self) -> None:
        """Write no more for now: the buffer of the transport is full."""
        self.is_paused = True

    def resume(self) -> None:
        """Continue: the peer has taken most of the buffer."""
        self.is_paused = False
        if not self._rest:
            return
        if self._paced is not None and self._pacer is not None:
            self._pacer.add(self._paced)
            return
        self._write_unpaced()
        if not self._rest:
            self._finished()

    def stop(self) -> None:
        """Drop the rest of the message."""
        self._rest = memoryview(b"")
        if self._paced is not None and self._pacer is not None:
            self._pacer.remove(self._paced)
        self._paced = None

    def _write_unpaced(self) -> None:
        while self._rest and not self.is_paused:
            self._write_piece(PIECE_BYTES)

    def _write_piece(self, size: int) -> int:
        piece, self._rest = self._rest[:size], self._rest[size:]
        self._transport.write(piece)
        return len(piece)

    def _write_paced_piece(self, size: int) -> int:
        if self.is_paused or not self._rest:
            return 0
        written = self._write_piece(size)
        if not self._rest:
            self._paced = None
            # The pacer is not finished with this piece yet.
            asyncio.get_running_loop().call_soon(self._finished)
        return written
