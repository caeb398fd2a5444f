"""Control links to other daemons and the state kept for each of them."""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from ..clock import Clock
from ..ids import NO_VERSION, DaemonId, DataCentre, Version
from ..protocol.messages import ConfigRefused, Hello, Message, StatusReport

# The transport's object for a connection; only hashed and passed back here.
Handle = Any


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlOptions:
    """Limits and intervals of the control plane; times in seconds."""

    # Children of a daemon in the relay tree.
    fan_out: int = 24
    # Connections accepted in any second.
    links_per_second: int = 50
    # Idle times of a link before a ping is sent and before the link is dropped.
    ping_after: float = 1.0
    dead_after: float = 3.0
    # Changed records are collected for this time and sent together.
    flush_interval: float = 0.1
    # Interval of the heartbeats of a data centre, and the time without a heartbeat
    # after which a data centre is unreachable.
    heartbeat_interval: float = 3.0
    unreachable_after: float = 10.0
    anti_entropy_interval: float = 10.0
    # Shortest time between two published changes of targets that are not urgent.
    flap_interval: float = 1.0
    # Shortest time between two status reports.
    status_interval: float = 1.0
    # Time alone after which contacts are read from the directory.
    join_wait: float = 1.0
    dial_timeout: float = 3.0
    max_backoff: float = 2.0
    # Time between two rounds of probing for the other part of a split fleet.
    probe_interval: float = 1.0
    # A link outside the relay tree is closed after this time, which is enough for a
    # tombstone and its refutation.
    peer_link_seconds: float = 2.0
    # Shortest time between two writes of the contacts, and their largest number.
    directory_interval: float = 10.0
    directory_contacts: int = 8


class LinkRole(Enum):
    """Role of the other end of a link in the relay tree; ``PEER`` has none."""

    PEER = "peer"
    PARENT = "parent"
    CHILD = "child"


@dataclass(slots=True, eq=False)
class PeerLink:
    """One connection to another daemon.

    ``address`` is the dialed address, None if the peer opened the connection.
    ``daemon`` and ``data_centre`` are None until the peer's Hello arrives.
    ``opened_at`` is set again when the link leaves the relay tree.
    """

    handle: Handle
    address: str | None
    opened_at: float
    last_received_at: float
    last_ping_at: float = 0.0
    daemon: DaemonId | None = None
    data_centre: DataCentre | None = None
    role: LinkRole = LinkRole.PEER
    # The version of the peer once it has applied everything that was sent to it.
    expected_version: Version = NO_VERSION
    confirmed_version: Version = NO_VERSION
    refusal: ConfigRefused | None = None
    # The last status report of a child, and the children that it listed.
    status_report: StatusReport | None = None
    attached_children: frozenset[DaemonId] = frozenset()
    last_pull_at: float = -1e9
    lagging_since: float | None = None
    # Id, incarnation and sequence of the records that the peer sent during the current
    # repair. They are not sent back.
    seen_in_repair: set[tuple[DaemonId, int, int]] = field(default_factory=set)


class Links:
    """The open links by transport handle, and which of them leads to the parent."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        options: ControlOptions,
        send: Callable[[Handle, Message], None],
        close_connection: Callable[[Handle], None],
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.options = options
        self.link_by_handle: dict[Handle, PeerLink] = {}
        self.parent: PeerLink | None = None
        self._send = send
        self._close_connection = close_connection

    def add(self, handle: Handle, address: str | None) -> PeerLink:
        """Register a new connection; ``address`` is None if the peer opened it."""
        now = self.clock.now()
        link = PeerLink(
            handle=handle, address=address, opened_at=now, last_received_at=now
        )
        self.link_by_handle[handle] = link
        return link

    def remove(self, handle: Handle) -> PeerLink | None:
        """Remove a closed connection and return its link, None if it is unknown."""
        link = self.link_by_handle.pop(handle, None)
        if link is not None and link is self.parent:
            self.parent = None
        return link

    def close(self, link: PeerLink) -> None:
        """Close a connection from this end."""
        if self.remove(link.handle) is not None:
            self._close_connection(link.handle)

    def send(self, link: PeerLink, message: Message) -> None:
        """Send a message unless the link is closed."""
        if link.handle in self.link_by_handle:
            self._send(link.handle, message)

    def identified(self) -> Iterator[PeerLink]:
        """Yield the links whose peer has sent its Hello."""
        for link in list(self.link_by_handle.values()):
            if link.daemon is not None:
                yield link

    def children(self) -> Iterator[PeerLink]:
        """Yield the links to the children in the relay tree."""
        return (link for link in self.identified() if link.role is LinkRole.CHILD)

    def link_to(self, daemon: DaemonId) -> PeerLink | None:
        """Return a link to ``daemon``, preferably one of the relay tree."""
        links = [link for link in self.identified() if link.daemon == daemon]
        links.sort(key=lambda link: link.role is LinkRole.PEER)
        return links[0] if links else None

    def identify(self, link: PeerLink, hello: Hello) -> None:
        """Store id, data centre and version of the peer from its Hello."""
        link.daemon = hello.record.id
        link.data_centre = hello.record.data_centre
        link.expected_version = link.confirmed_version = hello.version
