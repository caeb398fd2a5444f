"""The calls that hold a slot of one target, and when their slots should become free."""

from dataclasses import dataclass

from .fair_queue import QueuedCall, WaitingCall
from .lists import CallClass

CLASSES = tuple(CallClass)
# Lower bound of a cost, so that the rate at which calls end stays finite.
MIN_COST_SECONDS = 1e-4


@dataclass(slots=True, eq=False)
class RunningCall:
    """A call that holds a slot; ``started_at`` is a time of the queue's clock."""

    call: QueuedCall
    cost: float
    started_at: float
    guaranteed: bool


class InFlightCalls:
    """Calls that hold a slot, by ticket; ``count_by_class`` counts them."""

    def __init__(self) -> None:
        self.count_by_class = dict.fromkeys(CLASSES, 0)
        self._running_by_ticket: dict[int, RunningCall] = {}
        self._ends_per_second = dict.fromkeys(CLASSES, 0.0)

    def __len__(self) -> int:
        return len(self._running_by_ticket)

    def __contains__(self, ticket: int) -> bool:
        return ticket in self._running_by_ticket

    def start(self, waiting: WaitingCall, now: float, *, guaranteed: bool) -> None:
        """Record that a call got a slot."""
        call = waiting.call
        self._running_by_ticket[waiting.ticket] = RunningCall(
            call, waiting.cost, now, guaranteed
        )
        self.count_by_class[call.call_class] += 1
        self._ends_per_second[call.call_class] += 1 / max(
            waiting.cost, MIN_COST_SECONDS
        )

    def end(self, ticket: int) -> RunningCall:
        """Remove a call whose slot is released and return it."""
        running = self._running_by_ticket.pop(ticket)
        call_class = running.call.call_class
        self.count_by_class[call_class] -= 1
        self._ends_per_second[call_class] -= 1 / max(running.cost, MIN_COST_SECONDS)
        if self.count_by_class[call_class] == 0:
            # Prevents rounding errors from accumulating.
            self._ends_per_second[call_class] = 0.0
        return running

    def seconds_to_free_slot(self, call_class: CallClass) -> float:
        """Return the expected seconds until a slot usable by the class is free.

        The rates of the calls add up, so short calls beside long ones free a slot
        soon. For bulk, only running bulk calls count if there are any, because they may
        hold all the slots that bulk may use.
        """
        classes = CLASSES
        if call_class is CallClass.BULK and self.count_by_class[call_class]:
            classes = (CallClass.BULK,)
        rate = sum(self._ends_per_second[each] for each in classes)
        return 1 / rate if rate > 0 else 0.0

    def held_by_lower_classes(self, call_class: CallClass) -> tuple[int, float]:
        """Return the slots that lower classes hold, and for how many seconds.

        Running calls cannot be interrupted; on average, half of their service time
        remains. The seconds are those of the lower class with the longest mean.
        """
        slots, seconds = 0, 0.0
        for lower in CLASSES[CLASSES.index(call_class) + 1 :]:
            count = self.count_by_class[lower]
            if count:
                slots += count
                seconds = max(seconds, count / self._ends_per_second[lower] / 2)
        return slots, seconds
