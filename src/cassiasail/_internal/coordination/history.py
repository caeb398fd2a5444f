"""Reading the committed versions of the lists from the store.

Failures are returned, not raised: ``StoreFailure`` if a request to the store failed,
``Damaged`` if a row or object in the store is missing or malformed.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass

from ...exceptions import ProtocolError
from ..ids import NO_VERSION, Version
from ..state import listcodec
from ..state.listcodec import HeadRow, VersionRow
from ..state.lists import Lists, lists_from_rows
from .store import ABSENT, Store, StoreFailure

# Versions read when one is searched by revision; the store keeps the whole history.
_SCAN_LIMIT = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class Damaged:
    """A row or object of the store that is missing or malformed, and why."""

    name: str
    detail: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """The head row: the newest version, and the revision that an edit must expect.

    ``row`` is None before the first commit.
    """

    row: HeadRow | None
    revision: int

    @property
    def version(self) -> Version:
        """The newest version; ``NO_VERSION`` before the first commit."""
        return self.row.version if self.row else NO_VERSION


NO_HEAD = Head(row=None, revision=ABSENT)


@dataclass(frozen=True, slots=True, kw_only=True)
class HistoryEntry:
    """One committed version; ``row`` is None if its history row is damaged.

    ``revision`` is also the revision that the head row had at this version, because one
    transaction wrote both rows.
    """

    version: Version
    revision: int
    row: VersionRow | None


async def read_head(store: Store) -> Head | Damaged | StoreFailure:
    """Return the head row, ``NO_HEAD`` if nothing was ever committed."""
    found = await store.read([listcodec.HEAD_KEY])
    if isinstance(found, StoreFailure):
        return found
    stored = found.get(listcodec.HEAD_KEY)
    if stored is None:
        return NO_HEAD
    try:
        row = listcodec.decode_head(stored.value)
    except ProtocolError as error:
        return Damaged(name=listcodec.HEAD_KEY, detail=str(error))
    return Head(row=row, revision=stored.revision)


async def load_lists(
    store: Store, row: HeadRow | None
) -> Lists | Damaged | StoreFailure:
    """Return the lists of a version from its snapshot, verified by digest.

    Without a row, that is before the first commit, the lists are empty.
    """
    if row is None:
        return Lists()
    data = await store.get_object(row.snapshot)
    if isinstance(data, StoreFailure):
        return data
    if data is None:
        return Damaged(name=row.snapshot, detail="the object does not exist")
    try:
        snapshot = listcodec.decode_snapshot(data)
    except ProtocolError as error:
        return Damaged(name=row.snapshot, detail=str(error))
    lists = lists_from_rows(snapshot.rows_by_key)
    if snapshot.version != row.version or lists.digest != row.digest:
        return Damaged(name=row.snapshot, detail="version or digest do not match")
    return lists


async def read_history(
    store: Store, *, limit: int = 20
) -> list[HistoryEntry] | StoreFailure:
    """Return the newest ``limit`` versions, newest first."""
    found = await store.scan(listcodec.VERSION_PREFIX, limit=limit, descending=True)
    if isinstance(found, StoreFailure):
        return found
    entries = [_parse_entry(key, row.value, row.revision) for key, row in found.items()]
    return sorted(entries, key=lambda entry: -entry.version)


async def read_version(
    store: Store, version: Version
) -> HistoryEntry | None | StoreFailure:
    """Return one version of the history, None if it has no row."""
    key = listcodec.version_key(version)
    found = await store.read([key])
    if isinstance(found, StoreFailure):
        return found
    stored = found.get(key)
    return None if stored is None else _parse_entry(key, stored.value, stored.revision)


async def version_at_revision(
    store: Store, revision: int
) -> HistoryEntry | None | StoreFailure:
    """Return the version whose head row had ``revision``.

    None if none of the newest ``_SCAN_LIMIT`` versions had that revision.
    """
    entries = await read_history(store, limit=_SCAN_LIMIT)
    if isinstance(entries, StoreFailure):
        return entries
    return next((entry for entry in entries if entry.revision == revision), None)


async def entries_after(
    store: Store, version: Version, newest: Version
) -> AsyncIterator[HistoryEntry]:
    """Yield the versions above ``version``, oldest first.

    Yields nothing if the store fails, and at most the newest ``_SCAN_LIMIT`` versions.
    """
    entries = await read_history(store, limit=min(newest - version, _SCAN_LIMIT))
    if isinstance(entries, StoreFailure):
        return
    for entry in reversed(entries):
        if entry.version > version:
            yield entry


def _parse_entry(key: str, value: object, revision: int) -> HistoryEntry:
    """Parse a history row; it is damaged if its version is not the one of its key."""
    digits = key.removeprefix(listcodec.VERSION_PREFIX)
    version = Version(int(digits)) if digits.isdecimal() else NO_VERSION
    try:
        row = listcodec.decode_version(value)
    except ProtocolError:
        row = None
    if row is not None and row.head.version != version:
        row = None
    return HistoryEntry(version=version, revision=revision, row=row)
