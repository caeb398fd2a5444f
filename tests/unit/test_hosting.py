"""Tests ``TargetHost`` with fake targets that count the calls they execute."""

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cassiasail._internal.coordination.permits import (
    CallOutcome,
    HostedCall,
    SlotPermit,
    TargetState,
)
from cassiasail._internal.ids import CustomerId, RoutePath
from cassiasail._internal.state.lists import CallClass
from cassiasail._internal.state.refusals import Executed, Refusal, RefusalReason
from devtools import bench_overload, fuzz_hosting
from devtools.hosting_model import CrashingCaller, HostingModel, ModelHost


class HostingMachine(RuleBasedStateMachine):
    """Checks the invariants of the model after random sequences of its steps."""

    @initialize(seed=st.integers(0, 10_000), with_crashing_caller=st.booleans())
    def create(self, seed: int, with_crashing_caller: bool) -> None:
        self.model = HostingModel(seed=seed, queue_capacity=20)
        self.crashing_caller = (
            CrashingCaller(self.model, b"poison") if with_crashing_caller else None
        )

    @rule(step=st.sampled_from([step for step, _ in fuzz_hosting.STEPS]))
    def step(self, step) -> None:  # type: ignore[no-untyped-def]
        step(self.model, self.model.random.choice(self.model.hosts))

    @rule(times=st.integers(1, 5))
    def load(self, times: int) -> None:
        for _ in range(times):
            host = self.model.random.choice(self.model.hosts)
            fuzz_hosting.submit(self.model, host)
            fuzz_hosting.wait(self.model, host)

    @invariant()
    def invariants_hold(self) -> None:
        if hasattr(self, "model"):
            self.model.check()

    def teardown(self) -> None:
        if not hasattr(self, "model"):
            return
        if self.crashing_caller:
            self.crashing_caller.is_stopped = True
        self.model.settle()


TestHosting = HostingMachine.TestCase
TestHosting.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


def hosted_call(
    model: HostingModel, fingerprint: bytes, deadline: float = 5.0
) -> HostedCall:
    return HostedCall(
        customer=CustomerId("desk"),
        route=RoutePath("/setpoint"),
        call_class=CallClass.ORDER,
        deadline=model.sim.now() + deadline,
        fingerprint=fingerprint,
    )


def submit_and_grant(host: ModelHost, call: HostedCall) -> SlotPermit:
    results: list[SlotPermit | Refusal] = []
    host.host.submit(call, results.append)
    assert isinstance(results[0], SlotPermit)
    return results[0]


def model_with_one_host(slots: int = 1) -> tuple[HostingModel, ModelHost]:
    model = HostingModel(seed=1, hosts=1, slots=slots)
    return model, model.hosts[0]


def test_cancelled_admit_leaves_no_slot_and_no_queue_entry() -> None:
    """Guards against slots that leak when callers cancel while they wait.

    Also when the cancellation and the grant fall into the same loop iteration.
    """
    model, host = model_with_one_host()

    async def scenario() -> None:
        first = await host.host.admit(hosted_call(model, b"1"))
        assert isinstance(first, SlotPermit)
        cancelled_in_queue = asyncio.create_task(
            host.host.admit(hosted_call(model, b"2"))
        )
        cancelled_after_grant = asyncio.create_task(
            host.host.admit(hosted_call(model, b"3"))
        )
        await asyncio.sleep(0)
        cancelled_in_queue.cancel()
        await asyncio.sleep(0)
        first.finish(CallOutcome.ANSWERED)
        cancelled_after_grant.cancel()  # the slot is granted, the task not yet resumed
        await asyncio.gather(
            cancelled_in_queue, cancelled_after_grant, return_exceptions=True
        )
        assert cancelled_in_queue.cancelled()
        assert cancelled_after_grant.cancelled()
        report = host.host.load_report()
        assert (report.in_flight, report.queued) == (0, 0)
        last = await host.host.admit(hosted_call(model, b"4"))
        assert isinstance(last, SlotPermit)
        with last:
            assert last.begin_dispatch() is None
        assert host.host.load_report().in_flight == 0

    asyncio.run(scenario())


