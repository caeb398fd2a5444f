"""No key runs twice, no "no" is false, and a recorded answer is replayed whole."""

import asyncio
from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiasail._internal.coordination.claimed import Claimed, ClaimStatus
from cassiasail._internal.coordination.claimrows import ClaimKey, RecordedAnswer
from cassiasail._internal.coordination.claims import Claims, Replay
from cassiasail._internal.coordination.claimsweep import SWEEP_BATCH, Swept
from cassiasail._internal.coordination.store import StoredRow
from cassiasail._internal.ids import CustomerId, DaemonId, ServiceName
from cassiasail._internal.state.refusals import Executed, Refusal, RefusalReason
from devtools.claims_world import BODIES, ClaimsWorld, run_claims
from tests.lib.clocks import VirtualClock
from tests.lib.fakestore import FakeStore

KEYS = ["key0", "key1"]
BODY = b"digest"


class ClaimsMachine(RuleBasedStateMachine):
    """Guards against double execution under any order of sendings and faults."""

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
    def hold(self, daemon: int, seconds: float) -> None:
        self.world.daemons[daemon].hold(seconds)

    @rule(down=st.booleans())
    def switch_store(self, down: bool) -> None:
        self.world.store.down = down

    @rule(count=st.integers(1, 4))
    def lose_answers(self, count: int) -> None:
        self.world.store.lose_answers = count

    @rule(count=st.integers(1, 4), delay=st.sampled_from([0.2, 1.0, 20.0]))
    def delay_effects(self, count: int, delay: float) -> None:
        self.world.store.delay_effects = count
        self.world.store.effect_delay = delay

    @rule()
    def expire(self) -> None:
        self.world.expire()

    @invariant()
    def nothing_ran_twice(self) -> None:
        assert all(count <= 1 for count in self.world.executions.values())

    def teardown(self) -> None:
        self.world.check_settled(KEYS)
        self.world.loop.close()


ClaimsMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
TestClaims = ClaimsMachine.TestCase


def test_long_run_reaches_every_case() -> None:
    """Guards against a world that no longer exercises what it should check."""
    seen = run_claims(seed=3, steps=4000)
    wanted = ("executed", "replay", "key_reused", "in_progress", "outcome_unknown")
    assert all(seen[name] > 10 for name in (*wanted, "deadline_exceeded", "swept"))


class OneDaemon:
    """Claims of one daemon over a fake store, without faults at first."""

    def __init__(self) -> None:
        self.clock = VirtualClock()
        self.store = FakeStore(clock=self.clock, rng=Random(1))
        self.claims = self.restarted()

    def restarted(self) -> Claims:
        async def lookup(daemon: DaemonId, token: str) -> ClaimStatus:
            return ClaimStatus.UNKNOWN

        return Claims(
            daemon=DaemonId("a:1"), store=self.store, clock=self.clock, lookup=lookup
        )

    async def take(self, name: str = "k", attempt: int = 1) -> object:
        key = ClaimKey(customer=CustomerId("a/b"), service=ServiceName("s"), key=name)
        deadline = self.clock.now() + 5
        return await self.claims.take(key, BODY, deadline=deadline, attempt=attempt)

    async def answer(self, size: int) -> RecordedAnswer:
        claimed = await self.take()
        assert isinstance(claimed, Claimed)
        answer = RecordedAnswer(status=201, headers=(("a", "b"),), body=b"x" * size)
        claimed.dispatched()
        assert await self.claims.record(claimed, answer) is (size <= 1 << 20)
        return answer


@pytest.mark.parametrize(
    ("size", "requests"), [(0, 2), (64 << 10, 2), ((64 << 10) + 1, 3), (1 << 20, 3)]
)
def test_answer_is_replayed_after_a_restart(size: int, requests: int) -> None:
    """Guards against a truncated replay and against more store requests per order."""

    async def scenario() -> None:
        daemon = OneDaemon()
        answer = await daemon.answer(size)
        assert daemon.store.count_by_operation.total() == requests
        assert daemon.store.rows_written == 3
        daemon.claims = daemon.restarted()
        assert await daemon.take(attempt=2) == Replay(answer=answer)

    asyncio.run(scenario())


def test_lost_answer_of_a_record_is_recognised() -> None:
    """Guards against a recorded order that is reported as unrecorded."""

    async def scenario() -> None:
        daemon = OneDaemon()
        assert isinstance(claimed := await daemon.take(), Claimed)
        claimed.dispatched()
        daemon.store.lose_answers = 1
        answer = RecordedAnswer(status=200, headers=(), body=b"")
        assert await daemon.claims.record(claimed, answer)

    asyncio.run(scenario())


def test_too_large_and_damaged_answers_are_unknown_never_partial() -> None:
    """Guards against a replay of a part of an answer, and against a second run."""

    async def scenario(size: int, damage: bool) -> None:
        daemon = OneDaemon()
        await daemon.answer(size)
        if damage:
            objects = daemon.store.object_by_name
            objects.update({name: data[:-1] for name, data in objects.items()})
        refusal = await daemon.take(attempt=2)
        assert isinstance(refusal, Refusal)
        assert refusal.reason is RefusalReason.OUTCOME_UNKNOWN
        assert refusal.executed is Executed.UNKNOWN

    asyncio.run(scenario((1 << 20) + 1, damage=False))
    asyncio.run(scenario(1 << 20, damage=True))


