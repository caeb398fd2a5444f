"""Target hosts against fake targets that count what they execute."""

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
from devtools.hosting_model import HostingModel, ModelHost, PoisonCaller


class HostingMachine(RuleBasedStateMachine):
    """Guards every promise of the model under any order of its steps."""

    @initialize(seed=st.integers(0, 10_000), poisonous=st.booleans())
    def create(self, seed: int, poisonous: bool) -> None:
        self.model = HostingModel(seed=seed, queue_capacity=20)
        self.poison = PoisonCaller(self.model, b"poison") if poisonous else None

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
    def promises_hold(self) -> None:
        if hasattr(self, "model"):
            self.model.check()

    def teardown(self) -> None:
        if not hasattr(self, "model"):
            return
        if self.poison:
            self.poison.is_stopped = True
        self.model.settle()


TestHosting = HostingMachine.TestCase
TestHosting.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


def hosted(
    model: HostingModel, fingerprint: bytes, deadline: float = 5.0
) -> HostedCall:
    return HostedCall(
        customer=CustomerId("desk"),
        route=RoutePath("/setpoint"),
        call_class=CallClass.ORDER,
        deadline=model.sim.now() + deadline,
        fingerprint=fingerprint,
    )


def granted(host: ModelHost, call: HostedCall) -> SlotPermit:
    results: list[SlotPermit | Refusal] = []
    host.host.submit(call, results.append)
    assert isinstance(results[0], SlotPermit)
    return results[0]


def one_host(slots: int = 1) -> tuple[HostingModel, ModelHost]:
    model = HostingModel(seed=1, hosts=1, slots=slots)
    return model, model.hosts[0]


def test_cancelled_admit_leaves_no_slot_and_no_queue_entry() -> None:
    """Guards against slots lost when callers go away, also in the turn of the grant."""
    model, host = one_host()

    async def scenario() -> None:
        first = await host.host.admit(hosted(model, b"1"))
        assert isinstance(first, SlotPermit)
        queued = asyncio.create_task(host.host.admit(hosted(model, b"2")))
        raced = asyncio.create_task(host.host.admit(hosted(model, b"3")))
        await asyncio.sleep(0)
        queued.cancel()
        await asyncio.sleep(0)
        first.finished(CallOutcome.ANSWERED)
        raced.cancel()  # the slot is already granted, the task not yet resumed
        await asyncio.gather(queued, raced, return_exceptions=True)
        assert queued.cancelled()
        assert raced.cancelled()
        report = host.host.load_report()
        assert (report.in_flight, report.queued) == (0, 0)
        last = await host.host.admit(hosted(model, b"4"))
        assert isinstance(last, SlotPermit)
        with last:
            assert last.dispatched() is None
        assert host.host.load_report().in_flight == 0

    asyncio.run(scenario())


def test_drain_refuses_waiting_calls_and_waits_for_those_in_flight() -> None:
    """Guards against new work on a leaving target and against cut calls."""
    model, host = one_host()

    async def scenario() -> None:
        running = await host.host.admit(hosted(model, b"1"))
        assert isinstance(running, SlotPermit)
        assert running.dispatched() is None
        waiting = asyncio.create_task(host.host.admit(hosted(model, b"2")))
        await asyncio.sleep(0)
        host.host.leave()
        host.announce()  # READY: does not undo the drain
        idle = asyncio.create_task(host.host.wait_idle())
        for refused in (await waiting, await host.host.admit(hosted(model, b"3"))):
            assert isinstance(refused, Refusal)
            assert refused.reason is RefusalReason.DRAINING
            assert refused.executed is Executed.NO
        await asyncio.sleep(0)
        assert not idle.done()
        assert running.finished(CallOutcome.ANSWERED) is None
        await idle

    asyncio.run(scenario())
    assert host.endpoint_changes[-1][1].state is TargetState.DRAINING


def test_refused_connection_is_not_run_and_removes_the_target() -> None:
    """Guards against orders reported as unknown although nothing was sent."""
    model, host = one_host(slots=2)
    permit, other = (
        granted(host, hosted(model, b"1")),
        granted(host, hosted(model, b"2")),
    )
    refusal = permit.finished(CallOutcome.CONNECT_REFUSED)
    assert refusal is not None
    assert refusal.reason is RefusalReason.CONNECT_FAILED
    assert refusal.executed is Executed.NO
    void = other.dispatched()
    assert void is not None
    assert void.reason is RefusalReason.TARGET_GONE
    assert host.endpoint_changes[-1][1].state is TargetState.GONE
    # Nothing ran, so nobody is suspected.
    assert host.quarantine.notices() == []


