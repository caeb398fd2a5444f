"""Strikes, suspicion and quarantine of requests that kill targets."""

import itertools
from functools import partial

import pytest

from cassiasail._internal.coordination import quarantine as module
from cassiasail._internal.coordination.quarantine import (
    DeathNotice,
    LiftNotice,
    Notice,
    Quarantine,
)
from cassiasail._internal.ids import CustomerId, TargetId
from cassiasail._internal.state.fingerprints import fingerprint_of
from cassiasail._internal.state.refusals import Refusal, RefusalReason
from devtools.hosting_model import HostingModel, PoisonCaller
from tests.lib.clocks import VirtualClock

POISON, VIEW, OUTLOOK = b"poison", b"view", b"outlook"
BLOCKED = (RefusalReason.SUSPECTED, RefusalReason.QUARANTINED)


class Daemon:
    """A quarantine with its clock and everything it published."""

    def __init__(self) -> None:
        self.clock = VirtualClock()
        self.published: list[Notice] = []
        self.quarantine = Quarantine(clock=self.clock, publish=self.published.append)

    def death(self, target: str, *fingerprints: bytes) -> None:
        self.quarantine.report_death(TargetId(target), self.clock.now(), fingerprints)

    def reason(self, fingerprint: bytes) -> RefusalReason | None:
        refusal = self.quarantine.check(fingerprint)
        return refusal.reason if refusal else None


def test_two_strikes_on_different_targets_quarantine_for_ten_minutes() -> None:
    """Guards against a caller that kills one target after the other."""
    daemon = Daemon()
    daemon.death("t1", POISON, VIEW)
    assert daemon.reason(POISON) is RefusalReason.SUSPECTED
    daemon.clock.advance(2.0)
    assert daemon.reason(POISON) is None
    daemon.death("t2", POISON, OUTLOOK)
    for seconds in (0.0, 1.0, 598.0):
        daemon.clock.advance(seconds)
        assert daemon.reason(POISON) is RefusalReason.QUARANTINED
    assert daemon.reason(VIEW) is None
    daemon.clock.advance(1.5)
    assert daemon.reason(POISON) is None


def test_answer_lifts_shared_strikes_but_no_quarantine() -> None:
    """Guards against punishing requests that only shared a death."""
    daemon = Daemon()
    daemon.death("t1", POISON, VIEW)
    daemon.clock.advance(2.0)
    daemon.quarantine.answered(VIEW)
    daemon.death("t2", POISON, VIEW)
    daemon.clock.advance(2.0)
    assert daemon.reason(VIEW) is None
    daemon.quarantine.answered(POISON)
    assert daemon.reason(POISON) is RefusalReason.QUARANTINED
    # Alone on its target, one answer proves little, many do.
    for answers, reason in (
        (9, RefusalReason.QUARANTINED),
        (10, RefusalReason.SUSPECTED),
    ):
        alone = Daemon()
        alone.death("t1", VIEW)
        alone.clock.advance(2.0)
        for _ in range(answers):
            alone.quarantine.answered(VIEW)
        alone.death("t2", VIEW)
        assert alone.reason(VIEW) is reason


def test_same_target_dying_again_is_no_quarantine_but_longer_suspicion() -> None:
    """Guards against blaming a request for a target that keeps crashing."""
    daemon = Daemon()
    for blocked in (2.0, 4.0, 8.0):
        daemon.death("t1", VIEW)
        daemon.clock.advance(blocked - 0.01)
        assert daemon.reason(VIEW) is RefusalReason.SUSPECTED
        daemon.clock.advance(0.02)
        assert daemon.reason(VIEW) is None


@pytest.mark.parametrize("targets", [3, 40])
def test_rack_loss_quarantines_no_ordinary_request(targets: int) -> None:
    """Guards against two strikes of one rack loss that block a popular request."""
    daemon = Daemon()
    for index in range(targets):
        shared = (VIEW, OUTLOOK) if index % 2 else (OUTLOOK, b"lookup", VIEW)
        daemon.death(f"t{index}", *shared, b"own-%d" % index)
        daemon.clock.advance(0.02)
    assert daemon.reason(VIEW) is RefusalReason.SUSPECTED
    daemon.clock.advance(2.0)
    for fingerprint in (VIEW, OUTLOOK, b"lookup", b"own-1"):
        assert daemon.reason(fingerprint) is None
        assert not daemon.quarantine.is_on_probation(fingerprint)
    # A single unrelated death later does not complete the strikes.
    daemon.clock.advance(30.0)
    daemon.death("other", VIEW, b"x")
    daemon.clock.advance(2.0)
    assert daemon.reason(VIEW) is None


def test_request_that_explains_a_mass_moment_is_quarantined_at_once() -> None:
    """Guards against taking many copies of one poisonous request for a rack loss."""
    daemon = Daemon()
    for index in range(6):
        daemon.death(f"t{index}", POISON, b"own-%d" % index)
    assert daemon.reason(POISON) is RefusalReason.QUARANTINED
    assert daemon.reason(b"own-1") is RefusalReason.SUSPECTED
    # It may have been a popular request on a lost rack, so it is tried once more.
    daemon.clock.advance(30.0)
    assert daemon.reason(POISON) is None
    daemon.death("other", POISON, VIEW)
    daemon.clock.advance(500.0)
    assert daemon.reason(POISON) is RefusalReason.QUARANTINED


