"""Refusal: the value returned for a call that gets no response from a target."""

from dataclasses import dataclass
from enum import Enum


class Executed(Enum):
    """Whether the target executed the refused call; UNKNOWN if it may have."""

    NO = "no"
    UNKNOWN = "unknown"


class RefusalReason(Enum):
    """Why a call was refused; the value is used as metric label and problem type."""

    NO_CONFIGURATION = "no_configuration"
    UNKNOWN_CUSTOMER = "unknown_customer"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_ROUTE = "unknown_route"
    NOT_IN_PLAN = "not_in_plan"
    MALFORMED = "malformed"
    BODY_TOO_LARGE = "body_too_large"
    KEY_REQUIRED = "key_required"
    KEY_REUSED = "key_reused"
    IN_PROGRESS = "in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    STORE_UNAVAILABLE = "store_unavailable"
    OVER_ALLOWANCE = "over_allowance"
    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"
    NO_TARGET = "no_target"
    TARGET_GONE = "target_gone"
    DRAINING = "draining"
    SHED = "shed"
    QUEUE_FULL = "queue_full"
    WOULD_MISS_DEADLINE = "would_miss_deadline"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    CONNECT_FAILED = "connect_failed"
    PEER_LOST = "peer_lost"
    TARGET_FAILED = "target_failed"
    SHORT_BODY = "short_body"
    LINK_BUDGET = "link_budget"
    TOO_DEEP = "too_deep"
    NO_MEMORY = "no_memory"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    CANCELLED = "cancelled"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Why a call got no response from a target, and whether it was executed.

    ``retry_after`` is the time in seconds after which a caller may retry, or None if
    waiting does not help. ``retried`` is true if an inner layer has already retried the
    call, or knows that it must not be retried, so that outer layers do not retry it.
    """

    reason: RefusalReason
    executed: Executed
    detail: str = ""
    retry_after: float | None = None
    retried: bool = False
