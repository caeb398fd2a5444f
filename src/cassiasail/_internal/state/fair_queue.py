"""The waiting calls of one class: deficit round robin among customers.

Shares are counted in seconds of a slot and not in calls, so a customer with long
calls gets no more of the target than one with short calls. The calls of one customer
leave deepest first, because a deeper call has more finished work behind it, and
oldest first among equal depths.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from ..ids import CustomerId, RoutePath
from .lists import CallClass

# Keeps the rounds finite when every estimate is close to zero.
MIN_QUANTUM = 1e-6  # seconds
# Debt from calls that ran longer than expected; more would stall a customer long
# after its slow calls ended.
MAX_DEBT = 5.0  # seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class QueuedCall:
    """What the queue knows of a call; ``deadline`` is a time of its clock."""

    customer: CustomerId
    route: RoutePath
    call_class: CallClass
    deadline: float
    depth: int = 0


@dataclass(slots=True, eq=False)
class Entry:
    """A waiting call with its expected seconds of a slot."""

    ticket: int
    call: QueuedCall
    cost: float
    waiting: bool = True


@dataclass(slots=True, eq=False)
class Share:
    """The waiting calls of one customer and the slot time it may take now."""

    customer: CustomerId
    deficit: float = 0.0
    work: float = 0.0
    count: int = 0
    entries_by_depth: dict[int, dict[int, Entry]] = field(default_factory=dict)

    def first(self) -> Entry:
        """Return the oldest of the deepest calls."""
        entries = self.entries_by_depth[max(self.entries_by_depth)]
        return next(iter(entries.values()))

    def last(self) -> Entry:
        """Return the youngest of the least deep calls."""
        entries = self.entries_by_depth[min(self.entries_by_depth)]
        return next(reversed(entries.values()))


class FairQueue:
    """Waiting calls of one class. ``work`` is their expected slot time in seconds."""

    def __init__(self) -> None:
        self.count = 0
        self.work = 0.0
        self._share_by_customer: dict[CustomerId, Share] = {}
        self._ring: deque[Share] = deque()

    def push(self, entry: Entry) -> None:
        """Add a call at the end of its customer's share."""
        customer, depth = entry.call.customer, entry.call.depth
        self.count += 1
        self.work += entry.cost
        share = self._share_by_customer.get(customer)
        if share is None:
            # A first quantum at once: otherwise a customer with one call at a time
            # waits a whole round more than the others.
            share = Share(customer, deficit=self._quantum())
            self._share_by_customer[customer] = share
            self._ring.append(share)
        share.entries_by_depth.setdefault(depth, {})[entry.ticket] = entry
        share.count += 1
        share.work += entry.cost

    def pop(self) -> Entry:
        """Take the next call by deficit round robin."""
        share = self._next_share()
        entry = share.first()
        share.deficit -= entry.cost
        self.remove(entry)
        return entry

    def remove(self, entry: Entry) -> None:
        """Take out one call wherever it stands."""
        share = self._share_by_customer[entry.call.customer]
        entries = share.entries_by_depth[entry.call.depth]
        del entries[entry.ticket]
        if not entries:
            del share.entries_by_depth[entry.call.depth]
        entry.waiting = False
        share.count -= 1
        share.work -= entry.cost
        self.count -= 1
        # Rounding errors must not outlive the calls they came from.
        self.work = self.work - entry.cost if self.count else 0.0
        if share.count == 0:
            # An idle customer keeps no credit, as usual for deficit round robin.
            del self._share_by_customer[share.customer]
            self._ring.remove(share)

    def victim(self) -> Entry:
        """Return the call to displace.

        It belongs to the customer with the most waiting calls; of these it is the
        youngest of the least deep ones.
        """
        return max(self._ring, key=lambda share: share.count).last()

    def count_of(self, customer: CustomerId) -> int:
        """Return the number of waiting calls of a customer."""
        share = self._share_by_customer.get(customer)
        return share.count if share else 0

    def work_before(self, customer: CustomerId | None, cost: float) -> float:
        """Return the expected slot time served before a new call of ``customer``.

        Each other customer gets at most what this one gets until its call is served.
        """
        share = self._share_by_customer.get(customer) if customer else None
        own = share.work if share else 0.0
        others = len(self._ring) - (share is not None)
        return own + min(self.work - own, others * (own + cost))

    def correct(self, customer: CustomerId, seconds: float) -> None:
        """Charge a call that took ``seconds`` more (or less) than expected."""
        share = self._share_by_customer.get(customer)
        if share is not None:
            share.deficit = max(share.deficit - seconds, -MAX_DEBT)

    def _quantum(self) -> float:
        return max(self.work / self.count, MIN_QUANTUM)

    def _next_share(self) -> Share:
        quantum = self._quantum()
        while True:
            for _ in range(len(self._ring)):
                share = self._ring[0]
                # The tolerance absorbs rounding, which could add a whole round.
                if share.deficit + MIN_QUANTUM >= share.first().cost:
                    return share
                share.deficit += quantum
                self._ring.rotate(-1)
            self._skip_rounds(quantum)

    def _skip_rounds(self, quantum: float) -> None:
        """Grant at once the rounds in which no customer could be served."""
        lacking = min(share.first().cost - share.deficit for share in self._ring)
        rounds = math.floor(lacking / quantum)
        if rounds > 0:
            for share in self._ring:
                share.deficit += rounds * quantum
