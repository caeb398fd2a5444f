"""Quota shards, leases, token cache and messages.

Covers faults that the simulated fleet of ``test_quota_fleet`` shows only rarely.
"""

import asyncio
import random
from typing import Any

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiasail._internal.coordination.owner_link import OwnerLink
from cassiasail._internal.coordination.quota_exchange import QuotaClient
from cassiasail._internal.coordination.shard_directory import row_key
from cassiasail._internal.coordination.shard_leases import (
    TAKEOVER_MARGIN_SECONDS,
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
    QuotaResponse,
    TokenRequest,
    UsageReportBatch,
    quota_message_from_wire,
)
from cassiasail._internal.state.lists import Allowance
from cassiasail._internal.state.quotas import (
    CLOCK_DRIFT_MARGIN_SECONDS,
    TOKEN_VALIDITY_SECONDS,
    QuotaKey,
    QuotaShard,
    ShardId,
    TokenRequestLine,
    UsageReport,
    share_of,
)
from cassiasail._internal.state.token_cache import CallGrant, TokenCache
from cassiasail.exceptions import ProtocolError
from devtools.quota_faults import EFFECT_UNKNOWN, FakeStore, FakeTable, Faults
from devtools.quota_world import allowance_of, key_named
from tests.lib.clocks import VirtualClock

KEY = key_named("desk")
SHARD = ShardId(DataCentre("dc-0"), 0)
LEASE_TERM_SECONDS = 60.0
MAX_DEADLINE_SECONDS = 10.0
ALLOWANCE = allowance_of(10, 20, 5)


def make_shard(clock: VirtualClock, *, had_owner: bool) -> QuotaShard:
    return QuotaShard(
        shard=SHARD,
        position=0,
        total=1,
        clock=clock,
        term=LEASE_TERM_SECONDS,
        max_deadline=MAX_DEADLINE_SECONDS,
        lease_started=clock.now(),
        had_owner=had_owner,
    )


def request_all(shard: QuotaShard, serial: int = 1) -> tuple[int, int]:
    line = TokenRequestLine("requester", serial, KEY, 100, 0, 100, 0)
    granted = shard.grant(line, ALLOWANCE, MAX_DEADLINE_SECONDS)
    return granted.tokens, granted.permits


def test_new_owner_starts_empty_and_waits_until_earlier_grants_expire() -> None:
    """Guards against grants while those of the previous owner are still in use."""
    clock = VirtualClock()
    shard = make_shard(clock, had_owner=True)
    clock.advance(TOKEN_VALIDITY_SECONDS + CLOCK_DRIFT_MARGIN_SECONDS)
    assert request_all(shard, 1) == (0, 0)
    clock.advance(1.0)
    assert request_all(shard, 2) == (10, 0)
    clock.advance(MAX_DEADLINE_SECONDS)
    assert request_all(shard, 3)[1] == 5


def test_expired_lease_grants_nothing() -> None:
    """Guards against a paused owner that still grants after another one took over."""
    clock = VirtualClock()
    shard = make_shard(clock, had_owner=False)
    clock.advance(LEASE_TERM_SECONDS)
    assert not shard.is_lease_valid()
    assert request_all(shard) == (0, 0)


def test_duplicate_token_request_counts_once() -> None:
    """Guards against tokens that stay outstanding because a message came twice."""
    clock = VirtualClock()
    shard = make_shard(clock, had_owner=False)
    assert request_all(shard, 1) == request_all(shard, 1) == (20, 5)
    shard.apply_report(UsageReport("requester", 1, SHARD, 0, 20, 5))
    assert request_all(shard, 2) == (20, 5)


def test_unreported_tokens_count_against_the_burst_until_they_expire() -> None:
    """Guards against a second full burst while the first can still be spent."""
    clock = VirtualClock()
    shard = make_shard(clock, had_owner=False)
    assert request_all(shard, 1)[0] == 20
    clock.advance(TOKEN_VALIDITY_SECONDS)
    assert request_all(shard, 2)[0] == 0
    clock.advance(CLOCK_DRIFT_MARGIN_SECONDS + 0.1)
    # Accrual at the rate restarts at the expiry and has yielded one token.
    assert request_all(shard, 3)[0] == 1


def test_token_expiry_counts_from_the_send_time_of_its_request() -> None:
    """Guards against a token that is spent after it expired on its owner."""
    clock = VirtualClock()
    cache = TokenCache(clock=clock, permit_validity=MAX_DEADLINE_SECONDS)
    entry = cache.get_or_add(KEY, ALLOWANCE)
    sent_at = clock.now()
    clock.advance(0.3)
    cache.add_grant(entry, serial=1, shard=SHARD, tokens=2, permits=2, sent_at=sent_at)
    assert entry.try_take(clock.now(), clock.now() + 1) is not None
    clock.advance(TOKEN_VALIDITY_SECONDS - 0.3)
    assert entry.try_take(clock.now(), clock.now() + 1) is None


