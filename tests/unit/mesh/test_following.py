"""Tests of following a table through the store and through other daemons."""

import asyncio
from collections.abc import Sequence
from random import Random

from cassiasail._internal.awake_clock import AwakeClock
from cassiasail._internal.coordination.mesh.following import (
    BATCH_SECONDS,
    FollowTimes,
    TableFollower,
)
from cassiasail._internal.coordination.mesh.shared_tables import (
    ConditionalWrite,
    HistoryGone,
    StoreFailed,
    WriteConflict,
    WriteDone,
)
from cassiasail._internal.coordination.mesh.sync_sources import SyncSources
from cassiasail._internal.protocol import table_sync
from cassiasail._internal.protocol.exchanges import Address
from cassiasail._internal.protocol.http1 import HttpRequest, HttpResponse
from cassiasail._internal.state.mesh_config import ClientLimits
from cassiasail._internal.state.table_mirror import (
    StoredRow,
    StoreVersion,
    TableDelta,
    TableMirror,
)
from cassiasail._internal.transport.http1.pool import ConnectionPool
from cassiasail._internal.transport.http1.server import HttpServer
from devtools.virtual_loop import VirtualLoop
from tests.lib.events import null_event_log
from tests.lib.store_versions import at

TIMES = FollowTimes(wait=0.2, max_age=0.5)
FAILED = StoreFailed(reason="down", may_be_committed=False)


class FakeStore:
    """A table in memory with faults that can be switched on.

    With ``down`` requests fail at once, with ``hangs`` reads fail after 1 s, ``delay``
    slows reads down, and ``stale`` is returned by reads in place of the current rows.
    """

    def __init__(self) -> None:
        self.row_by_key: dict[str, StoredRow] = {}
        self.version = 0
        self.history_start = 0
        self.down = False
        self.hangs = False
        self.delay = 0.0
        self.stale: TableDelta | None = None
        self.request_count = 0

    def put(self, key: str, value: bytes) -> None:
        self.version += 1
        self.row_by_key[key] = StoredRow(key=key, value=value, version=at(self.version))

    def drop_history(self) -> None:
        self.history_start = self.version

    async def read(self, table: str) -> TableDelta | StoreFailed:
        self.request_count += 1
        await asyncio.sleep(self.delay)
        if self.hangs:
            await asyncio.sleep(1)
            return FAILED
        if self.down:
            return FAILED
        if self.stale is not None:
            return self.stale
        rows = tuple(self.row_by_key.values())
        return TableDelta(rows=rows, version=at(self.version), whole=True)

    async def changes(
        self, table: str, *, after: StoreVersion, wait: float
    ) -> TableDelta | HistoryGone | StoreFailed:
        self.request_count += 1
        deadline = asyncio.get_running_loop().time() + wait
        while True:
            if self.down:
                return FAILED
            if after.number < self.history_start:
                return HistoryGone()
            rows = tuple(row for row in self.row_by_key.values() if row.version > after)
            if rows or asyncio.get_running_loop().time() >= deadline:
                return TableDelta(rows=rows, version=at(self.version))
            await asyncio.sleep(0.005)

    async def write(
        self, table: str, writes: Sequence[ConditionalWrite]
    ) -> WriteDone | WriteConflict | StoreFailed:
        raise NotImplementedError


class Node:
    """A daemon that follows the table and serves it to others."""

    def __init__(
        self,
        store: FakeStore,
        order: SyncSources,
        times: FollowTimes = TIMES,
        *,
        peers_known: asyncio.Event | None = None,
        first_start: bool = False,
    ) -> None:
        self.value_by_key: dict[str, bytes] = {}
        self.applied_values: list[bytes] = []
        self.fails_for: bytes | None = None
        self.order = order
        self.awake = AwakeClock()
        self.follower = TableFollower(
            tables=store,
            table="t",
            pool=ConnectionPool(connect_timeout=0.2, ack_timeout=1, idle_timeout=10),
            times=times,
            peers=lambda: self.order,
            changed=self._changed,
            peers_known=peers_known,
            first_start=first_start,
            unreachable=lambda address: None,
            awake=self.awake,
            events=null_event_log(),
            random=Random(1),
        )
        self.server = HttpServer(handler=self._serve, limits=ClientLimits)
        self.task = asyncio.create_task(self.follower.run())

    def _changed(self, row: StoredRow) -> None:
        if row.value == self.fails_for:
            raise OverflowError("the value can't be used")
        self.applied_values.append(row.value)
        self.value_by_key[row.key] = row.value

    async def _serve(self, request: HttpRequest) -> HttpResponse:
        query = table_sync.decode_query(request)
        assert query is not None
        return table_sync.encode_reply(await self.follower.serve(query))

    async def listen(self) -> Address:
        await self.server.start("127.0.0.1", 0)
        return Address("127.0.0.1", self.server.port)

    async def wait_for_value(self, value: bytes, seconds: float = 2.0) -> None:
        async with asyncio.timeout(seconds):
            while self.value_by_key.get("k") != value:
                await asyncio.sleep(0.005)


