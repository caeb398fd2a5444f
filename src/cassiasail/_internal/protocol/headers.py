"""Names of the HTTP headers that callers, daemons and targets exchange."""

from collections.abc import Iterable

CUSTOMER = "Cassiasail-Customer"
IDEMPOTENCY_KEY = "Idempotency-Key"
# Remaining time in milliseconds, not a point in time: clocks of VMs differ.
DEADLINE = "Cassiasail-Deadline"
ATTEMPT = "Cassiasail-Attempt"
DEPTH = "Cassiasail-Depth"
REPLAYED = "Cassiasail-Replayed"

HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
    )
)


def end_to_end(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers that are passed on, without those of one connection."""
    return [(name, value) for name, value in headers if name.lower() not in HOP_BY_HOP]
