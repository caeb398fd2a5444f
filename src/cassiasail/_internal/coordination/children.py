"""Both sides of having no room: children of this daemon, and Busy from others."""

from ..protocol.messages import Attach, Busy
from ..state.members import MemberTable
from . import topology
from .attachment import Attachment
from .dialing import Dialer
from .links import LinkRole, Links, PeerLink
from .suspicion import Suspicion

_FULL_FOR = 5.0  # seconds a full relay is left out


class Children:
    """Accepts, turns away and sheds children in the relay tree."""

    def __init__(
        self,
        *,
        table: MemberTable,
        links: Links,
        dialer: Dialer,
        suspicion: Suspicion,
        attachment: Attachment,
    ) -> None:
        self._table = table
        self._links = links
        self._dialer = dialer
        self._suspicion = suspicion
        self._attachment = attachment

    def receive_busy(self, link: PeerLink, message: Busy) -> None:
        """Come back later, or look for another parent."""
        if message.full and link.daemon is not None:
            self._attachment.parent_is_full(link.daemon, _FULL_FOR)
            if link.role is LinkRole.PARENT:
                link.role = LinkRole.PEER
                self._links.parent = None
            return
        if link.address is None:
            return
        # It is alive, only out of room; the jitter spreads a herd.
        self._dialer.wait(
            link.address,
            message.retry_after_seconds * self._links.rng.uniform(0.5, 1.5),
        )
        for record in self._table.living():
            if record.peer_addr == link.address:
                self._suspicion.clear(record.id)
        # Closed here, so that the loss is not taken for a failed attempt.
        self._links.close(link)

    def receive_attach(self, link: PeerLink, message: Attach) -> None:
        """Take the peer as a child, or let it go."""
        assert link.daemon is not None
        if not message.attached:
            if link.role is LinkRole.CHILD:
                link.role = LinkRole.PEER
                link.opened_at = self._links.clock.now()
            return
        if not self._attachment.may_accept(link.daemon) or self._prefers(link):
            self._links.send(link, Busy(_FULL_FOR, True))
            return
        if link.role is LinkRole.PARENT:
            self._links.parent = None
        for other in list(self._links.children()):
            if other.daemon == link.daemon and other is not link:
                # A half-open connection that the child has already left.
                self._links.close(other)
        link.role = LinkRole.CHILD
        # A child that has lost its own children reports nothing when it returns.
        link.report, link.attached = None, frozenset()
        link.confirmed = min(link.confirmed, link.version)
        self._doubt_head(link)

    def shed_one(self) -> None:
        """Send one leaf elsewhere if there are too many.

        A relay that was accepted beyond the fan-out may have become a leaf since.
        """
        children = list(self._links.children())
        if self._attachment.is_head or len(children) <= self._links.options.fan_out:
            return
        link = max(children, key=lambda child: child.opened_at)
        link.role = LinkRole.PEER
        link.opened_at = self._links.clock.now()
        self._links.send(link, Busy(_FULL_FOR, True))

    def _prefers(self, link: PeerLink) -> bool:
        """Return whether the peer, now the parent, ranks higher than this daemon."""
        if link.role is not LinkRole.PARENT or link.daemon is None:
            return False
        own = topology.rank("head", self._table.own.id)
        return topology.rank("head", link.daemon) > own

    def _doubt_head(self, link: PeerLink) -> None:
        """Probe the head if a child takes this daemon for it."""
        own = self._table.own
        head = self._attachment.tree.head_by_data_centre.get(own.data_centre)
        expected = self._attachment.is_head or own.id in self._attachment.relays
        if link.data_centre == own.data_centre and head and not expected:
            self._suspicion.suspect(head)