def test_malformed_row_never_runs() -> None:
    """Guards against a damaged claim row being taken for a free key."""

    async def scenario() -> None:
        daemon = OneDaemon()
        daemon.store.row_by_key["claim/a%2Fb/s/k"] = StoredRow(value={}, revision=7)
        refusal = await daemon.take()
        assert isinstance(refusal, Refusal)
        assert refusal.executed is Executed.UNKNOWN

    asyncio.run(scenario())


def test_sweep_is_bounded_and_spares_young_claims() -> None:
    """Guards against large deletes, and removal of a claim within its 24 hours."""

    async def scenario() -> None:
        daemon = OneDaemon()
        for number in range(SWEEP_BATCH * 20):
            await daemon.take(f"old{number}")
        daemon.clock.advance(24.5 * 3600)
        assert await sweep_all(daemon) == 0
        daemon.clock.advance(3600)
        assert isinstance(await daemon.take("young"), Claimed)
        before = daemon.store.count_by_operation.total()
        swept = await daemon.claims.sweep()
        assert isinstance(swept, Swept)
        assert 0 < swept.removed <= SWEEP_BATCH
        assert daemon.store.count_by_operation.total() - before == 3
        await sweep_all(daemon)
        await sweep_all(daemon)
        left = [key for key in daemon.store.row_by_key if key.startswith("claim/")]
        assert left == ["claim/a%2Fb/s/young"]

    async def sweep_all(daemon: OneDaemon) -> int:
        passes = [await daemon.claims.sweep() for _ in range(16)]
        return sum(item.removed for item in passes if isinstance(item, Swept))

    asyncio.run(scenario())


def test_released_key_is_free_for_later_sendings_only() -> None:
    """Guards against a key blocked for 24 h, and against an old sending run late."""

    async def scenario() -> None:
        daemon = OneDaemon()
        claimed = await daemon.take(attempt=2)
        assert isinstance(claimed, Claimed)
        assert await daemon.claims.release(claimed)
        assert not claimed.may_dispatch()
        daemon.claims = daemon.restarted()
        older = await daemon.take(attempt=1)
        assert isinstance(older, Refusal)
        assert older.executed is Executed.UNKNOWN
        assert isinstance(await daemon.take(attempt=3), Claimed)

    asyncio.run(scenario())


def test_paused_holder_may_not_dispatch_after_its_deadline() -> None:
    """Guards against a daemon that wakes up and runs an old order."""

    async def scenario() -> None:
        daemon = OneDaemon()
        claimed = await daemon.take()
        assert isinstance(claimed, Claimed)
        assert claimed.may_dispatch()
        daemon.clock.advance(5)
        assert not claimed.may_dispatch()

    asyncio.run(scenario())


def test_cancelled_take_is_known_as_never_run() -> None:
    """Guards against a key that looks in progress for ever after a cancellation."""
    world = ClaimsWorld(seed=5)
    claims = world.daemons[0].claims
    key = ClaimKey(customer=CustomerId("c"), service=ServiceName("s"), key="k")

    async def take() -> None:
        await claims.take(key, BODY, deadline=world.loop.now() + 5)

    world.store.delay_effects = 1
    task = world.loop.spawn(take())
    world.advance(0.2)
    token = next(iter(claims._running))
    assert claims.status(token) is ClaimStatus.RUNNING
    world.loop.kill(task)
    assert claims.status(token) is ClaimStatus.NEVER_RUN


@pytest.mark.parametrize("landing", [None, 0.01, 1.0, 30.0])
def test_lost_claim_write_is_settled_by_a_second_one(landing: float | None) -> None:
    """Guards against a read-back that comes before a delayed write."""

    async def scenario() -> None:
        daemon = OneDaemon()
        if landing is None:
            daemon.store.lose_answers = 1
        else:
            daemon.store.delay_effects = 1
            daemon.store.effect_delay = landing
        claimed = await daemon.take()
        assert isinstance(claimed, Claimed)
        assert daemon.store.count_by_operation["transact"] == 2
        daemon.clock.advance(60)
        daemon.store.settle()
        row = daemon.store.row_by_key[claimed.row_key]
        assert row.value["token"] == claimed.token
        assert row.revision == claimed.revision

    asyncio.run(scenario())


def test_sweep_spares_a_key_that_was_released_and_claimed_again() -> None:
    """Guards against the first claim's age removing the second claim."""

    async def scenario() -> None:
        daemon = OneDaemon()
        first = await daemon.take()
        assert isinstance(first, Claimed)
        await daemon.claims.release(first)
        daemon.clock.advance(24.5 * 3600)
        second = await daemon.take(attempt=2)
        assert isinstance(second, Claimed)
        daemon.clock.advance(3600)
        for _ in range(16):
            await daemon.claims.sweep()
        assert first.row.age_key not in daemon.store.row_by_key
        assert second.row_key in daemon.store.row_by_key

    asyncio.run(scenario())
