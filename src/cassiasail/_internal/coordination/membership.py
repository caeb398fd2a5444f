"""Who is in the fleet: batches of records, repair, heartbeats of data centres.

Records and heartbeats go out in batches on every link except the one they came
from. Repair compares digests, first per data centre, then per bucket, so its bytes
follow the number of differences and not the size of the fleet.
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
    BUCKETS,
    Endpoint,
    EndpointState,
    MemberRecord,
    MemberState,
    MemberTable,
    Merge,
)
from .links import Links, PeerLink

# Records in one message: a record takes about 60 us to decode and merge, and calls
# wait while a message is handled.
RECORDS_PER_MESSAGE = 128


class Membership:
    """Spreads records and heartbeats; the table itself is ``table``."""

    def __init__(self, *, table: MemberTable, links: Links) -> None:
        self.table = table
        self._links = links
        self._options = links.options
        self._clock = links.clock
        self._source_by_changed: dict[DaemonId, PeerLink | None] = {}
        self._counters: dict[DataCentre, int] = {}
        self._heard_at: dict[DataCentre, float] = {}
        self._source_by_heartbeat: dict[DataCentre, PeerLink | None] = {}
        self._flushed_at = self._clock.now()
        self._last_heartbeat_slot = 0
        self._pending_endpoints: tuple[Endpoint, ...] | None = None
        self._endpoints_changed_at = -1e9

    # Own record.

    def set_endpoints(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Announce the targets beside this daemon.

        ``draining`` and removal go out at once; other changes at most once per
        ``flap_interval``, so that a flapping target cannot flood the fleet.
        """
        self._pending_endpoints = endpoints
        urgent = _withdraws(self.table.own.endpoints, endpoints)
        self._apply_pending_endpoints(urgent=urgent)
        if urgent:
            self.flush()

    def leave(self) -> None:
        """Announce at once that this daemon takes no new work."""
        if self.table.own.state is MemberState.ALIVE:
            self._queue(self.table.update_own(state=MemberState.LEAVING), source=None)
            self.flush()

    def _apply_pending_endpoints(self, *, urgent: bool = False) -> None:
        pending = self._pending_endpoints
        if pending is None:
            return
        now = self._clock.now()
        recent = now - self._endpoints_changed_at < self._options.flap_interval
        if recent and not urgent:
            return
        self._pending_endpoints = None
        if pending == self.table.own.endpoints:
            return
        self._endpoints_changed_at = now
        self._queue(self.table.update_own(endpoints=pending), source=None)

    # Links.

    def greet(self, link: PeerLink, hello: Hello) -> None:
        """Merge the peer's record; the end that dialed starts the repair."""
        record = hello.record
        outcome = self._merge(link, record)
        held = self.table.get(record.id)
        if outcome is Merge.STALE and held is not None:
            # The peer learns of its own death here and refutes it.
            self._links.send(link, Members((held,)))
        if link.address is not None:
            self._compare(link, hello.member_digests)

    def receive_members(self, link: PeerLink, message: Members) -> None:
        """Merge records; answer outdated ones with the newer record."""
        corrections = []
        for record in message.records:
            link.seen_in_repair.add((record.id, record.incarnation, record.sequence))
            if self._merge(link, record) is Merge.STALE:
                held = self.table.get(record.id)
                if held is not None:
                    corrections.append(held)
        self._send_records(link, corrections)
        if len(link.seen_in_repair) > 65536:
            link.seen_in_repair.clear()

    def receive_digests(self, link: PeerLink, message: MemberDigests) -> None:
        """Start a repair if the peer's table differs."""
        self._compare(link, message.digests)

    def receive_buckets(self, link: PeerLink, message: BucketDigests) -> None:
        """Send the records of differing buckets and ask for the peer's."""
        masks: dict[DataCentre, int] = {}
        found: list[MemberRecord] = []
        for centre, theirs in message.digests.items():
            mine = self.table.bucket_digests(centre)
            differing = _differing(mine, theirs)
            found += self.table.bucket_records(centre, differing)
            if theirs and differing:
                masks[centre] = sum(1 << bucket for bucket in differing)
        self._send_records(link, found)
        if masks:
            self._links.send(link, MemberPull(masks))

    def receive_pull(self, link: PeerLink, message: MemberPull) -> None:
        """Send the asked records that the peer has not just sent itself."""
        found: list[MemberRecord] = []
        for centre, mask in message.bucket_masks.items():
            buckets = {bucket for bucket in range(BUCKETS) if mask >> bucket & 1}
            found += self.table.bucket_records(centre, buckets)
        known, link.seen_in_repair = link.seen_in_repair, set()
        self._send_records(
            link,
            [r for r in found if (r.id, r.incarnation, r.sequence) not in known],
        )

    def receive_heartbeats(self, link: PeerLink, message: HeadHeartbeats) -> None:
        """Note and pass on counters that have risen."""
        for centre, counter in message.counters.items():
            if counter <= self._counters.get(centre, 0):
                continue
            self._counters[centre] = counter
            self._heard_at[centre] = self._clock.now()
            self._source_by_heartbeat[centre] = link

    def send_digests(self, link: PeerLink, version: Version) -> None:
        """Offer an anti-entropy comparison on an open link."""
        self._links.send(link, MemberDigests(version, self.table.digests()))

    def declare_dead(self, daemon: DaemonId, why: str) -> None:
        """Mark a member dead and tell everyone."""
        dead = self.table.declare_dead(daemon, now=self._clock.now())
        if dead is None:
            return
        logging.info("member %s is dead: %s", daemon, why)
        self._queue(dead, source=None)

    # Time.

    def tick(self, *, is_head: bool) -> None:
        """Flush batches, beat as head, and update which centres are reachable."""
        now = self._clock.now()
        self._apply_pending_endpoints()
        if is_head:
            self._beat()
        if now - self._flushed_at >= self._options.flush_interval:
            self.flush()
        self._update_reachability(now)

    def expire(self) -> None:
        """Forget old tombstones."""
        self.table.expire(now=self._clock.now())

    def skip_pause(self, gap: float) -> None:
        """Shift what was heard before this process stood still for ``gap`` seconds."""
        now = self._clock.now()
        for centre, heard_at in self._heard_at.items():
            self._heard_at[centre] = min(now, heard_at + gap)

    def flush(self) -> None:
        """Send the collected records and heartbeats."""
        self._flushed_at = self._clock.now()
        changed, self._source_by_changed = self._source_by_changed, {}
        beats, self._source_by_heartbeat = self._source_by_heartbeat, {}
        if not changed and not beats:
            return
        for link in self._links.ready():
            ids = [daemon for daemon, source in changed.items() if source is not link]
            records = [held for daemon in ids if (held := self.table.get(daemon))]
            self._send_records(link, records)
            counters = {
                centre: self._counters[centre]
                for centre, source in beats.items()
                if source is not link
            }
            if counters:
                self._links.send(link, HeadHeartbeats(counters))

    def _beat(self) -> None:
        # All heads beat at multiples of the interval, so that relays pass the
        # heartbeats of all data centres on in one message.
        slot = int(self._clock.wall() / self._options.heartbeat_interval)
        if slot == self._last_heartbeat_slot:
            return
        self._last_heartbeat_slot = slot
        centre = self.table.own.data_centre
        # A new head continues the counter of its predecessor even if its wall
        # clock is behind.
        self._counters[centre] = max(
            self._counters.get(centre, 0) + 1, int(self._clock.wall())
        )
        self._source_by_heartbeat[centre] = None

    def _update_reachability(self, now: float) -> None:
        silent = set()
        for centre in self.table.data_centres():
            heard_at = self._heard_at.setdefault(centre, now)
            is_own = centre == self.table.own.data_centre
            if not is_own and now - heard_at > self._options.unreachable_after:
                silent.add(centre)
        if silent != self.table.unreachable:
            logging.info("unreachable data centres: %s", sorted(silent) or "none")
            self.table.unreachable = frozenset(silent)

    def _merge(self, link: PeerLink, record: MemberRecord) -> Merge:
        outcome = self.table.merge(record, now=self._clock.now())
        if outcome is Merge.ACCEPTED:
            self._queue(record, source=link)
        elif outcome is Merge.REFUTED:
            logging.info("refuted a record of this daemon told by %s", link.daemon)
            self._queue(self.table.own, source=None)
        return outcome

    def _queue(self, record: MemberRecord, *, source: PeerLink | None) -> None:
        self._source_by_changed[record.id] = source

    def _compare(self, link: PeerLink, theirs: Mapping[DataCentre, int]) -> None:
        mine = self.table.digests()
        differing = {
            centre
            for centre in mine.keys() | theirs.keys()
            if mine.get(centre) != theirs.get(centre)
        }
        if not differing:
            return
        link.seen_in_repair.clear()
        buckets = {
            centre: tuple(self.table.bucket_digests(centre)) if centre in mine else ()
            for centre in sorted(differing)
        }
        self._links.send(link, BucketDigests(buckets))

    def _send_records(self, link: PeerLink, records: list[MemberRecord]) -> None:
        for at in range(0, len(records), RECORDS_PER_MESSAGE):
            message: Message = Members(tuple(records[at : at + RECORDS_PER_MESSAGE]))
            self._links.send(link, message)


def _differing(mine: list[int], theirs: tuple[int, ...]) -> set[int]:
    if not theirs:
        return set(range(BUCKETS))
    return {
        bucket
        for bucket, (left, right) in enumerate(zip(mine, theirs, strict=True))
        if left != right
    }


def _withdraws(old: tuple[Endpoint, ...], new: tuple[Endpoint, ...]) -> bool:
    """Return whether a target drains or disappears."""
    state_by_target = {item.target_id: item.state for item in new}
    return any(
        item.target_id not in state_by_target
        or (
            state_by_target[item.target_id] is EndpointState.DRAINING
            and item.state is not EndpointState.DRAINING
        )
        for item in old
    )
