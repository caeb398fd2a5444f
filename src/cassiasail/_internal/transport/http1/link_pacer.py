"""Spreads large messages over time, so that others don't wait behind them on the link.

The kernel sends what it has been given in order of arrival at the link. A body of
100 kB takes 0.1 s on a link of 7 Mbit/s, and twenty of them delay every short response,
load report and configuration by seconds. The pacer therefore hands them to the kernel
in pieces, no faster than the link carries them: urgent ones first, and among others the
one with the shortest rest, so that as many as possible are in time when the link is too
slow for all. A body that waits counts as shorter with time, and does not wait for all
that ever come.
"""

import asyncio
from collections.abc import Callable

# Share of the link's rate at which bytes are handed to the kernel. The rest is for
# headers of packets, repeated packets and what others send over the link.
USED_SHARE = 0.9
# Bytes that are handed over at once. One piece delays a short message by this much,
# 5 ms on a link of 7 Mbit/s.
PIECE_BYTES = 4 << 10
# Pieces that are due within this time are handed over together; the timers of the event
# loop are not finer, and a fast link needs many pieces.
SLACK_SECONDS = 0.004
# The event loop may call a timer early by less than this.
TIMER_RESOLUTION_SECONDS = 0.001
# Seconds of transfer by which a message counts as shorter for each second since it was
# added. At 1 the order is nearly that of arrival, and all are late together.
AGING = 0.1
# Messages up to this size are sent at once: they are what would wait behind others.
MAX_UNPACED_BYTES = 16 << 10


class PacedMessage:
    """A message of which ``remaining`` bytes are still to be sent.

    An ``urgent`` one goes before all others. ``write(size)`` hands up to ``size``
    bytes to the kernel and returns their number, 0 if it takes none for now.
    ``LinkPacer.add`` is then to be called again once it does.
    """

    __slots__ = ("remaining", "urgent", "write", "added_at")

    def __init__(
        self, *, remaining: int, write: Callable[[int], int], urgent: bool = False
    ) -> None:
        self.remaining = remaining
        self.urgent = urgent
        self.write = write
        self.added_at: float | None = None


class LinkPacer:
    """Paces the messages of one link, whose rate is in bytes a second."""

    def __init__(self, *, bytes_per_second: float) -> None:
        self._rate = USED_SHARE * bytes_per_second
        self._loop = asyncio.get_running_loop()
        # Loop time by which the link has carried what was handed over.
        self._free_at = 0.0
        self._messages: set[PacedMessage] = set()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def backlog_seconds(self) -> float:
        """Seconds in which the link carries the messages that wait now."""
        waiting = sum(message.remaining for message in self._messages) / self._rate
        return waiting + max(0.0, self._free_at - self._loop.time())

    def seconds_for(self, size: float) -> float:
        """Return the seconds in which the link carries ``size`` bytes."""
        return size / self._rate

    def record_sent(self, size: int) -> None:
        """Count ``size`` bytes that were sent without pacing."""
        self._free_at = max(self._free_at, self._loop.time()) + size / self._rate

    def add(self, message: PacedMessage) -> None:
        """Send ``message`` in pieces, from now on."""
        if message.added_at is None:
            message.added_at = self._loop.time()
        self._messages.add(message)
        self._send_due()

    def remove(self, message: PacedMessage) -> None:
        """Send nothing more of ``message``."""
        self._messages.discard(message)

    def _send_due(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._messages:
            due_in = self._free_at - self._loop.time() - SLACK_SECONDS
            if due_in > 0:
                delay = due_in + TIMER_RESOLUTION_SECONDS
                self._timer = self._loop.call_later(delay, self._send_due)
                return
            message = min(self._messages, key=self._order)
            # ``write`` may add the next message of its connection.
            self._messages.discard(message)
            written = message.write(PIECE_BYTES)
            self.record_sent(written)
            message.remaining -= written
            if written and message.remaining > 0:
                self._messages.add(message)

    def _order(self, message: PacedMessage) -> tuple[bool, float]:
        assert message.added_at is not None
        rest = message.remaining / self._rate
        return not message.urgent, rest + AGING * message.added_at
