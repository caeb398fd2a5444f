"""Committing an edit of both lists as a new version.

An edit is one transaction, conditional on the revision of the head row that the
operator saw. The transaction is sent at most once. It also requires that the row of
its edit id is absent, so that a second conditional write can fence it: whichever of
the two comes first makes the other impossible, and a transaction that is still on
its way after a lost answer cannot land behind the operator's back.
"""

import random
import uuid
from dataclasses import dataclass

from ...exceptions import ProtocolError
from .. import invariants
from ..clock import Clock
from ..ids import NO_VERSION, EditId, Version
from ..state import listcodec
from ..state.listcodec import HeadRow, VersionRow
from ..state.lists import Delta, Lists, Snapshot, apply_changes, diff
from ..state.routes import RowFault, find_row_faults
from .conflicts import EditConflict, explain_conflict
from .history import Damaged, Head, load_lists, read_head
from .store import (
    ABSENT,
    Committed,
    Condition,
    Conflict,
    Put,
    Store,
    StoreFailure,
    StoreFailureReason,
)

# Objects are immutable and named by edit id, so writing one again is harmless.
OBJECT_ATTEMPTS = 3

# Reads of the edit row that find it absent before the transaction is fenced. A store
# that is slow usually completes the write by the second read, which saves the
# operator a repetition.
READS_BEFORE_FENCE = 2

# Seconds to look for the outcome of a transaction whose answer was lost.
RESOLVE_SECONDS = 20.0
_FIRST_PAUSE = 0.25
_LONGEST_PAUSE = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Edit:
    """New lists, to be committed if the head row still has revision ``expected``."""

    lists: Lists
    expected: int
    edit_id: EditId
    author: str
    comment: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Accepted:
    """The edit is the new version; ``delta_object`` is what daemons may be sent."""

    version: Version
    delta: Delta
    delta_object: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Unchanged:
    """The edit changes nothing, so there is no new version."""

    version: Version


