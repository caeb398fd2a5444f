"""The decisions on one call, host side, for one local target.

``TargetHost`` is the only one that gives out slots of its target. A call waits in its
queue for a ``SlotPermit``:

    permit = await host.admit(call)
    if isinstance(permit, Refusal):
        return permit
    with permit:
        refusal = permit.dispatched()  # directly before the first byte
        ...
        refusal = permit.finished(CallOutcome.ANSWERED)

A refusal says ``executed: "no"`` only if ``dispatched`` did not return None before.
"""

import asyncio
from collections.abc import Callable

from absl import logging

from .. import invariants, metrics
from ..clock import Clock
from ..ids import TargetId
from ..state.queues import AdmissionQueue, Decision
from ..state.refusals import Executed, Refusal, RefusalReason
from ..state.slots import SlotLimit
from ..state.targets import LoadReport
from .endpoints import EndpointPublisher
from .permits import (
    Announcement,
    CallOutcome,
    EndpointChange,
    HostedCall,
    SlotPermit,
    TargetState,
)
from .quarantine import Quarantine
from .target_process import TargetProcess
from .wakeups import CallLater, Wakeup

SILENCE_SECONDS = 3.0
# Advice to a suspect that meets another one on this target.
PROBATION_RETRY = 0.1  # seconds

REASON_BY_STATE = {
    TargetState.STARTING: RefusalReason.NO_TARGET,
    TargetState.DRAINING: RefusalReason.DRAINING,
    TargetState.GONE: RefusalReason.TARGET_GONE,
}


Resolve = Callable[[SlotPermit | Refusal], None]


