"""A fleet of control planes on an in-memory network and virtual time.

Messages go through the real codecs. Connections keep their order; different
connections overtake each other. Faults: broken links, late and repeated messages,
pauses, kills with and without notice, restarts, region cuts, store outages.
"""

import functools
import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import dataclass, field
from typing import Any

from cassiasail._internal.coordination.control import ControlPlane
from cassiasail._internal.coordination.links import ControlOptions
from cassiasail._internal.coordination.store import (
    ABSENT,
    Committed,
    Conflict,
    Put,
    StoredRow,
    StoreFailure,
    StoreFailureReason,
)
from cassiasail._internal.ids import DaemonId, DataCentre, EditId, Region, Version
from cassiasail._internal.protocol import messages as m
from cassiasail._internal.state import listcodec
from cassiasail._internal.state.lists import Lists, Snapshot, diff, lists_from_rows
from cassiasail._internal.state.members import MemberRecord, MemberTable
from cassiasail._internal.state.versions import VersionedLists

from .clocks import VirtualClock

TICK = 0.05
LOCAL_DELAY, REGION_DELAY = 0.0005, 0.012
# Bytes of a masked and an unmasked websocket header of a short message, averaged.
FRAME_BYTES = 4


class MemoryStore:
    """Table and objects of the platform, shared by all daemons."""

    def __init__(self) -> None:
        self.rows: dict[str, StoredRow] = {}
        self.objects: dict[str, bytes] = {}
        self.revision = 0
        self.down = False
        self.reads = 0

    def put(self, key: str, value: Any) -> None:
        self.revision += 1
        self.rows[key] = StoredRow(value=value, revision=self.revision)


class StoreClient:
    """The store as one daemon reaches it; a region cut separates it."""

    def __init__(self, store: MemoryStore, reachable: Callable[[], bool]) -> None:
        self._store = store
        self._reachable = reachable

    def _failure(self) -> StoreFailure | None:
        self._store.reads += 1
        if self._store.down or not self._reachable():
            return StoreFailure(reason=StoreFailureReason.TIMEOUT)
        return None

    async def read(self, keys: Any) -> Any:
        return self._failure() or {key: self._store.rows.get(key) for key in keys}

    async def scan(
        self, prefix: str, *, limit: int = 1000, descending: bool = False
    ) -> Any:
        keys = sorted(
            (key for key in self._store.rows if key.startswith(prefix)),
            reverse=descending,
        )
        return self._failure() or {key: self._store.rows[key] for key in keys[:limit]}

    async def transact(self, conditions: Any, writes: Any) -> Any:
        if failure := self._failure():
            return failure
        for item in conditions:
            row = self._store.rows.get(item.key)
            if (row.revision if row else ABSENT) != item.revision:
                return Conflict(rows_by_key={item.key: row})
        for write in writes:
            assert isinstance(write, Put)
            self._store.put(write.key, write.value)
        return Committed(revision=self._store.revision)

    async def get_object(self, name: str) -> Any:
        return self._failure() or self._store.objects.get(name)

    async def put_object(self, name: str, data: bytes) -> Any:
        return self._failure()


@dataclass(eq=False)
class End:
    """One end of a connection; the handle given to the control plane."""

    node: "Node"
    other: "End" = field(init=False)
    open: bool = True
    next_delivery: float = 0.0


@dataclass(eq=False)
class Node:
    """A daemon: its place, and its control plane while it runs."""

    id: DaemonId
    region: Region
    data_centre: DataCentre
    control: ControlPlane | None = None
    paused: bool = False
    incarnation: int = 0
    inbox: deque[Callable[[], None]] = field(default_factory=deque)
    notices: list[bytes] = field(default_factory=list)
    version: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    busy_seconds: float = 0.0


