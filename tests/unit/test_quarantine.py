"""Crash records, suspicion and quarantine of requests that crash targets."""

import itertools
from functools import partial

import pytest

from cassiasail._internal.coordination import quarantine as quarantine_module
from cassiasail._internal.coordination.quarantine import (
    ClearNotice,
    CrashNotice,
    Notice,
    Quarantine,
)
from cassiasail._internal.ids import CustomerId, TargetId
from cassiasail._internal.state.fingerprints import fingerprint_of
from cassiasail._internal.state.refusals import Refusal, RefusalReason
from devtools.hosting_model import CrashingCaller, HostingModel
from tests.lib.clocks import VirtualClock

# Fingerprints of a request that crashes its target, of a popular request and of another
# harmless one.
CRASHING, POPULAR, HARMLESS = b"poison", b"view", b"outlook"
BLOCKING_REASONS = (RefusalReason.SUSPECTED, RefusalReason.QUARANTINED)


class Daemon:
    """A quarantine with its clock and the notices that it published."""

    def __init__(self) -> None:
        self.clock = VirtualClock()
        self.published: list[Notice] = []
        self.quarantine = Quarantine(clock=self.clock, publish=self.published.append)

    def report_crash(self, target: str, *fingerprints: bytes) -> None:
        self.quarantine.report_crash(TargetId(target), self.clock.now(), fingerprints)

    def refusal_reason(self, fingerprint: bytes) -> RefusalReason | None:
        refusal = self.quarantine.check(fingerprint)
        return refusal.reason if refusal else None


def test_crashes_of_two_targets_quarantine_for_ten_minutes() -> None:
    """Guards against a caller that crashes one target after the other."""
    daemon = Daemon()
    daemon.report_crash("t1", CRASHING, POPULAR)
    assert daemon.refusal_reason(CRASHING) is RefusalReason.SUSPECTED
    daemon.clock.advance(2.0)
    assert daemon.refusal_reason(CRASHING) is None
    daemon.report_crash("t2", CRASHING, HARMLESS)
    for seconds in (0.0, 1.0, 598.0):
        daemon.clock.advance(seconds)
        assert daemon.refusal_reason(CRASHING) is RefusalReason.QUARANTINED
    assert daemon.refusal_reason(POPULAR) is None
    daemon.clock.advance(1.5)
    assert daemon.refusal_reason(CRASHING) is None


def test_response_clears_shared_crash_records_but_no_quarantine() -> None:
    """Guards against blocking requests that were only in flight at a crash."""
    daemon = Daemon()
    daemon.report_crash("t1", CRASHING, POPULAR)
    daemon.clock.advance(2.0)
    daemon.quarantine.record_response(POPULAR)
    daemon.report_crash("t2", CRASHING, POPULAR)
    daemon.clock.advance(2.0)
    assert daemon.refusal_reason(POPULAR) is None
    daemon.quarantine.record_response(CRASHING)
    assert daemon.refusal_reason(CRASHING) is RefusalReason.QUARANTINED
    # If the request was alone on its target, one response is weak evidence and ten
    # responses clear the record.
    for responses, reason in (
        (9, RefusalReason.QUARANTINED),
        (10, RefusalReason.SUSPECTED),
    ):
        alone = Daemon()
        alone.report_crash("t1", POPULAR)
        alone.clock.advance(2.0)
        for _ in range(responses):
            alone.quarantine.record_response(POPULAR)
        alone.report_crash("t2", POPULAR)
        assert alone.refusal_reason(POPULAR) is reason


def test_repeated_crash_of_one_target_extends_suspicion_without_quarantine() -> None:
    """Guards against a quarantine when the target itself is at fault."""
    daemon = Daemon()
    for blocked_seconds in (2.0, 4.0, 8.0):
        daemon.report_crash("t1", POPULAR)
        daemon.clock.advance(blocked_seconds - 0.01)
        assert daemon.refusal_reason(POPULAR) is RefusalReason.SUSPECTED
        daemon.clock.advance(0.02)
        assert daemon.refusal_reason(POPULAR) is None