NO_PEERS = SyncSources(preferred=(), fallback=())


def test_follower_of_a_relay_sends_no_store_request() -> None:
    """Guards against store requests that increase with the size of the fleet."""

    async def main() -> None:
        store, idle = FakeStore(), FakeStore()
        store.put("k", b"1")
        relay = Node(store, NO_PEERS)
        address = await relay.listen()
        follower = Node(idle, SyncSources(preferred=(address,), fallback=()))
        await relay.wait_for_value(b"1")
        await follower.wait_for_value(b"1")
        store.put("k", b"2")
        await follower.wait_for_value(b"2")
        assert idle.request_count <= 1

    asyncio.run(main())


def test_follower_leaves_a_relay_that_cannot_reach_the_store() -> None:
    """Guards against followers that stay on a relay without access to the store."""

    async def main() -> None:
        store, disconnected = FakeStore(), FakeStore()
        store.put("k", b"1")
        disconnected.put("k", b"1")
        relay = Node(disconnected, NO_PEERS)
        address = await relay.listen()
        await relay.wait_for_value(b"1")
        follower = Node(store, SyncSources(preferred=(address,), fallback=()))
        await follower.wait_for_value(b"1")
        disconnected.down = True
        store.put("k", b"2")
        await follower.wait_for_value(b"2", 1.0)

    asyncio.run(main())


def test_daemon_polls_a_fallback_source_if_its_store_requests_fail() -> None:
    """Guards against a daemon without data because the store fails for it alone."""

    async def main() -> None:
        store, refusing = FakeStore(), FakeStore()
        store.put("k", b"1")
        refusing.down = True
        other = Node(store, NO_PEERS)
        address = await other.listen()
        await other.wait_for_value(b"1")
        refused = Node(refusing, SyncSources(preferred=(), fallback=(address,)))
        await refused.wait_for_value(b"1")

    asyncio.run(main())


