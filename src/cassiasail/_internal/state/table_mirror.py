"""A copy of one table of the store, which can tell others what changed."""

from collections.abc import Callable
from dataclasses import dataclass

# Deleted rows remembered for those that follow this copy; a follower that missed more
# takes the whole table.
MAX_TOMBSTONES = 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredRow:
    """One row; ``version`` is that of the transaction that wrote it."""

    key: str
    value: bytes
    version: int
    deleted: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class TableDelta:
    """Rows as of ``version``; ``whole`` if rows not named are gone."""

    rows: tuple[StoredRow, ...]
    version: int
    whole: bool = False


class TableMirror:
    """The rows of a table by key; a row only ever moves to a higher version.

    ``changed`` is called with each new, changed or deleted row.
    """

    def __init__(self, *, changed: Callable[[StoredRow], None]) -> None:
        self._changed = changed
        self._row_by_key: dict[str, StoredRow] = {}
        self._tombstone_by_key: dict[str, StoredRow] = {}
        self._forgotten = 0
        self.version = 0

    def apply(self, delta: TableDelta) -> bool:
        """Take over ``delta``; false if it is older than this copy."""
        if delta.version < self.version:
            return False
        if delta.whole:
            named = {row.key for row in delta.rows}
            for key in [key for key in self._row_by_key if key not in named]:
                self._take(
                    StoredRow(key=key, value=b"", version=delta.version, deleted=True)
                )
        for row in delta.rows:
            self._take(row)
        self.version = delta.version
        return True

    def since(self, version: int) -> TableDelta:
        """Return what changed behind ``version``; all rows if that is not known."""
        if version <= 0 or version < self._forgotten:
            rows = tuple(self._row_by_key.values())
            return TableDelta(rows=rows, version=self.version, whole=True)
        kept = (*self._row_by_key.values(), *self._tombstone_by_key.values())
        rows = tuple(row for row in kept if row.version > version)
        return TableDelta(rows=rows, version=self.version)

    def _take(self, row: StoredRow) -> None:
        known = self._row_by_key.get(row.key) or self._tombstone_by_key.get(row.key)
        if known is not None and row.version <= known.version:
            return
        if row.deleted:
            self._row_by_key.pop(row.key, None)
            self._bury(row)
        else:
            self._tombstone_by_key.pop(row.key, None)
            self._row_by_key[row.key] = row
        self._changed(row)

    def _bury(self, row: StoredRow) -> None:
        self._tombstone_by_key[row.key] = row
        while len(self._tombstone_by_key) > MAX_TOMBSTONES:
            oldest = self._tombstone_by_key.pop(next(iter(self._tombstone_by_key)))
            self._forgotten = max(self._forgotten, oldest.version)
