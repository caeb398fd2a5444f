"""HTTP status and RFC 9457 problem body of a refusal."""

import json

from ..state.refusals import Refusal, RefusalReason

STATUS_BY_REASON = {
    RefusalReason.UNKNOWN_CUSTOMER: 403,
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.UNKNOWN_ROUTE: 404,
    RefusalReason.NOT_IN_PLAN: 403,
    RefusalReason.MALFORMED: 400,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.KEY_REQUIRED: 400,
    RefusalReason.KEY_REUSED: 422,
    RefusalReason.IN_PROGRESS: 409,
    RefusalReason.OUTCOME_UNKNOWN: 409,
    RefusalReason.OVER_ALLOWANCE: 429,
    RefusalReason.SUSPECTED: 429,
    RefusalReason.QUARANTINED: 422,
    RefusalReason.DEADLINE_EXCEEDED: 504,
    RefusalReason.PEER_LOST: 502,
    RefusalReason.TARGET_FAILED: 502,
    RefusalReason.SHORT_BODY: 502,
    RefusalReason.TOO_DEEP: 508,
    RefusalReason.CANCELLED: 499,
    RefusalReason.INTERNAL: 500,
}
# All other reasons mean that the call cannot be executed at present.
DEFAULT_STATUS = 503
PROBLEM_CONTENT_TYPE = "application/problem+json"


def status_of(refusal: Refusal) -> int:
    """Return the HTTP status that a caller gets for ``refusal``."""
    return STATUS_BY_REASON.get(refusal.reason, DEFAULT_STATUS)


def problem_body(refusal: Refusal) -> bytes:
    """Return the RFC 9457 problem of ``refusal`` as JSON.

    ``reason``, ``executed`` and ``retried`` are extension members.
    """
    return json.dumps(
        {
            "type": f"urn:cassiasail:refusal:{refusal.reason.value}",
            "title": refusal.reason.value.replace("_", " "),
            "status": status_of(refusal),
            "detail": refusal.detail,
            "reason": refusal.reason.value,
            "executed": refusal.executed.value,
            "retried": refusal.retried,
        }
    ).encode()
