"""Parts of allowances whose faults the simulated fleet shows only rarely."""

import asyncio
import random
from typing import Any

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiasail._internal.coordination.owner_link import OwnerLink
from cassiasail._internal.coordination.quota_exchange import QuotaExchange
from cassiasail._internal.coordination.shard_directory import row_key
from cassiasail._internal.coordination.shard_leases import (
    TAKE_OVER_MARGIN,
    ShardLeases,
)
from cassiasail._internal.coordination.store import (
    Committed,
    Condition,
    Conflict,
    Put,
    Remove,
    StoreFailure,
)
from cassiasail._internal.ids import DaemonId, DataCentre
from cassiasail._internal.protocol.quotas import (
    GrantLine,
    OwnerRow,
    QuotaAsk,
    QuotaGrant,
    QuotaReturn,
    quota_message_from_wire,
)
from cassiasail._internal.state.lists import Allowance
from cassiasail._internal.state.quotas import (
    DRIFT_MARGIN,
    TOKEN_VALIDITY,
    QuotaKey,
    QuotaShard,
    Report,
    ShardId,
    Wanted,
    share_of,
)
from cassiasail._internal.state.token_cache import Grant, TokenCache
from cassiasail.exceptions import ProtocolError
from devtools.quota_faults import LOST, FakeStore, FakeTable, Faults
from devtools.quota_world import allowance_of, key_named
from tests.lib.clocks import VirtualClock

KEY = key_named("desk")
SHARD = ShardId(DataCentre("dc-0"), 0)
TERM = 60.0
MAX_DEADLINE = 10.0
ALLOWANCE = allowance_of(10, 20, 5)


def shard_at(clock: VirtualClock, *, had_owner: bool) -> QuotaShard:
    return QuotaShard(
        shard=SHARD,
        position=0,
        total=1,
        clock=clock,
        term=TERM,
        max_deadline=MAX_DEADLINE,
        lease_started=clock.now(),
        had_owner=had_owner,
    )


def ask_all(shard: QuotaShard, serial: int = 1) -> tuple[int, int]:
    wanted = Wanted("asker", serial, KEY, 100, 0, 100, 0)
    granted = shard.grant(wanted, ALLOWANCE, MAX_DEADLINE)
    return granted.tokens, granted.permits


def test_new_owner_starts_empty_and_waits_for_tokens_and_permits() -> None:
    """Guards against grants beside those of a predecessor that are still in use."""
    clock = VirtualClock()
    shard = shard_at(clock, had_owner=True)
    clock.advance(TOKEN_VALIDITY + DRIFT_MARGIN)
    assert ask_all(shard, 1) == (0, 0)
    clock.advance(1.0)
    assert ask_all(shard, 2) == (10, 0)
    clock.advance(MAX_DEADLINE)
    assert ask_all(shard, 3)[1] == 5


def test_lapsed_lease_grants_nothing() -> None:
    """Guards against a paused owner that grants beside its successor."""
    clock = VirtualClock()
    shard = shard_at(clock, had_owner=False)
    clock.advance(TERM)
    assert not shard.is_usable()
    assert ask_all(shard) == (0, 0)


def test_repeated_ask_counts_once() -> None:
    """Guards against a doubled message that leaves tokens outstanding for ever."""
    clock = VirtualClock()
    shard = shard_at(clock, had_owner=False)
    assert ask_all(shard, 1) == ask_all(shard, 1) == (20, 5)
    shard.settle(Report("asker", 1, SHARD, 0, 20, 5))
    assert ask_all(shard, 2) == (20, 5)


def test_unreported_tokens_count_against_the_burst_until_they_expire() -> None:
    """Guards against a second burst while the first can still be spent."""
    clock = VirtualClock()
    shard = shard_at(clock, had_owner=False)
    assert ask_all(shard, 1)[0] == 20
    clock.advance(TOKEN_VALIDITY)
    assert ask_all(shard, 2)[0] == 0
    clock.advance(DRIFT_MARGIN + 0.1)
    # The rate yields one token from the expiry on.
    assert ask_all(shard, 3)[0] == 1


def test_token_expires_by_the_send_time_of_its_ask() -> None:
    """Guards against a token that is spent after its owner has written it off."""
    clock = VirtualClock()
    cache = TokenCache(clock=clock, permit_validity=MAX_DEADLINE)
    holding = cache.holding(KEY, ALLOWANCE)
    sent_at = clock.now()
    clock.advance(0.3)
    cache.receive(holding, serial=1, shard=SHARD, tokens=2, permits=2, sent_at=sent_at)
    assert holding.take(clock.now(), clock.now() + 1) is not None
    clock.advance(TOKEN_VALIDITY - 0.3)
    assert holding.take(clock.now(), clock.now() + 1) is None


