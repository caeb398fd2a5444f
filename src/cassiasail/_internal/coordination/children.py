"""Children in the relay tree, and the Busy messages that reject them.

A daemon at its limit rejects a child with Busy. This module sends these messages as the
parent and handles those that other daemons send to this one.
"""

from ..protocol.messages import Attach, Busy
from ..state.members import MemberTable
from . import topology
from .attachment import Attachment
from .dialing import Dialer
from .links import LinkRole, Links, PeerLink
from .suspicion import Suspicion

_FULL_SECONDS = 5.0  # time for which a full daemon is not chosen as the parent


class Children:
    """Accepts, rejects and sheds children in the relay tree."""

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
        """Choose another parent, or retry a rejected connection later."""
        if message.full and link.daemon is not None:
            self._attachment.exclude_full_parent(link.daemon, _FULL_SECONDS)
            if link.role is LinkRole.PARENT:
                link.role = LinkRole.PEER
                self._links.parent = None
            return
        if link.address is None:
            return
        # The peer is alive but has no room. The jitter spreads the retries of many
        # daemons that were rejected at the same time.
        self._dialer.defer(
            link.address,
            message.retry_after_seconds * self._links.rng.uniform(0.5, 1.5),
        )
        for record in self._table.living():
            if record.peer_addr == link.address:
                self._suspicion.clear(record.id)
        # Closed from this end, so that it does not count as a failed attempt.
        self._links.close(link)

    def receive_attach(self, link: PeerLink, message: Attach) -> None:
        """Accept or reject the peer as a child, or remove it from the children."""
        assert link.daemon is not None
        if not message.attached:
            if link.role is LinkRole.CHILD:
                link.role = LinkRole.PEER
                link.opened_at = self._links.clock.now()
            return
        if not self._attachment.may_accept_child(
            link.daemon
        ) or self._outranks_this_daemon(link):
            self._links.send(link, Busy(_FULL_SECONDS, True))
            return
        if link.role is LinkRole.PARENT:
            self._links.parent = None
        for other in list(self._links.children()):
            if other.daemon == link.daemon and other is not link:
                # A half-open connection that the child no longer uses.
                self._links.close(other)
        link.role = LinkRole.CHILD
        # A child that returns without its own children sends no status report, so the
        # report of its earlier connection must not be kept.
        link.status_report, link.attached_children = None, frozenset()
        link.confirmed_version = min(link.confirmed_version, link.expected_version)
        self._suspect_head_if_misdirected(link)

    def shed_excess_child(self) -> None:
        """Reject the newest child if a daemon other than a head exceeds the fan-out.

        A relay that was accepted beyond the fan-out may have become a leaf since.
        """
        children = list(self._links.children())
        if self._attachment.is_head or len(children) <= self._links.options.fan_out:
            return
        link = max(children, key=lambda child: child.opened_at)
        link.role = LinkRole.PEER
        link.opened_at = self._links.clock.now()
        self._links.send(link, Busy(_FULL_SECONDS, True))

    def _outranks_this_daemon(self, link: PeerLink) -> bool:
        """Return whether the peer is the parent and ranks higher than this daemon.

        Of two daemons that attach to each other, the higher-ranked one stays parent.
        """
        if link.role is not LinkRole.PARENT or link.daemon is None:
            return False
        own_rank = topology.rank("head", self._table.own_record.id)
        return topology.rank("head", link.daemon) > own_rank

    def _suspect_head_if_misdirected(self, link: PeerLink) -> None:
        """Suspect the head if a local child attached although this is a leaf.

        In the tree of this daemon, the child should have attached to the head or to a
        relay. The child may have found the head unreachable.
        """
        own_record = self._table.own_record
        head = self._attachment.tree.head_by_data_centre.get(own_record.data_centre)
        may_have_children = (
            self._attachment.is_head or own_record.id in self._attachment.relays
        )
        if (
            link.data_centre == own_record.data_centre
            and head
            and not may_have_children
        ):
            self._suspicion.suspect(head)
