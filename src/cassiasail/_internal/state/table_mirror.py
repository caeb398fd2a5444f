"""A copy of one store table that can return its changes since a version."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from .ranges import MAX_NAME_BYTES, OutOfRangeError

# Number of tombstones (deleted rows) kept for followers. A follower that missed more of
# them gets the whole table.
MAX_TOMBSTONES = 1024
# Characters of the key of a refused row that are logged.
MAX_LOGGED_KEY = 50


class StoreVersion(NamedTuple):
    """Orders the states of the store, also across its restores from a backup.

    ``number`` rises with each transaction. A restore sets it back, and the numbers
    behind it are given out again; ``era`` rises by one with each restore. Era 0 is not
    known: the store or the daemon that the copy came from doesn't send it.
    """

    era: int
    number: int


# Version of a copy that was never read.
NO_VERSION = StoreVersion(era=0, number=0)


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredRow:
    """One row; ``version`` is the version of the transaction that wrote it."""

    key: str
    value: bytes
    version: StoreVersion
    deleted: bool = False


def row_key(value: object) -> str:
    """Return ``value`` if it can be the key of a row; raise ``OutOfRangeError`` if not.

    The store takes any text up to a limit, also with characters that can't be printed.
    """
    if type(value) is not str or not 0 < len(value) <= MAX_NAME_BYTES:
        raise OutOfRangeError("key of a row is not a text within the limit")
    try:
        value.encode()
    except UnicodeEncodeError as error:
        raise OutOfRangeError("key of a row can't be encoded") from error
    return value


@dataclass(frozen=True, slots=True, kw_only=True)
class RowRefused:
    """A row that another writer has written and that can't be used.

    ``key`` is empty if it is what can't be read.
    """

    key: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class TableDelta:
    """Changed rows up to ``version``.

    If ``whole`` is true, ``rows`` is the complete table and all other rows are deleted.
    ``refused`` are rows that were sent besides; they count as missing.
    """

    rows: tuple[StoredRow, ...]
    version: StoreVersion
    whole: bool = False
    refused: tuple[RowRefused, ...] = ()


class TableMirror:
    """The rows of a table by key; a row is only replaced by one of a higher version.

    ``changed`` is called with each new, changed or deleted row. Before the first copy
    of a later era replaces this one, ``restored`` is called with the versions of both;
    ``changed`` then gets every row of the new copy.
    """

    def __init__(
        self,
        *,
        changed: Callable[[StoredRow], None],
        restored: Callable[[StoreVersion, StoreVersion], None],
    ) -> None:
        self._changed = changed
        self._restored = restored
        self._row_by_key: dict[str, StoredRow] = {}
        self._tombstone_by_key: dict[str, StoredRow] = {}
        # Rows deleted up to this version may have no tombstone.
        self._last_dropped_version = NO_VERSION
        # Version before and after the last whole table that was applied. Rows that were
        # written and deleted between them are not known.
        self._skipped_versions = (NO_VERSION, NO_VERSION)
        self.version = NO_VERSION

    def apply(self, delta: TableDelta) -> bool:
        """Apply ``delta``; return false if it is older than this copy.

        Changes of a later era are not applied either: they continue another copy.
        """
        if delta.version < self.version:
            return False
        if delta.version.era > self.version.era:
            if not delta.whole:
                return False
            self._start_era(delta.version)
        if delta.whole:
            present_keys = {row.key for row in delta.rows}
            for key in [key for key in self._row_by_key if key not in present_keys]:
                self._apply_row(
                    StoredRow(key=key, value=b"", version=delta.version, deleted=True)
                )
            self._skip_versions(delta.version)
        for row in delta.rows:
            self._apply_row(row)
        self.version = delta.version
        return True

    def since(self, version: StoreVersion) -> TableDelta:
        """Return the rows changed after ``version``.

        Returns the whole table if ``version`` is of an earlier era, its number is 0, or
        a newer tombstone was dropped or may be missing.
        """
        is_earlier_era = version.era < self.version.era
        skipped_after, skipped_until = self._skipped_versions
        if (
            is_earlier_era
            or version.number <= 0
            or version < self._last_dropped_version
            or skipped_after < version < skipped_until
        ):
            rows = tuple(self._row_by_key.values())
            return TableDelta(rows=rows, version=self.version, whole=True)
        candidates = (*self._row_by_key.values(), *self._tombstone_by_key.values())
        rows = tuple(row for row in candidates if row.version > version)
        return TableDelta(rows=rows, version=self.version)

    def _start_era(self, version: StoreVersion) -> None:
        """Prepare for the first copy of a later era, which has ``version``."""
        self._restored(self.version, version)
        self._tombstone_by_key.clear()
        # Rows that were deleted in this era before ``version`` are not known.
        self._last_dropped_version = version

    def _skip_versions(self, until: StoreVersion) -> None:
        """Record that the versions from this copy to ``until`` are not known."""
        _, skipped_until = self._skipped_versions
        self._last_dropped_version = max(self._last_dropped_version, skipped_until)
        self._skipped_versions = (self.version, until)

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
