"""The admission queue of one target.

Sans-I/O: every method returns the decisions it caused, as ``Decision(ticket,
refusal)``, where no refusal means that the call now holds a slot. Every ticket gets
exactly one decision unless it is cancelled first. Only calls that hold no slot are
refused here, so every refusal is ``executed: "no"``.

    queue = AdmissionQueue(clock=clock, slots=9)
    ticket, decisions = queue.offer(call)
    decisions = queue.finish(ticket)

All shares are counted in seconds of a slot (service time): a call of 1 s weighs as much
as 50 calls of 20 ms.
"""

import heapq
import math
from typing import NamedTuple

from .. import invariants
from ..clock import Clock
from .fair_queue import FairQueue, QueuedCall, WaitingCall
from .guarantees import GUARANTEED_SHARE, GuaranteedShares
from .in_flight import InFlightCalls
from .lists import CallClass
from .refusals import Executed, Refusal, RefusalReason
from .service_times import ClassSlotUsage, ServiceTimes

# A call at depth 0 is the first of its chain of calls. It is refused when the expected
# wait takes more than this part of its remaining time, which leaves the queue to
# deeper calls.
ROOT_WAIT_FRACTION = 0.5
# These two bound the memory only; the wait is bounded by deadlines.
CAPACITY_PER_SLOT = 32
MIN_CAPACITY = 64
# Bulk may use all slots when no call of another class has arrived for this long.
BULK_RESERVE_SECONDS = 10.0
# Number of obsolete heap items that are tolerated before the heap is rebuilt.
EXPIRY_HEAP_SLACK = 256

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
        self.service_times = ServiceTimes()
        self._capacity = capacity
        self._clock = clock
        self._slot_usage = ClassSlotUsage()
        self._queue_by_class = {each: FairQueue() for each in CLASSES}
        self._guarantees = GuaranteedShares(self._queue_by_class)
        self._waiting_by_ticket: dict[int, WaitingCall] = {}
        self._in_flight = InFlightCalls()
        self._expiries: list[tuple[float, int]] = []
        self._last_ticket = 0
        self._last_non_bulk_arrival = -math.inf

    @property
    def queued(self) -> int:
        """Number of waiting calls."""
        return len(self._waiting_by_ticket)

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
            self._last_non_bulk_arrival = now
        cost = self.service_times.expected(call.route, call.call_class)
        refusal = self._refusal_on_arrival(call, cost, now)
        if refusal is None and not self._has_slot_for(call.call_class, now):
            refusal = self._make_room(call, decisions)
        if refusal is not None:
            decisions.append(Decision(ticket, refusal))
            return ticket, decisions
        waiting = WaitingCall(ticket, call, cost)
        self._waiting_by_ticket[ticket] = waiting
        self._queue_by_class[call.call_class].push(waiting)
        decisions += self._assign_slots(now)
        if waiting.is_waiting:
            self._schedule_expiry(waiting)
        return ticket, decisions

    def finish(self, ticket: int, *, ran_to_end: bool = True) -> list[Decision]:
        """Release the slot of a call.

        The service time of a call with ``ran_to_end`` is always recorded, that of
        another only if it took longer than expected.
        """
        now = self._clock.now()
        self._release(ticket, now, ran_to_end=ran_to_end)
        return self._expire(now) + self._assign_slots(now)

    def cancel(self, ticket: int) -> list[Decision]:
        """Drop a call that waits or holds a slot; it gets no further decision."""
        now = self._clock.now()
        waiting = self._waiting_by_ticket.get(ticket)
        if waiting is not None:
            self._remove_waiting(waiting)
        elif ticket in self._in_flight:
            self._release(ticket, now, ran_to_end=False)
        return self._expire(now) + self._assign_slots(now)

    def poll(self) -> list[Decision]:
        """Refuse expired calls and assign slots that became free since."""
        now = self._clock.now()
        return self._expire(now) + self._assign_slots(now)

    def set_slots(self, slots: int) -> list[Decision]:
        """Change the number of slots; running calls above it are not interrupted."""
        if slots == self.slots:
            return []
        self.slots = slots
        return self.poll()

    def refuse_waiting(self, refusal: Refusal) -> list[Decision]:
        """Refuse every waiting call, when the target drains or is removed."""
        invariants.check("refusal_before_slot", refusal.executed is Executed.NO)
        refused = list(self._waiting_by_ticket.values())
        for waiting in refused:
            self._remove_waiting(waiting)
        return [Decision(waiting.ticket, refusal) for waiting in refused]

    def next_expiry(self) -> float | None:
        """Return the earliest deadline of a waiting call."""
        while self._expiries and self._expiries[0][1] not in self._waiting_by_ticket:
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
        slots_for_class = float(slots)
        higher_seconds = 0.0
        for higher in CLASSES[: CLASSES.index(call_class)]:
            higher_seconds += self._queue_by_class[higher].queued_seconds
            slots_for_class -= self._slot_usage.mean_slots(higher, now)
        if call_class is CallClass.BULK:
            slots_for_class = min(slots_for_class, self._max_bulk_slots(now))
        if call_class is not CallClass.ORDER:
            slots_for_class = max(slots_for_class, slots * GUARANTEED_SHARE / 2)
        queue = self._queue_by_class[call_class]
        customer = call.customer if call else None
        cost = self.service_times.expected(call.route, call_class) if call else 0.0
        wait = (
            higher_seconds / slots
            + queue.seconds_before(customer, cost) / slots_for_class
        )
        held_slots, held_seconds = self._in_flight.held_by_lower_classes(call_class)
        if held_slots:
            # Until the calls of lower classes end, only the other slots serve this
            # class.
            slots_left = max(slots_for_class - held_slots, slots_for_class / slots)
            wait = min(wait * slots_for_class / slots_left, wait + held_seconds)
        total = self._in_flight.seconds_to_free_slot(call_class) + wait
        invariants.check("expected_wait_not_negative", total >= 0, str(total))
        return total

    def _refusal_on_arrival(
        self, call: QueuedCall, cost: float, now: float
    ) -> Refusal | None:
        """Return why a new call cannot be served in time, or None."""
        remaining = call.deadline - now
        if remaining <= 0:
            return _refusal(RefusalReason.DEADLINE_EXCEEDED)
        wait = self.expected_wait(call.call_class, call)
        if wait == 0:
            # A free slot serves any call: a refusal would save nothing.
            return None
        if wait >= remaining:
            return _refusal(RefusalReason.WOULD_MISS_DEADLINE, wait)
        if wait + cost > remaining and not self.service_times.allow_trial(
            call.route, now
        ):
            return _refusal(RefusalReason.WOULD_MISS_DEADLINE, wait)
        if call.depth == 0 and wait > remaining * ROOT_WAIT_FRACTION:
            return _refusal(RefusalReason.SHED, wait)
        return None

    def _make_room(self, call: QueuedCall, decisions: list[Decision]) -> Refusal | None:
        """Displace a waiting call if the queue is full, or refuse the new call."""
        if self.queued < self.capacity:
            return None
        lowest = next(
            (each for each in reversed(CLASSES) if self._queue_by_class[each].count),
            None,
        )
        if lowest is None:
            return None
        displaced = self._queue_by_class[lowest].next_to_displace()
        if not self._may_displace(call, displaced.call):
            return _refusal(
                RefusalReason.QUEUE_FULL, self.expected_wait(call.call_class, call)
            )
        self._remove_waiting(displaced)
        decisions.append(
            Decision(displaced.ticket, _refusal(RefusalReason.SHED, displaced.cost))
        )
        return None

    def _may_displace(self, new: QueuedCall, waiting: QueuedCall) -> bool:
        """Return whether a new call takes the place of a waiting call in a full queue.

        A higher class wins, then the customer with fewer waiting calls, then the
        deeper call.
        """
        new_rank, waiting_rank = (
            CLASSES.index(new.call_class),
            CLASSES.index(waiting.call_class),
        )
        if new_rank != waiting_rank:
            return new_rank < waiting_rank
        # Within a class, calls of the customer with the most waiting calls are
        # displaced, so one customer's flood cannot crowd out the others.
        queue = self._queue_by_class[new.call_class]
        new_count, waiting_count = (
            queue.count_of(new.customer),
            queue.count_of(waiting.customer),
        )
        if new_count + 1 < waiting_count:
            return True
        return new_count <= waiting_count and new.depth > waiting.depth

    def _has_slot_for(self, call_class: CallClass, now: float) -> bool:
        """Return whether a new call of the class would get a slot at once."""
        if self.in_flight >= self.slots:
            return False
        for each in CLASSES[: CLASSES.index(call_class) + 1]:
            if self._queue_by_class[each].count:
                return False
        return call_class is not CallClass.BULK or self._bulk_may_start(now)

    def _bulk_may_start(self, now: float) -> bool:
        return self._in_flight.count_by_class[CallClass.BULK] < self._max_bulk_slots(
            now
        )

    def _max_bulk_slots(self, now: float) -> int:
        """Return how many slots bulk calls may hold.

        Long bulk calls cannot be interrupted, so the mean number of slots that the
        other classes use stays free of them. Without other calls bulk may use all
        slots, and it may always use one.
        """
        if self.slots < 2 or now - self._last_non_bulk_arrival > BULK_RESERVE_SECONDS:
            return self.slots
        used = self._slot_usage.mean_slots(CallClass.ORDER, now)
        used += self._slot_usage.mean_slots(CallClass.LOOKUP, now)
        return max(1, self.slots - max(1, math.ceil(used)))

    def _assign_slots(self, now: float) -> list[Decision]:
        """Give free slots to waiting calls; refuse those that would end too late."""
        decisions: list[Decision] = []
        while self._waiting_by_ticket and self.in_flight < self.slots:
            choice = self._next_class(now)
            if choice is None:
                break
            call_class, guaranteed = choice
            waiting = self._queue_by_class[call_class].pop()
            del self._waiting_by_ticket[waiting.ticket]
            refusal = self._refusal_before_start(waiting, now)
            if refusal is None:
                self._start(waiting, now, guaranteed=guaranteed)
            decisions.append(Decision(waiting.ticket, refusal))
        return decisions

    def _refusal_before_start(self, waiting: WaitingCall, now: float) -> Refusal | None:
        """Return why a call that is next in the queue is not started, or None."""
        remaining = waiting.call.deadline - now
        if remaining <= 0:
            return _refusal(RefusalReason.DEADLINE_EXCEEDED)
        # A call that ends too late wastes its slot time, so it is started only if no
        # other call waits for the slot.
        if (
            remaining >= waiting.cost
            or not self._waiting_by_ticket
            or self.service_times.allow_trial(waiting.call.route, now)
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
        guaranteed = self._guarantees.class_with_credit(waiting[1:])
        if guaranteed is not None:
            return guaranteed, True
        return waiting[0], False

    def _start(self, waiting: WaitingCall, now: float, *, guaranteed: bool) -> None:
        call = waiting.call
        invariants.check("slots_exact", self.in_flight < self.slots, str(self.slots))
        invariants.check("dispatch_before_deadline", now < call.deadline)
        self._in_flight.start(waiting, now, guaranteed=guaranteed)
        self._slot_usage.record_start(call.call_class, waiting.cost, now)
        self._guarantees.record_start(
            call.call_class, waiting.cost, guaranteed=guaranteed
        )

    def _release(self, ticket: int, now: float, *, ran_to_end: bool) -> None:
        running = self._in_flight.end(ticket)
        call, elapsed = running.call, now - running.started_at
        excess = elapsed - running.cost
        # An aborted call would have taken at least this long.
        if ran_to_end or excess > 0:
            self.service_times.record(call.route, call.call_class, elapsed, now)
        self._queue_by_class[call.call_class].charge_excess(call.customer, excess)
        if running.guaranteed:
            self._guarantees.charge_excess(call.call_class, excess)

    def _remove_waiting(self, waiting: WaitingCall) -> None:
        del self._waiting_by_ticket[waiting.ticket]
        self._queue_by_class[waiting.call.call_class].remove(waiting)

    def _schedule_expiry(self, waiting: WaitingCall) -> None:
        """Add the deadline to the heap; rebuild it if most items are obsolete."""
        if len(self._expiries) > 2 * self.queued + EXPIRY_HEAP_SLACK:
            self._expiries = [
                (each.call.deadline, each.ticket)
                for each in self._waiting_by_ticket.values()
            ]
            heapq.heapify(self._expiries)
            return
        heapq.heappush(self._expiries, (waiting.call.deadline, waiting.ticket))

    def _expire(self, now: float) -> list[Decision]:
        """Refuse the waiting calls whose deadline has passed."""
        decisions: list[Decision] = []
        while self._expiries and self._expiries[0][0] <= now:
            _, ticket = heapq.heappop(self._expiries)
            waiting = self._waiting_by_ticket.get(ticket)
            if waiting is not None:
                self._remove_waiting(waiting)
                decisions.append(
                    Decision(ticket, _refusal(RefusalReason.DEADLINE_EXCEEDED))
                )
        return decisions


def _refusal(reason: RefusalReason, retry_after: float | None = None) -> Refusal:
    return Refusal(reason=reason, executed=Executed.NO, retry_after=retry_after)
