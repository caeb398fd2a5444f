"""Committing an edit of the configuration lists as a new version.

An edit is one transaction, conditional on the revision of the head row that the edit
is based on, and is sent at most once. It also requires that the row of its edit id is
absent, and creates that row. If the response to the transaction is lost, a second write
with the same condition fences it: whichever of the two takes effect first prevents the
other. Thus a delayed transaction cannot take effect after the operator was informed
that nothing was written.
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

# Times one object is written before the commit fails. Objects are immutable and named
# by edit id, so writing one again is harmless.
OBJECT_WRITE_ATTEMPTS = 3

# Times the edit row must be read as absent before the transaction is fenced. A slow
# store has usually completed the transaction by the second read, so that the operator
# need not repeat the command.
ABSENT_READS_BEFORE_FENCE = 2

# How long the outcome of a transaction is read if its response was lost.
RESOLVE_SECONDS = 20.0
_FIRST_PAUSE_SECONDS = 0.25
_MAX_PAUSE_SECONDS = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Edit:
    """New lists, to be committed if the head row has ``expected_revision``."""

    lists: Lists
    expected_revision: int
    edit_id: EditId
    author: str
    comment: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Accepted:
    """The edit was committed as ``version``.

    ``delta_object`` is the encoded delta, which may be sent to daemons.
    """

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
    """The store failed; the edit was not committed and never will be."""

    failure: StoreFailure


@dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeUnknown:
    """The store failed for so long that the outcome of the edit could not be read."""

    edit_id: EditId


CommitResult = (
    Accepted | Unchanged | Rejected | EditConflict | NotWritten | OutcomeUnknown
)


def new_edit_id() -> EditId:
    """Return a random edit id that no other edit has."""
    return EditId(uuid.uuid4().hex)


async def commit(store: Store, edit: Edit, *, clock: Clock) -> CommitResult | Damaged:
    """Commit ``edit``; if the response is lost, find out whether it took effect.

    ``Damaged`` is returned only for a malformed head row. A damaged snapshot of the
    newest version does not prevent the edit, because an edit is the way to replace it.
    """
    faults = tuple(find_row_faults(edit.lists)) or _fault_if_empty(edit.lists)
    if faults:
        return Rejected(faults=faults)
    head = await read_head(store)
    if isinstance(head, StoreFailure):
        return NotWritten(failure=head)
    if isinstance(head, Damaged):
        return head
    if head.revision != edit.expected_revision:
        return await explain_conflict(store, edit.lists, edit.expected_revision)
    base = await load_lists(store, head.row)
    if isinstance(base, StoreFailure):
        return NotWritten(failure=base)
    return await _write_version(store, edit, head, base, clock)


async def _write_version(
    store: Store, edit: Edit, head: Head, base: Lists | Damaged, clock: Clock
) -> CommitResult:
    """Write the objects of the new version, then send the transaction.

    Returns ``Unchanged`` without writing if the edit equals the readable ``base``.
    """
    # A damaged base may be replaced by any lists: daemons refuse the resulting delta
    # by its digest and read the snapshot instead.
    old = Lists() if isinstance(base, Damaged) else base
    change = diff(old, edit.lists)
    if not change.changed_by_key and not change.removed and old is base:
        return Unchanged(version=head.version)
    # Rows that are equal keep their old value: 50 and 50.0 are equal but have different
    # digests, and the digest must be the one that daemons compute.
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
    return await _commit_version(store, edit, row, accepted, clock)


async def _put_object(
    store: Store, name: str, data: bytes, clock: Clock
) -> StoreFailure | None:
    pause = _FIRST_PAUSE_SECONDS
    for attempt in range(OBJECT_WRITE_ATTEMPTS):
        failure = await store.put_object(name, data)
        if failure is None or attempt == OBJECT_WRITE_ATTEMPTS - 1:
            return failure
        pause = await _sleep_with_jitter(clock, pause)
    return None


async def _commit_version(
    store: Store, edit: Edit, row: HeadRow, accepted: Accepted, clock: Clock
) -> CommitResult:
    """Send the transaction once; if its outcome is unclear, read it from the store."""
    edit_key = listcodec.edit_key(edit.edit_id)
    history_row = VersionRow(
        head=row, author=edit.author, time=clock.wall(), comment=edit.comment
    )
    result = await store.transact(
        [
            Condition(key=listcodec.HEAD_KEY, revision=edit.expected_revision),
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
        return await explain_conflict(store, edit.lists, edit.expected_revision)
    # The response was lost, or the edit row exists because a lower layer sent the
    # transaction twice.
    failure = result if isinstance(result, StoreFailure) else _RESPONSE_LOST
    committed = await resolve_outcome(store, edit.edit_id, clock=clock)
    if committed is None:
        return OutcomeUnknown(edit_id=edit.edit_id)
    if committed == NO_VERSION:
        return NotWritten(failure=failure)
    invariants.check(
        "edit_landed_once",
        committed == accepted.version,
        f"{committed} {accepted.version}",
    )
    return accepted


_RESPONSE_LOST = StoreFailure(reason=StoreFailureReason.TIMEOUT, effect_unknown=True)


async def resolve_outcome(
    store: Store, edit_id: EditId, *, clock: Clock
) -> Version | None:
    """Return the version that an edit was committed as.

    Returns ``NO_VERSION`` if the edit was not committed and never will be, and None if
    the store did not show the outcome within ``RESOLVE_SECONDS``.
    """
    key = listcodec.edit_key(edit_id)
    deadline = clock.now() + RESOLVE_SECONDS
    absent_reads = 0
    pause = _FIRST_PAUSE_SECONDS
    while True:
        found = await store.read([key])
        if not isinstance(found, StoreFailure):
            stored = found.get(key)
            if stored is not None:
                return _version_in_edit_row(stored.value)
            absent_reads += 1
            if absent_reads >= ABSENT_READS_BEFORE_FENCE and await _fence_edit(
                store, key
            ):
                return NO_VERSION
        if clock.now() >= deadline:
            return None
        pause = await _sleep_with_jitter(clock, pause)


def _version_in_edit_row(value: object) -> Version | None:
    try:
        return listcodec.decode_edit(value)
    except ProtocolError:
        return None


async def _fence_edit(store: Store, key: str) -> bool:
    """Create the edit row without a version, so that its transaction cannot commit.

    Returns whether the store confirmed the row.
    """
    value = listcodec.encode_edit(NO_VERSION)
    result = await store.transact(
        [Condition(key=key, revision=ABSENT)], [Put(key=key, value=value)]
    )
    # After a conflict or a lost response, the next read of the edit row shows which
    # of the two writes took effect.
    return isinstance(result, Committed)


async def _sleep_with_jitter(clock: Clock, pause: float) -> float:
    """Sleep between half of ``pause`` and all of it; return the next, doubled pause."""
    await clock.sleep(random.uniform(pause / 2, pause))
    return min(2 * pause, _MAX_PAUSE_SECONDS)


def _fault_if_empty(lists: Lists) -> tuple[RowFault, ...]:
    if lists.rows_by_key:
        return ()
    return (
        RowFault(
            key="",
            problem="the lists would be empty",
            remedy="an empty configuration is never valid; keep at least one row",
        ),
    )