@dataclass(frozen=True, slots=True, kw_only=True)
class Rejected:
    """The lists have faults; nothing was written."""

    faults: tuple[RowFault, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class NotWritten:
    """The store failed, and the edit certainly is not and will not be a version."""

    failure: StoreFailure


@dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeUnknown:
    """The store failed for so long that the fate of the edit could not be read."""

    edit_id: EditId


CommitResult = (
    Accepted | Unchanged | Rejected | EditConflict | NotWritten | OutcomeUnknown
)


def new_edit_id() -> EditId:
    """Return an edit id that no other operator has."""
    return EditId(uuid.uuid4().hex)


async def commit(store: Store, edit: Edit, *, clock: Clock) -> CommitResult | Damaged:
    """Commit ``edit``, and after a lost answer find out what became of it.

    ``Damaged`` is returned only for an unreadable head row. A damaged snapshot of
    the head does not prevent the edit, because the edit is how it gets replaced.
    """
    faults = tuple(find_row_faults(edit.lists)) or _empty_fault(edit.lists)
    if faults:
        return Rejected(faults=faults)
    head = await read_head(store)
    if isinstance(head, StoreFailure):
        return NotWritten(failure=head)
    if isinstance(head, Damaged):
        return head
    if head.revision != edit.expected:
        return await explain_conflict(store, edit.lists, edit.expected)
    base = await load_lists(store, head.row)
    if isinstance(base, StoreFailure):
        return NotWritten(failure=base)
    return await _write(store, edit, head, base, clock)


async def _write(
    store: Store, edit: Edit, head: Head, base: Lists | Damaged, clock: Clock
) -> CommitResult:
    # Daemons refuse a delta over a damaged version by its digest and fetch the
    # snapshot, so any base serves.
    old = Lists() if isinstance(base, Damaged) else base
    change = diff(old, edit.lists)
    if not change.changed_by_key and not change.removed and old is base:
        return Unchanged(version=head.version)
    # Taken over from the old rows where equal: 50 and 50.0 are equal and hash
    # differently, and the digest must be the one that daemons compute.
    new = apply_changes(old, change.changed_by_key, change.removed)
    version = Version(head.version + 1)
    delta = diff(old, new, base=head.version, version=version)
    snapshot = Snapshot(version=version, digest=new.digest, rows_by_key=new.rows_by_key)
    try:
        delta_object = listcodec.encode_delta(delta)
        snapshot_object = listcodec.encode_snapshot(snapshot)
    except ProtocolError as error:
        fault = RowFault(key="", problem=str(error), remedy="shorten the lists")
        return Rejected(faults=(fault,))
    row = HeadRow(
        version=version,
        digest=new.digest,
        edit_id=edit.edit_id,
        snapshot=listcodec.snapshot_name(edit.edit_id),
        delta=listcodec.delta_name(edit.edit_id),
    )
    objects = ((row.snapshot, snapshot_object), (row.delta, delta_object))
    for name, data in objects:
        failure = await _put_object(store, name, data, clock)
        if failure is not None:
            return NotWritten(failure=failure)
    accepted = Accepted(version=version, delta=delta, delta_object=delta_object)
    return await _transact(store, edit, row, accepted, clock)


async def _put_object(
    store: Store, name: str, data: bytes, clock: Clock
) -> StoreFailure | None:
    pause = _FIRST_PAUSE
    for attempt in range(OBJECT_ATTEMPTS):
        failure = await store.put_object(name, data)
        if failure is None or attempt == OBJECT_ATTEMPTS - 1:
            return failure
        pause = await _pause(clock, pause)
    return None


async def _transact(
    store: Store, edit: Edit, row: HeadRow, accepted: Accepted, clock: Clock
) -> CommitResult:
    edit_key = listcodec.edit_key(edit.edit_id)
    history_row = VersionRow(
        head=row, author=edit.author, time=clock.wall(), comment=edit.comment
    )
    result = await store.transact(
        [
            Condition(key=listcodec.HEAD_KEY, revision=edit.expected),
            Condition(key=edit_key, revision=ABSENT),
        ],
        [
            Put(key=listcodec.HEAD_KEY, value=listcodec.encode_head(row)),
            Put(
                key=listcodec.version_key(row.version),
                value=listcodec.encode_version(history_row),
            ),
            Put(key=edit_key, value=listcodec.encode_edit(row.version)),
        ],
    )
    if isinstance(result, Committed):
        return accepted
    if isinstance(result, StoreFailure) and not result.effect_unknown:
        return NotWritten(failure=result)
    if isinstance(result, Conflict) and edit_key not in result.rows_by_key:
        return await explain_conflict(store, edit.lists, edit.expected)
    # The answer was lost, or a layer below sent the request twice.
    failure = result if isinstance(result, StoreFailure) else _LOST
    landed = await read_back(store, edit.edit_id, clock=clock)
    if landed is None:
        return OutcomeUnknown(edit_id=edit.edit_id)
    if landed == NO_VERSION:
        return NotWritten(failure=failure)
    invariants.check(
        "edit_landed_once", landed == accepted.version, f"{landed} {accepted.version}"
    )
    return accepted


_LOST = StoreFailure(reason=StoreFailureReason.TIMEOUT, effect_unknown=True)


async def read_back(store: Store, edit_id: EditId, *, clock: Clock) -> Version | None:
    """Return the version an edit became, ``NO_VERSION`` if it never will be one.

    None means that the store did not tell within ``RESOLVE_SECONDS``.
    """
    key = listcodec.edit_key(edit_id)
    give_up_at = clock.now() + RESOLVE_SECONDS
    absent_reads = 0
    pause = _FIRST_PAUSE
    while True:
        found = await store.read([key])
        if not isinstance(found, StoreFailure):
            stored = found.get(key)
            if stored is not None:
                return _landed(stored.value)
            absent_reads += 1
            if absent_reads >= READS_BEFORE_FENCE and await _fence(store, key):
                return NO_VERSION
        if clock.now() >= give_up_at:
            return None
        pause = await _pause(clock, pause)


def _landed(value: object) -> Version | None:
    try:
        return listcodec.decode_edit(value)
    except ProtocolError:
        return None


async def _fence(store: Store, key: str) -> bool:
    """Make the transaction of an edit impossible; return whether that is certain."""
    value = listcodec.encode_edit(NO_VERSION)
    result = await store.transact(
        [Condition(key=key, revision=ABSENT)], [Put(key=key, value=value)]
    )
    # After a conflict or a lost answer the next read tells which write came first.
    return isinstance(result, Committed)


async def _pause(clock: Clock, pause: float) -> float:
    """Sleep with jitter and return the next pause."""
    await clock.sleep(random.uniform(pause / 2, pause))
    return min(2 * pause, _LONGEST_PAUSE)


def _empty_fault(lists: Lists) -> tuple[RowFault, ...]:
    if lists.rows_by_key:
        return ()
    return (
        RowFault(
            key="",
            problem="the lists would be empty",
            remedy="an empty configuration is never valid; keep at least one row",
        ),
    )
