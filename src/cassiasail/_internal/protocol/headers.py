"""Names of the HTTP headers that callers, daemons and targets exchange."""

from collections.abc import Iterable

CUSTOMER = "Cassiasail-Customer"
IDEMPOTENCY_KEY = "Idempotency-Key"
# Remaining time in milliseconds; a point in time would be wrong because the clocks of
# VMs differ.
DEADLINE = "Cassiasail-Deadline"
ATTEMPT = "Cassiasail-Attempt"
DEPTH = "Cassiasail-Depth"
REPLAYED = "Cassiasail-Replayed"

# Lower-case names of the headers that apply to one connection or to its framing. Each
# HTTP hop sets its own.
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
    """Return ``headers`` without those of ``HOP_BY_HOP``."""
    return [(name, value) for name, value in headers if name.lower() not in HOP_BY_HOP]
