"""A client request on its way through the sidecars, and its result."""

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from ..ids import AccountName, DaemonStart, ServiceName
from .hosts import Incarnation

Headers = tuple[tuple[bytes, bytes], ...]

# Requests a second that are sent to a target which takes fewer or none. Its responses
# are the only sign that its need is over.
MIN_LIMITED_RATE = 0.5


def admitted_rate(limit: float) -> float:
    """Return the requests a second that are sent to a target which names ``limit``."""
    return max(MIN_LIMITED_RATE, limit)


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientRequest:
    """A client request as the entry daemon received it.

    ``attempt_id`` is the id that the client gives this sending of its request, empty
    without one. ``request_target`` is the path and query of the request line;
    ``headers`` are those forwarded unchanged. ``client_service`` is the service of the
    target process beside the entry daemon. ``arrived_at`` is a loop time in seconds.
    ``remaining_time`` is the time in seconds, counted from ``arrived_at``, until the
    client's deadline, None if the client set none. ``account_key`` is the key that the
    client sent, which goes no further than the entry daemon. ``account`` is the account
    that the entry daemon found for it, None if there is none.
    """

    attempt_id: str
    method: bytes
    host: str
    request_target: bytes
    headers: Headers
    body: bytes
    client_service: ServiceName
    arrived_at: float
    remaining_time: float | None
    account_key: str | None = field(default=None, repr=False)
    account: AccountName | None = None


class RequestNumber(NamedTuple):
    """Number of an unsafe request among those of one start of its entry daemon.

    It rises with each request that the entry daemon forwards; all copies have the same.
    """

    entry_start: DaemonStart
    number: int


@dataclass(frozen=True, slots=True, kw_only=True)
class HostedRequest:
    """A client request as the entry daemon forwards it to the host daemon.

    ``remaining_time`` is the time until the deadline and ``max_wait`` the longest time
    that the request may wait for a slot, both in seconds. ``late`` marks a request that
    will probably miss the latency objective of its route. A ``safe`` request may be
    executed more than once. A ``retry`` was already dispatched to a target before.
    ``resent_after`` is set for a second copy, sent because the connection of the first
    was lost: the seconds between the two. ``first_sent_to`` is the start of the host
    daemon that its entry daemon knew when it sent the first copy, None if it knew none.
    ``number`` is set for unsafe requests with an attempt id. ``known_limit`` is the
    rate limit of the target in the last load report that the entry daemon has from it.
    ``over_link`` is true at the host daemon if the response leaves its VM.
    """

    request: ClientRequest
    service: ServiceName
    priority: int
    route: str
    safe: bool
    late: bool
    remaining_time: float
    max_wait: float
    retry: bool = False
    resent_after: float | None = None
    first_sent_to: DaemonStart | None = None
    number: RequestNumber | None = None
    known_limit: float | None = None
    over_link: bool = False


class HostOutcome(Enum):
    """What the host daemon did with a request; the value is sent to the entry daemon.

    The value is also a label in logs and metrics.
    """

    # The target returned a complete response.
    ANSWERED = "answered"
    # Not dispatched to the target; the host daemon will not dispatch it later.
    REFUSED = "refused"
    # Dispatched to the target, which states that it did not execute it.
    SHED = "shed"
    # Forwarded or dispatched; whether the target executed it is unknown.
    FAILED = "failed"


class HostReason(Enum):
    """Why a request got no response; the value is the label in logs and metrics."""

    NONE = "none"
    # The queue is full, or the wait for a slot would be too long.
    BUSY = "busy"
    # The longest wait for a slot or the deadline passed while it was queued.
    EXPIRED = "expired"
    # The target or its daemon is shutting down.
    LEAVING = "leaving"
    NO_TARGET = "no_target"
    # The current target of the host daemon belongs to another service.
    OTHER_SERVICE = "other_target"
    # This daemon, or the host daemon, may open no further connection.
    NO_DESCRIPTOR = "no_descriptor"
    # The target accepted no connection.
    TARGET_DOWN = "target_down"
    # The target states that it did not execute the request.
    TARGET_FULL = "target_full"
    # Another target than the one addressed responded.
    MISDIRECTED = "misdirected"
    TARGET_RESET = "target_reset"
    TARGET_RESPONSE_TRUNCATED = "target_broke_off"
    TARGET_RESPONSE_CORRUPT = "target_spoiled"
    TIMED_OUT = "timed_out"
    PEER_UNREACHABLE = "peer_unreachable"
    PEER_LOST = "peer_lost"
    PEER_MALFORMED = "peer_malformed"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True, kw_only=True)
class HostLoad:
    """Load report: load of a target as measured by its host daemon.

    ``service_seconds`` is the mean service time over all routes.
    ``route_service_seconds`` is that of the route of the request that the report comes
    with, 0 if unknown. ``failure_share`` is the recent share of failed requests,
    between 0 and 1. ``rate_limit`` is the rate in requests a second that a target in
    need takes from all daemons together, None for one without a limit. ``link_seconds``
    is the time in which the link of the VM carries the large responses that it is
    expected to.
    """

    running: int
    waiting: int
    slots: int
    service_seconds: float
    failure_share: float
    route_service_seconds: float = 0.0
    rate_limit: float | None = None
    link_seconds: float = 0.0

    @property
    def queue_seconds(self) -> float:
        """Return the seconds until the requests that wait now have been dispatched."""
        slot_seconds = self.waiting * self.service_seconds / self.slots
        return max(slot_seconds, self.limit_seconds(self.waiting))

    def limit_seconds(self, requests: int) -> float:
        """Return the seconds in which the rate limit admits ``requests``."""
        if self.rate_limit is None:
            return 0.0
        return requests / admitted_rate(self.rate_limit)


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetResponse:
    """Response of a target; ``headers`` are those returned to the client."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class HostReply:
    """Reply of the host daemon to the entry daemon about one forwarded request.

    ``run_seconds`` is the time from the dispatch to the end of the request, 0 if it was
    not dispatched. ``leaving_target`` is the incarnation of the target beside the host
    daemon if it is leaving.
    """

    outcome: HostOutcome
    reason: HostReason = HostReason.NONE
    response: TargetResponse | None = None
    load: HostLoad | None = None
    run_seconds: float = 0.0
    leaving_target: Incarnation | None = None
