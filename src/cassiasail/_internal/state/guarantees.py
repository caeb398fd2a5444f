"""The small share of slot time that lower classes get under strict priority."""

from collections.abc import Mapping, Sequence

from .fair_queue import FairQueue
from .lists import CallClass

# Slot time that all waiting lower classes together get while a higher one is served.
GUARANTEED_SHARE = 0.05
# A guaranteed call that ran longer than expected is charged to later guarantees, up
# to this many seconds of a slot.
MAX_DEBT_SECONDS = 30.0

CLASSES = tuple(CallClass)


class GuaranteedShares:
    """Credit in seconds of a slot for the classes that wait behind a higher one."""

    def __init__(self, queue_by_class: Mapping[CallClass, FairQueue]) -> None:
        self._queue_by_class = queue_by_class
        self._credit_by_class = dict.fromkeys(CLASSES, 0.0)

    def class_with_credit(self, waiting: Sequence[CallClass]) -> CallClass | None:
        """Return the lowest of the waiting classes whose credit covers a mean call."""
        for lower in reversed(waiting):
            if self._credit_by_class[lower] >= self._mean_cost(lower):
                return lower
        return None

    def record_start(self, served: CallClass, cost: float, *, guaranteed: bool) -> None:
        """Charge a guaranteed call and add credit to the waiting lower classes."""
        if guaranteed:
            self._credit_by_class[served] -= cost
        waiting_lower = [
            each
            for each in CLASSES[CLASSES.index(served) + 1 :]
            if self._queue_by_class[each].count
        ]
        for each in waiting_lower:
            share = GUARANTEED_SHARE / (1 - GUARANTEED_SHARE) / len(waiting_lower)
            # Credit for one call: a longer burst would delay the higher classes.
            self._credit_by_class[each] = min(
                self._credit_by_class[each] + share * cost, self._mean_cost(each)
            )

    def charge_excess(self, call_class: CallClass, seconds: float) -> None:
        """Charge a guaranteed call that took ``seconds`` more than expected."""
        credit = self._credit_by_class[call_class] - seconds
        self._credit_by_class[call_class] = max(credit, -MAX_DEBT_SECONDS)

    def _mean_cost(self, call_class: CallClass) -> float:
        queue = self._queue_by_class[call_class]
        return queue.queued_seconds / queue.count
