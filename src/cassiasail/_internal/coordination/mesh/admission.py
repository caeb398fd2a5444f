"""Admission of requests to the slots of one target, by priority and remaining time.

All requests to a target pass its host daemon, so the queue is here and not in the
target. A request of higher priority overtakes others. A request that would wait too
long is refused at once, so that another target can still execute it in time.

Within one priority, requests that can still meet their latency objective go first:
under overload the slots then serve responses that are in time instead of a queue in
which all are late. Among these the request with the shortest service time goes first,
so that as many as possible are served when there are too few slots for all.
"""

import asyncio
import heapq
from dataclasses import dataclass, field

from ...state.calls import HostReason

# Weight of a new sample; the mean covers about the last ten requests.
SAMPLE_WEIGHT = 0.1
# Service time assumed before the first sample. It is low, so that the first requests
# are not refused.
INITIAL_SERVICE_SECONDS = 0.05
# Bounds the memory of the queue; the wait is bounded by ``max_wait`` of each request.
MAX_WAITING_PER_SLOT = 64


class RunningMean:
    """Moving average of measurements of one kind, by default service times in seconds.

    The first sample replaces the initial value, and the first ten count equally. After
    that, each new sample counts with ``SAMPLE_WEIGHT``.
    """

    def __init__(self, *, initial: float = INITIAL_SERVICE_SECONDS) -> None:
        self.value = initial
        self._samples = 0

    def add(self, value: float) -> None:
        """Record one measurement."""
        self._samples += 1
        weight = max(SAMPLE_WEIGHT, 1 / self._samples)
        self.value += weight * (value - self.value)

    def add_if_longer(self, seconds: float) -> None:
        """Record a request that was cancelled after ``seconds``.

        Its full service time is unknown, so only a time above the mean is recorded.
        """
        if seconds > self.value:
            self.add(seconds)


@dataclass(order=True, slots=True)
class _QueuedRequest:
    """A request that waits for a slot; the fields before ``granted`` define the order.

    ``late`` is true if the request is expected to miss its latency objective.
    ``service_seconds`` is the expected service time. ``arrival_number`` counts
    arrivals; requests that are equal otherwise are served in this order.
    ``granted`` gets None for a slot, or the reason of a refusal.
    """

    priority: int
    late: bool
    service_seconds: float
    arrival_number: int
    granted: "asyncio.Future[HostReason | None]" = field(compare=False)


class Admission:
    """Slots of one target and the queue of requests that wait for one.

    ``acquire(priority=1, late=False, max_wait=0.5)`` returns None once a slot is held,
    or the reason of a refusal. The holder of a slot calls ``release``.
    """

    def __init__(self, *, slots: int) -> None:
        self.slots = slots
        self.service_time = RunningMean()
        self.running = 0
        self.closed_reason: HostReason | None = None
        self._queue: list[_QueuedRequest] = []
        self._last_arrival_number = 0
        self._loop = asyncio.get_running_loop()

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._queue)

    def expected_wait(self, priority: int, late: bool, service_seconds: float) -> float:
        """Return the seconds that a request which arrives now would wait for a slot."""
        if self.running < self.slots and not self._queue:
            return 0.0
        order = (priority, late, service_seconds)
        requests_before = sum(
            (queued.priority, queued.late, queued.service_seconds) <= order
            for queued in self._queue
        )
        running_above_slots = max(0, self.running - self.slots)
        return (
            (requests_before + running_above_slots + 1)
            * self.service_time.value
            / self.slots
        )

    async def acquire(
        self,
        *,
        priority: int,
        late: bool,
        max_wait: float,
        service_seconds: float = 0.0,
    ) -> HostReason | None:
        """Wait at most ``max_wait`` seconds for a slot.

        ``late`` is true if the request is expected to miss its latency objective, and
        ``service_seconds`` is its expected service time. Returns None once the slot is
        held, or why the request is refused: closed, queue full, expected wait too long,
        or ``max_wait`` over.
        """
        if self.closed_reason is not None:
            return self.closed_reason
        if self.running < self.slots and not self._queue:
            self.running += 1
            return None
        if len(self._queue) >= MAX_WAITING_PER_SLOT * self.slots:
            return HostReason.BUSY
        if self.expected_wait(priority, late, service_seconds) > max_wait:
            return HostReason.BUSY
        return await self._wait_for_slot(priority, late, service_seconds, max_wait)

    def release(self) -> None:
        """Release a slot and grant it to the next request in the queue."""
        self.running -= 1
        self._grant_free_slots()

    def close(self, reason: HostReason) -> None:
        """Refuse all queued and all later requests with ``reason``."""
        self.closed_reason = reason
        refused, self._queue = self._queue, []
        for queued in refused:
            if not queued.granted.done():
                queued.granted.set_result(reason)

    def reopen(self, slots: int) -> None:
        """Accept requests again after ``close``; those that still run count."""
        self.closed_reason = None
        self.resize(slots)

    def resize(self, slots: int) -> None:
        """Apply a new number of slots; requests above it finish normally."""
        self.slots = slots
        self._grant_free_slots()

    async def _wait_for_slot(
        self, priority: int, late: bool, service_seconds: float, max_wait: float
    ) -> HostReason | None:
        """Queue a request until it gets a slot, expires or is refused by ``close``.

        A cancelled request leaves the queue, or releases a slot already granted to it.
        """
        self._last_arrival_number += 1
        future = self._loop.create_future()
        queued = _QueuedRequest(
            priority, late, service_seconds, self._last_arrival_number, future
        )
        heapq.heappush(self._queue, queued)
        timer = self._loop.call_later(max_wait, self._expire, queued)
        try:
            return await queued.granted
        except asyncio.CancelledError:
            if queued.granted.done() and not queued.granted.cancelled():
                if queued.granted.result() is None:
                    self.release()
            else:
                self._remove(queued)
            raise
        finally:
            timer.cancel()

    def _expire(self, queued: _QueuedRequest) -> None:
        if not queued.granted.done():
            self._remove(queued)
            queued.granted.set_result(HostReason.EXPIRED)

    def _remove(self, queued: _QueuedRequest) -> None:
        if queued in self._queue:
            self._queue.remove(queued)
            heapq.heapify(self._queue)

    def _grant_free_slots(self) -> None:
        """Grant all free slots to the first requests in the queue."""
        while self._queue and self.running < self.slots:
            queued = heapq.heappop(self._queue)
            if queued.granted.done():
                continue
            self.running += 1
            queued.granted.set_result(None)
