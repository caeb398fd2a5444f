"""Reverting one version by an edit of the newest one.

Undo restores the rows that the version changed and keeps the changes of later versions
in other rows. If a later version changed one of the same rows, undo is blocked, because
it would silently revert that later edit as well.
"""

from dataclasses import dataclass

from ..ids import NO_VERSION, Version
from ..state.lists import Lists, apply_changes, diff
from .conflicts import changed_keys
from .history import Damaged, load_lists, read_head, read_version
from .store import Store, StoreFailure


@dataclass(frozen=True, slots=True, kw_only=True)
class UndoPlan:
    """The newest lists without the changes of the version, ready to be committed.

    ``expected_revision`` is the revision of the head row that the lists are based on.
    """

    lists: Lists
    expected_revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class UndoBlocked:
    """The rows ``keys`` were changed again later; ``newest`` is the newest version."""

    keys: tuple[str, ...]
    newest: Version


@dataclass(frozen=True, slots=True, kw_only=True)
class NoSuchVersion:
    """The version was never committed."""

    version: Version


UndoResult = UndoPlan | UndoBlocked | NoSuchVersion | Damaged | StoreFailure


async def plan_undo(store: Store, version: Version) -> UndoResult:
    """Return the lists that revert ``version``, or why it cannot be reverted."""
    head = await read_head(store)
    if isinstance(head, StoreFailure | Damaged):
        return head
    if not NO_VERSION < version <= head.version:
        return NoSuchVersion(version=version)
    before = await _load_version(store, Version(version - 1))
    if not isinstance(before, Lists):
        return before
    if version == head.version:
        # The version itself is not read, so that a damaged one can be undone.
        return UndoPlan(lists=before, expected_revision=head.revision)
    after = await _load_version(store, version)
    if not isinstance(after, Lists):
        return after
    newest = await load_lists(store, head.row)
    if not isinstance(newest, Lists):
        return newest
    changed = changed_keys(diff(before, after))
    rows = newest.rows_by_key
    blocked = [key for key in changed if rows.get(key) != after.rows_by_key.get(key)]
    if blocked:
        return UndoBlocked(keys=tuple(sorted(blocked)), newest=head.version)
    restored = {
        key: before.rows_by_key[key] for key in changed if key in before.rows_by_key
    }
    lists = apply_changes(newest, restored, changed - restored.keys())
    return UndoPlan(lists=lists, expected_revision=head.revision)


async def _load_version(
    store: Store, version: Version
) -> Lists | NoSuchVersion | Damaged | StoreFailure:
    """Return the lists of one version; those of ``NO_VERSION`` are empty."""
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
