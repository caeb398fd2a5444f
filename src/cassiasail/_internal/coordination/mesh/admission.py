"""Admission of requests to the slots of one target, by priority and remaining time.

All requests to a target pass its host daemon, so the queue is here and not in the
target. A request of higher priority overtakes others. A request that would wait too
long is refused at once, so that another target can still execute it in time.

Within one priority, requests that can still meet their latency objective go first:
under overload the slots then serve responses that are in time instead of a queue in
which all are late. Among these the request with the shortest service time goes first,
so that as many as possible are served when there are too few slots for all. Requests of
a client account that already has others in the queue go behind them by their service
times, so that a flood of one account delays itself.

More urgent requests that arrive later go first as well. While they alone fill the
slots, a less urgent request would wait for nothing, and is refused at once.

A target in need names a rate of requests that it takes. What exceeds it waits in the
same queue, and is refused at once when it can't be admitted in time any more.
"""

import asyncio
import heapq
import math
from dataclasses import dataclass, field

from ...ids import AccountName
from ...state.calls import HostReason
from .rate_limit import ArrivalRates, RateLimit, Urgency
from .running_mean import RunningMean

# The loop calls timers early by less than this.
TIMER_RESOLUTION_SECONDS = 0.001
# Interval of the checks which queued requests a rate limit still admits in time. Each
# sorts the queue.
REFUSAL_CHECK_SECONDS = 0.05
# Bounds the memory of the queue; the wait is bounded by ``max_wait`` of each request.
MAX_WAITING_PER_SLOT = 64


