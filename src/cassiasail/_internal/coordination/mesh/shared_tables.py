"""What the fleet shares through the platform's table store, as this package sees it."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from ...state.table_mirror import StoredRow, TableDelta


@dataclass(frozen=True, slots=True, kw_only=True)
class HistoryGone:
    """The changes asked for are no longer kept; read the table anew."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreFailed:
    """No usable answer; ``may_have_happened`` if a write may have taken effect."""

    reason: str
    may_have_happened: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteDone:
    """A transaction took effect as ``version``."""

    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteConflict:
    """A condition did not hold; ``rows`` are the present ones."""

    rows: tuple[StoredRow, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ConditionalWrite:
    """Sets ``key`` to ``value`` (None removes it) if its version is ``expected``.

    An expected version of 0 means that the row does not exist.
    """

    key: str
    value: bytes | None
    expected: int


class SharedTables(Protocol):
    """The platform's store; no call raises for an outage."""

    async def read(self, table: str) -> TableDelta | StoreFailed:
        """Return all rows of ``table``."""
        ...

    async def changes(
        self, table: str, *, after: int, wait: float
    ) -> TableDelta | HistoryGone | StoreFailed:
        """Return changes behind version ``after``, waiting up to ``wait`` seconds."""
        ...

    async def write(
        self, table: str, writes: Sequence[ConditionalWrite]
    ) -> WriteDone | WriteConflict | StoreFailed:
        """Apply all of ``writes`` or none."""
        ...
