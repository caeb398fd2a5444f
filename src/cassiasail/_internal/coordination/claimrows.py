"""Rows of idempotency claims: keys, fields and their checks.

A claim is the row ``claim/<customer>/<service>/<key>``. The transaction that writes
it also writes ``claimage/<shard>/<minute>/<name>``, which the sweep scans oldest
first; the store offers no scan from a position, so the sweep could not otherwise
find old claims among millions of young ones.
"""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any
from urllib.parse import quote

from ..ids import CustomerId, DaemonId, ServiceName

CLAIM_PREFIX = "claim/"
AGE_PREFIX = "claimage/"
# Sweepers pick shards at random, so that several heads rarely meet in one batch.
AGE_SHARDS = 16
MAX_KEY_LENGTH = 255  # characters

# Larger answers would make rows that the table reads slowly; they are objects.
MAX_ANSWER_IN_ROW = 64 << 10  # bytes
MAX_RECORDED_ANSWER = 1 << 20  # bytes


class ClaimState(Enum):
    """State of a claim row."""

    CLAIMED = "claimed"
    DONE = "done"
    # Certainly not executed. The row stays until the sweep, because a write that is
    # still under way with the condition "absent" could take effect after a delete.
    RELEASED = "released"


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimKey:
    """What a claim protects: one idempotency key of a customer at a service."""

    customer: CustomerId
    service: ServiceName
    key: str

    @property
    def row_key(self) -> str:
        """Return the key of the claim's row; parts are quoted against slashes."""
        parts = (quote(part, safe="") for part in (self.customer, self.service))
        return CLAIM_PREFIX + "/".join((*parts, quote(self.key, safe="")))


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordedAnswer:
    """A whole answer of a target, as it is replayed."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredAnswer:
    """Where the body of a recorded answer is, and what it must hash to."""

    status: int
    headers: tuple[tuple[str, str], ...]
    length: int
    digest: bytes
    body: bytes | None
    object_name: str | None

    def matches(self, body: bytes) -> bool:
        """Return whether ``body`` is the whole recorded body."""
        return len(body) == self.length and digest_of(body) == self.digest


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRow:
    """One claim row; ``time`` is in seconds since the epoch.

    ``attempt`` is the number that the caller gave this sending of the key.
    """

    token: str
    body_digest: bytes
    daemon: DaemonId
    state: ClaimState
    time: float
    age_key: str
    attempt: int
    # None while claimed, and when the answer was too large to be recorded.
    answer: StoredAnswer | None = None

    def fields(self) -> dict[str, Any]:
        """Return the row's value in the table."""
        fields: dict[str, Any] = {
            "token": self.token,
            "body_digest": self.body_digest,
            "daemon": self.daemon,
            "state": self.state.value,
            "time": self.time,
            "age_key": self.age_key,
            "attempt": self.attempt,
        }
        if self.answer is not None:
            fields["answer"] = {
                "status": self.answer.status,
                "headers": [list(pair) for pair in self.answer.headers],
                "length": self.answer.length,
                "digest": self.answer.digest,
                "body": self.answer.body,
                "object": self.answer.object_name,
            }
        return fields


def parse_row(fields: Any) -> ClaimRow | None:
    """Return the claim in ``fields``, None if they are malformed."""
    try:
        answer = fields.get("answer")
        return ClaimRow(
            token=str(fields["token"]),
            body_digest=bytes(fields["body_digest"]),
            daemon=DaemonId(fields["daemon"]),
            state=ClaimState(fields["state"]),
            time=float(fields["time"]),
            age_key=str(fields["age_key"]),
            attempt=int(fields["attempt"]),
            answer=None if answer is None else _parse_answer(answer),
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return None


def _parse_answer(answer: Mapping[str, Any]) -> StoredAnswer:
    return StoredAnswer(
        status=int(answer["status"]),
        headers=tuple((str(name), str(value)) for name, value in answer["headers"]),
        length=int(answer["length"]),
        digest=bytes(answer["digest"]),
        body=answer["body"],
        object_name=answer["object"],
    )


def digest_of(body: bytes) -> bytes:
    """Return the digest by which request and answer bodies are compared."""
    return hashlib.blake2b(body, digest_size=16).digest()


def age_key_of(row_key: str, token: str, wall: float) -> str:
    """Return the key of the row by which the sweep finds a claim."""
    name = hashlib.blake2b(f"{row_key} {token}".encode(), digest_size=10).hexdigest()
    shard = int(name[:2], 16) % AGE_SHARDS
    return f"{age_prefix(shard)}{int(wall // 60):010d}/{name}"


def age_prefix(shard: int) -> str:
    """Return the prefix of the age rows of one shard."""
    return f"{AGE_PREFIX}{shard:02d}/"


def minute_of(age_key: str) -> int | None:
    """Return the minute since the epoch in ``age_key``, None if malformed."""
    parts = age_key.split("/")
    return int(parts[2]) if len(parts) == 4 and parts[2].isdigit() else None


def object_name_of(token: str, wall: float) -> str:
    """Return the name of a large answer's object.

    The day since the epoch comes first, so that a retention rule of the object store
    can remove whole days: the platform interface has no removal of objects.
    """
    return f"claims/{int(wall // 86400)}/{token}"