@dataclass(order=True, slots=True)
class _QueuedRequest:
    """A request that waits for a slot; the fields before ``granted`` define the order.

    ``late`` is true if the request is expected to miss its latency objective.
    ``work_seconds`` is its expected service time and that of the requests of its
    account before it. ``arrival_number`` counts arrivals; requests that are equal
    otherwise are served in this order.
    ``granted`` gets None for a slot, or the reason of a refusal. ``expires_at`` is the
    loop time in seconds until which it may wait.
    """

    priority: int
    late: bool
    work_seconds: float
    arrival_number: int
    granted: "asyncio.Future[HostReason | None]" = field(compare=False)
    expires_at: float = field(compare=False)
    account: AccountName | None = field(default=None, compare=False)


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
        self._rate_limit = RateLimit()
        self._arrivals = ArrivalRates()
        self._rate_timer: asyncio.TimerHandle | None = None
        self._refusals_checked_at = float("-inf")
        self._queue: list[_QueuedRequest] = []
        self._last_arrival_number = 0
        self._loop = asyncio.get_running_loop()

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._queue)

    @property
    def rate_limit(self) -> float | None:
        """The rate of requests that the target names, in requests a second."""
        return self._rate_limit.rate

    def set_rate_limit(self, rate: float | None, *, dispatched_at: float) -> bool:
        """Apply the limit that a response of the target names, None for none.

        ``dispatched_at`` is the loop time at which its request was dispatched. Returns
        whether the limit changed.
        """
        changed = self._rate_limit.set(rate, dispatched_at=dispatched_at)
        if changed:
            self._refuse_hopeless()
            self._grant_free_slots()
        return changed

    def expected_wait(self, priority: int, late: bool, service_seconds: float) -> float:
        """Return the seconds that a request which arrives now would wait for a slot."""
        if self.running < self.slots and not self._queue:
            return self._limit_wait(1, priority)
        order = (priority, late, service_seconds)
        requests_before = sum(
            (queued.priority, queued.late, queued.work_seconds) <= order
            for queued in self._queue
        )
        limit_wait = self._limit_wait(requests_before + 1, priority)
        if self.running < self.slots:
            return limit_wait
        running_above_slots = max(0, self.running - self.slots)
        slot_wait = (
            (requests_before + running_above_slots + 1)
            * self.service_time.value
            / self.slots
        )
        return max(limit_wait, self._overtaken_wait(slot_wait, (priority, late)))

    def _overtaken_wait(self, slot_wait: float, urgency: Urgency) -> float:
        """Return the wait for a slot with the more urgent requests that will arrive."""
        needed_slots = self._arrivals.above(urgency) * self.service_time.value
        free_share = 1 - needed_slots / self.slots
        return slot_wait / free_share if free_share > 0 else math.inf

    def _limit_wait(self, requests: int, priority: int) -> float:
        """Return the seconds until the rate limit admits ``requests`` of the queue.

        The last of them has ``priority``, and more urgent requests will overtake it.
        """
        if self._rate_limit.rate is None:
            return 0.0
        overtaking = self._arrivals.above((priority, False))
        return self._rate_limit.wait_for(requests, overtaking=overtaking)

    async def acquire(
        self,
        *,
        priority: int,
        late: bool,
        max_wait: float,
        service_seconds: float = 0.0,
        account: AccountName | None = None,
    ) -> HostReason | None:
        """Wait at most ``max_wait`` seconds for a slot.

        ``late`` is true if the request is expected to miss its latency objective,
        ``service_seconds`` is its expected service time and ``account`` the client
        account that it belongs to, if any. Returns None once the slot is
        held, or why the request is refused: closed, queue full, expected wait too long,
        or ``max_wait`` over.
        """
        if self.closed_reason is not None:
            return self.closed_reason
        self._arrivals.record((priority, late))
        work_seconds = service_seconds + self._waiting_work(account)
        if self.running < self.slots and not self._queue and self._rate_limit.take():
            self.running += 1
            return None
        if len(self._queue) >= MAX_WAITING_PER_SLOT * self.slots:
            return HostReason.BUSY
        if self.expected_wait(priority, late, work_seconds) > max_wait:
            return HostReason.BUSY
        return await self._wait_for_slot(
            priority, late, work_seconds, max_wait, account
        )

    def _waiting_work(self, account: AccountName | None) -> float:
        """Return the service time of the requests of ``account`` that wait."""
        if account is None:
            return 0.0
        return max(
            (each.work_seconds for each in self._queue if each.account == account),
            default=0.0,
        )

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
        self,
        priority: int,
        late: bool,
        work_seconds: float,
        max_wait: float,
        account: AccountName | None,
    ) -> HostReason | None:
        """Queue a request until it gets a slot, expires or is refused by ``close``.

        A cancelled request leaves the queue, or releases a slot already granted to it.
        """
        self._last_arrival_number += 1
        future = self._loop.create_future()
        queued = _QueuedRequest(
            priority,
            late,
            work_seconds,
            self._last_arrival_number,
            future,
            self._loop.time() + max_wait,
            account,
        )
        heapq.heappush(self._queue, queued)
        self._refuse_hopeless()
        self._grant_free_slots()
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
        """Grant all free slots to the first requests in the queue.

        If the rate limit admits none of them yet, this is called again when it does.
        """
        while self._queue and self.running < self.slots:
            if self._queue[0].granted.done():
                heapq.heappop(self._queue)
                continue
            if not self._rate_limit.take():
                self._call_when_admitted()
                return
            self.running += 1
            heapq.heappop(self._queue).granted.set_result(None)

    def _call_when_admitted(self) -> None:
        if self._rate_timer is not None:
            self._rate_timer.cancel()
        # A timer may fire a little early.
        delay = self._rate_limit.wait_for(1) + TIMER_RESOLUTION_SECONDS
        self._rate_timer = self._loop.call_later(delay, self._grant_free_slots)

    def _refuse_hopeless(self) -> None:
        """Refuse the queued requests that the rate limit does not admit in time.

        More urgent ones that came later have taken their places.
        """
        if self._rate_limit.rate is None:
            return
        now = self._loop.time()
        if now - self._refusals_checked_at < REFUSAL_CHECK_SECONDS:
            return
        self._refusals_checked_at = now
        kept: list[_QueuedRequest] = []
        for queued in sorted(self._queue, key=_queue_order):
            if queued.granted.done():
                continue
            wait = self._limit_wait(len(kept) + 1, queued.priority)
            if now + wait + TIMER_RESOLUTION_SECONDS <= queued.expires_at:
                kept.append(queued)
            else:
                queued.granted.set_result(HostReason.BUSY)
        # A sorted list is a heap.
        self._queue = kept


def _queue_order(queued: _QueuedRequest) -> tuple[int, bool, float, int]:
    """Return the key by which requests are ordered; sorting by it is faster."""
    return (
        queued.priority,
        queued.late,
        queued.work_seconds,
        queued.arrival_number,
    )