def test_poison_hidden_in_mass_moments_is_found_at_its_return() -> None:
    """Guards against several callers whose poison hides behind the others' deaths."""
    daemon = Daemon()
    for _ in range(2):
        for index, target in enumerate(("a", "b", "c")):
            daemon.death(target + str(daemon.clock.now()), b"poison-%d" % index, VIEW)
        # Targets that live on answer the popular request while the moment lasts.
        daemon.clock.advance(0.5)
        assert daemon.reason(VIEW) is RefusalReason.QUARANTINED
        daemon.quarantine.answered(VIEW)
        assert daemon.reason(VIEW) is None
        daemon.clock.advance(1.6)
    for index in range(3):
        assert daemon.reason(b"poison-%d" % index) is RefusalReason.QUARANTINED
    assert daemon.reason(VIEW) is None


def test_notices_in_any_order_and_number_lead_to_the_same_verdict() -> None:
    """Guards against daemons that differ because floods arrive crossed or twice."""
    first = DeathNotice(target=TargetId("t1"), started=1.0, fingerprints=(POISON, VIEW))
    second = DeathNotice(
        target=TargetId("t2"), started=2.0, fingerprints=(POISON, OUTLOOK), age=-0.0
    )
    lift = LiftNotice(fingerprint=VIEW, deaths=((TargetId("t1"), 1.0),))
    aged = DeathNotice(
        target=first.target, started=1.0, fingerprints=first.fingerprints, age=3.0
    )
    for order in itertools.permutations((aged, second, lift, aged)):
        daemon = Daemon()
        for notice in order:
            daemon.quarantine.receive(notice)
        assert daemon.published.count(aged) == 1
        assert daemon.reason(POISON) is RefusalReason.QUARANTINED
        assert daemon.reason(VIEW) is None
        assert not daemon.quarantine.is_on_probation(VIEW)
        joined = Daemon()
        for notice in daemon.quarantine.notices():
            joined.quarantine.receive(notice)
        assert joined.reason(POISON) is RefusalReason.QUARANTINED
        assert not joined.quarantine.is_on_probation(VIEW)


def test_memory_is_bounded_and_freed_by_expiry() -> None:
    """Guards against callers that vary a request to fill the memory."""
    daemon = Daemon()
    for index in range(3000):
        daemon.clock.advance(0.001)
        fingerprints = (b"%d-%d" % (index, each) for each in range(300))
        daemon.death(f"t{index}", *fingerprints)
    held = len(daemon.quarantine._deaths_by_fingerprint)
    assert held <= module.MAX_DEATHS * module.MAX_FINGERPRINTS_PER_DEATH
    assert len(daemon.quarantine.notices()) == module.MAX_DEATHS
    daemon.clock.advance(module.QUARANTINE_SECONDS)
    assert daemon.quarantine.notices() == []
    assert daemon.quarantine._deaths_by_fingerprint == {}


def test_fingerprint_keeps_its_parts_apart() -> None:
    """Guards against a request blocked for another customer's strikes."""
    base = fingerprint_of(CustomerId("ab"), "GET", "/x", b"")
    assert base != fingerprint_of(CustomerId("a"), "bGET", "/x", b"")
    assert base == fingerprint_of(CustomerId("ab"), "GET", "/x", b"")


@pytest.mark.parametrize("seed", range(10))
def test_resent_poison_costs_two_targets_and_spares_its_customer(seed: int) -> None:
    """Guards against resends through other daemons that outrun the notices."""
    model = HostingModel(seed=seed, hosts=8, slots=4)
    poison = PoisonCaller(model, POISON)
    answered = 0
    for tick in range(4000):
        host = model.random.choice(model.hosts)
        shared = b"view-%d" % model.random.randrange(5)
        if host.is_up:
            model.submit(
                host, fingerprint=shared if tick % 2 else None, service_seconds=0.03
            )
        model.sim.run(0.01)
        model.check()
    poison.is_stopped = True
    model.settle()
    ordinary = [each for each in model.calls if not each.kills]
    late = [each for each in ordinary if each.call.deadline > 1000.0 + 10.0]
    answered = sum(each.executions for each in late)
    assert len(model.lost_by_fingerprint[POISON]) == 2
    assert poison.sent >= 35
    assert answered >= 0.99 * len(late)


def test_short_quarantine_behind_a_longer_one_does_not_shield_a_poison() -> None:
    """Guards against an expired verdict that hides new strikes."""
    daemon = Daemon()
    for target in ("a", "b"):
        daemon.death(target, b"long")
        daemon.clock.advance(2.0)
        daemon.reason(b"long")
    for index in range(3):
        daemon.death(f"t{index}", POISON, b"own-%d" % index)
    daemon.clock.advance(1.0)
    assert daemon.reason(POISON) is RefusalReason.QUARANTINED
    daemon.clock.advance(30.0)
    assert daemon.reason(POISON) is None
    daemon.death("t9", POISON, VIEW)
    daemon.clock.advance(5.0)
    assert daemon.reason(POISON) is RefusalReason.QUARANTINED
    assert set(daemon.quarantine.quarantined()) == {b"long", POISON}


@pytest.mark.parametrize("seed", range(4))
def test_rack_losses_block_popular_requests_for_seconds_only(seed: int) -> None:
    """Guards against views that polled on two lost racks and are then quarantined."""
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
            if isinstance(result, Refusal) and result.reason in BLOCKED:
                blocked_at.append(model.sim.now() - 1000.0)
    model.settle()
    assert blocked_at, "the racks were lost without calls in flight"
    for at in blocked_at:
        assert 3.0 <= at <= 3.0 + 3.0 or 8.0 <= at <= 8.0 + 3.0, blocked_at
