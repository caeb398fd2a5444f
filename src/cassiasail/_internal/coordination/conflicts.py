"""The conflict between an edit and versions that were committed in the meantime."""

from dataclasses import dataclass

from ..ids import Version
from ..state.lists import Delta, Lists, diff
from .history import (
    Damaged,
    Head,
    HistoryEntry,
    entries_after,
    load_lists,
    read_head,
    version_at_revision,
)
from .store import ABSENT, Store, StoreFailure


@dataclass(frozen=True, slots=True, kw_only=True)
class EditConflict:
    """The head row no longer has ``expected_revision``; nothing was written.

    ``base_version`` is the version at the expected revision and ``base_lists`` are its
    lists. Relative to them, ``theirs`` is what the newest version changed and ``mine``
    what the edit would change; ``entries`` are the versions committed since. If the
    base version cannot be read, all of these are missing; ``theirs`` is missing also if
    the newest lists cannot be read. ``head`` is None if the head row cannot be read.
    """

    expected_revision: int
    head: Head | None = None
    base_version: Version | None = None
    base_lists: Lists | None = None
    theirs: Delta | None = None
    mine: Delta | None = None
    entries: tuple[HistoryEntry, ...] = ()

    @property
    def keys_changed_by_both(self) -> tuple[str, ...]:
        """Sorted keys of the rows that both ``theirs`` and ``mine`` change."""
        if self.theirs is None or self.mine is None:
            return ()
        return tuple(sorted(changed_keys(self.theirs) & changed_keys(self.mine)))


def changed_keys(delta: Delta) -> set[str]:
    """Return the keys of the rows that a delta sets or removes."""
    return {*delta.changed_by_key, *delta.removed}


async def explain_conflict(
    store: Store, edited_lists: Lists, expected_revision: int
) -> EditConflict:
    """Return the conflict of ``edited_lists`` with as much detail as can be read."""
    head = await read_head(store)
    if not isinstance(head, Head):
        return EditConflict(expected_revision=expected_revision)
    base = await _load_base(store, expected_revision)
    if base is None:
        return EditConflict(expected_revision=expected_revision, head=head)
    base_version, base_lists = base
    entries = tuple(
        [item async for item in entries_after(store, base_version, head.version)]
    )
    newest = await load_lists(store, head.row)
    theirs = diff(base_lists, newest) if isinstance(newest, Lists) else None
    return EditConflict(
        expected_revision=expected_revision,
        head=head,
        base_version=base_version,
        base_lists=base_lists,
        theirs=theirs,
        mine=diff(base_lists, edited_lists),
        entries=entries,
    )


async def _load_base(
    store: Store, expected_revision: int
) -> tuple[Version, Lists] | None:
    """Return the version at ``expected_revision`` and its lists, None if unreadable."""
    if expected_revision == ABSENT:
        return Version(0), Lists()
    entry = await version_at_revision(store, expected_revision)
    if entry is None or isinstance(entry, StoreFailure) or entry.row is None:
        return None
    lists = await load_lists(store, entry.row.head)
    if isinstance(lists, StoreFailure | Damaged):
        return None
    return entry.version, lists
