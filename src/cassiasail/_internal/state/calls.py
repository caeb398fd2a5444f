"""A request on its way through the mesh, and how it ended."""

from dataclasses import dataclass
from enum import Enum

from ..ids import ServiceName

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class MeshCall:
    """A request of a client as the entry daemon took it.

    ``headers`` are those passed on unchanged. ``arrived`` is a loop time in seconds,
    ``time_left`` the seconds that the client waits from then on, None if it did not
    say. ``caller`` is the service beside the entry daemon.
    """

    attempt: str
    method: bytes
    host: str
    target: bytes
    headers: Headers
    body: bytes
    caller: ServiceName
    arrived: float
    time_left: float | None


@dataclass(frozen=True, slots=True, kw_only=True)
class HostedCall:
    """A request as the daemon beside the target gets it; times in seconds.

    ``time_left`` is until the request is given up, ``max_wait`` how long it may wait
    for a slot; ``late`` if it will probably miss its latency objective.
    """

    call: MeshCall
    service: ServiceName
    rank: int
    route: str
    safe: bool
    late: bool
    time_left: float
    max_wait: float


class HostOutcome(Enum):
    """What the daemon beside the target did with a request."""

    # The target's own answer, whole.
    ANSWERED = "answered"
    # Not handed to the target, and never will be.
    REFUSED = "refused"
    # Handed to the target, which states that it did not run it.
    SHED = "shed"
    # Handed to the target; whether it ran is not known.
    FAILED = "failed"


class HostReason(Enum):
    """Why a request was not answered; the value is the label in logs and metrics."""

    NONE = "none"
    BUSY = "busy"
    EXPIRED = "expired"
    LEAVING = "leaving"
    NO_TARGET = "no_target"
    OTHER_TARGET = "other_target"
    TARGET_DOWN = "target_down"
    TARGET_FULL = "target_full"
    MISDIRECTED = "misdirected"
    TARGET_RESET = "target_reset"
    TARGET_BROKE_OFF = "target_broke_off"
    TARGET_SPOILED = "target_spoiled"
    TIMED_OUT = "timed_out"
    PEER_UNREACHABLE = "peer_unreachable"
    PEER_LOST = "peer_lost"
    PEER_MALFORMED = "peer_malformed"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True, kw_only=True)
class HostLoad:
    """Load of a target as its daemon sees it.

    ``seconds`` is the mean service time, ``route_seconds`` that of the route of the
    request which was answered, 0 if it is not known, ``failing`` the recent share of
    requests that failed, between 0 and 1.
    """

    running: int
    waiting: int
    slots: int
    seconds: float
    failing: float
    route_seconds: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetAnswer:
    """The answer of a target; the headers are those passed on to the client."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class HostReply:
    """What the daemon beside the target says about one request.

    ``ran`` is the time in seconds that the target took, 0 if it was not asked.
    """

    outcome: HostOutcome
    reason: HostReason = HostReason.NONE
    answer: TargetAnswer | None = None
    load: HostLoad | None = None
    ran: float = 0.0