class SlowOwnerLink(OwnerLink):
    """Responds to every request after 0.45 s with two tokens and two permits."""

    def __init__(self, clock: VirtualClock) -> None:
        self.clock = clock

    def directory_digest(self) -> int:
        return 0

    def select_shard(self, key: QuotaKey, allowance: Allowance) -> ShardId:
        return SHARD

    async def send(
        self, shard: ShardId, message: TokenRequest | UsageReportBatch
    ) -> QuotaResponse | None:
        assert isinstance(message, TokenRequest)
        self.clock.advance(0.45)
        line = GrantLine(
            requester=message.requester,
            serial=message.lines[0].serial,
            shard=shard,
            tokens=2,
            permits=2,
            tokens_left=9,
            permits_left=9,
        )
        return QuotaResponse(is_owner=True, lines=(line,))


def test_slow_response_does_not_extend_the_validity_of_tokens() -> None:
    """Guards against an expiry that counts from the arrival of the response."""
    clock = VirtualClock()
    client = QuotaClient(
        me=DaemonId("a:1"),
        incarnation=1,
        data_centre=SHARD.data_centre,
        link=SlowOwnerLink(clock),
        max_deadline=MAX_DEADLINE_SECONDS,
        clock=clock,
        rng=random.Random(1),
    )
    deadline = clock.now() + 5
    grant = asyncio.run(client.acquire(*KEY, ALLOWANCE, deadline))
    assert isinstance(grant, CallGrant)
    clock.advance(0.06)
    assert client.try_acquire(*KEY, ALLOWANCE, deadline) is None


def test_permit_is_valid_until_the_deadline_of_its_call() -> None:
    """Guards against a call that still runs after its permit was granted again.

    Also checks that a permit serves one call at a time and is freed only once.
    """
    clock = VirtualClock()
    cache = TokenCache(clock=clock, permit_validity=MAX_DEADLINE_SECONDS)
    entry = cache.get_or_add(KEY, ALLOWANCE)
    cache.add_grant(
        entry, serial=1, shard=SHARD, tokens=2, permits=1, sent_at=clock.now()
    )
    assert entry.try_take(clock.now(), clock.now() + MAX_DEADLINE_SECONDS + 0.1) is None
    grant = entry.try_take(clock.now(), clock.now() + MAX_DEADLINE_SECONDS)
    assert grant is not None
    assert entry.try_take(clock.now(), clock.now() + 1) is None
    cache.release_permit(grant)
    cache.release_permit(grant)
    assert entry.try_take(clock.now(), clock.now() + 1) is not None
    assert entry.try_take(clock.now(), clock.now() + 1) is None


@given(
    rate=st.floats(0, 1e6),
    burst=st.integers(0, 10_000),
    in_flight=st.integers(0, 10_000),
    total=st.integers(1, 60),
)
def test_shares_add_up_to_the_allowance(
    rate: float, burst: int, in_flight: int, total: int
) -> None:
    """Guards against shards that together have more or less than the allowance."""
    allowance = allowance_of(rate, burst, in_flight)
    shares = [share_of(KEY, allowance, position, total) for position in range(total)]
    assert sum(share.rate for share in shares) == pytest.approx(rate)
    assert sum(share.burst for share in shares) == pytest.approx(burst)
    assert sum(share.in_flight for share in shares) == in_flight


class SlowStore(FakeStore):
    """A store whose writes advance the daemon's clock by ``delay`` seconds."""

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


def make_leases(name: str, table: FakeTable, clock: VirtualClock) -> ShardLeases:
    return ShardLeases(
        me=DaemonId(name),
        incarnation=1,
        data_centre=SHARD.data_centre,
        shards=[SHARD],
        members=lambda: [DaemonId("a:1"), DaemonId("b:1")],
        store=SlowStore(table, clock),
        clock=clock,
        term=3600.0,
        max_deadline=MAX_DEADLINE_SECONDS,
        rng=random.Random(1),
    )


def test_lease_counts_from_the_start_of_the_write() -> None:
    """Guards against a lease that is still valid when the next owner claims.

    The write takes 100 s; a lease that counted from its end would last as much longer.
    """
    clock = VirtualClock()
    owner = make_leases("a:1", FakeTable(random.Random(1), Faults()), clock)
    store = owner._store
    assert isinstance(store, SlowStore)
    clock.advance(2)
    asyncio.run(owner.run_once())
    store.delay = 100.0
    clock.advance(60)
    confirmed_from = clock.now()
    asyncio.run(owner.run_once())
    clock.advance(confirmed_from + 3600.0 - clock.now() - 1)
    assert owner.leased_shard(SHARD) is not None
    clock.advance(1)
    assert owner.leased_shard(SHARD) is None


