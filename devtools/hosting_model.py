"""Simulation of target hosts with simulated targets, and the oracle for their results.

Used by the fuzz run, the state machine in the tests and the overload bench. The
simulated targets count their executions of each call, so that every refusal with
``executed: "no"`` can be checked.
"""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from cassiasail._internal.coordination.hosting import TargetHost
from cassiasail._internal.coordination.permits import (
    CallOutcome,
    EndpointChange,
    HostedCall,
    SlotPermit,
    TargetHeartbeat,
    TargetState,
)
from cassiasail._internal.coordination.quarantine import Notice, Quarantine
from cassiasail._internal.ids import CustomerId, RoutePath, ServiceName, TargetId
from cassiasail._internal.state.lists import CallClass
from cassiasail._internal.state.refusals import Executed, Refusal, RefusalReason

from .simulation import Simulation

SERVICE = ServiceName("array-ctl")
MAX_NOTICE_DELAY_SECONDS = 0.3  # longest time until a notice reaches another host


@dataclass(eq=False)
class ModelCall:
    """A submitted call with its results and executions."""

    number: int
    call: HostedCall
    host: "ModelHost"
    service_seconds: float
    crashes_target: bool = False
    ticket: int | None = None
    results: list[Refusal | CallOutcome] = field(default_factory=list)
    is_withdrawn: bool = False
    executions: int = 0
    permit: SlotPermit | None = None
    on_result: Callable[[], None] | None = None


class ModelHost:
    """The target host of one daemon, its quarantine and its simulated target."""

    def __init__(self, model: "HostingModel", name: str, slots: int) -> None:
        self.model = model
        self.name = name
        self.slots = slots
        self.start_time = 0.0
        self.is_up = False
        self.heartbeats_stopped = False
        self.state = TargetState.READY
        self.free_slots: int | None = None
        self.sheds_with_503 = False
        self.running: dict[int, ModelCall] = {}
        self.max_running = 0
        self.endpoint_changes: list[tuple[float, EndpointChange]] = []
        self.quarantine = model.quarantine_type(
            clock=model.sim, publish=self._broadcast_notice
        )
        self.host = TargetHost(
            target=TargetId(name),
            clock=model.sim,
            quarantine=self.quarantine,
            publish_endpoint=lambda change: self.endpoint_changes.append(
                (model.sim.now(), change)
            ),
            probe_port=self._probe_port,
            call_later=model.sim.call_later,
            queue_capacity=model.queue_capacity,
        )
        self.start()
        self._send_heartbeats()

    def start(self) -> None:
        """Start the target process if it is down; it sends a heartbeat at once."""
        if self.is_up:
            return
        self.is_up, self.heartbeats_stopped = True, False
        self.start_time = self.model.sim.now()
        self.state, self.free_slots = TargetState.READY, None
        self.send_heartbeat()

    def send_heartbeat(self) -> None:
        """Send one heartbeat if the target is up and its heartbeats are not stopped."""
        if self.heartbeats_stopped or not self.is_up:
            return
        self.host.apply_heartbeat(
            TargetHeartbeat(
                service=SERVICE,
                state=self.state,
                slots=self.slots,
                connections=self.slots + 4,
                start_time=self.start_time,
                free_slots=self.free_slots,
            )
        )

    def crash(self, restart_after: float) -> None:
        """Crash the target process; the calls on it are reset."""
        if not self.is_up:
            return
        self.is_up = False
        for call in tuple(self.running.values()):
            del self.running[call.number]
            delay = self.model.random.uniform(0.0, 0.002)
            self.model.later(delay, self.model.finish_callback(call, CallOutcome.RESET))
        self.model.later(restart_after, self.start)

    def execute(self, call: ModelCall) -> None:
        """Run a call on the simulated target."""
        call.executions += 1
        self.running[call.number] = call
        self.max_running = max(self.max_running, len(self.running))
        self.model.expect(
            len(self.running) <= self.slots,
            f"{self.name}: more running calls than slots",
        )
        if call.crashes_target:
            self.model.crashes_by_fingerprint.setdefault(
                call.call.fingerprint, Counter()
            )[self.name] += 1
            self.model.later(0.01, self._crash_callback(call))
            return
        if self.sheds_with_503:
            self.model.later(0.001, self._done_callback(call, CallOutcome.SHED))
            return
        remaining = call.call.deadline - self.model.sim.now()
        outcome = CallOutcome.ANSWERED
        if call.service_seconds > remaining:
            outcome = CallOutcome.TIMED_OUT
        self.model.later(
            min(call.service_seconds, remaining), self._done_callback(call, outcome)
        )

    def _crash_callback(self, call: ModelCall) -> Callable[[], None]:
        def crash() -> None:
            if call.number in self.running:
                self.crash(self.model.random.uniform(0.01, 3.0))

        return crash

    def _done_callback(
        self, call: ModelCall, outcome: CallOutcome
    ) -> Callable[[], None]:
        def done() -> None:
            if self.running.pop(call.number, None) is not None:
                self.model.finish_callback(call, outcome)()

        return done

    def _send_heartbeats(self) -> None:
        self.send_heartbeat()
        self.model.later(1.0, self._send_heartbeats)

    def _probe_port(self) -> None:
        def report_probe() -> None:
            if not self.is_up:
                self.host.on_port_refused()

        self.model.later(self.model.random.uniform(0.0005, 0.02), report_probe)

    def _broadcast_notice(self, notice: Notice) -> None:
        for other in self.model.hosts:
            if other is not self:
                delay = self.model.random.uniform(0.01, MAX_NOTICE_DELAY_SECONDS)
                self.model.later(delay, partial(other.quarantine.receive, notice))


