"""Following a table through the store and through other daemons."""

import asyncio
from collections.abc import Sequence
from random import Random

from cassiasail._internal.coordination.mesh.following import (
    GATHER_SECONDS,
    FollowTimes,
    PeerOrder,
    TableFollower,
)
from cassiasail._internal.coordination.mesh.shared_tables import (
    ConditionalWrite,
    HistoryGone,
    StoreFailed,
    WriteConflict,
    WriteDone,
)
from cassiasail._internal.protocol import table_sync
from cassiasail._internal.protocol.exchanges import Address
from cassiasail._internal.protocol.http1 import HttpRequest, HttpResponse
from cassiasail._internal.state.mesh_config import ClientLimits
from cassiasail._internal.state.table_mirror import (
    StoredRow,
    TableDelta,
    TableMirror,
)
from cassiasail._internal.transport.http1.pool import ConnectionPool
from cassiasail._internal.transport.http1.server import HttpServer
from tests.lib.events import silent_events

TIMES = FollowTimes(wait=0.2, max_age=0.5)
FAILED = StoreFailed(reason="down", may_have_happened=False)


class FakeStore:
    """A table in memory; ``down`` and ``stale`` make its answers fail or lag."""

    def __init__(self) -> None:
        self.row_by_key: dict[str, StoredRow] = {}
        self.version = 0
        self.forgotten = 0
        self.down = False
        self.silent = False
        self.delay = 0.0
        self.stale: TableDelta | None = None
        self.calls = 0

    def put(self, key: str, value: bytes) -> None:
        self.version += 1
        self.row_by_key[key] = StoredRow(key=key, value=value, version=self.version)

    def forget_history(self) -> None:
        self.forgotten = self.version

    async def read(self, table: str) -> TableDelta | StoreFailed:
        self.calls += 1
        await asyncio.sleep(self.delay)
        if self.silent:
            await asyncio.sleep(1)
            return FAILED
        if self.down:
            return FAILED
        if self.stale is not None:
            return self.stale
        rows = tuple(self.row_by_key.values())
        return TableDelta(rows=rows, version=self.version, whole=True)

    async def changes(
        self, table: str, *, after: int, wait: float
    ) -> TableDelta | HistoryGone | StoreFailed:
        self.calls += 1
        ends = asyncio.get_running_loop().time() + wait
        while True:
            if self.down:
                return FAILED
            if after < self.forgotten:
                return HistoryGone()
            rows = tuple(row for row in self.row_by_key.values() if row.version > after)
            if rows or asyncio.get_running_loop().time() >= ends:
                return TableDelta(rows=rows, version=self.version)
            await asyncio.sleep(0.005)

    async def write(
        self, table: str, writes: Sequence[ConditionalWrite]
    ) -> WriteDone | WriteConflict | StoreFailed:
        raise NotImplementedError


class Node:
    """One daemon that follows the table and serves it on."""

    def __init__(
        self, store: FakeStore, order: PeerOrder, times: FollowTimes = TIMES
    ) -> None:
        self.value_by_key: dict[str, bytes] = {}
        self.seen: list[bytes] = []
        self.order = order
        self.follower = TableFollower(
            tables=store,
            table="t",
            pool=ConnectionPool(connect_timeout=0.2, ack_timeout=1, idle_timeout=10),
            times=times,
            peers=lambda: self.order,
            changed=self._changed,
            unreachable=lambda address: None,
            events=silent_events(),
            random=Random(1),
        )
        self.server = HttpServer(handler=self._serve, limits=ClientLimits)
        self.task = asyncio.create_task(self.follower.run())

    def _changed(self, row: StoredRow) -> None:
        self.seen.append(row.value)
        self.value_by_key[row.key] = row.value

    async def _serve(self, request: HttpRequest) -> HttpResponse:
        query = table_sync.decode_query(request)
        assert query is not None
        return table_sync.encode_reply(await self.follower.serve(query))

    async def listen(self) -> Address:
        await self.server.start("127.0.0.1", 0)
        assert self.server._server is not None
        return Address("127.0.0.1", self.server._server.sockets[0].getsockname()[1])

    async def until(self, value: bytes, seconds: float = 2.0) -> None:
        async with asyncio.timeout(seconds):
            while self.value_by_key.get("k") != value:
                await asyncio.sleep(0.005)


ALONE = PeerOrder(before=(), behind=())


