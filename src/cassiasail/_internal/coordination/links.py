"""Control links of one daemon and their state."""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from ..clock import Clock
from ..ids import NO_VERSION, DaemonId, DataCentre, Version
from ..protocol.messages import ConfigRefused, Hello, Message, StatusReport

# The transport's object for a connection; opaque and hashable here.
Handle = Any


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlOptions:
    """Limits and intervals of the control plane; times in seconds."""

    fan_out: int = 24
    links_per_second: int = 50
    ping_after: float = 1.0
    dead_after: float = 3.0
    flush_interval: float = 0.1
    heartbeat_interval: float = 3.0
    unreachable_after: float = 10.0
    anti_entropy_interval: float = 10.0
    flap_interval: float = 1.0
    status_interval: float = 1.0
    join_wait: float = 1.0
    dial_timeout: float = 3.0
    max_backoff: float = 2.0
    probe_interval: float = 1.0
    # A link that is no part of the tree is closed after this time; a death report
    # and its refutation pass within it.
    peer_link_seconds: float = 2.0
    directory_interval: float = 10.0
    directory_contacts: int = 8


class LinkRole(Enum):
    """What the other end of a link is to this daemon."""

    PEER = "peer"
    PARENT = "parent"
    CHILD = "child"


@dataclass(slots=True, eq=False)
class PeerLink:
    """One connection; ``daemon`` is None until its Hello arrives."""

    handle: Handle
    address: str | None
    opened_at: float
    heard_at: float
    pinged_at: float = 0.0
    daemon: DaemonId | None = None
    data_centre: DataCentre | None = None
    role: LinkRole = LinkRole.PEER
    # What the peer holds or will hold once it has read what was sent to it.
    version: Version = NO_VERSION
    # What the peer has confirmed.
    confirmed: Version = NO_VERSION
    refusal: ConfigRefused | None = None
    report: StatusReport | None = None
    attached: frozenset[DaemonId] = frozenset()
    pulled_at: float = -1e9
    behind_since: float | None = None
    # Record versions the peer sent in the running repair; not sent back to it.
    seen_in_repair: set[tuple[DaemonId, int, int]] = field(default_factory=set)


class Links:
    """The open links by transport handle."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        options: ControlOptions,
        send: Callable[[Handle, Message], None],
        hang_up: Callable[[Handle], None],
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.options = options
        self.link_by_handle: dict[Handle, PeerLink] = {}
        self.parent: PeerLink | None = None
        self._send = send
        self._hang_up = hang_up

    def open(self, handle: Handle, address: str | None) -> PeerLink:
        """Register a new connection; ``address`` is None if the peer opened it."""
        now = self.clock.now()
        link = PeerLink(handle=handle, address=address, opened_at=now, heard_at=now)
        self.link_by_handle[handle] = link
        return link

    def forget(self, handle: Handle) -> PeerLink | None:
        """Remove a connection that is closed; None if it was unknown."""
        link = self.link_by_handle.pop(handle, None)
        if link is not None and link is self.parent:
            self.parent = None
        return link

    def close(self, link: PeerLink) -> None:
        """Close a connection from this end."""
        if self.forget(link.handle) is not None:
            self._hang_up(link.handle)

    def send(self, link: PeerLink, message: Message) -> None:
        """Send on a link that is still open."""
        if link.handle in self.link_by_handle:
            self._send(link.handle, message)

    def ready(self) -> Iterator[PeerLink]:
        """Yield the links whose peer is known."""
        for link in list(self.link_by_handle.values()):
            if link.daemon is not None:
                yield link

    def children(self) -> Iterator[PeerLink]:
        """Yield the links of children in the relay tree."""
        return (link for link in self.ready() if link.role is LinkRole.CHILD)

    def tree(self) -> Iterator[PeerLink]:
        """Yield the links of parent and children."""
        return (link for link in self.ready() if link.role is not LinkRole.PEER)

    def to(self, daemon: DaemonId) -> PeerLink | None:
        """Return a link to ``daemon``, one of the tree first."""
        found = [link for link in self.ready() if link.daemon == daemon]
        found.sort(key=lambda link: link.role is LinkRole.PEER)
        return found[0] if found else None

    def identify(self, link: PeerLink, hello: Hello) -> None:
        """Take over what the first message of the peer says."""
        link.daemon = hello.record.id
        link.data_centre = hello.record.data_centre
        link.version = link.confirmed = hello.version
