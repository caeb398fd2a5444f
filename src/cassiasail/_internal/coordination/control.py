"""The control plane of one daemon: membership and distribution on its links.

No input or output happens here. The transport reports connections and messages and
calls ``tick`` about every 50 ms; the control plane answers through ``send``,
``dial`` and ``hang_up``.
"""

import random
from collections.abc import Callable, Sequence

from absl import logging

from .. import invariants, metrics
from ..clock import Clock
from ..ids import Region
from ..protocol.messages import (
    PROTOCOL,
    Attach,
    BucketDigests,
    Busy,
    Deltas,
    Have,
    Heartbeats,
    Hello,
    MemberDigests,
    MemberPull,
    Members,
    Message,
    Notice,
    Ping,
    Pong,
    Pull,
    Refused,
    SnapshotMessage,
    StatusReport,
)
from ..state.lists import Delta, Snapshot
from ..state.members import Endpoint, MemberTable
from ..state.versions import AppliedVersion, RefusedVersion, VersionedLists
from .attachment import Attachment
from .children import Children
from .dialing import Dialer
from .distribution import Distribution
from .links import ControlOptions, Handle, Links, PeerLink
from .liveness import Admission, Liveness
from .membership import Membership
from .notices import Notices
from .status import FleetStatus, Status
from .store import Store
from .store_tasks import ContactDirectory, VersionPoller
from .suspicion import Suspicion

# A longer gap between ticks means that this process stood still: silence in that
# time is no evidence against the peers.
_PAUSE = 0.5  # seconds
_AUDIT_EVERY = 1.0  # seconds


