"""Admission of calls to one local target, on its host daemon.

``TargetHost`` is the only component that grants slots of its target. A call waits in
its queue for a ``SlotPermit``:

    permit = await host.admit(call)
    if isinstance(permit, Refusal):
        return permit
    with permit:
        refusal = permit.begin_dispatch()  # directly before the first byte is sent
        ...
        refusal = permit.finish(CallOutcome.ANSWERED)

A refusal says ``executed: "no"`` unless ``begin_dispatch`` has returned None before.
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
    CallOutcome,
    EndpointChange,
    HostedCall,
    SlotPermit,
    TargetHeartbeat,
    TargetState,
)
from .quarantine import Quarantine
from .target_process import TargetProcess
from .wakeups import CallLater, Wakeup

# A target without a heartbeat for this long is removed.
HEARTBEAT_TIMEOUT_SECONDS = 3.0
# Retry-After of a call on probation that is refused because a call with another
# fingerprint on probation waits or runs on this target.
PROBATION_RETRY_AFTER_SECONDS = 0.1

REASON_BY_STATE = {
    TargetState.STARTING: RefusalReason.NO_TARGET,
    TargetState.DRAINING: RefusalReason.DRAINING,
    TargetState.REMOVED: RefusalReason.TARGET_GONE,
}


# Receives the result of a submitted call: a permit or a refusal.
AdmissionCallback = Callable[[SlotPermit | Refusal], None]


class TargetHost:
    """Queue, state and process of one local target.

    ``publish_endpoint`` writes an endpoint change to the daemon's record.
    ``probe_port`` starts a connection attempt to the target's port; if the port
    refuses it, ``on_port_refused`` must be called.
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
        self.state = TargetState.REMOVED
        self._clock = clock
        self._quarantine = quarantine
        self._publisher = EndpointPublisher(clock=clock, publish=publish_endpoint)
        self._probe_port = probe_port
        self._queue = AdmissionQueue(clock=clock, slots=0, capacity=queue_capacity)
        self._slot_limit = SlotLimit(0)
        self._process = TargetProcess()
        self._is_draining = False
        self._last_heartbeat: TargetHeartbeat | None = None
        self._last_heartbeat_at = 0.0
        self._waiting_by_ticket: dict[int, tuple[HostedCall, AdmissionCallback]] = {}
        self._permit_by_ticket: dict[int, SlotPermit] = {}
        self._wakeup = Wakeup(clock=clock, call_later=call_later, callback=self.poll)
        self._idle_waiters: list[asyncio.Future[None]] = []

    async def admit(self, call: HostedCall) -> SlotPermit | Refusal:
        """Wait for a slot until the deadline of the call.

        A cancelled wait leaks neither a slot nor a queue entry, even if the slot was
        granted in the same iteration of the event loop.
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

    def submit(self, call: HostedCall, on_result: AdmissionCallback) -> int | None:
        """Request a slot; ``on_result`` is called once, unless withdrawn before.

        Returns the ticket for ``withdraw``, None if the call was refused at once.
        """
        refusal = self._refusal_at_submit(call)
        if refusal is not None:
            self._count_refusal(refusal)
            on_result(refusal)
            return None
        self._update_slots()
        ticket, decisions = self._queue.offer(call)
        self._waiting_by_ticket[ticket] = (call, on_result)
        self._apply(decisions)
        self._schedule_wakeup()
        return ticket

    def withdraw(self, ticket: int) -> None:
        """Cancel a call that waits, or that holds a slot and was not dispatched."""
        permit = self._permit_by_ticket.get(ticket)
        if permit is not None:
            permit.finish(CallOutcome.CANCELLED)
        elif self._waiting_by_ticket.pop(ticket, None) is not None:
            self._apply(self._queue.cancel(ticket))
            self._schedule_wakeup()

    def apply_heartbeat(self, heartbeat: TargetHeartbeat) -> None:
        """Apply the state, slots and start time that the target sent.

        A heartbeat with another start time shows that the previous process crashed.
        """
        now = self._clock.now()
        if self._process.is_stale_heartbeat(heartbeat.start_time, now):
            return
        if self._process.record_heartbeat(heartbeat.start_time, now):
            self._report_crash("its start time changed")
            self._remove_target("its start time changed")
            self._process.start_incarnation(heartbeat.start_time)
        self._last_heartbeat = heartbeat
        self._last_heartbeat_at = now
        usable_slots = max(1, min(heartbeat.slots, heartbeat.connections))
        if self.state is TargetState.REMOVED:
            # A new process does not inherit the slot limit of its predecessor.
            self._slot_limit = SlotLimit(usable_slots)
        self._slot_limit.set_advertised(usable_slots, now)
        if heartbeat.free_slots is not None:
            self._slot_limit.apply_free_slots(
                now, self._queue.in_flight, heartbeat.free_slots
            )
        self._set_state(heartbeat.state)
        self._update_slots()
        self._apply(self._queue.poll())
        self._schedule_wakeup()

    def on_port_refused(self) -> None:
        """Remove the target because its port refused a connection.

        Reports a crash if a connection with a call was reset as well.
        """
        self._process.record_port_refused(self._clock.now())
        if self._process.has_crash_evidence(self._clock.now()):
            self._report_crash("a connection was reset and its port refuses")
        self._remove_target("its port refuses connections")

    def poll(self) -> None:
        """Refuse expired calls and remove a target whose heartbeats stopped.

        Called by the wakeup timer.
        """
        now = self._clock.now()
        if (
            self.state is not TargetState.REMOVED
            and now >= self._last_heartbeat_at + HEARTBEAT_TIMEOUT_SECONDS
        ):
            self._remove_target("it missed its heartbeats")
        self._update_slots()
        self._apply(self._queue.poll())
        self._publish_endpoint()
        self._schedule_wakeup()

    def load_report(self) -> LoadReport:
        """Return the load to send along with a response."""
        return LoadReport(
            queued=self._queue.queued,
            slots=self._queue.slots if self.state is TargetState.READY else 0,
            in_flight=self._queue.in_flight,
        )

    def drain(self) -> None:
        """Refuse all new calls because the daemon shuts down; cannot be undone."""
        self._is_draining = True
        self._set_state(TargetState.DRAINING)

    async def wait_idle(self) -> None:
        """Wait until no call holds a slot."""
        while self._permit_by_ticket:
            waiter = asyncio.get_running_loop().create_future()
            self._idle_waiters.append(waiter)
            await waiter

    def refusal_at_dispatch(self, permit: SlotPermit) -> Refusal | None:
        """Return why a call that holds a slot must not be dispatched, or None.

        The state, the process, the deadline or the quarantine may have changed since
        the slot was granted.
        """
        refusal = self._refusal_by_state()
        if refusal is None and permit.start_time != self._process.start_time:
            refusal = _refusal(RefusalReason.TARGET_GONE)
        if refusal is None and self._clock.now() >= permit.call.deadline:
            refusal = _refusal(RefusalReason.DEADLINE_EXCEEDED)
        if refusal is None:
            refusal = self._quarantine.check(permit.call.fingerprint)
        if refusal is not None:
            self._count_refusal(refusal)
        return refusal

    def release(
        self, permit: SlotPermit, outcome: CallOutcome, retry_after: float
    ) -> None:
        """Release a slot and apply the outcome of its call.

        The outcome may lower the slot limit (a shed call), clear crash records (a
        response) or show that the target crashed (a reset or refused connection).
        """
        now = self._clock.now()
        in_flight = self._queue.in_flight
        del self._permit_by_ticket[permit.ticket]
        is_current_process = permit.start_time == self._process.start_time
        if outcome is CallOutcome.SHED and is_current_process:
            self._slot_limit.record_shed(now, in_flight, retry_after)
        # A target that shed a call did not execute it, so the response does not show
        # that the call is harmless.
        if outcome is CallOutcome.ANSWERED:
            self._quarantine.record_response(permit.call.fingerprint)
        # Before the slot goes to the next call, which a crashed target must not get.
        if is_current_process:
            self._detect_crash(permit, outcome, now)
        ran_to_end = outcome is CallOutcome.ANSWERED
        self._apply(self._queue.finish(permit.ticket, ran_to_end=ran_to_end))
        self._update_slots()
        self._schedule_wakeup()
        self._wake_idle_waiters()

    def _detect_crash(
        self, permit: SlotPermit, outcome: CallOutcome, now: float
    ) -> None:
        """Check whether the outcome of a call shows that the target crashed.

        A reset alone is no proof, so the port is probed.
        """
        if outcome is CallOutcome.CONNECT_REFUSED:
            self.on_port_refused()
        if outcome is not CallOutcome.RESET or not permit.is_dispatched:
            return
        self._process.record_reset(permit.call.fingerprint, now)
        if self._process.has_crash_evidence(now):
            self._report_crash("its port refuses and a connection was reset")
        elif self.state is not TargetState.REMOVED:
            self._probe_port()

    def _refusal_at_submit(self, call: HostedCall) -> Refusal | None:
        """Return why a new call is refused without queueing, or None.

        At most one fingerprint on probation may wait or run on the target.
        """
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
                return _refusal(RefusalReason.SUSPECTED, PROBATION_RETRY_AFTER_SECONDS)
        return None

    def _refusal_by_state(self) -> Refusal | None:
        if self._is_draining:
            return _refusal(RefusalReason.DRAINING)
        reason = REASON_BY_STATE.get(self.state)
        return _refusal(reason) if reason else None

    def _set_state(self, state: TargetState) -> None:
        """Change the state, refuse waiting calls if it requires that, and publish."""
        if self._is_draining and state is not TargetState.REMOVED:
            state = TargetState.DRAINING
        if state is not self.state:
            logging.info(
                "target %s: %s -> %s", self.target, self.state.value, state.value
            )
            self.state = state
            refusal = self._refusal_by_state()
            if refusal is not None:
                self._apply(self._queue.refuse_waiting(refusal))
        self._publish_endpoint()

    def _remove_target(self, reason: str) -> None:
        """Take the target out of service; calls not yet dispatched are refused."""
        if self.state is TargetState.REMOVED:
            return
        logging.warning("target %s removed: %s", self.target, reason)
        self._set_state(TargetState.REMOVED)

    def _report_crash(self, reason: str) -> None:
        """Report the fingerprints in flight at a crash of the process, once."""
        start_time = self._process.start_time
        in_flight = [
            permit.call.fingerprint
            for permit in reversed(self._permit_by_ticket.values())
            if permit.is_dispatched and permit.start_time == self._process.start_time
        ]
        fingerprints = self._process.record_crash(in_flight, self._clock.now())
        if start_time is None or not fingerprints:
            return
        logging.warning(
            "target %s crashed with %d calls in flight: %s",
            self.target,
            len(fingerprints),
            reason,
        )
        self._quarantine.report_crash(self.target, start_time, fingerprints)

    def _publish_endpoint(self) -> None:
        if self._last_heartbeat is None:
            return
        self._publisher.publish_if_due(
            EndpointChange(
                target=self.target,
                service=self._last_heartbeat.service,
                state=self.state,
                slots=self._slot_limit.advertised,
                start_time=self._last_heartbeat.start_time,
            )
        )

    def _update_slots(self) -> None:
        slots = self._slot_limit.effective(self._clock.now())
        self._apply(self._queue.set_slots(slots))

    def _apply(self, decisions: list[Decision]) -> None:
        """Pass decisions of the queue to the callbacks of their calls."""
        for ticket, refusal in decisions:
            waiting = self._waiting_by_ticket.pop(ticket, None)
            if waiting is None:
                continue  # withdrawn by the callback of an earlier decision
            call, on_result = waiting
            if refusal is not None:
                self._count_refusal(refusal)
                on_result(refusal)
                continue
            permit = SlotPermit(
                issuer=self,
                ticket=ticket,
                call=call,
                start_time=self._process.start_time,
            )
            self._permit_by_ticket[ticket] = permit
            on_result(permit)

    def _count_refusal(self, refusal: Refusal) -> None:
        invariants.check("host_refusal_not_run", refusal.executed is Executed.NO)
        metrics.HOST_REFUSED.labels(refusal.reason.value).inc()

    def _schedule_wakeup(self) -> None:
        """Schedule ``poll`` for the next call deadline or heartbeat timeout."""
        expiry = self._queue.next_expiry()
        if expiry is not None:
            self._wakeup.schedule(expiry)
        if self.state is not TargetState.REMOVED:
            self._wakeup.schedule(self._last_heartbeat_at + HEARTBEAT_TIMEOUT_SECONDS)

    def _wake_idle_waiters(self) -> None:
        if self._permit_by_ticket:
            return
        for waiter in self._idle_waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._idle_waiters.clear()


def _refusal(reason: RefusalReason, retry_after: float | None = None) -> Refusal:
    return Refusal(reason=reason, executed=Executed.NO, retry_after=retry_after)
