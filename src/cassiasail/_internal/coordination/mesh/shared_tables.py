"""Interface to the platform's table store, through which the daemons share data."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from ...state.table_mirror import StoredRow, TableDelta


@dataclass(frozen=True, slots=True, kw_only=True)
class HistoryGone:
    """The requested changes are no longer kept; the whole table has to be read."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreFailed:
    """The store sent no usable response.

    ``may_be_committed`` is true if a write may have been committed nevertheless.
    """

    reason: str
    may_be_committed: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteDone:
    """The transaction was committed as ``version``."""

    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteConflict:
    """The version of a row was not the expected one; ``rows`` are the current rows."""

    rows: tuple[StoredRow, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ConditionalWrite:
    """Sets row ``key`` to ``value`` if the version of the row is ``expected``.

    A value of None removes the row. An expected version of 0 means that the row does
    not exist.
    """

    key: str
    value: bytes | None
    expected: int


class SharedTables(Protocol):
    """The platform's table store; an outage is returned as StoreFailed, not raised."""

    async def read(self, table: str) -> TableDelta | StoreFailed:
        """Return all rows of ``table``."""
        ...

    async def changes(
        self, table: str, *, after: int, wait: float
    ) -> TableDelta | HistoryGone | StoreFailed:
        """Return the rows changed after version ``after``.

        Without changes the store waits up to ``wait`` seconds for one.
        """
        ...

    async def write(
        self, table: str, writes: Sequence[ConditionalWrite]
    ) -> WriteDone | WriteConflict | StoreFailed:
        """Apply all of ``writes`` in one transaction, or none."""
        ...