@pytest.mark.parametrize("targets", [3, 40])
def test_rack_loss_quarantines_no_harmless_request(targets: int) -> None:
    """Guards against a quarantine of a popular request by the loss of one rack.

    The request is in flight on several targets that die together.
    """
    daemon = Daemon()
    for index in range(targets):
        shared = (POPULAR, HARMLESS) if index % 2 else (HARMLESS, b"lookup", POPULAR)
        daemon.report_crash(f"t{index}", *shared, b"own-%d" % index)
        daemon.clock.advance(0.02)
    assert daemon.refusal_reason(POPULAR) is RefusalReason.SUSPECTED
    daemon.clock.advance(2.0)
    for fingerprint in (POPULAR, HARMLESS, b"lookup", b"own-1"):
        assert daemon.refusal_reason(fingerprint) is None
        assert not daemon.quarantine.is_on_probation(fingerprint)
    # A single unrelated crash later does not lead to a quarantine.
    daemon.clock.advance(30.0)
    daemon.report_crash("other", POPULAR, b"x")
    daemon.clock.advance(2.0)
    assert daemon.refusal_reason(POPULAR) is None


def test_request_that_explains_a_mass_crash_is_quarantined_at_once() -> None:
    """Guards against a mass crash by copies of one request that is not quarantined."""
    daemon = Daemon()
    for index in range(6):
        daemon.report_crash(f"t{index}", CRASHING, b"own-%d" % index)
    assert daemon.refusal_reason(CRASHING) is RefusalReason.QUARANTINED
    assert daemon.refusal_reason(b"own-1") is RefusalReason.SUSPECTED
    # It may have been a popular request on a lost rack, so it is allowed once more.
    daemon.clock.advance(30.0)
    assert daemon.refusal_reason(CRASHING) is None
    daemon.report_crash("other", CRASHING, POPULAR)
    daemon.clock.advance(500.0)
    assert daemon.refusal_reason(CRASHING) is RefusalReason.QUARANTINED


def test_requests_hidden_by_a_mass_crash_are_quarantined_when_it_repeats() -> None:
    """Guards against several requests that crash targets at the same time.

    Each hides behind the crashes of the others, and a popular request is in flight at
    all of them.
    """
    daemon = Daemon()
    for _ in range(2):
        for index, target in enumerate(("a", "b", "c")):
            daemon.report_crash(
                target + str(daemon.clock.now()), b"poison-%d" % index, POPULAR
            )
        # Running targets respond to the popular request while the burst lasts.
        daemon.clock.advance(0.5)
        assert daemon.refusal_reason(POPULAR) is RefusalReason.QUARANTINED
        daemon.quarantine.record_response(POPULAR)
        assert daemon.refusal_reason(POPULAR) is None
        daemon.clock.advance(1.6)
    for index in range(3):
        assert daemon.refusal_reason(b"poison-%d" % index) is RefusalReason.QUARANTINED
    assert daemon.refusal_reason(POPULAR) is None


def test_notices_in_any_order_or_duplicated_lead_to_the_same_result() -> None:
    """Guards against daemons that differ because notices arrive reordered or twice."""
    first = CrashNotice(
        target=TargetId("t1"), start_time=1.0, fingerprints=(CRASHING, POPULAR)
    )
    second = CrashNotice(
        target=TargetId("t2"),
        start_time=2.0,
        fingerprints=(CRASHING, HARMLESS),
        age=-0.0,
    )
    clear_notice = ClearNotice(fingerprint=POPULAR, crashes=((TargetId("t1"), 1.0),))
    first_with_age = CrashNotice(
        target=first.target, start_time=1.0, fingerprints=first.fingerprints, age=3.0
    )
    for order in itertools.permutations(
        (first_with_age, second, clear_notice, first_with_age)
    ):
        daemon = Daemon()
        for notice in order:
            daemon.quarantine.receive(notice)
        assert daemon.published.count(first_with_age) == 1
        assert daemon.refusal_reason(CRASHING) is RefusalReason.QUARANTINED
        assert daemon.refusal_reason(POPULAR) is None
        assert not daemon.quarantine.is_on_probation(POPULAR)
        joined = Daemon()
        for notice in daemon.quarantine.notices():
            joined.quarantine.receive(notice)
        assert joined.refusal_reason(CRASHING) is RefusalReason.QUARANTINED
        assert not joined.quarantine.is_on_probation(POPULAR)