def run(task: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine that never has to wait."""
    try:
        task.send(None)
    except StopIteration:
        return
    raise AssertionError("the in-memory store never waits")


class Network:
    """The fleet; ``run_for`` moves time, the other methods inject faults."""

    def __init__(
        self,
        *,
        seed: int,
        daemons: int,
        centres: tuple[tuple[str, str], ...],
        options: ControlOptions,
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.options = options
        self.store = MemoryStore()
        self.store_region = Region(centres[0][0])
        self.cuts: set[frozenset[Region]] = set()
        self.committed: dict[int, Lists] = {}
        self.bad_versions: set[int] = set()
        self.count_by_type: Counter[str] = Counter()
        self.bytes_by_type: Counter[str] = Counter()
        self.region_bytes = 0
        self.region_bytes_by_type: Counter[str] = Counter()
        self.dials = 0
        self.repeat_after_reconnect = False
        self._recent: dict[tuple[DaemonId, DaemonId], deque[bytes]] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._ends: dict[End, None] = {}
        self.nodes = [
            Node(
                id=DaemonId(f"10.0.{i // 250}.{i % 250}:7000"),
                region=Region(centres[i % len(centres)][0]),
                data_centre=DataCentre(centres[i % len(centres)][1]),
            )
            for i in range(daemons)
        ]
        self.centre_count = len(centres)
        self.node_by_address = {str(node.id): node for node in self.nodes}

    # Life of daemons.

    @property
    def running(self) -> list[Node]:
        return [node for node in self.nodes if node.control is not None]

    def start(self, node: Node) -> None:
        assert node.control is None
        node.incarnation += 1
        node.paused = False
        node.version = 0
        node.inbox.clear()
        node.notices.clear()
        own = MemberRecord(
            id=node.id,
            # Wall clocks of VMs differ, and a replaced VM may be behind.
            incarnation=int((self.clock.wall() + self.rng.uniform(-5, 5)) * 1000),
            sequence=0,
            region=node.region,
            data_centre=node.data_centre,
            peer_addr=node.id,
            http_addr=node.id.replace(":7", ":8"),
            admin_addr=node.id.replace(":7", ":9"),
        )
        node.control = ControlPlane(
            table=MemberTable(own=own),
            lists=VersionedLists(),
            clock=self.clock,
            rng=random.Random(self.rng.random()),
            options=self.options,
            # One seed in each data centre, as an operator would configure.
            seeds=[str(n.id) for n in self.nodes[:4]],
            store_region=self.store_region,
            store=StoreClient(
                self.store, lambda: not self._is_cut(node.region, self.store_region)
            ),
            send=self._send,
            dial=lambda address: self._dial(node, address),
            hang_up=self._hang_up,
            on_notice=lambda kind, payload, ttl: node.notices.append(payload),
        )
        life = node.incarnation
        phase = self.rng.uniform(0, 0.5)
        self._at(phase / 10, lambda: self._tick(node, life))
        self._at(phase, lambda: self._store_tasks(node, life))

    def kill(self, node: Node, *, notice: bool) -> None:
        """Stop a daemon; with ``notice`` its peers see the connections close."""
        node.control = None
        node.inbox.clear()
        # TCP never carries bytes of one process into a connection of its successor.
        self._recent = {k: v for k, v in self._recent.items() if node.id not in k}
        for end in [end for end in self._ends if end.node is node]:
            self._ends.pop(end, None)
            end.open = False
            if notice:
                self._close_later(end.other)

    def pause(self, node: Node) -> None:
        node.paused = True

    def resume(self, node: Node) -> None:
        node.paused = False
        waiting, node.inbox = node.inbox, deque()
        for action in waiting:
            action()

    # Faults of links and store.

    def break_links(self, share: float) -> None:
        for end in list(self._ends):
            if end.open and self.rng.random() < share / 2:
                self._close_later(end)
                self._close_later(end.other)

    def cut(self, left: str, right: str) -> None:
        self.cuts.add(frozenset((Region(left), Region(right))))

    def heal(self) -> None:
        self.cuts.clear()
        self.store.down = False
        for node in self.running:
            if node.paused:
                self.resume(node)

    def commit(self, *, fault: str = "") -> int:
        """Commit the next version; ``fault`` makes it a bad one."""
        version = max(self.committed, default=0) + 1
        # Version 0 holds the lists that a bench starts from, if any.
        good = max((v for v in self.committed if v not in self.bad_versions), default=0)
        old = self.committed.get(version - 1, Lists())
        rows = dict(self.committed.get(good, Lists()).rows_by_key)
        rows["plan/basic"] = {}
        rows[f"customer/c{self.rng.randrange(40)}"] = {
            "plan": "basic",
            "contact": f"desk {version}",
        }
        if fault == "content":
            rows["customer/lost"] = {"plan": "undefined", "contact": ""}
        new = lists_from_rows(rows)
        delta = diff(old, new, base=Version(version - 1), version=Version(version))
        snapshot = Snapshot(
            version=Version(version), digest=new.digest, rows_by_key=rows
        )
        edit = f"edit-{version}"
        objects = {
            listcodec.delta_name(edit): listcodec.encode_delta(delta),
            listcodec.snapshot_name(edit): listcodec.encode_snapshot(snapshot),
        }
        if fault == "damaged":
            objects = {name: data[:-3] for name, data in objects.items()}
        if fault != "missing":
            self.store.objects.update(objects)
        head = listcodec.HeadRow(
            version=Version(version),
            digest=new.digest + (fault == "digest"),
            edit_id=EditId(edit),
            snapshot=listcodec.snapshot_name(edit),
            delta=listcodec.delta_name(edit),
        )
        value = listcodec.encode_head(head) if fault != "row" else {"version": "x"}
        self.store.put(listcodec.HEAD_KEY, value)
        self.store.put(listcodec.version_key(version), value)
        self.committed[version] = new
        if fault:
            self.bad_versions.add(version)
        return version

    @property
    def newest(self) -> int:
        """The newest version that may come into force."""
        return max((v for v in self.committed if v not in self.bad_versions), default=0)

    # Time.

    def run_for(self, seconds: float) -> None:
        end = self.clock.now() + seconds
        while self._events and self._events[0][0] <= end:
            at, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at - self.clock.now()))
            action()
        self.clock.advance(max(0.0, end - self.clock.now()))

    def _at(self, delay: float, action: Callable[[], None]) -> None:
        at = self.clock.now() + delay
        heapq.heappush(self._events, (at, next(self._order), action))

    def _tick(self, node: Node, life: int) -> None:
        if node.control is None or node.incarnation != life:
            return
        if not node.paused:
            node.control.tick()
            self.check_node(node)
        self._at(TICK, lambda: self._tick(node, life))

    def _store_tasks(self, node: Node, life: int) -> None:
        if node.control is None or node.incarnation != life:
            return
        if not node.paused:
            run(node.control.poll_store_once())
            run(node.control.maintain_directory_once())
        self._at(0.5, lambda: self._store_tasks(node, life))

    # The oracle for one daemon.

    def check_node(self, node: Node) -> None:
        """Versions never fall; only whole committed versions are in force."""
        assert node.control is not None
        lists = node.control.lists
        assert lists.version >= node.version, f"{node.id} went back"
        node.version = lists.version
        if lists.version == 0:
            return
        assert lists.version not in self.bad_versions, f"{node.id} took a bad version"
        expected = self.committed[lists.version]
        assert lists.lists.digest == expected.digest
        assert lists.table.version == lists.version

    # Transport.

    def _is_cut(self, left: Region, right: Region) -> bool:
        return frozenset((left, right)) in self.cuts

    def _delay(self, left: Node, right: Node) -> float:
        base = LOCAL_DELAY if left.region == right.region else REGION_DELAY
        return base * self.rng.uniform(1.0, 1.5)

    def _dial(self, node: Node, address: str) -> None:
        self.dials += 1
        target = self.node_by_address[address]
        life = node.incarnation
        if self._is_cut(node.region, target.region):
            # The connection attempt gets no answer; the control plane times it out.
            return
        self._at(
            2 * self._delay(node, target), lambda: self._connect(node, life, target)
        )

    def _connect(self, node: Node, life: int, target: Node) -> None:
        if node.control is None or node.incarnation != life:
            return
        if target.control is None:
            node.control.dial_failed(str(target.id))
            return
        mine, theirs = End(node), End(target)
        mine.other, theirs.other = theirs, mine
        self._ends |= {mine: None, theirs: None}
        self._deliver_to(theirs, lambda c: c.link_opened(theirs, None))
        self._deliver_to(mine, lambda c: c.link_opened(mine, str(target.id)))
        if self.repeat_after_reconnect:
            for left, right in ((mine, theirs), (theirs, mine)):
                for data in self._recent.get((left.node.id, right.node.id), ()):
                    self._at(0.2, functools.partial(self._arrive, left, data))

    def _send(self, end: End, message: m.Message) -> None:
        data = m.encode(message)
        name = type(message).__name__
        self.count_by_type[name] += 1
        self.bytes_by_type[name] += len(data) + FRAME_BYTES
        end.node.sent_bytes += len(data) + FRAME_BYTES
        if end.node.region != end.other.node.region:
            self.region_bytes += len(data) + FRAME_BYTES
            self.region_bytes_by_type[name] += len(data) + FRAME_BYTES
        if self.repeat_after_reconnect and isinstance(message, m.Deltas | m.Members):
            pair = (end.node.id, end.other.node.id)
            self._recent.setdefault(pair, deque(maxlen=3)).append(data)
        self._transmit(end, data)

    def _transmit(self, end: End, data: bytes) -> None:
        delay = self._delay(end.node, end.other.node)
        at = max(self.clock.now() + delay, end.next_delivery)
        end.next_delivery = at
        self._at(at - self.clock.now(), lambda: self._arrive(end, data))

    def _arrive(self, end: End, data: bytes) -> None:
        if not end.other.open:
            return
        if self._is_cut(end.node.region, end.other.node.region):
            # TCP sends again: the message arrives late if the link survives.
            end.next_delivery = self.clock.now() + 0.2
            self._at(0.2, lambda: self._arrive(end, data))
            return
        end.other.node.received_bytes += len(data) + FRAME_BYTES
        message = m.decode(data)
        assert message is not None
        self._deliver_to(end.other, lambda c: c.receive(end.other, message))

    def _deliver_to(self, end: End, action: Callable[[ControlPlane], None]) -> None:
        node, life = end.node, end.node.incarnation

        def act() -> None:
            if node.control is None or node.incarnation != life or not end.open:
                return
            if node.paused:
                node.inbox.append(act)
                return
            action(node.control)
            self.check_node(node)

        act()

    def _hang_up(self, end: End) -> None:
        end.open = False
        self._ends.pop(end, None)
        # What was sent before arrives before the end of the connection.
        at = max(end.next_delivery, self.clock.now()) - self.clock.now()
        self._at(at + REGION_DELAY, lambda: self._close(end.other))

    def _close_later(self, end: End) -> None:
        self._at(self.rng.uniform(0, 0.1), lambda: self._close(end))

    def _close(self, end: End) -> None:
        if not end.open:
            return
        if self._is_cut(end.node.region, end.other.node.region):
            self._at(0.2, lambda: self._close(end))
            return

        def closed(control: ControlPlane) -> None:
            end.open = False
            self._ends.pop(end, None)
            control.link_closed(end)

        self._deliver_to(end, closed)

    # The oracle for the fleet.

    def version_faults(self) -> Iterator[str]:
        """Yield the daemons that do not hold the newest good version."""
        for node in self.running:
            assert node.control is not None
            if node.control.lists.version != self.newest:
                yield f"{node.id} holds {node.control.lists.version}"

    def disagreements(self) -> list[str]:
        """Return what keeps the fleet from being converged."""
        found = list(self.version_faults())
        running = {node.id: node for node in self.running}
        own = {n.id: n.control.table.own for n in running.values() if n.control}
        for node in running.values():
            assert node.control is not None
            seen = {r.id: r for r in node.control.table.reachable()}
            for daemon in seen.keys() - own.keys():
                found.append(f"{node.id} believes in {daemon}")
            for daemon, record in own.items():
                if seen.get(daemon) != record:
                    held = node.control.table.get(daemon)
                    found.append(f"{node.id} lacks {record} and holds {held}")
        return found

    def check_tree(self) -> None:
        """The relay tree is connected and no daemon exceeds the fan-out."""
        parents = {}
        for node in self.running:
            assert node.control is not None
            status = node.control.fleet_status()
            # Other heads come on top of the relays below a head.
            heads = self.centre_count if node.control.attachment.is_head else 0
            assert status.children <= self.options.fan_out + heads, f"{status}"
            for centre, counts in status.count_by_version.items():
                assert set(counts) == {self.newest}, f"{node.id} {centre} {counts}"
            parents[node.id] = status.parent
        roots = [daemon for daemon, parent in parents.items() if parent is None]
        assert len(roots) == 1, f"roots: {roots}"
        root = self.node_by_address[str(roots[0])].control
        assert root is not None
        counted = root.fleet_status().count_by_version.values()
        assert sum(sum(c.values()) for c in counted) == len(self.running)
        for daemon in parents:
            at: DaemonId | None = daemon
            for _ in range(8):
                at = parents.get(at) if at else None
            assert at is None, f"{daemon} is in a cycle"

    def settle(self, limit: float, *, versions: float = 8.0) -> tuple[float, float]:
        """Run until converged; return the seconds for versions and for members.

        Fails if versions take longer than ``versions`` or anything than ``limit``.
        """
        started = self.clock.now()
        versions_at: float | None = None
        while True:
            elapsed = self.clock.now() - started
            if versions_at is None and not any(self.version_faults()):
                versions_at = elapsed
            found = self.disagreements()
            if not found:
                return versions_at or 0.0, elapsed
            late = versions_at is None and elapsed > versions
            if elapsed > limit or late:
                raise AssertionError(f"after {elapsed:.1f} s: {'; '.join(found[:10])}")
            self.run_for(0.1)
