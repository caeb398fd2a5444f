"""The narrow interface to the platform: a transactional table and immutable objects.

Failures are returned as ``StoreFailure``. ``effect_unknown`` is true when a write
may have taken effect although no answer arrived; the caller then reads back a
token or an edit id instead of writing again.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

# Revision of a row that does not exist.
ABSENT = 0


class StoreFailureReason(Enum):
    """Why a request to the platform gave no result."""

    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    UNAVAILABLE = "unavailable"
    MALFORMED = "malformed"
    BUDGET = "budget"


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreFailure:
    """A request without a result."""

    reason: StoreFailureReason
    effect_unknown: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredRow:
    """A row of the table; ``revision`` changes with every write of the row."""

    value: Any
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Condition:
    """A row must be at this revision (``ABSENT``: must not exist)."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Put:
    """Write a row."""

    key: str
    value: Any


@dataclass(frozen=True, slots=True, kw_only=True)
class Remove:
    """Delete a row."""

    key: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Committed:
    """All writes took effect; ``revision`` is now that of each written row."""

    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """No write took effect; ``rows_by_key`` holds the rows that differ."""

    rows_by_key: Mapping[str, StoredRow | None]


class Store(Protocol):
    """Asynchronous access to the platform; values are CBOR-encodable."""

    async def read(
        self, keys: Sequence[str]
    ) -> Mapping[str, StoredRow | None] | StoreFailure: ...

    async def scan(
        self, prefix: str, *, limit: int = 1000, descending: bool = False
    ) -> Mapping[str, StoredRow] | StoreFailure: ...

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Put | Remove]
    ) -> Committed | Conflict | StoreFailure: ...

    async def get_object(self, name: str) -> bytes | None | StoreFailure: ...

    async def put_object(self, name: str, data: bytes) -> None | StoreFailure: ...
