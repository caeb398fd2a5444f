"""The admission queue of one target.

Sans-I/O: every method returns the decisions it caused, as ``Decision(ticket,
refusal)``, where no refusal means that the call now holds a slot. Every ticket gets
exactly one decision unless it is cancelled first. Only calls that hold no slot are
refused here, so every refusal is ``executed: "no"``.

    queue = AdmissionQueue(clock=clock, slots=9)
    ticket, decisions = queue.offer(call)
    decisions = queue.finish(ticket)

Seconds of a slot (service time) are the unit of every share: a call of 1 s weighs as
much as 50 calls of 20 ms.
"""

import heapq
import math
from typing import NamedTuple

from .. import invariants
from ..clock import Clock
from .fair_queue import Entry, FairQueue, QueuedCall
from .guarantees import GUARANTEED_SHARE, GuaranteedShares
from .in_flight import InFlight
from .lists import CallClass
from .refusals import Executed, Refusal, RefusalReason
from .service_times import ClassLoad, ServiceTimes

# A call at depth 0 has its whole chain of calls ahead of it. It is refused when the
# wait alone takes this part of its time, which leaves the queue to deeper calls.
ROOT_WAIT_FRACTION = 0.5
# Only bounds memory: the wait is bounded by deadlines.
CAPACITY_PER_SLOT = 32
MIN_CAPACITY = 64
# Bulk may use all slots when no other call has arrived for this long.
RESERVE_SECONDS = 10.0
# Expired heap items that are tolerated before the heap is rebuilt.
HEAP_SLACK = 256

CLASSES = tuple(CallClass)


class Decision(NamedTuple):
    """The one result of an offered call: a slot (no refusal) or a refusal."""

    ticket: int
    refusal: Refusal | None


