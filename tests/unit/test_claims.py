"""Tests of claims: at-most-once execution, correct refusals and complete replays.

No key may be executed twice, a refusal with ``executed: "no"`` must be true, and a
recorded response must be replayed completely.
"""

import asyncio
from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiasail._internal.coordination.claimed import ClaimStatus, HeldClaim
from cassiasail._internal.coordination.claimrows import ClaimKey, RecordedResponse
from cassiasail._internal.coordination.claims import Claims, Replay
from cassiasail._internal.coordination.claimsweep import SWEEP_BATCH, SweepResult
from cassiasail._internal.coordination.store import StoredRow
from cassiasail._internal.ids import CustomerId, DaemonId, ServiceName
from cassiasail._internal.state.refusals import Executed, Refusal, RefusalReason
from devtools.claims_world import BODIES, ClaimsWorld, run_claims
from tests.lib.clocks import VirtualClock
from tests.lib.fakestore import FakeStore

KEYS = ["key0", "key1"]
BODY_DIGEST = b"digest"


class ClaimsMachine(RuleBasedStateMachine):
    """Guards against double execution under any order of attempts and faults."""

    def __init__(self) -> None:
        super().__init__()
        self.world = ClaimsWorld(seed=1)

    @rule(
        daemon=st.integers(0, 2),
        key=st.sampled_from(KEYS),
        body=st.sampled_from(BODIES),
        deadline=st.sampled_from([0.1, 3.0]),
    )
    def send(self, daemon: int, key: str, body: bytes, deadline: float) -> None:
        self.world.send(daemon, key, body, deadline=deadline)

    @rule(seconds=st.sampled_from([0.003, 0.02, 0.1, 1.0, 10.0]))
    def advance(self, seconds: float) -> None:
        self.world.advance(seconds)

    @rule(daemon=st.integers(0, 2))
    def crash(self, daemon: int) -> None:
        self.world.crash(daemon)

    @rule(daemon=st.integers(0, 2), seconds=st.sampled_from([0.05, 0.5, 5.0]))
    def suspend(self, daemon: int, seconds: float) -> None:
        self.world.daemons[daemon].hold(seconds)

    @rule(down=st.booleans())
    def switch_store(self, down: bool) -> None:
        self.world.store.down = down

    @rule(count=st.integers(1, 4))
    def lose_store_responses(self, count: int) -> None:
        self.world.store.lose_responses = count

    @rule(count=st.integers(1, 4), delay=st.sampled_from([0.2, 1.0, 20.0]))
    def delay_effects(self, count: int, delay: float) -> None:
        self.world.store.delay_effects = count
        self.world.store.effect_delay = delay

    @rule()
    def pass_retention_time(self) -> None:
        self.world.expire()

    @invariant()
    def no_key_was_executed_twice(self) -> None:
        assert all(count <= 1 for count in self.world.execution_count_by_key.values())

    def teardown(self) -> None:
        self.world.check_settled(KEYS)
        self.world.loop.close()


ClaimsMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
TestClaims = ClaimsMachine.TestCase


def test_random_run_reaches_every_outcome() -> None:
    """Guards against a simulation that no longer produces the cases to be checked."""
    outcome_counts = run_claims(seed=3, steps=4000)
    expected_outcomes = (
        "executed",
        "replay",
        "key_reused",
        "in_progress",
        "outcome_unknown",
    )
    assert all(
        outcome_counts[name] > 10
        for name in (*expected_outcomes, "deadline_exceeded", "swept")
    )


