"""The interface to the platform's store: a transactional table and immutable objects.

Failures are returned as ``StoreFailure``, not raised. ``effect_unknown`` is true if a
write may have taken effect although no response arrived. The code that sent it must
then find out whether it did, by a token or an edit id in the row, and must not write
again without a condition that rules out a second effect.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

# Revision of a row that does not exist.
ABSENT = 0


class StoreFailureReason(Enum):
    """Why a request to the store has no result."""

    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    UNAVAILABLE = "unavailable"
    MALFORMED = "malformed"
    BUDGET = "budget"


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreFailure:
    """A request to the store failed; a write may still have taken effect."""

    reason: StoreFailureReason
    effect_unknown: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredRow:
    """A row of the table; ``revision`` changes with every write of the row."""

    value: Any
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Condition:
    """The row must have this revision; with ``ABSENT`` it must not exist."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Put:
    """Creates or replaces a row."""

    key: str
    value: Any


@dataclass(frozen=True, slots=True, kw_only=True)
class Remove:
    """Deletes a row."""

    key: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Committed:
    """All writes took effect; ``revision`` is the new revision of each written row."""

    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """No write took effect; ``rows_by_key`` has the rows whose condition failed."""

    rows_by_key: Mapping[str, StoredRow | None]


class Store(Protocol):
    """Asynchronous access to the store; row values must be CBOR-encodable."""

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