def test_drain_refuses_waiting_calls_and_waits_for_those_in_flight() -> None:
    """Guards against new calls on a draining target and against truncated responses."""
    model, host = model_with_one_host()

    async def scenario() -> None:
        running = await host.host.admit(hosted_call(model, b"1"))
        assert isinstance(running, SlotPermit)
        assert running.begin_dispatch() is None
        waiting = asyncio.create_task(host.host.admit(hosted_call(model, b"2")))
        await asyncio.sleep(0)
        host.host.drain()
        host.send_heartbeat()  # its state READY does not undo the drain
        idle = asyncio.create_task(host.host.wait_idle())
        for refused in (await waiting, await host.host.admit(hosted_call(model, b"3"))):
            assert isinstance(refused, Refusal)
            assert refused.reason is RefusalReason.DRAINING
            assert refused.executed is Executed.NO
        await asyncio.sleep(0)
        assert not idle.done()
        assert running.finish(CallOutcome.ANSWERED) is None
        await idle

    asyncio.run(scenario())
    assert host.endpoint_changes[-1][1].state is TargetState.DRAINING


def test_refused_connection_is_reported_as_not_run_and_removes_the_target() -> None:
    """Guards against an unknown outcome of an order of which no byte was sent."""
    model, host = model_with_one_host(slots=2)
    permit, other = (
        submit_and_grant(host, hosted_call(model, b"1")),
        submit_and_grant(host, hosted_call(model, b"2")),
    )
    refusal = permit.finish(CallOutcome.CONNECT_REFUSED)
    assert refusal is not None
    assert refusal.reason is RefusalReason.CONNECT_FAILED
    assert refusal.executed is Executed.NO
    late_refusal = other.begin_dispatch()
    assert late_refusal is not None
    assert late_refusal.reason is RefusalReason.TARGET_GONE
    assert host.endpoint_changes[-1][1].state is TargetState.REMOVED
    # No call ran, so no fingerprint is suspected.
    assert host.quarantine.notices() == []


def test_failure_after_the_first_byte_has_an_unknown_outcome() -> None:
    """Guards against a retry of an order that the target may have executed."""
    model, host = model_with_one_host()
    for outcome in CallOutcome:
        permit = submit_and_grant(host, hosted_call(model, outcome.value.encode()))
        assert permit.begin_dispatch() is None
        refusal = permit.finish(outcome)
        has_response = outcome in (CallOutcome.ANSWERED, CallOutcome.SHED)
        assert (refusal is None) == has_response
        assert refusal is None or refusal.executed is Executed.UNKNOWN
        host.send_heartbeat()


def test_crash_notice_has_all_calls_in_flight_for_any_order_of_evidence() -> None:
    """Guards against a crash notice without its cause.

    A reset, a refused connection and a new start time may arrive in any order.
    """

    def reset_then_refused(host: ModelHost, first: SlotPermit) -> None:
        first.finish(CallOutcome.RESET)
        host.host.on_port_refused()

    def refused_then_reset(host: ModelHost, first: SlotPermit) -> None:
        host.host.on_port_refused()
        first.finish(CallOutcome.RESET)

    def new_start_time(host: ModelHost, first: SlotPermit) -> None:
        first.finish(CallOutcome.RESET)
        host.start_time += 1
        host.send_heartbeat()

    def expired_then_new_start_time(host: ModelHost, first: SlotPermit) -> None:
        host.heartbeats_stopped = True
        host.model.sim.run(4.0)
        assert host.host.state is TargetState.REMOVED
        host.heartbeats_stopped = False
        new_start_time(host, first)

    for die in (
        reset_then_refused,
        refused_then_reset,
        new_start_time,
        expired_then_new_start_time,
    ):
        model, host = model_with_one_host(slots=3)
        permits = [
            submit_and_grant(host, hosted_call(model, each, 60.0))
            for each in (b"1", b"2", b"3")
        ]
        assert permits[0].begin_dispatch() is None
        assert permits[1].begin_dispatch() is None
        die(host, permits[0])
        (notice,) = host.quarantine.notices()
        # The third call was not dispatched.
        assert set(notice.fingerprints) == {b"1", b"2"}, die  # type: ignore[union-attr]