class SlowLink(OwnerLink):
    """Answers every ask after 0.45 s with two tokens and permits."""

    def __init__(self, clock: VirtualClock) -> None:
        self.clock = clock

    def known(self) -> int:
        return 0

    def home_of(self, key: QuotaKey, allowance: Allowance) -> ShardId:
        return SHARD

    async def send(
        self, shard: ShardId, message: QuotaAsk | QuotaReturn
    ) -> QuotaGrant | None:
        assert isinstance(message, QuotaAsk)
        self.clock.advance(0.45)
        line = GrantLine(
            asker=message.asker,
            serial=message.wanted[0].serial,
            shard=shard,
            tokens=2,
            permits=2,
            left=9,
            permits_left=9,
        )
        return QuotaGrant(owned=True, lines=(line,))


def test_slow_answer_does_not_lengthen_the_life_of_tokens() -> None:
    """Guards against an expiry that counts from the arrival of the answer."""
    clock = VirtualClock()
    exchange = QuotaExchange(
        me=DaemonId("a:1"),
        incarnation=1,
        data_centre=SHARD.data_centre,
        link=SlowLink(clock),
        max_deadline=MAX_DEADLINE,
        clock=clock,
        rng=random.Random(1),
    )
    deadline = clock.now() + 5
    grant = asyncio.run(exchange.acquire(*KEY, ALLOWANCE, deadline))
    assert isinstance(grant, Grant)
    clock.advance(0.06)
    assert exchange.try_acquire(*KEY, ALLOWANCE, deadline) is None


def test_permit_outlasts_its_call() -> None:
    """Guards against a call that runs on after its permit was granted anew."""
    clock = VirtualClock()
    cache = TokenCache(clock=clock, permit_validity=MAX_DEADLINE)
    holding = cache.holding(KEY, ALLOWANCE)
    cache.receive(
        holding, serial=1, shard=SHARD, tokens=2, permits=1, sent_at=clock.now()
    )
    assert holding.take(clock.now(), clock.now() + MAX_DEADLINE + 0.1) is None
    grant = holding.take(clock.now(), clock.now() + MAX_DEADLINE)
    assert grant is not None
    assert holding.take(clock.now(), clock.now() + 1) is None
    cache.finish(grant)
    cache.finish(grant)
    assert holding.take(clock.now(), clock.now() + 1) is not None
    assert holding.take(clock.now(), clock.now() + 1) is None


@given(
    rate=st.floats(0, 1e6),
    burst=st.integers(0, 10_000),
    in_flight=st.integers(0, 10_000),
    total=st.integers(1, 60),
)
def test_shares_add_up_to_the_allowance(
    rate: float, burst: int, in_flight: int, total: int
) -> None:
    """Guards against a split that gives out more or less than the allowance."""
    allowance = allowance_of(rate, burst, in_flight)
    shares = [share_of(KEY, allowance, position, total) for position in range(total)]
    assert sum(share.rate for share in shares) == pytest.approx(rate)
    assert sum(share.burst for share in shares) == pytest.approx(burst)
    assert sum(share.in_flight for share in shares) == in_flight


class SlowStore(FakeStore):
    """A store whose writes take ``delay`` seconds of the daemon's clock."""

    def __init__(self, table: FakeTable, clock: VirtualClock) -> None:
        super().__init__(table, lambda: True)
        self.clock = clock
        self.delay = 0.0

    async def transact(
        self, conditions: Any, writes: list[Put | Remove] | Any
    ) -> Committed | Conflict | StoreFailure:
        self.clock.advance(self.delay)
        return self._table.apply(conditions, writes)

    async def _admit(self, operation: str) -> bool:
        return True


def leases_of(name: str, table: FakeTable, clock: VirtualClock) -> ShardLeases:
    return ShardLeases(
        me=DaemonId(name),
        incarnation=1,
        data_centre=SHARD.data_centre,
        shards=[SHARD],
        members=lambda: [DaemonId("a:1"), DaemonId("b:1")],
        store=SlowStore(table, clock),
        clock=clock,
        term=3600.0,
        max_deadline=MAX_DEADLINE,
        rng=random.Random(1),
    )


def test_lease_runs_from_the_start_of_the_write() -> None:
    """Guards against a lease that outlasts the wait of the next owner."""
    clock = VirtualClock()
    owner = leases_of("a:1", FakeTable(random.Random(1), Faults()), clock)
    store = owner._store
    assert isinstance(store, SlowStore)
    clock.advance(2)
    asyncio.run(owner.run_once())
    store.delay = 100.0
    clock.advance(60)
    confirmed_from = clock.now()
    asyncio.run(owner.run_once())
    clock.advance(confirmed_from + 3600.0 - clock.now() - 1)
    assert owner.usable(SHARD) is not None
    clock.advance(1)
    assert owner.usable(SHARD) is None


