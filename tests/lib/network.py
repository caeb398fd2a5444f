"""A fleet of control planes on an in-memory network and virtual time.

Messages go through the real codecs. Connections keep their order; different
connections overtake each other. Faults: broken links, late and repeated messages,
pauses, kills with and without notice, restarts, region cuts, store outages.
"""

import functools
import heapq
import itertools
import random
import time
from collections import Counter, deque
from collections.abc import Callable, Coroutine
from typing import Any

from cassiasail._internal.coordination.control import ControlPlane
from cassiasail._internal.coordination.links import ControlOptions
from cassiasail._internal.ids import DaemonId, DataCentre, Region
from cassiasail._internal.protocol import messages as m
from cassiasail._internal.state.members import MemberRecord, MemberTable
from cassiasail._internal.state.versions import VersionedLists

from .clocks import VirtualClock
from .fleet_oracle import FleetOracle
from .memory_store import MemoryStore, StoreClient
from .nodes import ConnectionEnd, Node

TICK = 0.05
LOCAL_DELAY, REGION_DELAY = 0.0005, 0.012
# Bytes of a masked and an unmasked websocket header of a short message, averaged.
FRAME_BYTES = 4


def run(task: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine that never has to wait."""
    try:
        task.send(None)
    except StopIteration:
        return
    raise AssertionError("the in-memory store never waits")


class Network(FleetOracle):
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
        self.count_by_type: Counter[str] = Counter()
        self.bytes_by_type: Counter[str] = Counter()
        self.region_bytes = 0
        self.region_bytes_by_type: Counter[str] = Counter()
        self.dials = 0
        self.repeat_after_reconnect = False
        self._recent: dict[tuple[DaemonId, DaemonId], deque[bytes]] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._ends: dict[ConnectionEnd, None] = {}
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
            started = time.perf_counter()
            node.control.tick()
            node.busy_seconds += time.perf_counter() - started
            self.check_node(node)
        self._at(TICK, lambda: self._tick(node, life))

    def _store_tasks(self, node: Node, life: int) -> None:
        if node.control is None or node.incarnation != life:
            return
        if not node.paused:
            run(node.control.poll_store_once())
            run(node.control.maintain_directory_once())
        self._at(0.5, lambda: self._store_tasks(node, life))

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
        mine, theirs = ConnectionEnd(node), ConnectionEnd(target)
        mine.other, theirs.other = theirs, mine
        self._ends |= {mine: None, theirs: None}
        self._deliver_to(theirs, lambda c: c.link_opened(theirs, None))
        self._deliver_to(mine, lambda c: c.link_opened(mine, str(target.id)))
        if self.repeat_after_reconnect:
            for left, right in ((mine, theirs), (theirs, mine)):
                for data in self._recent.get((left.node.id, right.node.id), ()):
                    self._at(0.2, functools.partial(self._arrive, left, data))

    def _send(self, end: ConnectionEnd, message: m.Message) -> None:
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

    def _transmit(self, end: ConnectionEnd, data: bytes) -> None:
        delay = self._delay(end.node, end.other.node)
        at = max(self.clock.now() + delay, end.next_delivery)
        end.next_delivery = at
        self._at(at - self.clock.now(), lambda: self._arrive(end, data))

    def _arrive(self, end: ConnectionEnd, data: bytes) -> None:
        if not end.other.open:
            return
        if self._is_cut(end.node.region, end.other.node.region):
            # TCP sends again: the message arrives late if the link survives.
            end.next_delivery = self.clock.now() + 0.2
            self._at(0.2, lambda: self._arrive(end, data))
            return
        end.other.node.received_bytes += len(data) + FRAME_BYTES
        started = time.perf_counter()
        message = m.decode(data)
        end.other.node.busy_seconds += time.perf_counter() - started
        assert message is not None
        self._deliver_to(end.other, lambda c: c.receive(end.other, message))

    def _deliver_to(
        self, end: ConnectionEnd, action: Callable[[ControlPlane], None]
    ) -> None:
        node, life = end.node, end.node.incarnation

        def act() -> None:
            if node.control is None or node.incarnation != life or not end.open:
                return
            if node.paused:
                node.inbox.append(act)
                return
            started = time.perf_counter()
            action(node.control)
            node.busy_seconds += time.perf_counter() - started
            self.check_node(node)

        act()

    def _hang_up(self, end: ConnectionEnd) -> None:
        end.open = False
        self._ends.pop(end, None)
        # What was sent before arrives before the end of the connection.
        at = max(end.next_delivery, self.clock.now()) - self.clock.now()
        self._at(at + REGION_DELAY, lambda: self._close(end.other))

    def _close_later(self, end: ConnectionEnd) -> None:
        self._at(self.rng.uniform(0, 0.1), lambda: self._close(end))

    def _close(self, end: ConnectionEnd) -> None:
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
