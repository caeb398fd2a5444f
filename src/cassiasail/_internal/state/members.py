"""The member table of one daemon: one record for every daemon of the fleet.

Every daemon publishes one record, and only that daemon increases the sequence in it. Of
two records of a daemon, the one with the greater (incarnation, sequence) wins; if they
are equal, the one that is dead wins. So records merge to the same table in any order.

A record with state ``DEAD`` is a tombstone. Digests cover only living records, because
tombstones expire at different times on different daemons and must not count as
differences.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from enum import Enum

import xxhash

from .. import invariants, metrics
from ..ids import DaemonId, DataCentre, Region, ServiceName, TargetId

TOMBSTONE_SECONDS = 600.0
# A repair exchanges only the differing buckets of a data centre. With 255 members, one
# bucket has about 16 records.
BUCKET_COUNT = 16
_DIGEST_MASK = (1 << 64) - 1


class MemberState(Enum):
    """State of a daemon; one in state ``LEAVING`` accepts no new calls."""

    ALIVE = "alive"
    LEAVING = "leaving"
    DEAD = "dead"


class EndpointState(Enum):
    """State of a target."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """A target beside a daemon; ``start_time_ms`` is in Unix milliseconds."""

    service: ServiceName
    target_id: TargetId
    state: EndpointState
    slots: int
    start_time_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberRecord:
    """The state that a daemon publishes; addresses are ``host:port``."""

    id: DaemonId
    incarnation: int
    sequence: int
    region: Region
    data_centre: DataCentre
    peer_addr: str
    http_addr: str
    admin_addr: str
    state: MemberState = MemberState.ALIVE
    endpoints: tuple[Endpoint, ...] = ()

    def supersedes(self, other: "MemberRecord") -> bool:
        """Return whether this record replaces ``other`` of the same daemon."""
        version = (self.incarnation, self.sequence, self.state is MemberState.DEAD)
        return version > (
            other.incarnation,
            other.sequence,
            other.state is MemberState.DEAD,
        )


class MergeOutcome(Enum):
    """Outcome of merging one record.

    ``ACCEPTED``: stored. ``KNOWN``: the table has the same version of the record.
    ``STALE``: the table has a newer one. ``REFUTED``: the record was of this daemon,
    which has published a newer one.
    """

    ACCEPTED = "accepted"
    KNOWN = "known"
    STALE = "stale"
    REFUTED = "refuted"


ChangeCallback = Callable[[MemberRecord | None, MemberRecord | None], None]


class MemberTable:
    """Records by daemon id, with digests and indexes that every change updates.

    ``merge`` stores records of other daemons, ``update_own`` changes the record of this
    daemon. ``on_change`` callbacks receive (old, new): old is None for a new member,
    new is None when a tombstone expires.
    """

    def __init__(self, *, own_record: MemberRecord) -> None:
        self.own_record = own_record
        self.on_change: list[ChangeCallback] = []
        # Data centres without a recent heartbeat. Their members stay in the table but
        # receive no calls.
        self.unreachable: frozenset[DataCentre] = frozenset()
        self._record_by_id: dict[DaemonId, MemberRecord] = {}
        self._died_at_by_id: dict[DaemonId, float] = {}
        # Dicts used as ordered sets: decisions must not depend on the hash seed.
        self._ids_by_data_centre: dict[DataCentre, dict[DaemonId, None]] = {}
        self._hosts_by_service: dict[ServiceName, dict[DaemonId, None]] = {}
        self._buckets_by_data_centre: dict[DataCentre, list[int]] = {}
        self._store(own_record, now=0.0)

    def __len__(self) -> int:
        """Return the number of members that are not dead."""
        return len(self._record_by_id) - len(self._died_at_by_id)

    def get(self, daemon: DaemonId) -> MemberRecord | None:
        """Return the record of ``daemon``, dead or not."""
        return self._record_by_id.get(daemon)

    def is_living(self, daemon: DaemonId) -> bool:
        """Return whether ``daemon`` is known and not dead."""
        return daemon in self._record_by_id and daemon not in self._died_at_by_id

    def merge(self, record: MemberRecord, *, now: float) -> MergeOutcome:
        """Store ``record`` if it is newer than the record in the table.

        A newer record of this daemon is refuted: this daemon's record gets a still
        higher version.
        """
        if record.id == self.own_record.id:
            return self._merge_own(record)
        current = self._record_by_id.get(record.id)
        if current is not None and not record.supersedes(current):
            return (
                MergeOutcome.STALE if current.supersedes(record) else MergeOutcome.KNOWN
            )
        self._store(record, now=now)
        return MergeOutcome.ACCEPTED

    def update_own(
        self,
        *,
        state: MemberState | None = None,
        endpoints: tuple[Endpoint, ...] | None = None,
    ) -> MemberRecord:
        """Change this daemon's record, increase its sequence and return it."""
        return self._replace_own(
            incarnation=self.own_record.incarnation,
            sequence=self.own_record.sequence + 1,
            state=self.own_record.state if state is None else state,
            endpoints=self.own_record.endpoints if endpoints is None else endpoints,
        )

    def declare_dead(self, daemon: DaemonId, *, now: float) -> MemberRecord | None:
        """Mark the current record of ``daemon`` dead; None if it is not living."""
        current = self._record_by_id.get(daemon)
        if (
            current is None
            or daemon == self.own_record.id
            or daemon in self._died_at_by_id
        ):
            return None
        # The peer address is kept, because a split is healed by dialing dead members.
        dead = replace(
            current, state=MemberState.DEAD, endpoints=(), http_addr="", admin_addr=""
        )
        self._store(dead, now=now)
        return dead

    def expire(self, *, now: float) -> None:
        """Drop tombstones older than ``TOMBSTONE_SECONDS``; update the metrics."""
        metrics.MEMBERS.labels("living").set(len(self))
        metrics.MEMBERS.labels("dead").set(len(self._died_at_by_id))
        for daemon, died_at in list(self._died_at_by_id.items()):
            if now - died_at < TOMBSTONE_SECONDS:
                continue
            del self._died_at_by_id[daemon]
            old = self._record_by_id.pop(daemon)
            self._notify(old, None)

    def living(self, data_centre: DataCentre | None = None) -> Iterator[MemberRecord]:
        """Yield the records that are not dead, of one data centre or of all."""
        if data_centre is not None:
            ids: Iterable[DaemonId] = self._ids_by_data_centre.get(data_centre, ())
            yield from (self._record_by_id[daemon] for daemon in ids)
            return
        for record in self._record_by_id.values():
            if record.state is not MemberState.DEAD:
                yield record

    def reachable(self) -> Iterator[MemberRecord]:
        """Yield the living records outside unreachable data centres."""
        for record in self.living():
            if record.data_centre not in self.unreachable:
                yield record

    def dead(self) -> Iterator[MemberRecord]:
        """Yield the tombstones."""
        return (self._record_by_id[daemon] for daemon in self._died_at_by_id)

    def data_centres(self) -> list[DataCentre]:
        """Return the data centres that have living members."""
        return [name for name, ids in self._ids_by_data_centre.items() if ids]

    def endpoints_of(
        self, service: ServiceName
    ) -> Iterator[tuple[MemberRecord, Endpoint]]:
        """Yield the endpoints of ``service`` on reachable, living daemons."""
        for daemon in self._hosts_by_service.get(service, ()):
            record = self._record_by_id[daemon]
            if record.data_centre in self.unreachable:
                continue
            for endpoint in record.endpoints:
                if endpoint.service == service:
                    yield record, endpoint

    def digests(self) -> dict[DataCentre, int]:
        """Return the 64-bit digest of each data centre's living records."""
        return {
            name: sum(self._buckets_by_data_centre[name]) & _DIGEST_MASK
            for name in self.data_centres()
        }

    def bucket_digests(self, data_centre: DataCentre) -> list[int]:
        """Return the 64-bit digest of each bucket of ``data_centre``."""
        return list(self._buckets_by_data_centre.get(data_centre, [0] * BUCKET_COUNT))

    def bucket_records(
        self, data_centre: DataCentre, buckets: set[int]
    ) -> list[MemberRecord]:
        """Return the living records of ``data_centre`` in the given buckets."""
        return [
            record
            for record in self.living(data_centre)
            if bucket_of(record.id) in buckets
        ]

    def _merge_own(self, record: MemberRecord) -> MergeOutcome:
        own_record = self.own_record
        if record == own_record:
            return MergeOutcome.KNOWN
        if not record.supersedes(own_record):
            # An older record of this daemon, which the peers replace by the newer one.
            return MergeOutcome.STALE
        # A tombstone of this incarnation, or a record of an earlier incarnation that
        # started with a clock ahead of the present one.
        is_same_incarnation = record.incarnation == own_record.incarnation
        self._replace_own(
            incarnation=own_record.incarnation
            if is_same_incarnation
            else record.incarnation + 1,
            sequence=record.sequence + 1 if is_same_incarnation else 0,
            state=own_record.state,
            endpoints=own_record.endpoints,
        )
        return MergeOutcome.REFUTED

    def _replace_own(
        self,
        *,
        incarnation: int,
        sequence: int,
        state: MemberState,
        endpoints: tuple[Endpoint, ...],
    ) -> MemberRecord:
        old = self.own_record
        self.own_record = replace(
            old,
            incarnation=incarnation,
            sequence=sequence,
            state=state,
            endpoints=endpoints,
        )
        invariants.check(
            "own_record_rises", self.own_record.supersedes(old), str(self.own_record)
        )
        self._store(self.own_record, now=0.0)
        return self.own_record

    def _store(self, record: MemberRecord, *, now: float) -> None:
        """Replace a record, update the indexes and call the callbacks."""
        old = self._record_by_id.get(record.id)
        if old is not None and old.state is not MemberState.DEAD:
            self._unindex(old)
        self._record_by_id[record.id] = record
        if record.state is MemberState.DEAD:
            self._died_at_by_id[record.id] = now
        else:
            self._died_at_by_id.pop(record.id, None)
            self._index(record)
        self._notify(old, record)

    def _index(self, record: MemberRecord) -> None:
        data_centre = record.data_centre
        self._ids_by_data_centre.setdefault(data_centre, {})[record.id] = None
        buckets = self._buckets_by_data_centre.setdefault(
            data_centre, [0] * BUCKET_COUNT
        )
        bucket = bucket_of(record.id)
        buckets[bucket] = (buckets[bucket] + record_hash(record)) & _DIGEST_MASK
        for endpoint in record.endpoints:
            self._hosts_by_service.setdefault(endpoint.service, {})[record.id] = None

    def _unindex(self, record: MemberRecord) -> None:
        self._ids_by_data_centre[record.data_centre].pop(record.id, None)
        buckets = self._buckets_by_data_centre[record.data_centre]
        bucket = bucket_of(record.id)
        buckets[bucket] = (buckets[bucket] - record_hash(record)) & _DIGEST_MASK
        for endpoint in record.endpoints:
            self._hosts_by_service[endpoint.service].pop(record.id, None)

    def _notify(self, old: MemberRecord | None, new: MemberRecord | None) -> None:
        for callback in self.on_change:
            callback(old, new)


def bucket_of(daemon: DaemonId) -> int:
    """Return the digest bucket of a daemon within its data centre."""
    return xxhash.xxh64_intdigest(daemon.encode()) % BUCKET_COUNT


def record_hash(record: MemberRecord) -> int:
    """Return the 64-bit hash of id, incarnation and sequence, which decide merging."""
    versioned_id = f"{record.id} {record.incarnation} {record.sequence}"
    return xxhash.xxh64_intdigest(versioned_id.encode())