class TargetHost:
    """Queue, state and process of one local target.

    ``publish_endpoint`` takes changes for the daemon's record, ``probe_port`` starts a
    connection attempt whose refusal is reported with ``port_refused``.
    """

    def __init__(
        self,
        *,
        target: TargetId,
        clock: Clock,
        quarantine: Quarantine,
        publish_endpoint: Callable[[EndpointChange], None],
        probe_port: Callable[[], None],
        call_later: CallLater,
        queue_capacity: int | None = None,
    ) -> None:
        self.target = target
        self.state = TargetState.GONE
        self._clock = clock
        self._quarantine = quarantine
        self._publisher = EndpointPublisher(clock=clock, publish=publish_endpoint)
        self._probe_port = probe_port
        self._queue = AdmissionQueue(clock=clock, slots=0, capacity=queue_capacity)
        self._limit = SlotLimit(0)
        self._process = TargetProcess()
        self._is_leaving = False
        self._announcement: Announcement | None = None
        self._last_announced = 0.0
        self._waiting_by_ticket: dict[int, tuple[HostedCall, Resolve]] = {}
        self._permit_by_ticket: dict[int, SlotPermit] = {}
        self._wakeup = Wakeup(clock=clock, call_later=call_later, callback=self.poll)
        self._idle_waiters: list[asyncio.Future[None]] = []

    async def admit(self, call: HostedCall) -> SlotPermit | Refusal:
        """Wait for a slot until the deadline of the call.

        A cancelled wait leaves nothing behind, also when the slot was granted in the
        same turn of the loop.
        """
        future: asyncio.Future[SlotPermit | Refusal]
        future = asyncio.get_running_loop().create_future()

        def resolve(result: SlotPermit | Refusal) -> None:
            if not future.done():
                future.set_result(result)

        ticket = self.submit(call, resolve)
        try:
            return await future
        except asyncio.CancelledError:
            if ticket is not None:
                self.withdraw(ticket)
            raise

    def submit(self, call: HostedCall, resolve: Resolve) -> int | None:
        """Ask for a slot; ``resolve`` is called once, unless withdrawn before.

        Returns the ticket to withdraw with, None if the call was refused at once.
        """
        refusal = self._refusal_at_entry(call)
        if refusal is not None:
            self._count(refusal)
            resolve(refusal)
            return None
        self._refresh_slots()
        ticket, decisions = self._queue.offer(call)
        self._waiting_by_ticket[ticket] = (call, resolve)
        self._apply(decisions)
        self._ask_wakeup()
        return ticket

    def withdraw(self, ticket: int) -> None:
        """Give up a call that waits, or holds a slot and was not dispatched."""
        permit = self._permit_by_ticket.get(ticket)
        if permit is not None:
            permit.finished(CallOutcome.CANCELLED)
        elif self._waiting_by_ticket.pop(ticket, None) is not None:
            self._apply(self._queue.cancel(ticket))
            self._ask_wakeup()

    def announced(self, announcement: Announcement) -> None:
        """Take over what the target says of itself."""
        now = self._clock.now()
        if self._process.is_stale(announcement.started, now):
            return
        if self._process.announced(announcement.started, now):
            self._die("its start time changed")
            self._lose("its start time changed")
            self._process.replace(announcement.started)
        self._announcement = announcement
        self._last_announced = now
        usable = max(1, min(announcement.slots, announcement.connections))
        if self.state is TargetState.GONE:
            # A new process does not inherit the limits of its predecessor.
            self._limit = SlotLimit(usable)
        self._limit.set_announced(usable, now)
        if announcement.free_slots is not None:
            self._limit.reported(now, self._queue.in_flight, announcement.free_slots)
        self._enter(announcement.state)
        self._refresh_slots()
        self._apply(self._queue.poll())
        self._ask_wakeup()

    def port_refused(self) -> None:
        """Take over that the target's port refused a connection."""
        self._process.refused(self._clock.now())
        if self._process.is_dead(self._clock.now()):
            self._die("its connection was reset and its port refuses")
        self._lose("its port refuses")

    def poll(self) -> None:
        """Refuse expired calls and notice a silent target; called at wakeups."""
        now = self._clock.now()
        if (
            self.state is not TargetState.GONE
            and now >= self._last_announced + SILENCE_SECONDS
        ):
            self._lose("it was silent")
        self._refresh_slots()
        self._apply(self._queue.poll())
        self._publish()
        self._ask_wakeup()

    def load_report(self) -> LoadReport:
        """Return the load to carry on an answer."""
        return LoadReport(
            queued=self._queue.queued,
            slots=self._queue.slots if self.state is TargetState.READY else 0,
            in_flight=self._queue.in_flight,
        )

    def leave(self) -> None:
        """Refuse all new calls, for the shutdown of the daemon; not undone."""
        self._is_leaving = True
        self._enter(TargetState.DRAINING)

    async def wait_idle(self) -> None:
        """Wait until no call holds a slot."""
        while self._permit_by_ticket:
            waiter = asyncio.get_running_loop().create_future()
            self._idle_waiters.append(waiter)
            await waiter

    def refusal_at_dispatch(self, permit: SlotPermit) -> Refusal | None:
        """Return why a granted call must not be sent to the target after all."""
        refusal = self._refusal_by_state()
        if refusal is None and permit.started != self._process.started:
            refusal = _refusal(RefusalReason.TARGET_GONE)
        if refusal is None and self._clock.now() >= permit.call.deadline:
            refusal = _refusal(RefusalReason.DEADLINE_EXCEEDED)
        if refusal is None:
            refusal = self._quarantine.check(permit.call.fingerprint)
        if refusal is not None:
            self._count(refusal)
        return refusal

    def release(
        self, permit: SlotPermit, outcome: CallOutcome, retry_after: float
    ) -> None:
        """Take back a slot and draw the conclusions from the outcome."""
        now = self._clock.now()
        in_flight = self._queue.in_flight
        del self._permit_by_ticket[permit.ticket]
        is_current = permit.started == self._process.started
        if outcome is CallOutcome.SHED and is_current:
            self._limit.shed(now, in_flight, retry_after)
        # A target that shed the call has not shown that it survives it.
        if outcome is CallOutcome.ANSWERED:
            self._quarantine.answered(permit.call.fingerprint)
        # Before the slot goes to the next call, which a dead target must not get.
        if is_current:
            self._judge_process(permit, outcome, now)
        measured = outcome is CallOutcome.ANSWERED
        self._apply(self._queue.finish(permit.ticket, measured=measured))
        self._refresh_slots()
        self._ask_wakeup()
        self._wake_idle_waiters()

    def _judge_process(
        self, permit: SlotPermit, outcome: CallOutcome, now: float
    ) -> None:
        if outcome is CallOutcome.CONNECT_REFUSED:
            self.port_refused()
        if outcome is not CallOutcome.RESET or not permit.is_dispatched:
            return
        self._process.reset(permit.call.fingerprint, now)
        if self._process.is_dead(now):
            self._die("its port refuses and its connection was reset")
        elif self.state is not TargetState.GONE:
            self._probe_port()

    def _refusal_at_entry(self, call: HostedCall) -> Refusal | None:
        refusal = self._refusal_by_state() or self._quarantine.check(call.fingerprint)
        if refusal is not None or not self._quarantine.is_on_probation(
            call.fingerprint
        ):
            return refusal
        others = [each for each, _ in self._waiting_by_ticket.values()]
        others += [permit.call for permit in self._permit_by_ticket.values()]
        for other in others:
            if (
                other.fingerprint != call.fingerprint
                and self._quarantine.is_on_probation(other.fingerprint)
            ):
                return _refusal(RefusalReason.SUSPECTED, PROBATION_RETRY)
        return None

    def _refusal_by_state(self) -> Refusal | None:
        if self._is_leaving:
            return _refusal(RefusalReason.DRAINING)
        reason = REASON_BY_STATE.get(self.state)
        return _refusal(reason) if reason else None

    def _enter(self, state: TargetState) -> None:
        if self._is_leaving and state is not TargetState.GONE:
            state = TargetState.DRAINING
        if state is not self.state:
            logging.info(
                "target %s: %s -> %s", self.target, self.state.value, state.value
            )
            self.state = state
            refusal = self._refusal_by_state()
            if refusal is not None:
                self._apply(self._queue.refuse_waiting(refusal))
        self._publish()

    def _lose(self, why: str) -> None:
        """Remove the target: nothing that has not been sent may reach it."""
        if self.state is TargetState.GONE:
            return
        logging.warning("target %s removed: %s", self.target, why)
        self._enter(TargetState.GONE)

    def _die(self, why: str) -> None:
        started = self._process.started
        running = [
            permit.call.fingerprint
            for permit in reversed(self._permit_by_ticket.values())
            if permit.is_dispatched and permit.started == self._process.started
        ]
        named = self._process.die(running, self._clock.now())
        if started is None or not named:
            return
        logging.warning(
            "target %s died with %d calls: %s", self.target, len(named), why
        )
        self._quarantine.report_death(self.target, started, named)

    def _publish(self) -> None:
        if self._announcement is None:
            return
        self._publisher.offer(
            EndpointChange(
                target=self.target,
                service=self._announcement.service,
                state=self.state,
                slots=self._limit.announced,
                started=self._announcement.started,
            )
        )

    def _refresh_slots(self) -> None:
        slots = self._limit.effective(self._clock.now())
        self._apply(self._queue.set_slots(slots))

    def _apply(self, decisions: list[Decision]) -> None:
        for ticket, refusal in decisions:
            waiting = self._waiting_by_ticket.pop(ticket, None)
            if waiting is None:
                continue  # withdrawn by the resolution of a decision before
            call, resolve = waiting
            if refusal is not None:
                self._count(refusal)
                resolve(refusal)
                continue
            permit = SlotPermit(
                issuer=self, ticket=ticket, call=call, started=self._process.started
            )
            self._permit_by_ticket[ticket] = permit
            resolve(permit)

    def _count(self, refusal: Refusal) -> None:
        invariants.check("host_refusal_not_run", refusal.executed is Executed.NO)
        metrics.HOST_REFUSED.labels(refusal.reason.value).inc()

    def _ask_wakeup(self) -> None:
        expiry = self._queue.next_expiry()
        if expiry is not None:
            self._wakeup.ask(expiry)
        if self.state is not TargetState.GONE:
            self._wakeup.ask(self._last_announced + SILENCE_SECONDS)

    def _wake_idle_waiters(self) -> None:
        if self._permit_by_ticket:
            return
        for waiter in self._idle_waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._idle_waiters.clear()


def _refusal(reason: RefusalReason, retry_after: float | None = None) -> Refusal:
    return Refusal(reason=reason, executed=Executed.NO, retry_after=retry_after)