def test_unreachable_sources_are_polled_concurrently() -> None:
    """Guards against timeouts of unreachable sources that add up.

    Polling the store and the relay one after the other, while neither replied, made a
    configuration 4 s late.
    """

    async def main() -> None:
        store, hanging = FakeStore(), FakeStore()
        hanging.hangs = True
        store.put("k", b"1")

        async def never_respond(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(30)

        server = await asyncio.start_server(never_respond, "127.0.0.1", 0)
        unresponsive = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        other = Node(store, NO_PEERS)
        address = await other.listen()
        await other.wait_for_value(b"1")
        node = Node(
            hanging,
            SyncSources(
                preferred=(unresponsive, unresponsive), fallback=(unresponsive, address)
            ),
        )
        await node.wait_for_value(b"1", 1.3)

    asyncio.run(main())


def test_followers_wait_for_a_relay_that_is_starting() -> None:
    """Guards against a data centre whose VMs all read the store after a power loss."""

    async def main() -> None:
        slow, store = FakeStore(), FakeStore()
        slow.put("k", b"1")
        slow.delay = 0.15
        store.put("k", b"1")
        relay = Node(slow, NO_PEERS)
        address = await relay.listen()
        follower = Node(store, SyncSources(preferred=(address,), fallback=()))
        await follower.wait_for_value(b"1")
        assert store.request_count == 0

    asyncio.run(main())


def test_relay_that_starts_late_delays_no_other_daemon() -> None:
    """Guards against a first poll that waits for a single relay.

    After a power loss one daemon applied its configuration 1.07 s late, because it had
    polled a relay that was still starting.
    """

    async def main() -> None:
        late, store, unused = FakeStore(), FakeStore(), FakeStore()
        late.delay = 5.0
        store.put("k", b"1")
        times = FollowTimes(wait=2.0, max_age=3.0)
        first = await Node(late, NO_PEERS).listen()
        relay = Node(store, SyncSources(preferred=(first,), fallback=()), times)
        second = await relay.listen()
        follower = Node(
            unused, SyncSources(preferred=(first, second), fallback=()), times
        )
        await relay.wait_for_value(b"1", 1.0)
        await follower.wait_for_value(b"1", 0.5)
        assert unused.request_count == 0

    asyncio.run(main())


def test_unreachable_source_does_not_delay_a_reachable_one() -> None:
    """Guards against concurrent polls that take as long as the slowest source."""

    async def main() -> None:
        store, hanging = FakeStore(), FakeStore()
        store.put("k", b"1")
        hanging.hangs = True
        other = Node(store, NO_PEERS)
        address = await other.listen()
        await other.wait_for_value(b"1")
        node = Node(hanging, SyncSources(preferred=(), fallback=(address,)))
        assert await node.follower._poll_concurrently((None, address), wait=0.0)
        await node.wait_for_value(b"1", 0.3)

    asyncio.run(main())


def test_whole_table_is_read_if_the_history_is_gone() -> None:
    """Guards against missing changes whose history the store has dropped."""

    async def main() -> None:
        store = FakeStore()
        store.put("k", b"1")
        node = Node(store, NO_PEERS)
        await node.wait_for_value(b"1")
        store.put("k", b"2")
        store.put("k", b"3")
        store.drop_history()
        await node.wait_for_value(b"3")

    asyncio.run(main())


def test_response_older_than_the_copy_is_rejected() -> None:
    """Guards against a daemon that replaces a row by an older version."""

    async def main() -> None:
        store = FakeStore()
        store.put("k", b"old")
        past = await store.read("t")
        assert isinstance(past, TableDelta)
        store.put("k", b"new")
        node = Node(store, NO_PEERS)
        await node.wait_for_value(b"new")
        store.stale = past
        store.drop_history()
        store.version += 1
        store.history_start = store.version
        await asyncio.sleep(0.3)
        assert node.value_by_key["k"] == b"new"
        assert node.applied_values == [b"new"]

    asyncio.run(main())


def test_changes_in_quick_succession_are_read_together() -> None:
    """Guards against one store request for each of many changes."""

    async def main() -> None:
        store = FakeStore()
        store.put("k", b"0")
        node = Node(store, NO_PEERS)
        await node.wait_for_value(b"0")
        requests_before = store.request_count
        for number in range(20):
            store.put("k", str(number).encode())
            await asyncio.sleep(0.05)
        await node.wait_for_value(b"19")
        assert store.request_count - requests_before <= 1.0 / BATCH_SECONDS + 2

    asyncio.run(main())


def test_vms_of_a_region_read_the_store_in_turn() -> None:
    """Guards against a region whose VMs all read a large table at once.

    In a run with random faults (seed 174975597997, 7 violations of the bench's rule
    CONFIG), 36 VMs read 0.6 MB each over the link between regions, and all of the reads
    were too slow. When all VMs read it as soon as their copies were twice the maximum
    age old, the link stayed full and their copies stale.
    """
    addresses = tuple(Address("10.0.0.1", port) for port in range(1, 7))

    def turn(rank: int, *, is_head: bool = False) -> float:
        """Return the age in percent of the maximum from which the store is read."""
        order = SyncSources(
            preferred=addresses[:4],
            fallback=addresses[5:],
            is_data_centre_head=is_head,
            store_rank=rank,
        )
        ages = range(1, 2000)
        return next(a for a in ages if order.may_read_store(age=a, max_age=100))

    assert turn(0) == turn(2, is_head=True) == 1
    turns = [turn(rank) for rank in range(3, 40)]
    assert turns[0] > 100
    gaps = [later - sooner for sooner, later in zip(turns, turns[1:], strict=False)]
    assert min(gaps) >= 25
    order = SyncSources(preferred=addresses[:4], fallback=addresses[5:])
    assert order.sources(with_store=True) == (*addresses[:2], None, *addresses[5:])
    assert order.sources(with_store=False) == (*addresses[:3], *addresses[5:])


def test_vm_reads_the_store_if_all_its_relays_lost_it() -> None:
    """Guards against VMs that miss a change because all relays have lost the store."""

    async def main() -> None:
        disconnected, store = FakeStore(), FakeStore()
        disconnected.put("k", b"1")
        store.put("k", b"1")
        relays = [Node(disconnected, NO_PEERS) for _ in range(3)]
        addresses = tuple([await relay.listen() for relay in relays])
        node = Node(store, SyncSources(preferred=addresses, fallback=()))
        await node.wait_for_value(b"1")
        disconnected.down = True
        store.put("k", b"2")
        await node.wait_for_value(b"2", 2.0)

    asyncio.run(main())


def test_empty_store_is_not_read_in_a_busy_loop() -> None:
    """Guards against a busy loop of reads while the store is still empty.

    In a run without faults, 1,003 of 1,426 store requests were reads of empty tables.
    """

    async def main() -> None:
        store = FakeStore()
        Node(store, NO_PEERS)
        await asyncio.sleep(0.5)
        assert store.request_count <= 4

    asyncio.run(main())


def mirror_of(applied_rows: list[StoredRow]) -> TableMirror:
    return TableMirror(changed=applied_rows.append, restored=lambda old, new: None)


def test_deleted_rows_are_sent_to_a_follower_that_is_behind() -> None:
    """Guards against a follower that keeps a row which was deleted."""
    mirror = mirror_of([])
    first = StoredRow(key="a", value=b"1", version=at(1))
    mirror.apply(TableDelta(rows=(first,), version=at(1), whole=True))
    deleted_row = StoredRow(key="a", value=b"", version=at(2), deleted=True)
    mirror.apply(TableDelta(rows=(deleted_row,), version=at(2)))
    assert mirror.since(at(1)).rows == (deleted_row,)
    assert mirror.since(at(0)) == TableDelta(rows=(), version=at(2), whole=True)


def test_whole_table_deletes_the_rows_it_lacks() -> None:
    """Guards against deleted rows that remain after a read of the whole table."""
    applied_rows: list[StoredRow] = []
    mirror = mirror_of(applied_rows)
    row = StoredRow(key="a", value=b"1", version=at(1))
    mirror.apply(TableDelta(rows=(row,), version=at(1), whole=True))
    mirror.apply(TableDelta(rows=(), version=at(5), whole=True))
    assert applied_rows[-1].deleted
    assert not mirror.apply(TableDelta(rows=(row,), version=at(4)))


def test_rows_that_a_read_of_the_whole_table_skipped_are_deleted_at_followers() -> None:
    """Guards against a row that outlives its deletion at a daemon that is behind.

    The row was written and deleted between two states of the copy that it follows.
    """
    mirror, follower = mirror_of([]), mirror_of([])
    kept = StoredRow(key="a", value=b"1", version=at(1))
    skipped = StoredRow(key="b", value=b"1", version=at(2))
    mirror.apply(TableDelta(rows=(kept,), version=at(1), whole=True))
    mirror.apply(TableDelta(rows=(kept,), version=at(5), whole=True))
    follower.apply(TableDelta(rows=(kept, skipped), version=at(2), whole=True))
    assert follower.apply(mirror.since(follower.version))
    assert follower.since(at(0)).rows == (kept,)
    assert not mirror.since(at(1)).whole
    mirror.apply(TableDelta(rows=(kept,), version=at(9), whole=True))
    assert mirror.since(at(4)).whole
    assert not mirror.since(at(5)).whole
    assert mirror.since(at(8)).whole


def test_replies_round_trip_and_malformed_ones_are_rejected() -> None:
    """Guards against rows that are lost or changed between daemons."""
    row = StoredRow(key="a", value=b"\x00\xff", version=at(7, era=3))
    delta = TableDelta(rows=(row,), version=at(9, era=3), whole=True)
    reply = table_sync.SyncReply(delta=delta, age=float("inf"))
    assert (
        table_sync.decode_reply(table_sync.encode_reply(reply), default_era=0) == reply
    )
    assert (
        table_sync.decode_reply(HttpResponse(status=200, body=b"x"), default_era=0)
        is None
    )
    assert table_sync.decode_reply(HttpResponse(status=404), default_era=0) is None


def test_follower_goes_on_when_the_use_of_a_row_fails() -> None:
    """Guards against a daemon that takes no later row because of a defect in one."""

    async def main() -> None:
        store = FakeStore()
        store.put("k", b"1")
        node = Node(store, NO_PEERS)
        await node.wait_for_value(b"1")
        node.fails_for = b"odd"
        store.put("k", b"odd")
        await asyncio.sleep(1)
        store.put("k", b"2")
        await node.wait_for_value(b"2")
        assert not node.task.done()
        assert b"odd" not in node.applied_values

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main())


class PausingStore(FakeStore):
    """Lets the process stand still once, while a reply waits unread.

    ``ages`` has the age of the copy of ``node`` at each poll.
    """

    def __init__(self, *, pause: float) -> None:
        super().__init__()
        self.pause = pause
        self.node: Node | None = None
        self.ages: list[float] = []

    async def changes(
        self, table: str, *, after: StoreVersion, wait: float
    ) -> TableDelta | HistoryGone | StoreFailed:
        assert self.node is not None
        self.ages.append(self.node.follower.age)
        reply = await super().changes(table, after=after, wait=wait)
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        loop.advance(self.pause)
        self.pause = 0.0
        return reply


def test_copy_is_as_old_as_the_time_for_which_its_reply_waited_unread() -> None:
    """Guards against a daemon that stood still and vouches for an old copy."""

    async def main() -> None:
        store = PausingStore(pause=3.5)
        store.put("k", b"1")
        node = store.node = Node(store, NO_PEERS)
        ticking = asyncio.create_task(node.awake.run())
        while len(store.ages) < 3:
            await asyncio.sleep(0.01)
        # A pause is noticed but for the time of two ticks.
        assert store.ages[1] >= 3.0
        assert store.ages[2] < 0.1
        ticking.cancel()

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main())