class ControlPlane:
    """Drives membership and distribution; see the module text."""

    def __init__(
        self,
        *,
        table: MemberTable,
        lists: VersionedLists,
        clock: Clock,
        rng: random.Random,
        options: ControlOptions,
        seeds: Sequence[str],
        store_region: Region,
        store: Store,
        send: Callable[[Handle, Message], None],
        dial: Callable[[str], None],
        hang_up: Callable[[Handle], None],
        on_notice: Callable[[str, bytes, float], None] = lambda *_: None,
    ) -> None:
        self.table = table
        self.lists = lists
        self.options = options
        self._clock = clock
        self._rng = rng
        self._links = Links(
            clock=clock, rng=rng, options=options, send=send, hang_up=hang_up
        )
        self._dialer = Dialer(links=self._links, dial=dial)
        self._membership = Membership(table=table, links=self._links)
        self._distribution = Distribution(lists=lists, links=self._links)
        self._notices = Notices(links=self._links, on_notice=on_notice)
        self._suspicion = Suspicion(
            membership=self._membership,
            links=self._links,
            dialer=self._dialer,
            on_change=lambda: self._attachment.mark_stale(),
        )
        self._attachment = Attachment(
            table=table,
            links=self._links,
            dialer=self._dialer,
            suspicion=self._suspicion,
            seeds=seeds,
            store_region=store_region,
            on_attached=self._on_attached,
        )
        self._children = Children(
            table=table,
            links=self._links,
            dialer=self._dialer,
            suspicion=self._suspicion,
            attachment=self._attachment,
        )
        self._status = Status(
            table=table, lists=lists, links=self._links, attachment=self._attachment
        )
        self._liveness = Liveness(
            links=self._links,
            membership=self._membership,
            suspicion=self._suspicion,
            dial_failed=self.dial_failed,
        )
        self._poller = VersionPoller(
            store=store,
            links=self._links,
            distribution=self._distribution,
            may_poll=self._attachment.may_poll,
        )
        self._directory = ContactDirectory(
            store=store, links=self._links, table=table, attachment=self._attachment
        )
        self._ticked_at = clock.now()
        self._audited_at = clock.now()
        self._compare_at = clock.now() + rng.uniform(0, options.anti_entropy_interval)
        self._admission = Admission(
            clock=clock, links_per_second=options.links_per_second
        )

    # Views.

    @property
    def attachment(self) -> Attachment:
        """The own place in the relay tree."""
        return self._attachment

    @property
    def children(self) -> int:
        """The number of children in the relay tree."""
        return sum(1 for _ in self._links.children())

    def fleet_status(self) -> FleetStatus:
        """Return what this daemon knows about the fleet."""
        return self._status.fleet()

    # From the daemon.

    def set_endpoints(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Announce the targets beside this daemon."""
        self._membership.set_endpoints(endpoints)

    def publish_notice(self, *, kind: str, payload: bytes, ttl: float) -> bytes:
        """Flood an item to all daemons for ``ttl`` seconds; return its id."""
        return self._notices.publish(kind=kind, payload=payload, ttl=ttl)

    def offer(self, item: Delta | Snapshot) -> AppliedVersion | RefusedVersion:
        """Apply and pass on a version handed over by the command line."""
        return self._distribution.offer(item)

    def leave(self) -> None:
        """Announce that this daemon leaves; the links stay until it exits."""
        self._membership.leave()

    async def poll_store_once(self) -> None:
        """Look for a newer version in the store, if this daemon is a poller."""
        await self._poller.poll_once()

    async def maintain_directory_once(self) -> None:
        """Write the contacts of the data centre, or read them in order to join."""
        await self._directory.maintain_once()

    # From the transport.

    def link_opened(self, handle: Handle, address: str | None) -> None:
        """Handle a new connection; ``address`` is what was dialed, None if accepted."""
        link = self._links.open(handle, address)
        if address is not None:
            self._send_hello(link, with_digests=False)
            return
        wait = self._admission.admit()
        if wait is not None:
            self._links.send(link, Busy(wait, False))
            self._links.close(link)

    def link_closed(self, handle: Handle) -> None:
        """Handle a connection that ended without ``hang_up`` of this end."""
        link = self._links.forget(handle)
        if link is not None:
            self._liveness.lost(link)

    def dial_failed(self, address: str) -> None:
        """Handle a connection attempt that failed."""
        self._dialer.failed(address)
        own = self.table.own
        for record in self.table.living(own.data_centre):
            # A parent of the own data centre is suspected even if there was no
            # link to it before: its other observers may have died with it.
            if record.peer_addr == address and self._attachment.is_candidate(record):
                self._suspicion.suspect(record.id)
        self._suspicion.dial_failed(address)

    def receive(self, handle: Handle, message: Message) -> None:
        """Handle one message."""
        link = self._links.link_by_handle.get(handle)
        if link is None:
            return
        link.heard_at = self._clock.now()
        if isinstance(message, Hello):
            self._on_hello(link, message)
        elif isinstance(message, Busy):
            self._children.receive_busy(link, message)
        elif link.daemon is None:
            metrics.MESSAGES_REFUSED.labels("before_hello").inc()
            self._links.close(link)
        else:
            self._dispatch(link, message)

    def _dispatch(self, link: PeerLink, message: Message) -> None:
        match message:
            case Ping():
                self._links.send(link, Pong())
            case Members():
                self._membership.receive_members(link, message)
            case Heartbeats():
                self._membership.receive_heartbeats(link, message)
            case Deltas():
                self._distribution.receive_deltas(link, message)
            case SnapshotMessage():
                self._distribution.receive_snapshot(link, message)
            case Have():
                self._distribution.receive_have(link, message)
            case Pull():
                self._distribution.receive_pull(link, message)
            case Refused():
                self._distribution.receive_refused(link, message)
            case StatusReport():
                self._status.receive(link, message)
            case Attach():
                self._children.receive_attach(link, message)
            case MemberDigests():
                self._membership.receive_digests(link, message)
                self._distribution.compare(link, message.version)
            case BucketDigests():
                self._membership.receive_buckets(link, message)
            case MemberPull():
                self._membership.receive_pull(link, message)
            case Notice():
                self._notices.receive(link, message)

    # Links.

    def _send_hello(self, link: PeerLink, *, with_digests: bool) -> None:
        # Only the accepting end sends digests: the one that dialed compares them.
        hello = Hello(
            PROTOCOL,
            self.table.own,
            self.lists.version,
            self.lists.lists.digest,
            self.table.digests() if with_digests else {},
        )
        self._links.send(link, hello)

    def _on_hello(self, link: PeerLink, hello: Hello) -> None:
        if hello.record.id == self.table.own.id or link.daemon is not None:
            self._links.close(link)
            return
        self._links.identify(link, hello)
        if link.address is not None:
            self._dialer.greeted(link.address)
        self._suspicion.clear(hello.record.id)
        if link.address is None:
            self._send_hello(link, with_digests=True)
        self._membership.greet(link, hello)
        self._distribution.greet(link, hello)
        self._notices.greet(link)
        if link.address is not None:
            self._attachment.tick()

    def _on_attached(self, link: PeerLink) -> None:
        self._status.reset()
        self._distribution.attached(link)

    # Time.

    def tick(self) -> None:
        """Do what is due."""
        now = self._clock.now()
        gap = now - self._ticked_at
        self._ticked_at = now
        if gap > _PAUSE:
            self._skip_pause(gap)
        for address in self._dialer.expired():
            self.dial_failed(address)
        self._liveness.watch()
        self._suspicion.tick()
        self._attachment.tick()
        self._membership.tick(is_head=self._attachment.is_head)
        self._status.tick()
        if now - self._audited_at >= _AUDIT_EVERY:
            self._audited_at = now
            self._housekeeping()
        if now >= self._compare_at:
            self._compare(now)

    def _skip_pause(self, gap: float) -> None:
        logging.warning("this process stood still for %.1f s", gap)
        self._liveness.skip_pause(gap)
        self._membership.skip_pause(gap)
        self._suspicion.skip_pause(gap)

    def _housekeeping(self) -> None:
        if self._attachment.is_head:
            self._suspicion.suspect_unattached()
        else:
            self._suspicion.clear_unattached()
        self._children.shed_one()
        self._notices.expire()
        self._membership.expire()
        self._dialer.forget_old()
        limit = 2 * self.options.fan_out
        invariants.check("fan_out", self.children <= limit, str(self.children))

    def _compare(self, now: float) -> None:
        """Compare version and members with one random member."""
        interval = self.options.anti_entropy_interval
        self._compare_at = now + self._rng.uniform(0.8, 1.2) * interval
        own = self.table.own
        # One comparison in ten leaves the data centre, because its bytes may cross
        # a paid link; with n members that is still n/10 per interval.
        local = self._rng.random() < 0.9
        centre = own.data_centre if local else None
        found = [
            record
            for record in self.table.living(centre)
            if record.id != own.id and record.data_centre not in self.table.unreachable
        ]
        if not found:
            return
        record = self._rng.choice(found)
        link = self._links.to(record.id)
        if link is not None:
            self._membership.send_digests(link, self.lists.version)
        else:
            self._dialer.dial(record.peer_addr)