def test_rival_waits_for_term_and_margin_or_a_release() -> None:
    """Guards against two owners of a shard, and against a lost one."""
    table = FakeTable(random.Random(1), Faults())
    owner_clock, rival_clock = VirtualClock(), VirtualClock(start=50.0)
    owner = leases_of("a:1", table, owner_clock)
    rival = leases_of("b:1", table, rival_clock)
    owner_clock.advance(2)
    rival_clock.advance(2)
    asyncio.run(owner.run_once())
    asyncio.run(rival.run_once())
    assert rival.usable(SHARD) is None
    rival_clock.advance(3600 + TAKE_OVER_MARGIN - 0.1)
    asyncio.run(rival.run_once())
    assert rival.usable(SHARD) is None
    rival_clock.advance(60)
    asyncio.run(rival.run_once())
    assert rival.usable(SHARD) is not None
    # The former owner learns of it by the conflict of its next confirmation.
    owner_clock.advance(61)
    asyncio.run(owner.run_once())
    assert owner.usable(SHARD) is None
    asyncio.run(rival.release())
    assert rival.usable(SHARD) is None
    owner_clock.advance(61)
    asyncio.run(owner.run_once())
    assert owner.usable(SHARD) is not None


def test_lost_answer_of_a_claim_is_read_back() -> None:
    """Guards against a shard that nobody uses although its row has an owner."""
    table = FakeTable(random.Random(1), Faults())
    clock = VirtualClock()
    owner = leases_of("a:1", table, clock)

    class LosingStore(SlowStore):
        async def transact(
            self, conditions: list[Condition], writes: Any
        ) -> Committed | Conflict | StoreFailure:
            await super().transact(conditions, writes)
            return LOST

    owner._store = LosingStore(table, clock)
    clock.advance(2)
    asyncio.run(owner.run_once())
    assert owner.usable(SHARD) is not None
    row = table.row_by_key[row_key(SHARD)]
    assert row.value["owner"] == "a:1"


TEXT = st.text(max_size=20)
COUNT = st.integers(0, 1 << 53)
SHARDS = st.builds(ShardId, TEXT, COUNT)
REPORTS = st.lists(
    st.builds(Report, TEXT, COUNT, SHARDS, COUNT, COUNT, COUNT), max_size=3
).map(tuple)
WANTED = st.lists(
    st.builds(
        Wanted, TEXT, COUNT, st.tuples(TEXT, TEXT, TEXT), COUNT, COUNT, COUNT, COUNT
    ),
    max_size=3,
).map(tuple)
LINES = st.lists(
    st.builds(
        GrantLine,
        asker=TEXT,
        serial=COUNT,
        shard=SHARDS,
        tokens=COUNT,
        permits=COUNT,
        left=COUNT,
        permits_left=COUNT,
    ),
    max_size=3,
).map(tuple)
ROWS = st.lists(
    st.builds(OwnerRow, shard=SHARDS, owner=TEXT, revision=COUNT), max_size=3
).map(tuple)
MESSAGES = st.one_of(
    st.builds(
        QuotaAsk,
        asker=TEXT,
        shard=SHARDS,
        forwarded=st.booleans(),
        permit_ms=COUNT,
        known=COUNT,
        wanted=WANTED,
        reports=REPORTS,
    ),
    st.builds(QuotaGrant, owned=st.booleans(), lines=LINES, owners=ROWS),
    st.builds(QuotaReturn, asker=TEXT, reports=REPORTS),
)
JUNK = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.binary(),
    lambda inner: st.lists(inner, max_size=7),
)


@given(message=MESSAGES)
def test_messages_survive_the_wire(
    message: QuotaAsk | QuotaGrant | QuotaReturn,
) -> None:
    """Guards against fields that are lost or exchanged on the wire."""
    wire = cbor2.loads(cbor2.dumps(message.to_wire()))
    assert quota_message_from_wire(wire) == message


@given(message=MESSAGES, position=st.integers(0, 7), junk=JUNK)
def test_malformed_messages_are_refused(
    message: QuotaAsk | QuotaGrant | QuotaReturn, position: int, junk: Any
) -> None:
    """Guards against a peer message that ends the daemon or passes half read."""
    wire = message.to_wire()
    wire[position % len(wire)] = junk
    for damaged in (wire, wire[:-1], [*wire, junk], junk):
        try:
            read = quota_message_from_wire(damaged)
        except ProtocolError:
            continue
        assert read.to_wire() == damaged