def test_memory_is_bounded_and_freed_by_expiry() -> None:
    """Guards against callers that fill the memory with variants of a request."""
    daemon = Daemon()
    for index in range(3000):
        daemon.clock.advance(0.001)
        fingerprints = (b"%d-%d" % (index, each) for each in range(300))
        daemon.report_crash(f"t{index}", *fingerprints)
    fingerprint_count = len(daemon.quarantine._crashes_by_fingerprint)
    assert (
        fingerprint_count
        <= quarantine_module.MAX_CRASHES * quarantine_module.MAX_FINGERPRINTS_PER_CRASH
    )
    assert len(daemon.quarantine.notices()) == quarantine_module.MAX_CRASHES
    daemon.clock.advance(quarantine_module.QUARANTINE_SECONDS)
    assert daemon.quarantine.notices() == []
    assert daemon.quarantine._crashes_by_fingerprint == {}


def test_fingerprint_distinguishes_the_borders_of_its_parts() -> None:
    """Guards against a request blocked by crash records of another customer."""
    base = fingerprint_of(CustomerId("ab"), "GET", "/x", b"")
    assert base != fingerprint_of(CustomerId("a"), "bGET", "/x", b"")
    assert base == fingerprint_of(CustomerId("ab"), "GET", "/x", b"")


@pytest.mark.parametrize("seed", range(10))
def test_resent_request_crashes_two_targets_and_its_customer_is_still_served(
    seed: int,
) -> None:
    """Guards against a request that crashes targets and is sent through other daemons.

    It may arrive there before the notice of the crash.
    """
    model = HostingModel(seed=seed, hosts=8, slots=4)
    crashing_caller = CrashingCaller(model, CRASHING)
    executed = 0
    for tick in range(4000):
        host = model.random.choice(model.hosts)
        shared = b"view-%d" % model.random.randrange(5)
        if host.is_up:
            model.submit(
                host, fingerprint=shared if tick % 2 else None, service_seconds=0.03
            )
        model.sim.run(0.01)
        model.check()
    crashing_caller.is_stopped = True
    model.settle()
    harmless = [each for each in model.calls if not each.crashes_target]
    after_crashes = [each for each in harmless if each.call.deadline > 1000.0 + 10.0]
    executed = sum(each.executions for each in after_crashes)
    assert len(model.crashes_by_fingerprint[CRASHING]) == 2
    assert crashing_caller.sent_count >= 35
    assert executed >= 0.99 * len(after_crashes)


def test_expired_quarantine_stored_behind_a_longer_one_is_not_in_force() -> None:
    """Guards against an expired quarantine that hides new crash records."""
    daemon = Daemon()
    for target in ("a", "b"):
        daemon.report_crash(target, b"long")
        daemon.clock.advance(2.0)
        daemon.refusal_reason(b"long")
    for index in range(3):
        daemon.report_crash(f"t{index}", CRASHING, b"own-%d" % index)
    daemon.clock.advance(1.0)
    assert daemon.refusal_reason(CRASHING) is RefusalReason.QUARANTINED
    daemon.clock.advance(30.0)
    assert daemon.refusal_reason(CRASHING) is None
    daemon.report_crash("t9", CRASHING, POPULAR)
    daemon.clock.advance(5.0)
    assert daemon.refusal_reason(CRASHING) is RefusalReason.QUARANTINED
    assert set(daemon.quarantine.quarantined()) == {b"long", CRASHING}


@pytest.mark.parametrize("seed", range(4))
def test_rack_losses_block_popular_requests_for_three_seconds_at_most(
    seed: int,
) -> None:
    """Guards against a quarantine of popular requests after the loss of two racks."""
    model = HostingModel(seed=seed, hosts=20, slots=6)
    blocked_at: list[float] = []
    for tick in range(2400):
        model.sim.run(0.005)
        if tick in (600, 1600):
            for host in model.random.sample(model.hosts, 8):
                restart = model.random.uniform(3.0, 5.0)
                delay = model.random.uniform(0.0, 0.3)
                model.later(delay, partial(host.crash, restart))
        host = model.random.choice([each for each in model.hosts if each.is_up])
        fingerprint = b"view-%d" % model.random.randrange(3)
        call = model.submit(host, fingerprint=fingerprint, service_seconds=0.3)
        for result in call.results:
            if isinstance(result, Refusal) and result.reason in BLOCKING_REASONS:
                blocked_at.append(model.sim.now() - 1000.0)
    model.settle()
    assert blocked_at, "the racks were lost without calls in flight"
    for at in blocked_at:
        assert 3.0 <= at <= 3.0 + 3.0 or 8.0 <= at <= 8.0 + 3.0, blocked_at
