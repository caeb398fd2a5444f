"""The control plane of one daemon: fleet membership and configuration versions.

This module does no network I/O itself. The transport reports connections and
messages and calls ``tick`` about every 50 ms. The control plane acts through the
callbacks ``send``, ``dial`` and ``close_connection``.
"""

import random
from collections.abc import Callable, Sequence

from absl import logging

from .. import invariants, metrics
from ..clock import Clock
from ..ids import Region
from ..protocol.messages import (
    PROTOCOL_VERSION,
    Attach,
    BucketDigests,
    Busy,
    ConfigPull,
    ConfigRefused,
    Deltas,
    HeadHeartbeats,
    Hello,
    MemberDigests,
    MemberPull,
    Members,
    Message,
    Notice,
    Ping,
    Pong,
    SnapshotMessage,
    StatusReport,
    VersionInForce,
)
from ..state.lists import Delta, Snapshot
from ..state.members import Endpoint, MemberTable
from ..state.versions import AppliedVersion, RefusedVersion, VersionedLists
from .attachment import Attachment
from .children import Children
from .dialing import Dialer
from .distribution import VersionDistribution
from .links import ControlOptions, Handle, Links, PeerLink
from .liveness import ConnectionAdmission, Liveness
from .membership import Membership
from .notices import Notices
from .status import FleetStatus, StatusCollector
from .store import Store
from .store_tasks import ContactDirectory, VersionPoller
from .suspicion import Suspicion

# A longer gap between ticks means that this process was paused. It received nothing
# in that time, so the gap must not count against the peers.
_PAUSE_SECONDS = 0.5
_HOUSEKEEPING_INTERVAL = 1.0  # seconds


