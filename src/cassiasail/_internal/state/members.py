"""Members of the fleet as one daemon knows them.

Every daemon owns one record and is the only one to raise its sequence. The greater
(incarnation, sequence) wins, and at equality ``dead`` wins, so records merge in any
order to the same table. Digests cover the records that are not dead: tombstones
expire at different moments on different daemons and must not look like differences.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from enum import Enum

import xxhash

from .. import invariants, metrics
from ..ids import DaemonId, DataCentre, Region, ServiceName, TargetId

TOMBSTONE_SECONDS = 600.0
# Repair exchanges one bucket of a data centre: 16 of 255 records instead of all.
BUCKETS = 16
_DIGEST_MASK = (1 << 64) - 1


class MemberState(Enum):
    """Life of a daemon; ``LEAVING`` ones take no new work."""

    ALIVE = "alive"
    LEAVING = "leaving"
    DEAD = "dead"


class EndpointState(Enum):
    """Life of a target."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """A target beside a daemon; ``started`` is in ms since the epoch."""

    service: ServiceName
    target_id: TargetId
    state: EndpointState
    slots: int
    started: int


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberRecord:
    """What a daemon announces about itself; addresses are ``host:port``."""

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
        """Return whether this record wins over ``other`` of the same daemon."""
        mine = (self.incarnation, self.sequence, self.state is MemberState.DEAD)
        return mine > (
            other.incarnation,
            other.sequence,
            other.state is MemberState.DEAD,
        )


class Merge(Enum):
    """Outcome of merging one record."""

    ACCEPTED = "accepted"
    KNOWN = "known"
    STALE = "stale"
    REFUTED = "refuted"


ChangeCallback = Callable[[MemberRecord | None, MemberRecord | None], None]


class MemberTable:
    """Records by daemon id, with digests and lookups kept up to date.

    ``merge`` is the only way in for records of other daemons, ``update_own`` for
    the own one. ``on_change`` callbacks receive (old, new); new is None when a
    tombstone expires.
    """

    def __init__(self, *, own: MemberRecord) -> None:
        self.own = own
        self.on_change: list[ChangeCallback] = []
        # Data centres without a recent heartbeat: kept, but not chosen for calls.
        self.unreachable: frozenset[DataCentre] = frozenset()
        self._record_by_id: dict[DaemonId, MemberRecord] = {}
        self._died_at_by_id: dict[DaemonId, float] = {}
        # Dicts as ordered sets: decisions must not depend on the hash seed.
        self._ids_by_data_centre: dict[DataCentre, dict[DaemonId, None]] = {}
        self._hosts_by_service: dict[ServiceName, dict[DaemonId, None]] = {}
        self._buckets_by_data_centre: dict[DataCentre, list[int]] = {}
        self._store(own, now=0.0)

    def __len__(self) -> int:
        """Return the number of members that are not dead."""
        return len(self._record_by_id) - len(self._died_at_by_id)

    def get(self, daemon: DaemonId) -> MemberRecord | None:
        """Return the record of ``daemon``, dead or not."""
        return self._record_by_id.get(daemon)

    def is_living(self, daemon: DaemonId) -> bool:
        """Return whether ``daemon`` is known and not dead."""
        return daemon in self._record_by_id and daemon not in self._died_at_by_id

    def merge(self, record: MemberRecord, *, now: float) -> Merge:
        """Take over ``record`` if it wins; the own record is refuted, not replaced."""
        if record.id == self.own.id:
            return self._merge_own(record)
        held = self._record_by_id.get(record.id)
        if held is not None and not record.supersedes(held):
            return Merge.STALE if held.supersedes(record) else Merge.KNOWN
        self._store(record, now=now)
        return Merge.ACCEPTED

    def update_own(
        self,
        *,
        state: MemberState | None = None,
        endpoints: tuple[Endpoint, ...] | None = None,
    ) -> MemberRecord:
        """Raise the own sequence with the given changes and return the record."""
        return self._replace_own(
            incarnation=self.own.incarnation,
            sequence=self.own.sequence + 1,
            state=self.own.state if state is None else state,
            endpoints=self.own.endpoints if endpoints is None else endpoints,
        )

    def declare_dead(self, daemon: DaemonId, *, now: float) -> MemberRecord | None:
        """Mark the held record of ``daemon`` dead; None if it is not living."""
        held = self._record_by_id.get(daemon)
        if held is None or daemon == self.own.id or daemon in self._died_at_by_id:
            return None
        # The peer address stays: a split is healed by dialing those believed dead.
        dead = replace(
            held, state=MemberState.DEAD, endpoints=(), http_addr="", admin_addr=""
        )
        self._store(dead, now=now)
        return dead

    def expire(self, *, now: float) -> None:
        """Forget tombstones older than ``TOMBSTONE_SECONDS``; update the metrics."""
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
        return list(self._buckets_by_data_centre.get(data_centre, [0] * BUCKETS))

    def bucket_records(
        self, data_centre: DataCentre, buckets: set[int]
    ) -> list[MemberRecord]:
        """Return the living records of ``data_centre`` in the given buckets."""
        return [
            record
            for record in self.living(data_centre)
            if bucket_of(record.id) in buckets
        ]

    def _merge_own(self, record: MemberRecord) -> Merge:
        own = self.own
        if record == own:
            return Merge.KNOWN
        if not record.supersedes(own):
            # An older record of the same daemon; peers correct it by themselves.
            return Merge.STALE
        # A death report, or a record left by a predecessor with a faster clock.
        same = record.incarnation == own.incarnation
        self._replace_own(
            incarnation=own.incarnation if same else record.incarnation + 1,
            sequence=record.sequence + 1 if same else 0,
            state=own.state,
            endpoints=own.endpoints,
        )
        return Merge.REFUTED

    def _replace_own(
        self,
        *,
        incarnation: int,
        sequence: int,
        state: MemberState,
        endpoints: tuple[Endpoint, ...],
    ) -> MemberRecord:
        old = self.own
        self.own = replace(
            old,
            incarnation=incarnation,
            sequence=sequence,
            state=state,
            endpoints=endpoints,
        )
        invariants.check("own_record_rises", self.own.supersedes(old), str(self.own))
        self._store(self.own, now=0.0)
        return self.own

    def _store(self, record: MemberRecord, *, now: float) -> None:
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
        centre = record.data_centre
        self._ids_by_data_centre.setdefault(centre, {})[record.id] = None
        buckets = self._buckets_by_data_centre.setdefault(centre, [0] * BUCKETS)
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
    return xxhash.xxh64_intdigest(daemon.encode()) % BUCKETS


def record_hash(record: MemberRecord) -> int:
    """Return the 64-bit hash of what decides merging: id and version."""
    name = f"{record.id} {record.incarnation} {record.sequence}"
    return xxhash.xxh64_intdigest(name.encode())