def test_a_follower_of_a_relay_makes_no_call_to_the_store() -> None:
    """Guards against store calls that grow with the fleet."""

    async def main() -> None:
        store, idle = FakeStore(), FakeStore()
        store.put("k", b"1")
        relay = Node(store, ALONE)
        address = await relay.listen()
        follower = Node(idle, PeerOrder(before=(address,), behind=()))
        await relay.until(b"1")
        await follower.until(b"1")
        store.put("k", b"2")
        await follower.until(b"2")
        assert idle.calls <= 1

    asyncio.run(main())


def test_a_follower_leaves_a_relay_that_lost_the_store() -> None:
    """Guards against a data centre that falls behind together with its relay."""

    async def main() -> None:
        store, cut = FakeStore(), FakeStore()
        store.put("k", b"1")
        cut.put("k", b"1")
        relay = Node(cut, ALONE)
        address = await relay.listen()
        await relay.until(b"1")
        follower = Node(store, PeerOrder(before=(address,), behind=()))
        await follower.until(b"1")
        cut.down = True
        store.put("k", b"2")
        await follower.until(b"2", 1.0)

    asyncio.run(main())


def test_a_daemon_that_the_store_turns_away_asks_another() -> None:
    """Guards against a daemon left behind by a store that refuses it alone."""

    async def main() -> None:
        store, refusing = FakeStore(), FakeStore()
        store.put("k", b"1")
        refusing.down = True
        other = Node(store, ALONE)
        address = await other.listen()
        await other.until(b"1")
        refused = Node(refusing, PeerOrder(before=(), behind=(address,)))
        await refused.until(b"1")

    asyncio.run(main())