class HostingModel:
    """Hosts, calls and the checks on them; ``expect`` raises when one fails."""

    def __init__(
        self,
        *,
        seed: int,
        hosts: int = 4,
        slots: int = 3,
        queue_capacity: int | None = None,
        quarantine_type: type[Quarantine] = Quarantine,
    ) -> None:
        self.random = random.Random(seed)
        self.sim = Simulation()
        self.queue_capacity = queue_capacity
        self.quarantine_type = quarantine_type
        self.calls: list[ModelCall] = []
        self.open_calls: dict[int, ModelCall] = {}
        self.crashes_by_fingerprint: dict[bytes, Counter[str]] = {}
        self.results: Counter[str] = Counter()
        self.hosts: list[ModelHost] = []
        for index in range(hosts):
            self.hosts.append(ModelHost(self, f"target-{index}", slots))

    def expect(self, condition: bool, detail: str) -> None:
        """Raise ``AssertionError`` with the virtual time unless ``condition``."""
        if not condition:
            raise AssertionError(f"at {self.sim.now() - 1000.0:.3f} s: {detail}")

    def later(self, delay: float, callback: Callable[[], None]) -> None:
        """Run ``callback`` after ``delay`` seconds of virtual time."""
        self.sim.call_later(delay, callback)

    def submit(
        self,
        host: ModelHost,
        *,
        customer: str = "desk",
        call_class: CallClass = CallClass.LOOKUP,
        fingerprint: bytes | None = None,
        service_seconds: float = 0.05,
        deadline: float = 1.0,
        depth: int = 0,
        crashes_target: bool = False,
        on_result: Callable[[], None] | None = None,
    ) -> ModelCall:
        """Submit a call to a host and, once it has a slot, dispatch it.

        ``deadline`` is in seconds from now.
        """
        number = len(self.calls)
        hosted = HostedCall(
            customer=CustomerId(customer),
            route=RoutePath(f"/{call_class.value}"),
            call_class=call_class,
            deadline=self.sim.now() + deadline,
            depth=depth,
            fingerprint=fingerprint or number.to_bytes(16, "big"),
        )
        call = ModelCall(
            number, hosted, host, service_seconds, crashes_target, on_result=on_result
        )
        self.calls.append(call)
        self.open_calls[number] = call
        call.ticket = host.host.submit(
            hosted, lambda result: self._on_admission(call, result)
        )
        return call

    def withdraw(self, call: ModelCall) -> None:
        """Withdraw a call, as its caller does, unless it was dispatched already."""
        if call.executions or call.results or call.ticket is None:
            return
        call.is_withdrawn = True
        del self.open_calls[call.number]
        call.host.host.withdraw(call.ticket)

    def finish_callback(
        self, call: ModelCall, outcome: CallOutcome
    ) -> Callable[[], None]:
        """Return a callback that ends a dispatched call, as the transport does."""

        def end() -> None:
            assert call.permit is not None
            refusal = call.permit.finish(outcome, retry_after=0.5)
            self._record_result(call, refusal or outcome)

        return end

    def check(self) -> None:
        """Check the invariants that hold at any time.

        Calls end by their deadlines, queues stay within their capacity, and one
        fingerprint crashes at most two targets.
        """
        now = self.sim.now()
        for call in self.open_calls.values():
            # The timer may fire in the same instant as the deadline.
            self.expect(
                now <= call.call.deadline + 0.1,
                f"call {call.number} without a result after its deadline",
            )
        for host in self.hosts:
            report = host.host.load_report()
            self.expect(
                self.queue_capacity is None or report.queued <= self.queue_capacity,
                "queue above its capacity",
            )
        for crashes in self.crashes_by_fingerprint.values():
            self.expect(len(crashes) <= 2, f"one request crashed {dict(crashes)}")

    def settle(self) -> None:
        """Run until all calls have ended, then do all checks."""
        self.settle_without_crash_bound()
        self.check()

    def settle_without_crash_bound(self) -> None:
        """Run until all calls have ended, then check that each had exactly one result.

        It doesn't bound the targets that one request crashes, for baselines without
        quarantine.
        """
        self.sim.run(30.0)
        self.expect(not self.open_calls, f"no result for {sorted(self.open_calls)}")
        for host in self.hosts:
            report = host.host.load_report()
            self.expect(
                report.in_flight == 0 and report.queued == 0,
                f"{host.name}: slots or queue entries leaked: {report}",
            )
        for call in self.calls:
            expected_results = 0 if call.is_withdrawn else 1
            self.expect(
                len(call.results) == expected_results,
                f"call {call.number} has results {call.results}",
            )
            self.expect(call.executions <= 1, f"call {call.number} was executed twice")

    def _on_admission(self, call: ModelCall, result: SlotPermit | Refusal) -> None:
        if isinstance(result, Refusal):
            self._record_result(call, result)
            return
        call.permit = result
        # Like a task that waits for a future, the call resumes after other callbacks.
        self.later(self.random.choice((0.0, 0.0, 0.005)), lambda: self._connect(call))

    def _connect(self, call: ModelCall) -> None:
        permit = call.permit
        assert permit is not None
        if permit.is_finished:
            self.expect(
                call.is_withdrawn, "slot released although the call was not withdrawn"
            )
            return
        if not call.host.is_up:
            refusal = permit.finish(CallOutcome.CONNECT_REFUSED)
            assert refusal is not None
            self._record_result(call, refusal)
            return
        refusal = permit.begin_dispatch()
        if refusal is not None:
            self._record_result(call, refusal)
            return
        self.expect(
            self.sim.now() < call.call.deadline,
            f"call {call.number} dispatched after its deadline",
        )
        call.host.execute(call)

    def _record_result(self, call: ModelCall, result: Refusal | CallOutcome) -> None:
        call.results.append(result)
        self.open_calls.pop(call.number, None)
        if isinstance(result, Refusal):
            self.results[f"{result.reason.value}/{result.executed.value}"] += 1
            self.expect(
                result.executed is not Executed.NO or call.executions == 0,
                f"call {call.number} was executed although refused: {result}",
            )
            self.expect(
                result.reason is not RefusalReason.QUARANTINED or call.executions == 0,
                f"quarantined call {call.number} was executed",
            )
        else:
            self.results[result.value] += 1
        if call.on_result is not None:
            call.on_result()


class CrashingCaller:
    """Sends one request that crashes its target, again and again.

    It sends the request at most once per second, each time to another host.
    """

    def __init__(
        self, model: HostingModel, fingerprint: bytes, *, customer: str = "desk"
    ) -> None:
        self.model = model
        self.fingerprint = fingerprint
        self.customer = customer
        self.sent_count = 0
        self.is_stopped = False
        self._host: ModelHost | None = None
        self._send()

    def _send(self) -> None:
        if self.is_stopped:
            return
        others = [host for host in self.model.hosts if host is not self._host]
        self._host = self.model.random.choice(others)
        sent_at = self.model.sim.now()
        self.sent_count += 1

        def resend() -> None:
            wait = max(0.0, sent_at + 1.0 - self.model.sim.now())
            self.model.later(wait, self._send)

        self.model.submit(
            self._host,
            customer=self.customer,
            fingerprint=self.fingerprint,
            crashes_target=True,
            on_result=resend,
        )