class ClaimsFixture:
    """The claims of one daemon on a fake store; tests inject the faults."""

    def __init__(self) -> None:
        self.clock = VirtualClock()
        self.store = FakeStore(clock=self.clock, rng=Random(1))
        self.claims = self.new_claims()

    def new_claims(self) -> Claims:
        """Return claims without memory of earlier tokens, as after a restart."""

        async def lookup(daemon: DaemonId, token: str) -> ClaimStatus:
            return ClaimStatus.UNKNOWN

        return Claims(
            daemon=DaemonId("a:1"), store=self.store, clock=self.clock, lookup=lookup
        )

    async def acquire(self, name: str = "k", caller_attempt: int = 1) -> object:
        key = ClaimKey(customer=CustomerId("a/b"), service=ServiceName("s"), key=name)
        deadline = self.clock.now() + 5
        return await self.claims.acquire(
            key, BODY_DIGEST, deadline=deadline, caller_attempt=caller_attempt
        )

    async def execute_and_record(self, size: int) -> RecordedResponse:
        """Claim a key and record a response with a body of ``size`` bytes."""
        claim = await self.acquire()
        assert isinstance(claim, HeldClaim)
        response = RecordedResponse(status=201, headers=(("a", "b"),), body=b"x" * size)
        claim.mark_dispatched()
        assert await self.claims.record(claim, response) is (size <= 1 << 20)
        return response


@pytest.mark.parametrize(
    ("size", "requests"), [(0, 2), (64 << 10, 2), ((64 << 10) + 1, 3), (1 << 20, 3)]
)
def test_response_is_replayed_after_a_restart(size: int, requests: int) -> None:
    """Guards against truncated replays and against more store requests per call."""

    async def scenario() -> None:
        fixture = ClaimsFixture()
        response = await fixture.execute_and_record(size)
        assert fixture.store.count_by_operation.total() == requests
        assert fixture.store.rows_written == 3
        fixture.claims = fixture.new_claims()
        assert await fixture.acquire(caller_attempt=2) == Replay(response=response)

    asyncio.run(scenario())


def test_record_is_confirmed_if_the_store_response_is_lost() -> None:
    """Guards against reporting a recorded response as unrecorded."""

    async def scenario() -> None:
        fixture = ClaimsFixture()
        assert isinstance(claim := await fixture.acquire(), HeldClaim)
        claim.mark_dispatched()
        fixture.store.lose_responses = 1
        response = RecordedResponse(status=200, headers=(), body=b"")
        assert await fixture.claims.record(claim, response)

    asyncio.run(scenario())


def test_too_large_or_damaged_response_is_refused_as_outcome_unknown() -> None:
    """Guards against replaying part of a response and against a second execution."""

    async def scenario(size: int, damage: bool) -> None:
        fixture = ClaimsFixture()
        await fixture.execute_and_record(size)
        if damage:
            objects = fixture.store.object_by_name
            objects.update({name: data[:-1] for name, data in objects.items()})
        refusal = await fixture.acquire(caller_attempt=2)
        assert isinstance(refusal, Refusal)
        assert refusal.reason is RefusalReason.OUTCOME_UNKNOWN
        assert refusal.executed is Executed.UNKNOWN

    asyncio.run(scenario((1 << 20) + 1, damage=False))
    asyncio.run(scenario(1 << 20, damage=True))


def test_call_is_refused_if_its_claim_row_is_malformed() -> None:
    """Guards against treating a key with a malformed claim row as free."""

    async def scenario() -> None:
        fixture = ClaimsFixture()
        fixture.store.row_by_key["claim/a%2Fb/s/k"] = StoredRow(value={}, revision=7)
        refusal = await fixture.acquire()
        assert isinstance(refusal, Refusal)
        assert refusal.executed is Executed.UNKNOWN

    asyncio.run(scenario())


def test_sweep_is_bounded_and_keeps_recent_claims() -> None:
    """Guards against large deletes and removal of a claim within its 24 hours."""

    async def scenario() -> None:
        fixture = ClaimsFixture()
        for number in range(SWEEP_BATCH * 20):
            await fixture.acquire(f"old{number}")
        fixture.clock.advance(24.5 * 3600)
        assert await sweep_all_shards(fixture) == 0
        fixture.clock.advance(3600)
        assert isinstance(await fixture.acquire("young"), HeldClaim)
        before = fixture.store.count_by_operation.total()
        swept = await fixture.claims.sweep()
        assert isinstance(swept, SweepResult)
        assert 0 < swept.removed <= SWEEP_BATCH
        assert fixture.store.count_by_operation.total() - before == 3
        await sweep_all_shards(fixture)
        await sweep_all_shards(fixture)
        left = [key for key in fixture.store.row_by_key if key.startswith("claim/")]
        assert left == ["claim/a%2Fb/s/young"]

    async def sweep_all_shards(fixture: ClaimsFixture) -> int:
        passes = [await fixture.claims.sweep() for _ in range(16)]
        return sum(item.removed for item in passes if isinstance(item, SweepResult))

    asyncio.run(scenario())