def test_shard_is_claimed_after_term_and_margin_or_a_release() -> None:
    """Guards against two owners of a shard, and against a shard without owner."""
    table = FakeTable(random.Random(1), Faults())
    owner_clock, contender_clock = VirtualClock(), VirtualClock(start=50.0)
    owner = make_leases("a:1", table, owner_clock)
    contender = make_leases("b:1", table, contender_clock)
    owner_clock.advance(2)
    contender_clock.advance(2)
    asyncio.run(owner.run_once())
    asyncio.run(contender.run_once())
    assert contender.leased_shard(SHARD) is None
    contender_clock.advance(3600 + TAKEOVER_MARGIN_SECONDS - 0.1)
    asyncio.run(contender.run_once())
    assert contender.leased_shard(SHARD) is None
    contender_clock.advance(60)
    asyncio.run(contender.run_once())
    assert contender.leased_shard(SHARD) is not None
    # The previous owner drops the shard on the conflict of its next confirmation.
    owner_clock.advance(61)
    asyncio.run(owner.run_once())
    assert owner.leased_shard(SHARD) is None
    asyncio.run(contender.release())
    assert contender.leased_shard(SHARD) is None
    owner_clock.advance(61)
    asyncio.run(owner.run_once())
    assert owner.leased_shard(SHARD) is not None


def test_claim_with_lost_response_is_read_back() -> None:
    """Guards against a shard that nobody serves although its row has an owner.

    This happens if the write of a claim commits but its response is lost.
    """
    table = FakeTable(random.Random(1), Faults())
    clock = VirtualClock()
    owner = make_leases("a:1", table, clock)

    class ResponseLosingStore(SlowStore):
        async def transact(
            self, conditions: list[Condition], writes: Any
        ) -> Committed | Conflict | StoreFailure:
            await super().transact(conditions, writes)
            return EFFECT_UNKNOWN

    owner._store = ResponseLosingStore(table, clock)
    clock.advance(2)
    asyncio.run(owner.run_once())
    assert owner.leased_shard(SHARD) is not None
    row = table.row_by_key[row_key(SHARD)]
    assert row.value["owner"] == "a:1"


TEXT = st.text(max_size=20)
COUNT = st.integers(0, 1 << 53)
SHARD_IDS = st.builds(ShardId, TEXT, COUNT)
REPORTS = st.lists(
    st.builds(UsageReport, TEXT, COUNT, SHARD_IDS, COUNT, COUNT, COUNT), max_size=3
).map(tuple)
REQUEST_LINES = st.lists(
    st.builds(
        TokenRequestLine,
        TEXT,
        COUNT,
        st.tuples(TEXT, TEXT, TEXT),
        COUNT,
        COUNT,
        COUNT,
        COUNT,
    ),
    max_size=3,
).map(tuple)
GRANT_LINES = st.lists(
    st.builds(
        GrantLine,
        requester=TEXT,
        serial=COUNT,
        shard=SHARD_IDS,
        tokens=COUNT,
        permits=COUNT,
        tokens_left=COUNT,
        permits_left=COUNT,
    ),
    max_size=3,
).map(tuple)
OWNER_ROWS = st.lists(
    st.builds(OwnerRow, shard=SHARD_IDS, owner=TEXT, revision=COUNT), max_size=3
).map(tuple)
MESSAGES = st.one_of(
    st.builds(
        TokenRequest,
        requester=TEXT,
        shard=SHARD_IDS,
        forwarded=st.booleans(),
        permit_ms=COUNT,
        directory_digest=COUNT,
        lines=REQUEST_LINES,
        reports=REPORTS,
    ),
    st.builds(
        QuotaResponse, is_owner=st.booleans(), lines=GRANT_LINES, owners=OWNER_ROWS
    ),
    st.builds(UsageReportBatch, requester=TEXT, reports=REPORTS),
)
JUNK = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.binary(),
    lambda inner: st.lists(inner, max_size=7),
)


@given(message=MESSAGES)
def test_messages_are_unchanged_by_encoding_and_decoding(
    message: TokenRequest | QuotaResponse | UsageReportBatch,
) -> None:
    """Guards against fields that are lost or swapped by the encoding."""
    wire = cbor2.loads(cbor2.dumps(message.to_wire()))
    assert quota_message_from_wire(wire) == message


@given(message=MESSAGES, position=st.integers(0, 7), junk=JUNK)
def test_malformed_messages_are_refused(
    message: TokenRequest | QuotaResponse | UsageReportBatch, position: int, junk: Any
) -> None:
    """Guards against a malformed message that crashes the daemon.

    Also guards against one that is accepted although parts of it were not read.
    """
    wire = message.to_wire()
    wire[position % len(wire)] = junk
    for malformed in (wire, wire[:-1], [*wire, junk], junk):
        try:
            message_read = quota_message_from_wire(malformed)
        except ProtocolError:
            continue
        assert message_read.to_wire() == malformed


def test_requeued_report_keeps_its_own_time() -> None:
    """Guards against a report that is retried for as long as the one before it."""
    clock = VirtualClock()
    cache = TokenCache(clock=clock, permit_validity=100.0)
    with_permits = UsageReport("requester", 1, SHARD, 0, 0, 5)
    tokens_only = UsageReport("requester", 2, SHARD, 0, 5, 0)
    cache.requeue_reports([with_permits, tokens_only])
    clock.advance(TOKEN_VALIDITY_SECONDS + 1)
    cache.collect_reports()
    assert set(cache._report_by_id) == {(SHARD, 1)}
