"""The waiting calls of one class: deficit round robin among customers.

Shares are counted in seconds of a slot and not in calls, so a customer with long
calls gets no more of the target than one with short calls. Among the calls of one
customer the deepest is served first, because more finished work of its chain would be
lost; among equal depths the oldest is first.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from ..ids import CustomerId, RoutePath
from .lists import CallClass

# Keeps the number of rounds finite when every estimate is close to zero.
MIN_QUANTUM_SECONDS = 1e-6
# Limits the debt from calls that ran longer than expected; more would stall a customer
# long after its slow calls ended.
MAX_DEBT_SECONDS = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class QueuedCall:
    """The attributes of a call that the queue uses.

    ``deadline`` is a time of the queue's clock. ``depth`` is the position in a chain
    of calls, 0 for its first call.
    """

    customer: CustomerId
    route: RoutePath
    call_class: CallClass
    deadline: float
    depth: int = 0


@dataclass(slots=True, eq=False)
class WaitingCall:
    """A call in the queue; ``cost`` is its expected service time in seconds."""

    ticket: int
    call: QueuedCall
    cost: float
    is_waiting: bool = True


@dataclass(slots=True, eq=False)
class CustomerQueue:
    """The waiting calls of one customer.

    ``deficit`` is the slot time in seconds that the customer may use now,
    ``queued_seconds`` the expected slot time of all its waiting calls.
    """

    customer: CustomerId
    deficit: float = 0.0
    queued_seconds: float = 0.0
    count: int = 0
    calls_by_depth: dict[int, dict[int, WaitingCall]] = field(default_factory=dict)

    def next_to_serve(self) -> WaitingCall:
        """Return the oldest of the deepest calls."""
        calls = self.calls_by_depth[max(self.calls_by_depth)]
        return next(iter(calls.values()))

    def next_to_displace(self) -> WaitingCall:
        """Return the youngest of the least deep calls."""
        calls = self.calls_by_depth[min(self.calls_by_depth)]
        return next(reversed(calls.values()))


class FairQueue:
    """Waiting calls of one class; ``queued_seconds`` is their expected slot time."""

    def __init__(self) -> None:
        self.count = 0
        self.queued_seconds = 0.0
        self._queue_by_customer: dict[CustomerId, CustomerQueue] = {}
        self._ring: deque[CustomerQueue] = deque()

    def push(self, waiting: WaitingCall) -> None:
        """Add a call to the queue of its customer."""
        customer, depth = waiting.call.customer, waiting.call.depth
        self.count += 1
        self.queued_seconds += waiting.cost
        queue = self._queue_by_customer.get(customer)
        if queue is None:
            # Starts with one quantum: otherwise a customer with one call at a time
            # waits a whole round more than the others.
            queue = CustomerQueue(customer, deficit=self._quantum())
            self._queue_by_customer[customer] = queue
            self._ring.append(queue)
        queue.calls_by_depth.setdefault(depth, {})[waiting.ticket] = waiting
        queue.count += 1
        queue.queued_seconds += waiting.cost

    def pop(self) -> WaitingCall:
        """Remove and return the next call by deficit round robin."""
        queue = self._next_customer_queue()
        waiting = queue.next_to_serve()
        queue.deficit -= waiting.cost
        self.remove(waiting)
        return waiting

    def remove(self, waiting: WaitingCall) -> None:
        """Remove a call at any position."""
        queue = self._queue_by_customer[waiting.call.customer]
        calls = queue.calls_by_depth[waiting.call.depth]
        del calls[waiting.ticket]
        if not calls:
            del queue.calls_by_depth[waiting.call.depth]
        waiting.is_waiting = False
        queue.count -= 1
        queue.queued_seconds -= waiting.cost
        self.count -= 1
        # Prevents rounding errors from accumulating.
        self.queued_seconds = self.queued_seconds - waiting.cost if self.count else 0.0
        if queue.count == 0:
            # An idle customer keeps no credit, as usual for deficit round robin.
            del self._queue_by_customer[queue.customer]
            self._ring.remove(queue)

    def next_to_displace(self) -> WaitingCall:
        """Return the call to displace when the queue is full.

        It belongs to the customer with the most waiting calls; of these it is the
        youngest of the least deep ones.
        """
        return max(self._ring, key=lambda queue: queue.count).next_to_displace()

    def count_of(self, customer: CustomerId) -> int:
        """Return the number of waiting calls of a customer."""
        queue = self._queue_by_customer.get(customer)
        return queue.count if queue else 0

    def seconds_before(self, customer: CustomerId | None, cost: float) -> float:
        """Return the expected slot time served before a new call of ``customer``.

        Each other customer gets at most as much as this one until its call is served.
        """
        queue = self._queue_by_customer.get(customer) if customer else None
        own = queue.queued_seconds if queue else 0.0
        other_customers = len(self._ring) - (queue is not None)
        return own + min(self.queued_seconds - own, other_customers * (own + cost))

    def charge_excess(self, customer: CustomerId, seconds: float) -> None:
        """Charge a call that took ``seconds`` more (or less) than expected."""
        queue = self._queue_by_customer.get(customer)
        if queue is not None:
            queue.deficit = max(queue.deficit - seconds, -MAX_DEBT_SECONDS)

    def _quantum(self) -> float:
        return max(self.queued_seconds / self.count, MIN_QUANTUM_SECONDS)

    def _next_customer_queue(self) -> CustomerQueue:
        """Return the next customer in the ring whose deficit covers its next call."""
        quantum = self._quantum()
        while True:
            for _ in range(len(self._ring)):
                queue = self._ring[0]
                # The tolerance absorbs rounding errors, which could add a whole round.
                if queue.deficit + MIN_QUANTUM_SECONDS >= queue.next_to_serve().cost:
                    return queue
                queue.deficit += quantum
                self._ring.rotate(-1)
            self._skip_rounds(quantum)

    def _skip_rounds(self, quantum: float) -> None:
        """Add the quanta of the rounds in which no customer could be served."""
        missing = min(
            queue.next_to_serve().cost - queue.deficit for queue in self._ring
        )
        rounds = math.floor(missing / quantum)
        if rounds > 0:
            for queue in self._ring:
                queue.deficit += rounds * quantum
