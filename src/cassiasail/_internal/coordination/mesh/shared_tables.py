"""Interface to the platform's table store, through which the daemons share data."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from ...state.table_mirror import StoredRow, StoreVersion, TableDelta


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

    version: StoreVersion


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteConflict:
    """The version of a row was not the expected one; ``rows`` are the current rows.

    ``era`` is the era of the store at that moment.
    """

    rows: tuple[StoredRow, ...]
    era: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ConditionalWrite:
    """Sets row ``key`` to ``value`` if the version of the row is ``expected``.

    A value of None removes the row. An expected version of None means that the row does
    not exist. The store compares the number of the version only.
    """

    key: str
    value: bytes | None
    expected: StoreVersion | None


class SharedTables(Protocol):
    """The platform's table store; an outage is returned as StoreFailed, not raised."""

    async def read(self, table: str) -> TableDelta | StoreFailed:
        """Return all rows of ``table``."""
        ...

    async def changes(
        self, table: str, *, after: StoreVersion, wait: float
    ) -> TableDelta | HistoryGone | StoreFailed:
        """Return the rows changed after version ``after``.

        Without changes the store waits up to ``wait`` seconds for one. Changes after a
        version of another era are not known: the history is gone.
        """
        ...

    async def write(
        self, table: str, writes: Sequence[ConditionalWrite]
    ) -> WriteDone | WriteConflict | StoreFailed:
        """Apply all of ``writes`` in one transaction, or none."""
        ...
