"""Admission to the slots of one target, by urgency and remaining time.

The daemon beside the target is the only way to it, so the queue stands here and not
in the target: more urgent requests overtake, and a request that would wait too long
is refused at once, while another target may still take it. Among requests of one rank,
those that can still meet their latency objective go first: under overload the slots
then serve answers that are in time, and not a queue in which all are late. Among these
the shortest goes first, so that as many as possible are served while there is no room
for all.
"""

import asyncio
import heapq
from dataclasses import dataclass, field

from ...state.calls import HostReason

# Weight of a new sample: about the last ten requests decide.
SAMPLE_WEIGHT = 0.1
# Assumed before the first sample; a low value lets the first requests through.
FIRST_SECONDS = 0.05
# Bounds memory; the wait itself is bounded by the time of the requests.
MAX_WAITING_PER_SLOT = 64


class RunningMean:
    """Moving average of service times in seconds; the first samples count most."""

    def __init__(self) -> None:
        self.seconds = FIRST_SECONDS
        self._samples = 0

    def add(self, seconds: float) -> None:
        """Record a request that took ``seconds``."""
        self._samples += 1
        weight = max(SAMPLE_WEIGHT, 1 / self._samples)
        self.seconds += weight * (seconds - self.seconds)

    def add_if_longer(self, seconds: float) -> None:
        """Record a request that was given up after ``seconds`` of unknown many."""
        if seconds > self.seconds:
            self.add(seconds)


@dataclass(order=True, slots=True)
class _Waiting:
    rank: int
    late: bool
    seconds: float
    number: int
    granted: "asyncio.Future[HostReason | None]" = field(compare=False)


class Admission:
    """Slots of one target and the requests that wait for one.

    ``enter(rank=1, late=False, max_wait=0.5)`` returns None once a slot is held, or
    why there is none; a holder calls ``leave``.
    """

    def __init__(self, *, slots: int) -> None:
        self.slots = slots
        self.service_time = RunningMean()
        self.running = 0
        self.closed: HostReason | None = None
        self._waiting: list[_Waiting] = []
        self._count = 0
        self._loop = asyncio.get_running_loop()

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    def expected_wait(self, rank: int, late: bool, seconds: float) -> float:
        """Return the seconds that a request would wait now."""
        if self.running < self.slots and not self._waiting:
            return 0.0
        place = (rank, late, seconds)
        before = sum(
            (each.rank, each.late, each.seconds) <= place for each in self._waiting
        )
        excess = max(0, self.running - self.slots)
        return (before + excess + 1) * self.service_time.seconds / self.slots

    async def enter(
        self, *, rank: int, late: bool, max_wait: float, seconds: float = 0.0
    ) -> HostReason | None:
        """Wait at most ``max_wait`` seconds for a slot to use for ``seconds``."""
        if self.closed is not None:
            return self.closed
        if self.running < self.slots and not self._waiting:
            self.running += 1
            return None
        if len(self._waiting) >= MAX_WAITING_PER_SLOT * self.slots:
            return HostReason.BUSY
        if self.expected_wait(rank, late, seconds) > max_wait:
            return HostReason.BUSY
        return await self._wait(rank, late, seconds, max_wait)

    def leave(self) -> None:
        """Give a slot back."""
        self.running -= 1
        self._grant()

    def close(self, reason: HostReason) -> None:
        """Refuse all that wait and all that come, with ``reason``."""
        self.closed = reason
        waiting, self._waiting = self._waiting, []
        for each in waiting:
            if not each.granted.done():
                each.granted.set_result(reason)

    def resize(self, slots: int) -> None:
        """Take a new number of slots into force."""
        self.slots = slots
        self._grant()

    async def _wait(
        self, rank: int, late: bool, seconds: float, max_wait: float
    ) -> HostReason | None:
        self._count += 1
        future = self._loop.create_future()
        entry = _Waiting(rank, late, seconds, self._count, future)
        heapq.heappush(self._waiting, entry)
        timer = self._loop.call_later(max_wait, self._expire, entry)
        try:
            return await entry.granted
        except asyncio.CancelledError:
            if entry.granted.done() and not entry.granted.cancelled():
                if entry.granted.result() is None:
                    self.leave()
            else:
                self._remove(entry)
            raise
        finally:
            timer.cancel()

    def _expire(self, entry: _Waiting) -> None:
        if not entry.granted.done():
            self._remove(entry)
            entry.granted.set_result(HostReason.EXPIRED)

    def _remove(self, entry: _Waiting) -> None:
        if entry in self._waiting:
            self._waiting.remove(entry)
            heapq.heapify(self._waiting)

    def _grant(self) -> None:
        while self._waiting and self.running < self.slots:
            entry = heapq.heappop(self._waiting)
            if entry.granted.done():
                continue
            self.running += 1
            entry.granted.set_result(None)