def test_reset_by_a_running_target_is_not_a_crash() -> None:
    """Guards against crash records for a target that only closed one connection."""
    model, host = model_with_one_host()
    permit = submit_and_grant(host, hosted_call(model, b"1"))
    assert permit.begin_dispatch() is None
    permit.finish(CallOutcome.RESET)
    model.sim.run(2.0)  # heartbeats of the same process continue
    host.host.on_port_refused()
    assert host.quarantine.notices() == []


def test_suspects_of_one_crash_do_not_run_together_on_a_target() -> None:
    """Guards against two crash records for a harmless request.

    It would be in flight again beside the request that crashes targets.
    """
    model, host = model_with_one_host(slots=3)
    host.quarantine.report_crash(host.host.target, 0.5, (b"poison", b"view"))
    model.sim.run(2.1)
    submit_and_grant(host, hosted_call(model, b"view"))
    submit_and_grant(host, hosted_call(model, b"other"))
    results: list[SlotPermit | Refusal] = []
    host.host.submit(hosted_call(model, b"poison"), results.append)
    assert isinstance(results[0], Refusal)
    assert results[0].reason is RefusalReason.SUSPECTED


def test_crash_record_that_arrives_after_the_grant_prevents_the_dispatch() -> None:
    """Guards against further crashes by copies that already wait on other targets."""
    model, host = model_with_one_host()
    permit = submit_and_grant(host, hosted_call(model, b"poison"))
    host.quarantine.report_crash(host.host.target, 0.5, (b"poison",))
    refusal = permit.begin_dispatch()
    assert refusal is not None
    assert refusal.reason is RefusalReason.SUSPECTED
    assert refusal.executed is Executed.NO
    assert host.host.load_report().in_flight == 0


def test_missed_heartbeats_remove_and_flapping_is_published_once_a_second() -> None:
    """Guards against calls to a hung target and against a flood of records."""
    model, host = model_with_one_host()
    host.heartbeats_stopped = True
    model.sim.run(3.0)
    assert host.endpoint_changes[-1][1].state is TargetState.REMOVED
    host.heartbeats_stopped = False
    changes_before = len(host.endpoint_changes)
    start = model.sim.now()
    for index in range(100):
        host.state = TargetState.READY if index % 2 else TargetState.STARTING
        host.send_heartbeat()
        model.sim.run(0.05)
    changes = len(host.endpoint_changes) - changes_before
    assert 3 <= changes <= model.sim.now() - start + 1
    host.state = TargetState.DRAINING
    host.send_heartbeat()
    assert host.endpoint_changes[-1] == (model.sim.now(), host.endpoint_changes[-1][1])
    assert host.endpoint_changes[-1][1].state is TargetState.DRAINING


def test_bulk_flood_does_not_reduce_goodput_of_orders_and_lookups() -> None:
    """Guards against lookups that stall while another customer floods bulk calls."""
    seconds = 40.0
    rows = []
    for load in (1, 4):
        arrivals = bench_overload.arrivals_of(
            1, load, seconds, only_flood_grows=True, start=1000.0
        )
        rows.append(bench_overload.measure_goodput("host", arrivals, seconds, 1000.0))
    assert rows[1]["order"] >= 0.95 * rows[0]["order"]
    assert rows[1]["lookup"] >= 0.95 * rows[0]["lookup"]
    assert rows[1]["useful_slots"] >= 0.95 * rows[0]["useful_slots"]
    assert rows[1]["ordinary_bulk_answered"] >= 0.95
