"""Types of the control messages between daemons; ``messages`` encodes them."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..ids import DaemonId, DataCentre, Version
from ..state.lists import Delta, Snapshot
from ..state.members import MemberRecord


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of each end of a link.

    ``record`` is the member record of the sender, ``version`` and ``digest`` identify
    its configuration. ``member_digests`` has a digest of the member records by data
    centre; only the accepting end sends it.
    """

    protocol: int
    record: MemberRecord
    version: Version
    digest: int
    member_digests: Mapping[DataCentre, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Attach:
    """Makes the sender a child of the receiver in the relay tree, or ends that."""

    attached: bool


@dataclass(frozen=True, slots=True)
class VersionInForce:
    """The version in force at the sender; acknowledges deltas and snapshots."""

    version: Version


@dataclass(frozen=True, slots=True)
class ConfigPull:
    """Requests the changes after ``version``, or a snapshot if ``snapshot`` is true."""

    version: Version
    snapshot: bool


@dataclass(frozen=True, slots=True)
class ConfigRefused:
    """The sender refused a configuration; ``reason`` is also a metric label."""

    version: Version
    reason: str
    detail: str


@dataclass(frozen=True, slots=True)
class Deltas:
    """Consecutive changes of the configuration, oldest first."""

    deltas: tuple[Delta, ...]


@dataclass(frozen=True, slots=True)
class SnapshotMessage:
    """A whole configuration."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class Members:
    """A batch of member records."""

    records: tuple[MemberRecord, ...]


@dataclass(frozen=True, slots=True)
class MemberDigests:
    """Digests of the member records by data centre, compared for anti-entropy.

    ``version`` is the configuration version in force at the sender.
    """

    version: Version
    digests: Mapping[DataCentre, int]


@dataclass(frozen=True, slots=True)
class BucketDigests:
    """Bucket digests of the member records of data centres whose digests differ.

    The tuple of a data centre is empty if the sender has no member records of it.
    """

    digests: Mapping[DataCentre, tuple[int, ...]]


@dataclass(frozen=True, slots=True)
class MemberPull:
    """Requests the member records of some buckets of some data centres.

    Bit n of a mask stands for bucket n.
    """

    bucket_masks: Mapping[DataCentre, int]


@dataclass(frozen=True, slots=True)
class Ping:
    """Keepalive, sent if nothing was received for a second; requests a ``Pong``."""


@dataclass(frozen=True, slots=True)
class Pong:
    """Reply to ``Ping``."""


@dataclass(frozen=True, slots=True)
class HeadHeartbeats:
    """Heartbeat counters of the heads, by data centre.

    A counter increases as long as its data centre has a head.
    """

    counters: Mapping[DataCentre, int]


@dataclass(frozen=True, slots=True)
class Notice:
    """An item flooded to all daemons; it expires after ``ttl_ms`` milliseconds."""

    id: bytes
    kind: str
    payload: bytes
    ttl_ms: int


@dataclass(frozen=True, slots=True)
class Busy:
    """The sender cannot accept the receiver now; the receiver may retry after a delay.

    ``full`` is true if the sender has its maximum of children, false if it refuses the
    link itself.
    """

    retry_after_seconds: float
    full: bool


@dataclass(frozen=True, slots=True)
class LaggingDaemon:
    """A daemon on an older version than the fleet, and the reason."""

    daemon: DaemonId
    version: Version
    reason: str


@dataclass(frozen=True, slots=True)
class StatusReport:
    """Daemons of a subtree of the relay tree by version, sent to the parent on change.

    ``children`` are the children of the sender, None if they have not changed since
    its last report.
    """

    counts_by_data_centre: Mapping[DataCentre, Mapping[Version, int]]
    lagging_daemons: tuple[LaggingDaemon, ...]
    children: tuple[DaemonId, ...] | None


Message = (
    Hello
    | Attach
    | VersionInForce
    | ConfigPull
    | ConfigRefused
    | Deltas
    | SnapshotMessage
    | Members
    | MemberDigests
    | BucketDigests
    | MemberPull
    | Ping
    | Pong
    | HeadHeartbeats
    | Notice
    | Busy
    | StatusReport
)