class AdmissionQueue:
    """Slots and waiting calls of one target."""

    def __init__(
        self, *, clock: Clock, slots: int, capacity: int | None = None
    ) -> None:
        self.slots = slots
        self.times = ServiceTimes()
        self._capacity = capacity
        self._clock = clock
        self._load = ClassLoad()
        self._queue_by_class = {each: FairQueue() for each in CLASSES}
        self._guarantees = GuaranteedShares(self._queue_by_class)
        self._entry_by_ticket: dict[int, Entry] = {}
        self._in_flight = InFlight()
        self._expiries: list[tuple[float, int]] = []
        self._last_ticket = 0
        self._last_urgent = -math.inf

    @property
    def queued(self) -> int:
        """Number of waiting calls."""
        return len(self._entry_by_ticket)

    @property
    def in_flight(self) -> int:
        """Number of calls that hold a slot."""
        return len(self._in_flight)

    @property
    def capacity(self) -> int:
        """Number of calls that may wait."""
        if self._capacity is not None:
            return self._capacity
        return max(MIN_CAPACITY, CAPACITY_PER_SLOT * self.slots)

    def offer(self, call: QueuedCall) -> tuple[int, list[Decision]]:
        """Admit, queue or refuse a call. Returns its ticket and all decisions."""
        now = self._clock.now()
        decisions = self._expire(now)
        self._last_ticket += 1
        ticket = self._last_ticket
        if call.call_class is not CallClass.BULK:
            self._last_urgent = now
        cost = self.times.expected(call.route, call.call_class)
        refusal = self._refusal_of(call, cost, now)
        if refusal is None and not self._has_slot_for(call.call_class, now):
            refusal = self._make_room(call, decisions)
        if refusal is not None:
            decisions.append(Decision(ticket, refusal))
            return ticket, decisions
        entry = Entry(ticket, call, cost)
        self._entry_by_ticket[ticket] = entry
        self._queue_by_class[call.call_class].push(entry)
        decisions += self._dispatch(now)
        if entry.waiting:
            self._schedule_expiry(entry)
        return ticket, decisions

    def finish(self, ticket: int, *, measured: bool = True) -> list[Decision]:
        """Release the slot of a call; ``measured`` if it ran to its end."""
        now = self._clock.now()
        self._release(ticket, now, measured=measured)
        return self._expire(now) + self._dispatch(now)

    def cancel(self, ticket: int) -> list[Decision]:
        """Forget a call that waits or holds a slot; it gets no further decision."""
        now = self._clock.now()
        entry = self._entry_by_ticket.get(ticket)
        if entry is not None:
            self._take_out(entry)
        elif ticket in self._in_flight:
            self._release(ticket, now, measured=False)
        return self._expire(now) + self._dispatch(now)

    def poll(self) -> list[Decision]:
        """Refuse expired calls and use slots that became free since."""
        now = self._clock.now()
        return self._expire(now) + self._dispatch(now)

    def set_slots(self, slots: int) -> list[Decision]:
        """Change the number of slots; calls above a lower number run to their end."""
        if slots == self.slots:
            return []
        self.slots = slots
        return self.poll()

    def refuse_waiting(self, refusal: Refusal) -> list[Decision]:
        """Refuse every waiting call, when the target drains or is gone."""
        invariants.check("refusal_before_slot", refusal.executed is Executed.NO)
        entries = list(self._entry_by_ticket.values())
        for entry in entries:
            self._take_out(entry)
        return [Decision(entry.ticket, refusal) for entry in entries]

    def next_expiry(self) -> float | None:
        """Return the earliest deadline of a waiting call."""
        while self._expiries and self._expiries[0][1] not in self._entry_by_ticket:
            heapq.heappop(self._expiries)
        return self._expiries[0][0] if self._expiries else None

    def expected_wait(
        self, call_class: CallClass, call: QueuedCall | None = None
    ) -> float:
        """Return the expected seconds until a new call of the class gets a slot."""
        now = self._clock.now()
        if self._has_slot_for(call_class, now):
            return 0.0
        slots = max(self.slots, 1)
        rate = float(slots)
        before = 0.0
        for higher in CLASSES[: CLASSES.index(call_class)]:
            before += self._queue_by_class[higher].work
            rate -= self._load.slots(higher, now)
        if call_class is CallClass.BULK:
            rate = min(rate, self._bulk_slots(now))
        if call_class is not CallClass.ORDER:
            rate = max(rate, slots * GUARANTEED_SHARE / 2)
        queue = self._queue_by_class[call_class]
        customer = call.customer if call else None
        cost = self.times.expected(call.route, call_class) if call else 0.0
        wait = before / slots + queue.work_before(customer, cost) / rate
        held, seconds = self._in_flight.held_below(call_class)
        if held:
            # Until the lower classes end, only the other slots serve this class.
            left = max(rate - held, rate / slots)
            wait = min(wait * rate / left, wait + seconds)
        total = self._in_flight.next_end(call_class) + wait
        invariants.check("expected_wait_not_negative", total >= 0, str(total))
        return total

    def _refusal_of(self, call: QueuedCall, cost: float, now: float) -> Refusal | None:
        remaining = call.deadline - now
        if remaining <= 0:
            return _refusal(RefusalReason.DEADLINE_EXCEEDED)
        wait = self.expected_wait(call.call_class, call)
        if wait == 0:
            # Idle slots serve any call: refusing it would save nothing.
            return None
        if wait >= remaining:
            return _refusal(RefusalReason.WOULD_MISS_DEADLINE, wait)
        if wait + cost > remaining and not self.times.take_trial(call.route, now):
            return _refusal(RefusalReason.WOULD_MISS_DEADLINE, wait)
        if call.depth == 0 and wait > remaining * ROOT_WAIT_FRACTION:
            return _refusal(RefusalReason.SHED, wait)
        return None

    def _make_room(self, call: QueuedCall, decisions: list[Decision]) -> Refusal | None:
        """Displace a waiting call if the queue is full, or refuse the newcomer."""
        if self.queued < self.capacity:
            return None
        lowest = next(
            (each for each in reversed(CLASSES) if self._queue_by_class[each].count),
            None,
        )
        if lowest is None:
            return None
        victim = self._queue_by_class[lowest].victim()
        if not self._goes_before(call, victim.call):
            return _refusal(
                RefusalReason.QUEUE_FULL, self.expected_wait(call.call_class, call)
            )
        self._take_out(victim)
        decisions.append(
            Decision(victim.ticket, _refusal(RefusalReason.SHED, victim.cost))
        )
        return None

    def _goes_before(self, call: QueuedCall, victim: QueuedCall) -> bool:
        own, other = CLASSES.index(call.call_class), CLASSES.index(victim.call_class)
        if own != other:
            return own < other
        # Within a class the customer with the most waiting calls gives way, so a
        # flood of one customer cannot fill the queue against the others.
        queue = self._queue_by_class[call.call_class]
        own_count, other_count = (
            queue.count_of(call.customer),
            queue.count_of(victim.customer),
        )
        if own_count + 1 < other_count:
            return True
        return own_count <= other_count and call.depth > victim.depth

    def _has_slot_for(self, call_class: CallClass, now: float) -> bool:
        if self.in_flight >= self.slots:
            return False
        for each in CLASSES[: CLASSES.index(call_class) + 1]:
            if self._queue_by_class[each].count:
                return False
        return call_class is not CallClass.BULK or self._bulk_may_start(now)

    def _bulk_may_start(self, now: float) -> bool:
        return self._in_flight.count_by_class[CallClass.BULK] < self._bulk_slots(now)

    def _bulk_slots(self, now: float) -> int:
        """Return how many slots bulk may hold.

        Long bulk calls cannot be interrupted, so the mean number of slots that the
        other classes use stays free of them. Without other calls bulk may use all
        slots, and it always has one.
        """
        if self.slots < 2 or now - self._last_urgent > RESERVE_SECONDS:
            return self.slots
        used = self._load.slots(CallClass.ORDER, now)
        used += self._load.slots(CallClass.LOOKUP, now)
        return max(1, self.slots - max(1, math.ceil(used)))

    def _dispatch(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        while self._entry_by_ticket and self.in_flight < self.slots:
            choice = self._next_class(now)
            if choice is None:
                break
            call_class, guaranteed = choice
            entry = self._queue_by_class[call_class].pop()
            del self._entry_by_ticket[entry.ticket]
            refusal = self._late_refusal(entry, now)
            if refusal is None:
                self._start(entry, now, guaranteed=guaranteed)
            decisions.append(Decision(entry.ticket, refusal))
        return decisions

    def _late_refusal(self, entry: Entry, now: float) -> Refusal | None:
        """Return why a call whose turn has come is not run after all."""
        remaining = entry.call.deadline - now
        if remaining <= 0:
            return _refusal(RefusalReason.DEADLINE_EXCEEDED)
        # Work that ends too late is lost; it is run only if the slot were idle.
        if (
            remaining >= entry.cost
            or not self._entry_by_ticket
            or self.times.take_trial(entry.call.route, now)
        ):
            return None
        return _refusal(RefusalReason.WOULD_MISS_DEADLINE)

    def _next_class(self, now: float) -> tuple[CallClass, bool] | None:
        """Return the class to serve, and whether out of its guaranteed share."""
        waiting = [each for each in CLASSES if self._queue_by_class[each].count]
        if waiting[-1] is CallClass.BULK and not self._bulk_may_start(now):
            waiting.pop()
        if not waiting:
            return None
        guaranteed = self._guarantees.due(waiting[1:])
        if guaranteed is not None:
            return guaranteed, True
        return waiting[0], False

    def _start(self, entry: Entry, now: float, *, guaranteed: bool) -> None:
        call = entry.call
        invariants.check("slots_exact", self.in_flight < self.slots, str(self.slots))
        invariants.check("dispatch_before_deadline", now < call.deadline)
        self._in_flight.start(entry, now, guaranteed=guaranteed)
        self._load.started(call.call_class, entry.cost, now)
        self._guarantees.started(call.call_class, entry.cost, guaranteed=guaranteed)

    def _release(self, ticket: int, now: float, *, measured: bool) -> None:
        running = self._in_flight.end(ticket)
        call, elapsed = running.call, now - running.since
        excess = elapsed - running.cost
        # A call that was cut off took at least this long.
        if measured or excess > 0:
            self.times.measured(call.route, call.call_class, elapsed, now)
        self._queue_by_class[call.call_class].correct(call.customer, excess)
        if running.guaranteed:
            self._guarantees.correct(call.call_class, excess)

    def _take_out(self, entry: Entry) -> None:
        del self._entry_by_ticket[entry.ticket]
        self._queue_by_class[entry.call.call_class].remove(entry)

    def _schedule_expiry(self, entry: Entry) -> None:
        if len(self._expiries) > 2 * self.queued + HEAP_SLACK:
            self._expiries = [
                (each.call.deadline, each.ticket)
                for each in self._entry_by_ticket.values()
            ]
            heapq.heapify(self._expiries)
            return
        heapq.heappush(self._expiries, (entry.call.deadline, entry.ticket))

    def _expire(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        while self._expiries and self._expiries[0][0] <= now:
            _, ticket = heapq.heappop(self._expiries)
            entry = self._entry_by_ticket.get(ticket)
            if entry is not None:
                self._take_out(entry)
                decisions.append(
                    Decision(ticket, _refusal(RefusalReason.DEADLINE_EXCEEDED))
                )
        return decisions


def _refusal(reason: RefusalReason, retry_after: float | None = None) -> Refusal:
    return Refusal(reason=reason, executed=Executed.NO, retry_after=retry_after)
