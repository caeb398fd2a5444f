"""Taking back one version, as an edit of the newest one.

Undo restores the rows that the version changed and leaves what later versions
changed in other rows. Where a later version changed the same row, undo stops: it
would silently take back somebody else's edit too.
"""

from dataclasses import dataclass

from ..ids import NO_VERSION, Version
from ..state.lists import Lists, apply_changes, diff
from .conflicts import changed_keys
from .history import Damaged, load_lists, read_head, read_version
from .store import Store, StoreFailure


@dataclass(frozen=True, slots=True, kw_only=True)
class UndoPlan:
    """The lists without the version's changes, and the revision to expect."""

    lists: Lists
    expected: int


@dataclass(frozen=True, slots=True, kw_only=True)
class UndoBlocked:
    """Rows that later versions changed again; ``newest`` is the newest version."""

    keys: tuple[str, ...]
    newest: Version


@dataclass(frozen=True, slots=True, kw_only=True)
class NoSuchVersion:
    """The version was never committed."""

    version: Version


UndoResult = UndoPlan | UndoBlocked | NoSuchVersion | Damaged | StoreFailure


async def plan_undo(store: Store, version: Version) -> UndoResult:
    """Return the lists that take ``version`` back, or why there are none."""
    head = await read_head(store)
    if isinstance(head, StoreFailure | Damaged):
        return head
    if not NO_VERSION < version <= head.version:
        return NoSuchVersion(version=version)
    before = await _lists_of(store, Version(version - 1))
    if not isinstance(before, Lists):
        return before
    if version == head.version:
        # Needs no look at the version itself, so a damaged one can be undone.
        return UndoPlan(lists=before, expected=head.revision)
    after = await _lists_of(store, version)
    if not isinstance(after, Lists):
        return after
    newest = await load_lists(store, head.row)
    if not isinstance(newest, Lists):
        return newest
    touched = changed_keys(diff(before, after))
    rows = newest.rows_by_key
    blocked = [key for key in touched if rows.get(key) != after.rows_by_key.get(key)]
    if blocked:
        return UndoBlocked(keys=tuple(sorted(blocked)), newest=head.version)
    restored = {
        key: before.rows_by_key[key] for key in touched if key in before.rows_by_key
    }
    lists = apply_changes(newest, restored, touched - restored.keys())
    return UndoPlan(lists=lists, expected=head.revision)


async def _lists_of(
    store: Store, version: Version
) -> Lists | NoSuchVersion | Damaged | StoreFailure:
    if version == NO_VERSION:
        return Lists()
    entry = await read_version(store, version)
    if isinstance(entry, StoreFailure):
        return entry
    if entry is None:
        return NoSuchVersion(version=version)
    if entry.row is None:
        return Damaged(name=f"version {version}", detail="its history row is damaged")
    return await load_lists(store, entry.row.head)
