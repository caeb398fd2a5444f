"""What an operator is shown when an edit does not fit the newest version."""

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
    version_at,
)
from .store import ABSENT, Store, StoreFailure


@dataclass(frozen=True, slots=True, kw_only=True)
class EditConflict:
    """Others committed first; nothing of the edit was written.

    ``old`` are the lists of version ``base``, which the edit expected; ``theirs`` is
    what changed since, ``mine`` what the edit would change. They are None when that
    version cannot be read, ``head`` when the newest one cannot.
    """

    expected: int
    head: Head | None = None
    base: Version | None = None
    old: Lists | None = None
    theirs: Delta | None = None
    mine: Delta | None = None
    entries: tuple[HistoryEntry, ...] = ()

    @property
    def both(self) -> tuple[str, ...]:
        """Keys of the rows that both sides changed, in order."""
        if self.theirs is None or self.mine is None:
            return ()
        return tuple(sorted(changed_keys(self.theirs) & changed_keys(self.mine)))


def changed_keys(delta: Delta) -> set[str]:
    """Return the keys of the rows that a delta sets or removes."""
    return {*delta.changed_by_key, *delta.removed}


async def explain_conflict(store: Store, mine: Lists, expected: int) -> EditConflict:
    """Return the conflict of ``mine``, with as much detail as the store gives."""
    head = await read_head(store)
    if not isinstance(head, Head):
        return EditConflict(expected=expected)
    base = await _base(store, expected)
    if base is None:
        return EditConflict(expected=expected, head=head)
    version, old = base
    entries = tuple(
        [item async for item in entries_after(store, version, head.version)]
    )
    newest = await load_lists(store, head.row)
    theirs = diff(old, newest) if isinstance(newest, Lists) else None
    return EditConflict(
        expected=expected,
        head=head,
        base=version,
        old=old,
        theirs=theirs,
        mine=diff(old, mine),
        entries=entries,
    )


async def _base(store: Store, expected: int) -> tuple[Version, Lists] | None:
    """Return the version and lists that an operator saw at revision ``expected``."""
    if expected == ABSENT:
        return Version(0), Lists()
    entry = await version_at(store, expected)
    if entry is None or isinstance(entry, StoreFailure) or entry.row is None:
        return None
    lists = await load_lists(store, entry.row.head)
    if isinstance(lists, StoreFailure | Damaged):
        return None
    return entry.version, lists
