"""Exchange of member records and data centre heartbeats with the peers.

Changed records and heartbeats are sent in batches on every link except the one they
arrived on. A repair compares digests, first per data centre, then per bucket, so its
cost in bytes grows with the number of differences and not with the fleet.
"""

from collections.abc import Mapping

from absl import logging

from ..ids import DaemonId, DataCentre, Version
from ..protocol.messages import (
    BucketDigests,
    HeadHeartbeats,
    Hello,
    MemberDigests,
    MemberPull,
    Members,
    Message,
)
from ..state.members import (
    BUCKET_COUNT,
    Endpoint,
    EndpointState,
    MemberRecord,
    MemberState,
    MemberTable,
    MergeOutcome,
)
from .links import Links, PeerLink

# A record takes about 60 us to decode and merge. The event loop handles no calls while
# it handles a message, so the number of records in one message is limited.
RECORDS_PER_MESSAGE = 128


class Membership:
    """Keeps ``table`` up to date with the peers, and the peers with ``table``."""

    def __init__(self, *, table: MemberTable, links: Links) -> None:
        self.table = table
        self._links = links
        self._options = links.options
        self._clock = links.clock
        # What the next flush sends, with the link it arrived on; None if this daemon
        # made the change.
        self._source_by_changed_member: dict[DaemonId, PeerLink | None] = {}
        self._counter_by_data_centre: dict[DataCentre, int] = {}
        self._heartbeat_at_by_data_centre: dict[DataCentre, float] = {}
        self._heartbeat_source_by_data_centre: dict[DataCentre, PeerLink | None] = {}
        self._flushed_at = self._clock.now()
        self._last_heartbeat_interval = 0
        self._pending_endpoints: tuple[Endpoint, ...] | None = None
        self._endpoints_changed_at = -1e9

    # The record of this daemon.

    def set_endpoints(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Publish the targets beside this daemon in its record.

        A target that drains or is removed is published at once. Other changes are
        published at most once per ``flap_interval``, so that a flapping target cannot
        flood the fleet.
        """
        self._pending_endpoints = endpoints
        urgent = _drains_or_removes_target(self.table.own_record.endpoints, endpoints)
        self._apply_pending_endpoints(urgent=urgent)
        if urgent:
            self.flush()

    def leave(self) -> None:
        """Publish at once that this daemon accepts no new calls."""
        if self.table.own_record.state is MemberState.ALIVE:
            self._queue_record(
                self.table.update_own(state=MemberState.LEAVING), source=None
            )
            self.flush()

    def _apply_pending_endpoints(self, *, urgent: bool = False) -> None:
        """Publish pending targets unless others were published just before."""
        pending = self._pending_endpoints
        if pending is None:
            return
        now = self._clock.now()
        is_recent = now - self._endpoints_changed_at < self._options.flap_interval
        if is_recent and not urgent:
            return
        self._pending_endpoints = None
        if pending == self.table.own_record.endpoints:
            return
        self._endpoints_changed_at = now
        self._queue_record(self.table.update_own(endpoints=pending), source=None)

    # Links.

    def receive_hello(self, link: PeerLink, hello: Hello) -> None:
        """Merge the peer's record; the dialing end also starts a repair."""
        record = hello.record
        outcome = self._merge(link, record)
        known_record = self.table.get(record.id)
        if outcome is MergeOutcome.STALE and known_record is not None:
            # The peer's record is outdated here, for example because the peer was
            # declared dead. The peer refutes the record that it receives.
            self._links.send(link, Members((known_record,)))
        if link.address is not None:
            self._start_repair(link, hello.member_digests)

    def receive_members(self, link: PeerLink, message: Members) -> None:
        """Merge records; send the newer record back for each outdated one."""
        corrections = []
        for record in message.records:
            link.seen_in_repair.add((record.id, record.incarnation, record.sequence))
            if self._merge(link, record) is MergeOutcome.STALE:
                known_record = self.table.get(record.id)
                if known_record is not None:
                    corrections.append(known_record)
        self._send_records(link, corrections)
        if len(link.seen_in_repair) > 65536:
            link.seen_in_repair.clear()

    def receive_digests(self, link: PeerLink, message: MemberDigests) -> None:
        """Start a repair if the peer's table differs."""
        self._start_repair(link, message.digests)

    def receive_buckets(self, link: PeerLink, message: BucketDigests) -> None:
        """Send the records of the differing buckets and request the peer's records."""
        masks: dict[DataCentre, int] = {}
        found: list[MemberRecord] = []
        for data_centre, peer_digests in message.digests.items():
            local_digests = self.table.bucket_digests(data_centre)
            differing = _differing_buckets(local_digests, peer_digests)
            found += self.table.bucket_records(data_centre, differing)
            if peer_digests and differing:
                masks[data_centre] = sum(1 << bucket for bucket in differing)
        self._send_records(link, found)
        if masks:
            self._links.send(link, MemberPull(masks))

    def receive_pull(self, link: PeerLink, message: MemberPull) -> None:
        """Send the requested records except those received in this repair."""
        found: list[MemberRecord] = []
        for data_centre, mask in message.bucket_masks.items():
            buckets = {bucket for bucket in range(BUCKET_COUNT) if mask >> bucket & 1}
            found += self.table.bucket_records(data_centre, buckets)
        received, link.seen_in_repair = link.seen_in_repair, set()
        self._send_records(
            link,
            [r for r in found if (r.id, r.incarnation, r.sequence) not in received],
        )

    def receive_heartbeats(self, link: PeerLink, message: HeadHeartbeats) -> None:
        """Store the heartbeat counters that increased and queue them for the peers."""
        for data_centre, counter in message.counters.items():
            if counter <= self._counter_by_data_centre.get(data_centre, 0):
                continue
            self._counter_by_data_centre[data_centre] = counter
            self._heartbeat_at_by_data_centre[data_centre] = self._clock.now()
            self._heartbeat_source_by_data_centre[data_centre] = link

    def send_digests(self, link: PeerLink, version: Version) -> None:
        """Send this daemon's digests, with which the peer can start a repair."""
        self._links.send(link, MemberDigests(version, self.table.digests()))

    def declare_dead(self, daemon: DaemonId, reason: str) -> None:
        """Mark a member dead and send its tombstone to all peers."""
        dead = self.table.declare_dead(daemon, now=self._clock.now())
        if dead is None:
            return
        logging.info("member %s is dead: %s", daemon, reason)
        self._queue_record(dead, source=None)

    # Time.

    def tick(self, *, is_head: bool) -> None:
        """Send due batches and heartbeats; update which data centres are reachable."""
        now = self._clock.now()
        self._apply_pending_endpoints()
        if is_head:
            self._queue_heartbeat()
        if now - self._flushed_at >= self._options.flush_interval:
            self.flush()
        self._update_reachability(now)

    def expire(self) -> None:
        """Drop old tombstones."""
        self.table.expire(now=self._clock.now())

    def skip_pause(self, gap: float) -> None:
        """Exclude a pause of this process from the age of all heartbeats."""
        now = self._clock.now()
        for data_centre, heartbeat_at in self._heartbeat_at_by_data_centre.items():
            self._heartbeat_at_by_data_centre[data_centre] = min(
                now, heartbeat_at + gap
            )

    def flush(self) -> None:
        """Send the queued records and heartbeats to all peers."""
        self._flushed_at = self._clock.now()
        changed, self._source_by_changed_member = self._source_by_changed_member, {}
        heartbeat_sources, self._heartbeat_source_by_data_centre = (
            self._heartbeat_source_by_data_centre,
            {},
        )
        if not changed and not heartbeat_sources:
            return
        for link in self._links.identified():
            ids = [daemon for daemon, source in changed.items() if source is not link]
            records = [record for daemon in ids if (record := self.table.get(daemon))]
            self._send_records(link, records)
            counters = {
                data_centre: self._counter_by_data_centre[data_centre]
                for data_centre, source in heartbeat_sources.items()
                if source is not link
            }
            if counters:
                self._links.send(link, HeadHeartbeats(counters))

    def _queue_heartbeat(self) -> None:
        """Queue a heartbeat of this data centre once per interval of the wall clock."""
        # All heads send at multiples of the interval, so that relays forward the
        # heartbeats of all data centres in one message.
        interval_number = int(self._clock.wall() / self._options.heartbeat_interval)
        if interval_number == self._last_heartbeat_interval:
            return
        self._last_heartbeat_interval = interval_number
        data_centre = self.table.own_record.data_centre
        # A new head continues the counter of the previous head even if its wall clock
        # is behind that of the previous head.
        self._counter_by_data_centre[data_centre] = max(
            self._counter_by_data_centre.get(data_centre, 0) + 1,
            int(self._clock.wall()),
        )
        self._heartbeat_source_by_data_centre[data_centre] = None

    def _update_reachability(self, now: float) -> None:
        """Mark remote data centres unreachable that missed heartbeats too long."""
        unreachable = set()
        for data_centre in self.table.data_centres():
            heartbeat_at = self._heartbeat_at_by_data_centre.setdefault(
                data_centre, now
            )
            is_local = data_centre == self.table.own_record.data_centre
            if not is_local and now - heartbeat_at > self._options.unreachable_after:
                unreachable.add(data_centre)
        if unreachable != self.table.unreachable:
            logging.info("unreachable data centres: %s", sorted(unreachable) or "none")
            self.table.unreachable = frozenset(unreachable)

    def _merge(self, link: PeerLink, record: MemberRecord) -> MergeOutcome:
        """Merge a record from ``link`` and queue what the other peers lack."""
        outcome = self.table.merge(record, now=self._clock.now())
        if outcome is MergeOutcome.ACCEPTED:
            self._queue_record(record, source=link)
        elif outcome is MergeOutcome.REFUTED:
            logging.info("refuted a record of this daemon sent by %s", link.daemon)
            self._queue_record(self.table.own_record, source=None)
        return outcome

    def _queue_record(self, record: MemberRecord, *, source: PeerLink | None) -> None:
        """Queue the member's record for all links except ``source``."""
        self._source_by_changed_member[record.id] = source

    def _start_repair(
        self, link: PeerLink, peer_digests: Mapping[DataCentre, int]
    ) -> None:
        """Send the bucket digests of the data centres whose digests differ."""
        local_digests = self.table.digests()
        differing = {
            data_centre
            for data_centre in local_digests.keys() | peer_digests.keys()
            if local_digests.get(data_centre) != peer_digests.get(data_centre)
        }
        if not differing:
            return
        link.seen_in_repair.clear()
        buckets = {
            data_centre: tuple(self.table.bucket_digests(data_centre))
            if data_centre in local_digests
            else ()
            for data_centre in sorted(differing)
        }
        self._links.send(link, BucketDigests(buckets))

    def _send_records(self, link: PeerLink, records: list[MemberRecord]) -> None:
        for at in range(0, len(records), RECORDS_PER_MESSAGE):
            message: Message = Members(tuple(records[at : at + RECORDS_PER_MESSAGE]))
            self._links.send(link, message)


def _differing_buckets(
    local_digests: list[int], peer_digests: tuple[int, ...]
) -> set[int]:
    """Return the differing buckets: all of them if the peer has no records."""
    if not peer_digests:
        return set(range(BUCKET_COUNT))
    return {
        bucket
        for bucket, (left, right) in enumerate(
            zip(local_digests, peer_digests, strict=True)
        )
        if left != right
    }


def _drains_or_removes_target(
    old: tuple[Endpoint, ...], new: tuple[Endpoint, ...]
) -> bool:
    """Return whether a target of ``old`` starts to drain or is missing in ``new``."""
    state_by_target = {endpoint.target_id: endpoint.state for endpoint in new}
    return any(
        endpoint.target_id not in state_by_target
        or (
            state_by_target[endpoint.target_id] is EndpointState.DRAINING
            and endpoint.state is not EndpointState.DRAINING
        )
        for endpoint in old
    )