def test_silent_sources_are_asked_together() -> None:
    """Guards against time-outs of silent sources that add up.

    Seen on censo-viv-grown trouble-1: the store and the relay were silent one after
    the other, and a configuration came 4 s late.
    """

    async def main() -> None:
        store, silent = FakeStore(), FakeStore()
        silent.silent = True
        store.put("k", b"1")

        async def never(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(30)

        server = await asyncio.start_server(never, "127.0.0.1", 0)
        dead = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        other = Node(store, ALONE)
        address = await other.listen()
        await other.until(b"1")
        node = Node(silent, PeerOrder(before=(dead, dead), behind=(dead, address)))
        await node.until(b"1", 1.3)

    asyncio.run(main())


def test_followers_wait_for_a_relay_that_starts() -> None:
    """Guards against a whole data centre that reads the store after a power loss."""

    async def main() -> None:
        slow, store = FakeStore(), FakeStore()
        slow.put("k", b"1")
        slow.delay = 0.15
        store.put("k", b"1")
        relay = Node(slow, ALONE)
        address = await relay.listen()
        follower = Node(store, PeerOrder(before=(address,), behind=()))
        await follower.until(b"1")
        assert store.calls == 0

    asyncio.run(main())


def test_a_relay_that_starts_late_holds_up_nobody() -> None:
    """Guards against a first question that one starting daemon holds.

    Seen on ettpu-forecast trouble-1: after the power loss one daemon took its
    configuration 1.07 s late, because it had asked a relay that was starting itself.
    """

    async def main() -> None:
        late, store, unused = FakeStore(), FakeStore(), FakeStore()
        late.delay = 5.0
        store.put("k", b"1")
        times = FollowTimes(wait=2.0, max_age=3.0)
        first = await Node(late, ALONE).listen()
        relay = Node(store, PeerOrder(before=(first,), behind=()), times)
        second = await relay.listen()
        follower = Node(unused, PeerOrder(before=(first, second), behind=()), times)
        await relay.until(b"1", 1.0)
        await follower.until(b"1", 0.5)
        assert unused.calls == 0

    asyncio.run(main())


def test_a_silent_source_does_not_delay_one_that_answers() -> None:
    """Guards against a recovery that always takes as long as its slowest source."""

    async def main() -> None:
        store, silent = FakeStore(), FakeStore()
        store.put("k", b"1")
        silent.silent = True
        other = Node(store, ALONE)
        address = await other.listen()
        await other.until(b"1")
        node = Node(silent, PeerOrder(before=(), behind=(address,)))
        assert await node.follower._ask_together((None, address), wait=0.0)
        await node.until(b"1", 0.3)

    asyncio.run(main())


def test_lost_history_is_read_anew() -> None:
    """Guards against changes that are missed where the store forgot them."""

    async def main() -> None:
        store = FakeStore()
        store.put("k", b"1")
        node = Node(store, ALONE)
        await node.until(b"1")
        store.put("k", b"2")
        store.put("k", b"3")
        store.forget_history()
        await node.until(b"3")

    asyncio.run(main())


def test_an_answer_from_the_past_changes_nothing() -> None:
    """Guards against a daemon that goes back to an older row."""

    async def main() -> None:
        store = FakeStore()
        store.put("k", b"old")
        past = await store.read("t")
        assert isinstance(past, TableDelta)
        store.put("k", b"new")
        node = Node(store, ALONE)
        await node.until(b"new")
        store.stale = past
        store.forget_history()
        store.version += 1
        store.forgotten = store.version
        await asyncio.sleep(0.3)
        assert node.value_by_key["k"] == b"new"
        assert node.seen == [b"new"]

    asyncio.run(main())


def test_changes_in_quick_succession_are_read_together() -> None:
    """Guards against a call to the store for each of many changes."""

    async def main() -> None:
        store = FakeStore()
        store.put("k", b"0")
        node = Node(store, ALONE)
        await node.until(b"0")
        before = store.calls
        for number in range(20):
            store.put("k", str(number).encode())
            await asyncio.sleep(0.05)
        await node.until(b"19")
        assert store.calls - before <= 1.0 / GATHER_SECONDS + 2

    asyncio.run(main())


def test_most_vms_leave_the_store_to_the_first_ones() -> None:
    """Guards against a whole data centre that reads a large table at once.

    Seen in a hunt on ettpu-forecast-grown (trouble-2, seed 174975597997: CONFIG 7): 36
    VMs asked for 0.6 MB each over the link between regions, all too slowly.
    """
    addresses = tuple(Address("10.0.0.1", port) for port in range(1, 7))
    for place in range(5):
        order = PeerOrder(before=addresses[:place], behind=addresses[5:])
        assert (None in order.sources(stale=False)) == (place < 3)
        assert None in order.sources(stale=True)
    assert order.sources(stale=False) == (*addresses[:3], *addresses[5:])


def test_a_vm_whose_relays_all_lost_the_store_asks_it_in_the_end() -> None:
    """Guards against VMs that never hear of a change because the first ones are cut."""

    async def main() -> None:
        cut, store = FakeStore(), FakeStore()
        cut.put("k", b"1")
        store.put("k", b"1")
        relays = [Node(cut, ALONE) for _ in range(3)]
        addresses = tuple([await relay.listen() for relay in relays])
        node = Node(store, PeerOrder(before=addresses, behind=()))
        await node.until(b"1")
        cut.down = True
        store.put("k", b"2")
        await node.until(b"2", 2.0)

    asyncio.run(main())


def test_an_empty_store_is_read_once() -> None:
    """Guards against a busy loop of reads while the store is still empty.

    Seen on ettpu-forecast quiet-1: 1,003 of 1,426 calls were reads of empty tables.
    """

    async def main() -> None:
        store = FakeStore()
        Node(store, ALONE)
        await asyncio.sleep(0.5)
        assert store.calls <= 4

    asyncio.run(main())


def test_deleted_rows_reach_a_late_follower() -> None:
    """Guards against a row that a follower keeps although it is gone."""
    mirror = TableMirror(changed=lambda row: None)
    first = StoredRow(key="a", value=b"1", version=1)
    mirror.apply(TableDelta(rows=(first,), version=1, whole=True))
    gone = StoredRow(key="a", value=b"", version=2, deleted=True)
    mirror.apply(TableDelta(rows=(gone,), version=2))
    assert mirror.since(1).rows == (gone,)
    assert mirror.since(0) == TableDelta(rows=(), version=2, whole=True)


def test_a_whole_table_drops_what_it_does_not_name() -> None:
    """Guards against rows that outlive a full read."""
    seen: list[StoredRow] = []
    mirror = TableMirror(changed=seen.append)
    row = StoredRow(key="a", value=b"1", version=1)
    mirror.apply(TableDelta(rows=(row,), version=1, whole=True))
    mirror.apply(TableDelta(rows=(), version=5, whole=True))
    assert seen[-1].deleted
    assert not mirror.apply(TableDelta(rows=(row,), version=4))


def test_tables_travel_whole_and_malformed_ones_are_refused() -> None:
    """Guards against rows that are lost or made up between daemons."""
    row = StoredRow(key="a", value=b"\x00\xff", version=7)
    delta = TableDelta(rows=(row,), version=9, whole=True)
    reply = table_sync.SyncReply(delta=delta, age=float("inf"))
    assert table_sync.decode_reply(table_sync.encode_reply(reply)) == reply
    assert table_sync.decode_reply(HttpResponse(status=200, body=b"x")) is None
    assert table_sync.decode_reply(HttpResponse(status=404)) is None
