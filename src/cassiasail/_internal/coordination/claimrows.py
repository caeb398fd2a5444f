"""Rows of idempotency claims in the store: keys, fields and parsing.

A claim is the row ``claim/<customer>/<service>/<key>``. The transaction that writes
it also writes its age row ``claimage/<shard>/<minute>/<name>``. The sweep scans the age
rows, oldest first: the store has no scan that starts at a given key, so without them
the sweep could not find the old claims among millions of recent ones.
"""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any
from urllib.parse import quote

from ..ids import CustomerId, DaemonId, ServiceName
from ..state import ranges

CLAIM_PREFIX = "claim/"
AGE_PREFIX = "claimage/"
# Age rows are sharded, and each data-centre head starts its sweep at a shard derived
# from its daemon id, so that several heads rarely remove the same batch.
AGE_SHARDS = 16
MAX_KEY_LENGTH = 255  # characters

# Larger bodies are stored as objects, because the table reads large rows slowly.
MAX_RESPONSE_IN_ROW = 64 << 10  # bytes
MAX_RECORDED_RESPONSE = 1 << 20  # bytes


class ClaimState(Enum):
    """State of a claim row."""

    CLAIMED = "claimed"
    DONE = "done"
    # Certainly not executed. The row is kept until the sweep, because a pending write
    # with the condition "absent" could take effect after a delete.
    RELEASED = "released"


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimKey:
    """One idempotency key of a customer for a service: what a claim is made on."""

    customer: CustomerId
    service: ServiceName
    key: str

    @property
    def row_key(self) -> str:
        """Return the key of the claim row, with slashes in the parts quoted."""
        parts = (quote(part, safe="") for part in (self.customer, self.service))
        return CLAIM_PREFIX + "/".join((*parts, quote(self.key, safe="")))


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordedResponse:
    """A complete response of a target, as it is replayed to callers."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredResponse:
    """A recorded response as the claim row contains it.

    The body is either in ``body`` or in the object ``object_name``; ``length`` and
    ``digest`` are those of the body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    length: int
    digest: bytes
    body: bytes | None
    object_name: str | None

    def matches(self, body: bytes) -> bool:
        """Return whether ``body`` has the recorded length and digest."""
        return len(body) == self.length and digest_of(body) == self.digest


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRow:
    """One claim row; ``claimed_at`` is in seconds since the epoch.

    ``caller_attempt`` is the number that the caller gave this attempt of the call.
    """

    token: str
    body_digest: bytes
    daemon: DaemonId
    state: ClaimState
    claimed_at: float
    age_key: str
    caller_attempt: int
    # None unless the state is DONE, and if the response was too large to be recorded.
    response: StoredResponse | None = None

    def fields(self) -> dict[str, Any]:
        """Return the value of the row as it is stored in the table."""
        fields: dict[str, Any] = {
            "token": self.token,
            "body_digest": self.body_digest,
            "daemon": self.daemon,
            "state": self.state.value,
            "time": self.claimed_at,
            "age_key": self.age_key,
            "attempt": self.caller_attempt,
        }
        if self.response is not None:
            fields["answer"] = {
                "status": self.response.status,
                "headers": [list(pair) for pair in self.response.headers],
                "length": self.response.length,
                "digest": self.response.digest,
                "body": self.response.body,
                "object": self.response.object_name,
            }
        return fields


def parse_row(fields: Any) -> ClaimRow | None:
    """Return the claim that a stored row contains, None if it is malformed."""
    try:
        response = fields.get("answer")
        return ClaimRow(
            token=str(fields["token"]),
            body_digest=bytes(fields["body_digest"]),
            daemon=DaemonId(fields["daemon"]),
            state=ClaimState(fields["state"]),
            claimed_at=float(fields["time"]),
            age_key=str(fields["age_key"]),
            caller_attempt=int(fields["attempt"]),
            response=None if response is None else _parse_response(response),
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return None


def _parse_response(fields: Mapping[str, Any]) -> StoredResponse:
    return StoredResponse(
        status=ranges.http_status(fields["status"]),
        headers=tuple((str(name), str(value)) for name, value in fields["headers"]),
        length=int(fields["length"]),
        digest=bytes(fields["digest"]),
        body=fields["body"],
        object_name=fields["object"],
    )


def digest_of(body: bytes) -> bytes:
    """Return the digest by which bodies of calls and responses are compared."""
    return hashlib.blake2b(body, digest_size=16).digest()


def age_key_of(row_key: str, token: str, unix_time: float) -> str:
    """Return the key of the age row by which the sweep finds a claim.

    ``unix_time`` is when the key was claimed. The name at the end is a digest of the
    claim's row key and token, which also selects the shard.
    """
    name = hashlib.blake2b(f"{row_key} {token}".encode(), digest_size=10).hexdigest()
    shard = int(name[:2], 16) % AGE_SHARDS
    return f"{age_prefix(shard)}{int(unix_time // 60):010d}/{name}"


def age_prefix(shard: int) -> str:
    """Return the key prefix of the age rows of one shard."""
    return f"{AGE_PREFIX}{shard:02d}/"


def minute_of(age_key: str) -> int | None:
    """Return the minutes since the epoch in ``age_key``, None if it is malformed."""
    parts = age_key.split("/")
    return int(parts[2]) if len(parts) == 4 and parts[2].isdigit() else None


def object_name_of(token: str, unix_time: float) -> str:
    """Return the name of the object that holds the body of a large response.

    The days since the epoch come first, so that a retention rule of the object store
    can remove whole days: the platform interface has no call that removes objects.
    """
    return f"claims/{int(unix_time // 86400)}/{token}"
