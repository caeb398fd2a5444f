"""A fleet of control planes on an in-memory network and virtual time.

Messages are encoded and decoded as in production. A connection keeps the order of its
messages; different connections may overtake each other. Faults: broken links, delayed
and repeated messages, pauses, kills with and without closed connections, restarts,
partitions between regions, store outages.
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

TICK_SECONDS = 0.05
LOCAL_DELAY_SECONDS, REGION_DELAY_SECONDS = 0.0005, 0.012
# Bytes of a masked and an unmasked websocket header of a short message, averaged.
FRAME_BYTES = 4


def run_without_waiting(coroutine: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine to its end; it may not suspend."""
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise AssertionError("the in-memory store never waits")


class Network(FleetOracle):
    """The fleet; ``run_for`` advances the time, the other methods inject faults."""

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
        self.redeliver_after_reconnect = False
        self._recent_by_pair: dict[tuple[DaemonId, DaemonId], deque[bytes]] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
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

    # Start, stop and pause of daemons.

    def start(self, node: Node) -> None:
        assert node.control is None
        node.incarnation += 1
        node.paused = False
        node.version = 0
        node.inbox.clear()
        node.notices.clear()
        own = MemberRecord(
            id=node.id,
            # Wall clocks of VMs differ; that of a replaced VM may be behind.
            incarnation=int((self.clock.wall() + self.rng.uniform(-5, 5)) * 1000),
            sequence=0,
            region=node.region,
            data_centre=node.data_centre,
            peer_addr=node.id,
            http_addr=node.id.replace(":7", ":8"),
            admin_addr=node.id.replace(":7", ":9"),
        )
        node.control = ControlPlane(
            table=MemberTable(own_record=own),
            versions=VersionedLists(),
            clock=self.clock,
            rng=random.Random(self.rng.random()),
            options=self.options,
            # One seed in each data centre, as in a typical configuration.
            seeds=[str(n.id) for n in self.nodes[:4]],
            store_region=self.store_region,
            store=StoreClient(
                self.store, lambda: not self._is_cut(node.region, self.store_region)
            ),
            send=self._send,
            dial=lambda address: self._dial(node, address),
            close_connection=self._close_locally,
            on_notice=lambda kind, payload, ttl: node.notices.append(payload),
        )
        incarnation = node.incarnation
        phase = self.rng.uniform(0, 0.5)
        self._schedule(phase / 10, lambda: self._tick(node, incarnation))
        self._schedule(phase, lambda: self._store_tasks(node, incarnation))

    def kill(self, node: Node, *, close_connections: bool) -> None:
        """Stop a daemon.

        Without ``close_connections`` its peers do not see that the connections ended.
        """
        node.control = None
        node.inbox.clear()
        # TCP never delivers bytes of one process on a connection of the next process.
        self._recent_by_pair = {
            k: v for k, v in self._recent_by_pair.items() if node.id not in k
        }
        for end in [end for end in self._ends if end.node is node]:
            self._ends.pop(end, None)
            end.open = False
            if close_connections:
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

    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        at = self.clock.now() + delay
        heapq.heappush(self._events, (at, next(self._event_numbers), action))

    def _tick(self, node: Node, incarnation: int) -> None:
        if node.control is None or node.incarnation != incarnation:
            return
        if not node.paused:
            started = time.perf_counter()
            node.control.tick()
            node.busy_seconds += time.perf_counter() - started
            self.check_node(node)
        self._schedule(TICK_SECONDS, lambda: self._tick(node, incarnation))

    def _store_tasks(self, node: Node, incarnation: int) -> None:
        if node.control is None or node.incarnation != incarnation:
            return
        if not node.paused:
            run_without_waiting(node.control.poll_store_once())
            run_without_waiting(node.control.maintain_directory_once())
        self._schedule(0.5, lambda: self._store_tasks(node, incarnation))

    # Transport.

    def _is_cut(self, left: Region, right: Region) -> bool:
        return frozenset((left, right)) in self.cuts

    def _delay(self, left: Node, right: Node) -> float:
        base = (
            LOCAL_DELAY_SECONDS if left.region == right.region else REGION_DELAY_SECONDS
        )
        return base * self.rng.uniform(1.0, 1.5)

    def _dial(self, node: Node, address: str) -> None:
        self.dials += 1
        peer = self.node_by_address[address]
        incarnation = node.incarnation
        if self._is_cut(node.region, peer.region):
            # The attempt gets no response and the control plane lets it time out.
            return
        self._schedule(
            2 * self._delay(node, peer), lambda: self._connect(node, incarnation, peer)
        )

    def _connect(self, node: Node, incarnation: int, peer: Node) -> None:
        if node.control is None or node.incarnation != incarnation:
            return
        if peer.control is None:
            node.control.dial_failed(str(peer.id))
            return
        local_end, remote_end = ConnectionEnd(node), ConnectionEnd(peer)
        local_end.other, remote_end.other = remote_end, local_end
        self._ends |= {local_end: None, remote_end: None}
        self._deliver_to(remote_end, lambda c: c.link_opened(remote_end, None))
        self._deliver_to(local_end, lambda c: c.link_opened(local_end, str(peer.id)))
        if self.redeliver_after_reconnect:
            for left, right in ((local_end, remote_end), (remote_end, local_end)):
                for data in self._recent_by_pair.get((left.node.id, right.node.id), ()):
                    self._schedule(0.2, functools.partial(self._receive, left, data))

    def _send(self, end: ConnectionEnd, message: m.Message) -> None:
        data = m.encode(message)
        name = type(message).__name__
        self.count_by_type[name] += 1
        self.bytes_by_type[name] += len(data) + FRAME_BYTES
        end.node.sent_bytes += len(data) + FRAME_BYTES
        if end.node.region != end.other.node.region:
            self.region_bytes += len(data) + FRAME_BYTES
            self.region_bytes_by_type[name] += len(data) + FRAME_BYTES
        if self.redeliver_after_reconnect and isinstance(message, m.Deltas | m.Members):
            pair = (end.node.id, end.other.node.id)
            self._recent_by_pair.setdefault(pair, deque(maxlen=3)).append(data)
        self._transmit(end, data)

    def _transmit(self, end: ConnectionEnd, data: bytes) -> None:
        delay = self._delay(end.node, end.other.node)
        at = max(self.clock.now() + delay, end.next_delivery)
        end.next_delivery = at
        self._schedule(at - self.clock.now(), lambda: self._receive(end, data))

    def _receive(self, end: ConnectionEnd, data: bytes) -> None:
        if not end.other.open:
            return
        if self._is_cut(end.node.region, end.other.node.region):
            # TCP retransmits: the message arrives late if the connection survives.
            end.next_delivery = self.clock.now() + 0.2
            self._schedule(0.2, lambda: self._receive(end, data))
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
        node, incarnation = end.node, end.node.incarnation

        def act() -> None:
            if node.control is None or node.incarnation != incarnation or not end.open:
                return
            if node.paused:
                node.inbox.append(act)
                return
            started = time.perf_counter()
            action(node.control)
            node.busy_seconds += time.perf_counter() - started
            self.check_node(node)

        act()

    def _close_locally(self, end: ConnectionEnd) -> None:
        end.open = False
        self._ends.pop(end, None)
        # The peer receives everything sent before it sees the connection close.
        at = max(end.next_delivery, self.clock.now()) - self.clock.now()
        self._schedule(at + REGION_DELAY_SECONDS, lambda: self._close(end.other))

    def _close_later(self, end: ConnectionEnd) -> None:
        self._schedule(self.rng.uniform(0, 0.1), lambda: self._close(end))

    def _close(self, end: ConnectionEnd) -> None:
        if not end.open:
            return
        if self._is_cut(end.node.region, end.other.node.region):
            self._schedule(0.2, lambda: self._close(end))
            return

        def closed(control: ControlPlane) -> None:
            end.open = False
            self._ends.pop(end, None)
            control.link_closed(end)

        self._deliver_to(end, closed)
