"""The admission queue: number of slots, class priority, fair shares and refusals."""

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiasail._internal.ids import CustomerId, RoutePath
from cassiasail._internal.state.fair_queue import QueuedCall
from cassiasail._internal.state.lists import CallClass
from cassiasail._internal.state.queues import AdmissionQueue, Decision
from cassiasail._internal.state.refusals import Executed, RefusalReason
from cassiasail._internal.state.slots import SlotLimit
from tests.lib.clocks import VirtualClock


def call(
    customer: str = "desk",
    call_class: CallClass = CallClass.LOOKUP,
    *,
    deadline: float = 1e6,
    depth: int = 1,
) -> QueuedCall:
    return QueuedCall(
        customer=CustomerId(customer),
        route=RoutePath(f"/{call_class.value}/{customer}"),
        call_class=call_class,
        deadline=1000.0 + deadline,
        depth=depth,
    )


class SaturatedQueue:
    """A queue whose slots are always in use; counts the slot time of each customer."""

    def __init__(self, *, slots: int, seconds_by_customer: dict[str, float]) -> None:
        self.clock = VirtualClock()
        self.queue = AdmissionQueue(clock=self.clock, slots=slots, capacity=10_000)
        self.seconds_by_customer = seconds_by_customer
        self.call_by_ticket: dict[int, QueuedCall] = {}
        self.running: list[tuple[float, int]] = []
        self.slot_seconds_by_key: Counter[tuple[str, CallClass]] = Counter()

    def offer(self, offered_call: QueuedCall) -> None:
        ticket, decisions = self.queue.offer(offered_call)
        self.call_by_ticket[ticket] = offered_call
        self.apply(decisions)

    def apply(self, decisions: list[Decision]) -> None:
        for ticket, refusal in decisions:
            assert refusal is None, refusal
            started_call = self.call_by_ticket[ticket]
            seconds = self.seconds_by_customer[started_call.customer]
            self.slot_seconds_by_key[
                started_call.customer, started_call.call_class
            ] += seconds
            self.running.append((self.clock.now() + seconds, ticket))

    def run(self, seconds: float) -> None:
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            self.running.sort(reverse=True)
            due, ticket = self.running.pop()
            self.clock.advance(max(0.0, due - self.clock.now()))
            # Each customer sends its next call when one ends, so calls always wait.
            self.offer(self.call_by_ticket[ticket])
            self.apply(self.queue.finish(ticket))


@settings(max_examples=25)
@given(
    seconds=st.lists(st.sampled_from((0.02, 0.05, 0.1, 0.4)), min_size=2, max_size=5),
    flood=st.integers(min_value=1, max_value=20),
)
def test_customers_of_a_class_get_equal_slot_time(
    seconds: list[float], flood: int
) -> None:
    """Guards against starvation by a flood or by long calls of one customer."""
    names = [f"customer-{index}" for index in range(len(seconds))]
    model = SaturatedQueue(
        slots=2, seconds_by_customer=dict(zip(names, seconds, strict=True))
    )
    for name in names:
        for _ in range(4 + (flood * 10 if name == names[0] else 0)):
            model.offer(call(name))
    model.run(5.0)  # until the estimates of service times are stable
    model.slot_seconds_by_key.clear()
    model.run(40.0)
    used = [model.slot_seconds_by_key[name, CallClass.LOOKUP] for name in names]
    assert min(used) >= 0.85 * sum(used) / len(used)


def test_saturating_orders_leave_the_guaranteed_share() -> None:
    """Guards against starvation of lower classes and against too large a guarantee."""
    seconds_by_customer = {"orders": 0.02, "views": 0.03, "reports": 0.8}
    model = SaturatedQueue(slots=8, seconds_by_customer=seconds_by_customer)
    for _ in range(40):
        model.offer(call("orders", CallClass.ORDER))
        model.offer(call("views", CallClass.LOOKUP))
        model.offer(call("reports", CallClass.BULK))
    model.run(20.0)
    model.slot_seconds_by_key.clear()
    model.run(100.0)
    total = sum(model.slot_seconds_by_key.values())
    share = {key[1]: used / total for key, used in model.slot_seconds_by_key.items()}
    assert share[CallClass.ORDER] >= 0.94
    assert 0.02 <= share[CallClass.LOOKUP] <= 0.03
    assert 0.02 <= share[CallClass.BULK] <= 0.03


def test_bulk_leaves_slots_for_recent_higher_classes_only() -> None:
    """Guards against bulk calls that hold every slot while a lookup waits."""
    clock = VirtualClock()
    queue = AdmissionQueue(clock=clock, slots=4)
    lookup, _ = queue.offer(call("view"))
    clock.advance(0.02)
    queue.finish(lookup)
    started = [queue.offer(call("pull", CallClass.BULK))[1] for _ in range(8)]
    assert sum(map(len, started)) == 3
    assert queue.offer(call("view"))[1] != []
    # Without recent lookups, bulk calls may use all slots.
    clock.advance(11.0)
    assert len(queue.poll()) == 0  # all slots are in use
    queue.finish(lookup + 9)
    clock.advance(11.0)
    queue.poll()
    assert queue.in_flight == 4


