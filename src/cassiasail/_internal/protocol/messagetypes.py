"""Types of the control messages between daemons; see ``messages`` for the coding."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..ids import DaemonId, DataCentre, Version
from ..state.lists import Delta, Snapshot
from ..state.members import MemberRecord


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of both ends of a link."""

    protocol: int
    record: MemberRecord
    version: Version
    digest: int
    member_digests: Mapping[DataCentre, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Attach:
    """The sender is (or no longer is) a child of the receiver in the relay tree."""

    attached: bool


@dataclass(frozen=True, slots=True)
class Have:
    """The version in force at the sender; acknowledges deltas and snapshots."""

    version: Version


@dataclass(frozen=True, slots=True)
class Pull:
    """Ask for everything after ``version``, as a snapshot if ``snapshot``."""

    version: Version
    snapshot: bool


@dataclass(frozen=True, slots=True)
class Refused:
    """The sender refused a version; ``reason`` is a metric label."""

    version: Version
    reason: str
    detail: str


@dataclass(frozen=True, slots=True)
class Deltas:
    """Consecutive changes, oldest first."""

    deltas: tuple[Delta, ...]


@dataclass(frozen=True, slots=True)
class SnapshotMessage:
    """A complete version."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class Members:
    """A batch of member records."""

    records: tuple[MemberRecord, ...]


@dataclass(frozen=True, slots=True)
class MemberDigests:
    """Anti-entropy: version and digest per data centre."""

    version: Version
    digests: Mapping[DataCentre, int]


@dataclass(frozen=True, slots=True)
class BucketDigests:
    """Bucket digests of data centres that differ; empty if the sender has none."""

    buckets: Mapping[DataCentre, tuple[int, ...]]


@dataclass(frozen=True, slots=True)
class MemberPull:
    """Ask for the records of the given buckets, a bit mask per data centre."""

    masks: Mapping[DataCentre, int]


@dataclass(frozen=True, slots=True)
class Ping:
    """Ask for a ``Pong`` after a second of silence."""


@dataclass(frozen=True, slots=True)
class Pong:
    """Answer to ``Ping``."""


@dataclass(frozen=True, slots=True)
class Heartbeats:
    """Counters that rise while a data centre has a head, by data centre."""

    counters: Mapping[DataCentre, int]


@dataclass(frozen=True, slots=True)
class Notice:
    """An item flooded to all daemons; ``ttl_ms`` is what remains of its life."""

    id: bytes
    kind: str
    payload: bytes
    ttl_ms: int


@dataclass(frozen=True, slots=True)
class Busy:
    """No room now; come back after ``seconds``. ``full``: no room for a child."""

    seconds: float
    full: bool


@dataclass(frozen=True, slots=True)
class LaggingDaemon:
    """A daemon that is not at the newest version, and why."""

    daemon: DaemonId
    version: Version
    reason: str


@dataclass(frozen=True, slots=True)
class StatusReport:
    """What a subtree runs, sent to the parent on change.

    ``attached`` lists the children, None if unchanged since the last report.
    """

    counts: Mapping[DataCentre, Mapping[Version, int]]
    lagging_daemons: tuple[LaggingDaemon, ...]
    attached: tuple[DaemonId, ...] | None


Message = (
    Hello
    | Attach
    | Have
    | Pull
    | Refused
    | Deltas
    | SnapshotMessage
    | Members
    | MemberDigests
    | BucketDigests
    | MemberPull
    | Ping
    | Pong
    | Heartbeats
    | Notice
    | Busy
    | StatusReport
)