def test_failure_after_the_first_byte_is_unknown() -> None:
    """Guards against a second run of an order that was already sent."""
    model, host = one_host()
    for outcome in CallOutcome:
        permit = granted(host, hosted(model, outcome.value.encode()))
        assert permit.dispatched() is None
        refusal = permit.finished(outcome)
        passed_on = outcome in (CallOutcome.ANSWERED, CallOutcome.SHED)
        assert (refusal is None) == passed_on
        assert refusal is None or refusal.executed is Executed.UNKNOWN
        host.announce()


def test_death_names_all_calls_in_flight_however_it_is_seen() -> None:
    """Guards against a crash whose cause is missed because evidence came crossed."""

    def reset_then_refused(host: ModelHost, first: SlotPermit) -> None:
        first.finished(CallOutcome.RESET)
        host.host.port_refused()

    def refused_then_reset(host: ModelHost, first: SlotPermit) -> None:
        host.host.port_refused()
        first.finished(CallOutcome.RESET)

    def new_start_time(host: ModelHost, first: SlotPermit) -> None:
        first.finished(CallOutcome.RESET)
        host.started += 1
        host.announce()

    def silent_then_new_start_time(host: ModelHost, first: SlotPermit) -> None:
        host.is_silent = True
        host.model.sim.run(4.0)
        assert host.host.state is TargetState.GONE
        host.is_silent = False
        new_start_time(host, first)

    for die in (
        reset_then_refused,
        refused_then_reset,
        new_start_time,
        silent_then_new_start_time,
    ):
        model, host = one_host(slots=3)
        permits = [
            granted(host, hosted(model, each, 60.0)) for each in (b"1", b"2", b"3")
        ]
        assert permits[0].dispatched() is None
        assert permits[1].dispatched() is None
        die(host, permits[0])
        (notice,) = host.quarantine.notices()
        # The third call was never sent.
        assert set(notice.fingerprints) == {b"1", b"2"}, die  # type: ignore[union-attr]


def test_reset_of_a_living_target_is_no_death() -> None:
    """Guards against strikes for a target that only closed one connection."""
    model, host = one_host()
    permit = granted(host, hosted(model, b"1"))
    assert permit.dispatched() is None
    permit.finished(CallOutcome.RESET)
    model.sim.run(2.0)  # announcements of the same process go on
    host.host.port_refused()
    assert host.quarantine.notices() == []


def test_suspects_of_one_death_do_not_meet_again_on_a_target() -> None:
    """Guards against an ordinary request struck twice beside the poisonous one."""
    model, host = one_host(slots=3)
    host.quarantine.report_death(host.host.target, 0.5, (b"poison", b"view"))
    model.sim.run(2.1)
    granted(host, hosted(model, b"view"))
    granted(host, hosted(model, b"other"))
    results: list[SlotPermit | Refusal] = []
    host.host.submit(hosted(model, b"poison"), results.append)
    assert isinstance(results[0], Refusal)
    assert results[0].reason is RefusalReason.SUSPECTED


def test_strike_that_arrives_after_the_grant_stops_the_dispatch() -> None:
    """Guards against copies of a poisonous request that wait on other targets."""
    model, host = one_host()
    permit = granted(host, hosted(model, b"poison"))
    host.quarantine.report_death(host.host.target, 0.5, (b"poison",))
    refusal = permit.dispatched()
    assert refusal is not None
    assert refusal.reason is RefusalReason.SUSPECTED
    assert refusal.executed is Executed.NO
    assert host.host.load_report().in_flight == 0


def test_silence_removes_and_flapping_is_published_once_a_second() -> None:
    """Guards against calls to a hung target and against record floods."""
    model, host = one_host()
    host.is_silent = True
    model.sim.run(3.0)
    assert host.endpoint_changes[-1][1].state is TargetState.GONE
    host.is_silent = False
    before = len(host.endpoint_changes)
    start = model.sim.now()
    for index in range(100):
        host.state = TargetState.READY if index % 2 else TargetState.STARTING
        host.announce()
        model.sim.run(0.05)
    changes = len(host.endpoint_changes) - before
    assert 3 <= changes <= model.sim.now() - start + 1
    host.state = TargetState.DRAINING
    host.announce()
    assert host.endpoint_changes[-1] == (model.sim.now(), host.endpoint_changes[-1][1])
    assert host.endpoint_changes[-1][1].state is TargetState.DRAINING


def test_bulk_flood_costs_orders_and_lookups_nothing() -> None:
    """Guards against the view that stalls while another customer pulls a report."""
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