def test_full_queue_displaces_the_lowest_class_then_the_largest_customer() -> None:
    """Guards against a flood that keeps other customers out of the queue."""
    clock = VirtualClock()
    queue = AdmissionQueue(clock=clock, slots=1, capacity=4)
    queue.offer(call())
    flood = [queue.offer(call("flood", CallClass.BULK))[0] for _ in range(4)]
    _, refused = queue.offer(call("flood", CallClass.BULK))
    assert [(d.refusal and d.refusal.reason) for d in refused] == [
        RefusalReason.QUEUE_FULL
    ]
    # The youngest bulk call is displaced by a call of a higher class ...
    _, decisions = queue.offer(call("desk", CallClass.ORDER))
    assert [d.ticket for d in decisions] == [flood[3]]
    # ... or of another customer of the same class, and by a deeper call.
    _, decisions = queue.offer(call("other", CallClass.BULK))
    assert [d.ticket for d in decisions] == [flood[2]]
    _, decisions = queue.offer(call("flood", CallClass.BULK, depth=3))
    assert [d.ticket for d in decisions] == [flood[1]]
    refusal = decisions[0].refusal
    assert refusal is not None
    assert (refusal.reason, refusal.executed) == (RefusalReason.SHED, Executed.NO)


def test_call_that_finds_a_free_slot_displaces_no_call() -> None:
    """Guards against shedding bulk calls for a call that does not have to wait."""
    queue = AdmissionQueue(clock=VirtualClock(), slots=2, capacity=1)
    first, _ = queue.offer(call())
    queue.finish(first)
    queue.offer(call("pull", CallClass.BULK))
    queue.offer(call("pull", CallClass.BULK))
    ticket, decisions = queue.offer(call())
    assert decisions == [Decision(ticket, None)]


def test_root_calls_are_refused_before_deeper_calls_and_served_after_them() -> None:
    """Guards against refusing calls of a chain in progress while new chains start."""
    clock = VirtualClock()
    queue = AdmissionQueue(clock=clock, slots=1)
    first, _ = queue.offer(call(depth=0))
    clock.advance(1.0)
    queue.finish(first)
    running, _ = queue.offer(call(depth=0))
    root, _ = queue.offer(call(depth=0))
    deep, _ = queue.offer(call(depth=5))
    _, refused = queue.offer(call(depth=0, deadline=5.0))
    assert refused[0].refusal is not None
    assert refused[0].refusal.reason is RefusalReason.SHED
    kept, decisions = queue.offer(call(depth=1, deadline=5.0))
    assert decisions == []
    clock.advance(1.0)
    assert queue.finish(running) == [Decision(deep, None)]
    assert queue.finish(deep) == [Decision(kept, None)]
    assert queue.finish(kept) == [Decision(root, None)]


def test_waiting_call_expires_at_its_deadline() -> None:
    """Guards against a caller without a response and against a late dispatch."""
    clock = VirtualClock()
    queue = AdmissionQueue(clock=clock, slots=1)
    running, _ = queue.offer(call())
    waiting, decisions = queue.offer(call(deadline=0.5))
    assert decisions == []
    assert queue.next_expiry() == pytest.approx(1000.5)
    clock.advance(0.5)
    ((ticket, refusal),) = queue.finish(running)
    assert ticket == waiting
    assert refusal is not None
    assert refusal.reason is RefusalReason.DEADLINE_EXCEEDED
    assert refusal.executed is Executed.NO


def test_slow_estimate_does_not_block_a_route() -> None:
    """Guards against one slow response after which its route is always refused."""
    clock = VirtualClock()
    queue = AdmissionQueue(clock=clock, slots=1)
    slow, _ = queue.offer(call("slow"))
    clock.advance(30.0)
    queue.finish(slow)
    admitted = 0
    for _ in range(600):
        fast, _ = queue.offer(call("fast"))  # keeps the slot busy
        deadline = clock.now() - 1000.0 + 1.0
        ticket, decisions = queue.offer(call("slow", deadline=deadline))
        if not decisions:
            admitted += 1
            queue.cancel(ticket)
        clock.advance(0.01)
        queue.finish(fast)
    assert 5 <= admitted <= 8  # about one trial a second


def test_reported_free_slots_lower_the_slot_limit_for_a_short_time() -> None:
    """Guards against a target that loses capacity by a load report that is stuck."""
    limit = SlotLimit(9)
    limit.apply_free_slots(0.0, in_flight=3, free_slots=99)
    assert limit.effective(0.0) == 9
    for second in range(6):
        limit.apply_free_slots(float(second), in_flight=0, free_slots=0)
        assert limit.effective(second + 0.5) == (1 if second < 2 else 9)


def test_slot_limit_falls_once_per_overload_and_recovers_additively() -> None:
    """Guards against a burst of shed calls that reduces the limit several times.

    Also against a limit that stays unchanged.
    """
    limit = SlotLimit(10)
    for _ in range(5):
        limit.record_shed(1.0, in_flight=10, retry_after=2.0)
    assert limit.effective(1.0) == 7
    assert limit.effective(3.0) == 7
    assert limit.effective(5.0) == 9
    assert limit.effective(60.0) == 10
