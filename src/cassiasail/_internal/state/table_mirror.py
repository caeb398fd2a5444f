"""A copy of one store table that can return its changes since a version."""

from collections.abc import Callable
from dataclasses import dataclass

# Number of tombstones (deleted rows) kept for followers. A follower that missed more of
# them gets the whole table.
MAX_TOMBSTONES = 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredRow:
    """One row; ``version`` is the version of the transaction that wrote it."""

    key: str
    value: bytes
    version: int
    deleted: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class TableDelta:
    """Changed rows up to ``version``.

    If ``whole`` is true, ``rows`` is the complete table and all other rows are deleted.
    """

    rows: tuple[StoredRow, ...]
    version: int
    whole: bool = False


class TableMirror:
    """The rows of a table by key; a row is only replaced by one of a higher version.

    ``changed`` is called with each new, changed or deleted row.
    """

    def __init__(self, *, changed: Callable[[StoredRow], None]) -> None:
        self._changed = changed
        self._row_by_key: dict[str, StoredRow] = {}
        self._tombstone_by_key: dict[str, StoredRow] = {}
        self._last_dropped_version = 0
        self.version = 0

    def apply(self, delta: TableDelta) -> bool:
        """Apply ``delta``; return false if it is older than this copy."""
        if delta.version < self.version:
            return False
        if delta.whole:
            present_keys = {row.key for row in delta.rows}
            for key in [key for key in self._row_by_key if key not in present_keys]:
                self._apply_row(
                    StoredRow(key=key, value=b"", version=delta.version, deleted=True)
                )
        for row in delta.rows:
            self._apply_row(row)
        self.version = delta.version
        return True

    def since(self, version: int) -> TableDelta:
        """Return the rows changed after ``version``.

        Returns the whole table if ``version`` is 0 or a newer tombstone was dropped.
        """
        if version <= 0 or version < self._last_dropped_version:
            rows = tuple(self._row_by_key.values())
            return TableDelta(rows=rows, version=self.version, whole=True)
        candidates = (*self._row_by_key.values(), *self._tombstone_by_key.values())
        rows = tuple(row for row in candidates if row.version > version)
        return TableDelta(rows=rows, version=self.version)

    def _apply_row(self, row: StoredRow) -> None:
        known = self._row_by_key.get(row.key) or self._tombstone_by_key.get(row.key)
        if known is not None and row.version <= known.version:
            return
        if row.deleted:
            self._row_by_key.pop(row.key, None)
            self._add_tombstone(row)
        else:
            self._tombstone_by_key.pop(row.key, None)
            self._row_by_key[row.key] = row
        self._changed(row)

    def _add_tombstone(self, row: StoredRow) -> None:
        self._tombstone_by_key[row.key] = row
        while len(self._tombstone_by_key) > MAX_TOMBSTONES:
            oldest = self._tombstone_by_key.pop(next(iter(self._tombstone_by_key)))
            self._last_dropped_version = max(self._last_dropped_version, oldest.version)
