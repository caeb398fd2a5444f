"""The calls that hold a slot of one target, and how soon their slots become free."""

from dataclasses import dataclass

from .fair_queue import Entry, QueuedCall
from .lists import CallClass

CLASSES = tuple(CallClass)
# Bounds the rate at which calls without measurable service time end.
MIN_COST = 1e-4  # seconds


@dataclass(slots=True, eq=False)
class Running:
    """A call that holds a slot since a time of the queue's clock."""

    call: QueuedCall
    cost: float
    since: float
    guaranteed: bool


class InFlight:
    """Calls that hold a slot, by ticket; ``count_by_class`` counts them."""

    def __init__(self) -> None:
        self.count_by_class = dict.fromkeys(CLASSES, 0)
        self._running_by_ticket: dict[int, Running] = {}
        self._ends_per_second = dict.fromkeys(CLASSES, 0.0)

    def __len__(self) -> int:
        return len(self._running_by_ticket)

    def __contains__(self, ticket: int) -> bool:
        return ticket in self._running_by_ticket

    def start(self, entry: Entry, now: float, *, guaranteed: bool) -> None:
        """Give the call a slot."""
        call = entry.call
        self._running_by_ticket[entry.ticket] = Running(
            call, entry.cost, now, guaranteed
        )
        self.count_by_class[call.call_class] += 1
        self._ends_per_second[call.call_class] += 1 / max(entry.cost, MIN_COST)

    def end(self, ticket: int) -> Running:
        """Take the slot back."""
        running = self._running_by_ticket.pop(ticket)
        call_class = running.call.call_class
        self.count_by_class[call_class] -= 1
        self._ends_per_second[call_class] -= 1 / max(running.cost, MIN_COST)
        if self.count_by_class[call_class] == 0:
            # Rounding errors must not outlive the calls they came from.
            self._ends_per_second[call_class] = 0.0
        return running

    def next_end(self, call_class: CallClass) -> float:
        """Return the expected seconds until a slot usable by the class is free.

        The rates of the calls add up, so short calls beside long ones free a slot
        soon. Bulk waits for bulk when it has all the slots it may hold.
        """
        classes = CLASSES
        if call_class is CallClass.BULK and self.count_by_class[call_class]:
            classes = (CallClass.BULK,)
        rate = sum(self._ends_per_second[each] for each in classes)
        return 1 / rate if rate > 0 else 0.0

    def held_below(self, call_class: CallClass) -> tuple[int, float]:
        """Return the slots held by lower classes, and for how long on average.

        Nothing interrupts these calls; half of their service time is ahead of them.
        """
        held, seconds = 0, 0.0
        for lower in CLASSES[CLASSES.index(call_class) + 1 :]:
            count = self.count_by_class[lower]
            if count:
                held += count
                seconds = max(seconds, count / self._ends_per_second[lower] / 2)
        return held, seconds