class ControlPlane:
    """Connects the parts of the control plane and routes messages to them."""

    def __init__(
        self,
        *,
        table: MemberTable,
        versions: VersionedLists,
        clock: Clock,
        rng: random.Random,
        options: ControlOptions,
        seeds: Sequence[str],
        store_region: Region,
        store: Store,
        send: Callable[[Handle, Message], None],
        dial: Callable[[str], None],
        close_connection: Callable[[Handle], None],
        on_notice: Callable[[str, bytes, float], None] = lambda *_: None,
    ) -> None:
        self.table = table
        self.versions = versions
        self.options = options
        self._clock = clock
        self._rng = rng
        self._links = Links(
            clock=clock,
            rng=rng,
            options=options,
            send=send,
            close_connection=close_connection,
        )
        self._dialer = Dialer(links=self._links, dial=dial)
        self._membership = Membership(table=table, links=self._links)
        self._distribution = VersionDistribution(versions=versions, links=self._links)
        self._notices = Notices(links=self._links, on_notice=on_notice)
        self._suspicion = Suspicion(
            membership=self._membership,
            links=self._links,
            dialer=self._dialer,
            on_change=lambda: self._attachment.mark_tree_stale(),
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
        self._status = StatusCollector(
            table=table,
            versions=versions,
            links=self._links,
            attachment=self._attachment,
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
        self._last_tick_at = clock.now()
        self._last_housekeeping_at = clock.now()
        self._next_anti_entropy_at = clock.now() + rng.uniform(
            0, options.anti_entropy_interval
        )
        self._admission = ConnectionAdmission(
            clock=clock, links_per_second=options.links_per_second
        )

    # State for other parts of the daemon.

    @property
    def attachment(self) -> Attachment:
        """This daemon's position in the relay tree."""
        return self._attachment

    @property
    def children(self) -> int:
        """The number of children in the relay tree."""
        return sum(1 for _ in self._links.children())

    def fleet_status(self) -> FleetStatus:
        """Return the state of the fleet as this daemon sees it."""
        return self._status.fleet_status()

    # Called by the daemon.

    def set_endpoints(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Publish the targets beside this daemon in its member record."""
        self._membership.set_endpoints(endpoints)

    def publish_notice(self, *, kind: str, payload: bytes, ttl: float) -> bytes:
        """Send a notice to all daemons, valid for ``ttl`` seconds; return its id."""
        return self._notices.publish(kind=kind, payload=payload, ttl=ttl)

    def apply_offered_version(
        self, item: Delta | Snapshot
    ) -> AppliedVersion | RefusedVersion:
        """Apply a version that the command line sent and forward it to the peers."""
        return self._distribution.apply_and_forward(item)

    def leave(self) -> None:
        """Announce that this daemon shuts down; its links stay open until it exits."""
        self._membership.leave()

    async def poll_store_once(self) -> None:
        """Read newer versions from the store if this daemon is a poller."""
        await self._poller.poll_once()

    async def maintain_directory_once(self) -> None:
        """Write the contacts of the data centre to the store, or read them to join."""
        await self._directory.maintain_once()

    # Called by the transport.

    def link_opened(self, handle: Handle, address: str | None) -> None:
        """Handle a new connection.

        ``address`` is the dialed address, None for an accepted connection.
        """
        link = self._links.add(handle, address)
        if address is not None:
            self._send_hello(link, with_digests=False)
            return
        retry_after = self._admission.admit()
        if retry_after is not None:
            self._links.send(link, Busy(retry_after, False))
            self._links.close(link)

    def link_closed(self, handle: Handle) -> None:
        """Handle a connection that this end did not close."""
        link = self._links.remove(handle)
        if link is not None:
            self._liveness.connection_lost(link)

    def dial_failed(self, address: str) -> None:
        """Handle a connection attempt that failed."""
        self._dialer.record_failure(address)
        own_record = self.table.own_record
        for record in self.table.living(own_record.data_centre):
            # A possible parent in this data centre is suspected even if there was
            # no link to it: the daemons that had one may have crashed with it.
            if record.peer_addr == address and self._attachment.is_parent_candidate(
                record
            ):
                self._suspicion.suspect(record.id)
        self._suspicion.dial_failed(address)

    def receive(self, handle: Handle, message: Message) -> None:
        """Handle one message; a peer must send Hello or Busy before anything else."""
        link = self._links.link_by_handle.get(handle)
        if link is None:
            return
        link.last_received_at = self._clock.now()
        if isinstance(message, Hello):
            self._receive_hello(link, message)
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
            case HeadHeartbeats():
                self._membership.receive_heartbeats(link, message)
            case Deltas():
                self._distribution.receive_deltas(link, message)
            case SnapshotMessage():
                self._distribution.receive_snapshot(link, message)
            case VersionInForce():
                self._distribution.receive_have(link, message)
            case ConfigPull():
                self._distribution.receive_pull(link, message)
            case ConfigRefused():
                self._distribution.receive_refused(link, message)
            case StatusReport():
                self._status.receive(link, message)
            case Attach():
                self._children.receive_attach(link, message)
            case MemberDigests():
                self._membership.receive_digests(link, message)
                self._distribution.repair_versions(link, message.version)
            case BucketDigests():
                self._membership.receive_buckets(link, message)
            case MemberPull():
                self._membership.receive_pull(link, message)
            case Notice():
                self._notices.receive(link, message)

    # Links.

    def _send_hello(self, link: PeerLink, *, with_digests: bool) -> None:
        # Only the accepting end sends digests; the dialing end compares them.
        hello = Hello(
            PROTOCOL_VERSION,
            self.table.own_record,
            self.versions.version,
            self.versions.lists.digest,
            self.table.digests() if with_digests else {},
        )
        self._links.send(link, hello)

    def _receive_hello(self, link: PeerLink, hello: Hello) -> None:
        """Identify the peer and exchange records, versions and notices with it.

        A second Hello on a link, or one from this daemon itself, closes the link.
        """
        if hello.record.id == self.table.own_record.id or link.daemon is not None:
            self._links.close(link)
            return
        self._links.identify(link, hello)
        if link.address is not None:
            self._dialer.record_success(link.address)
        self._suspicion.clear(hello.record.id)
        if link.address is None:
            self._send_hello(link, with_digests=True)
        self._membership.receive_hello(link, hello)
        self._distribution.receive_hello(link, hello)
        self._notices.send_all(link)
        if link.address is not None:
            self._attachment.tick()

    def _on_attached(self, link: PeerLink) -> None:
        """Send status and version to the new parent."""
        self._status.force_full_report()
        self._distribution.parent_attached(link)

    # Time.

    def tick(self) -> None:
        """Run all periodic work that is due."""
        now = self._clock.now()
        gap = now - self._last_tick_at
        self._last_tick_at = now
        if gap > _PAUSE_SECONDS:
            self._skip_pause(gap)
        for address in self._dialer.timed_out():
            self.dial_failed(address)
        self._liveness.check_links()
        self._suspicion.tick()
        self._attachment.tick()
        self._membership.tick(is_head=self._attachment.is_head)
        self._status.tick()
        if now - self._last_housekeeping_at >= _HOUSEKEEPING_INTERVAL:
            self._last_housekeeping_at = now
            self._run_housekeeping()
        if now >= self._next_anti_entropy_at:
            self._start_anti_entropy(now)

    def _skip_pause(self, gap: float) -> None:
        """Exclude a pause of this process from all timeouts for peers."""
        logging.warning("this process was paused for %.1f s", gap)
        self._liveness.skip_pause(gap)
        self._membership.skip_pause(gap)
        self._suspicion.skip_pause(gap)

    def _run_housekeeping(self) -> None:
        """As head, suspect unattached members; shed a child; drop expired state."""
        if self._attachment.is_head:
            self._suspicion.suspect_unattached()
        else:
            self._suspicion.clear_unattached()
        self._children.shed_excess_child()
        self._notices.expire()
        self._membership.expire()
        self._dialer.drop_expired_backoffs()
        limit = 2 * self.options.fan_out
        invariants.check("fan_out", self.children <= limit, str(self.children))

    def _start_anti_entropy(self, now: float) -> None:
        """Compare version and member table with one random member."""
        interval = self.options.anti_entropy_interval
        self._next_anti_entropy_at = now + self._rng.uniform(0.8, 1.2) * interval
        own_record = self.table.own_record
        # Only one comparison in ten goes to another data centre, because its bytes
        # may cross a paid link. With n members that is still n/10 per interval.
        local = self._rng.random() < 0.9
        data_centre = own_record.data_centre if local else None
        candidates = [
            record
            for record in self.table.living(data_centre)
            if record.id != own_record.id
            and record.data_centre not in self.table.unreachable
        ]
        if not candidates:
            return
        record = self._rng.choice(candidates)
        link = self._links.link_to(record.id)
        if link is not None:
            self._membership.send_digests(link, self.versions.version)
        else:
            self._dialer.dial(record.peer_addr)