def test_released_key_is_free_for_later_caller_attempts_only() -> None:
    """Guards against a key blocked for 24 h and against running an old attempt late."""

    async def scenario() -> None:
        fixture = ClaimsFixture()
        claim = await fixture.acquire(caller_attempt=2)
        assert isinstance(claim, HeldClaim)
        assert await fixture.claims.release(claim)
        assert not claim.may_dispatch()
        fixture.claims = fixture.new_claims()
        older = await fixture.acquire(caller_attempt=1)
        assert isinstance(older, Refusal)
        assert older.executed is Executed.UNKNOWN
        assert isinstance(await fixture.acquire(caller_attempt=3), HeldClaim)

    asyncio.run(scenario())


def test_claim_may_not_be_dispatched_after_its_deadline() -> None:
    """Guards against a daemon that dispatches an old call after it was paused."""

    async def scenario() -> None:
        fixture = ClaimsFixture()
        claim = await fixture.acquire()
        assert isinstance(claim, HeldClaim)
        assert claim.may_dispatch()
        fixture.clock.advance(5)
        assert not claim.may_dispatch()

    asyncio.run(scenario())


def test_cancelled_acquisition_has_status_never_run() -> None:
    """Guards against a key that stays in progress for ever after a cancellation."""
    world = ClaimsWorld(seed=5)
    claims = world.daemons[0].claims
    key = ClaimKey(customer=CustomerId("c"), service=ServiceName("s"), key="k")

    async def acquire() -> None:
        await claims.acquire(key, BODY_DIGEST, deadline=world.loop.now() + 5)

    world.store.delay_effects = 1
    task = world.loop.spawn(acquire())
    world.advance(0.2)
    token = next(iter(claims._running_tokens))
    assert claims.status(token) is ClaimStatus.RUNNING
    world.loop.kill(task)
    assert claims.status(token) is ClaimStatus.NEVER_RUN


@pytest.mark.parametrize("effect_delay", [None, 0.01, 1.0, 30.0])
def test_retried_claim_write_fences_a_lost_one(effect_delay: float | None) -> None:
    """Guards against reading the row back before a delayed write takes effect.

    ``effect_delay`` is the delay of the first write in seconds; with None the write
    takes effect at once and only its response is lost.
    """

    async def scenario() -> None:
        fixture = ClaimsFixture()
        if effect_delay is None:
            fixture.store.lose_responses = 1
        else:
            fixture.store.delay_effects = 1
            fixture.store.effect_delay = effect_delay
        claim = await fixture.acquire()
        assert isinstance(claim, HeldClaim)
        assert fixture.store.count_by_operation["transact"] == 2
        fixture.clock.advance(60)
        fixture.store.apply_due_writes()
        row = fixture.store.row_by_key[claim.row_key]
        assert row.value["token"] == claim.token
        assert row.revision == claim.revision

    asyncio.run(scenario())


def test_sweep_keeps_a_key_that_was_released_and_claimed_again() -> None:
    """Guards against removing a second claim by the age row of the first one."""

    async def scenario() -> None:
        fixture = ClaimsFixture()
        first = await fixture.acquire()
        assert isinstance(first, HeldClaim)
        await fixture.claims.release(first)
        fixture.clock.advance(24.5 * 3600)
        second = await fixture.acquire(caller_attempt=2)
        assert isinstance(second, HeldClaim)
        fixture.clock.advance(3600)
        for _ in range(16):
            await fixture.claims.sweep()
        assert first.row.age_key not in fixture.store.row_by_key
        assert second.row_key in fixture.store.row_by_key

    asyncio.run(scenario())
