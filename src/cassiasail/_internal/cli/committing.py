"""Committing from the command line and telling the operator the outcome."""

import getpass
import random
from collections.abc import Iterator, Sequence
from dataclasses import asdict
from typing import Any

from ...exceptions import CommandError
from ..coordination.commits import (
    Accepted,
    Edit,
    NotWritten,
    OutcomeUnknown,
    Rejected,
    Unchanged,
    commit,
    new_edit_id,
)
from ..coordination.conflicts import EditConflict
from ..coordination.history import Damaged, Head, read_head
from ..state.lists import Lists
from .daemons import offer_to_all
from .exit_codes import ExitCode
from .files import load_lists
from .output import change_data, change_lines, entry_data, entry_line, show
from .session import Session, head_line

# Daemons that are handed a new version. The pollers find it within 500 ms anyway,
# and three make it unlikely that all of them are down.
OFFERS = 3

# Characters; the codec of the store bounds author and comment.
MAX_AUTHOR = 256
MAX_COMMENT = 4096


def require_lists(session: Session, files: Sequence[str]) -> Lists | None:
    """Return the lists of ``files``, or print every fault and return None."""
    lists = load_lists(files)
    if isinstance(lists, Lists):
        return lists
    data = {"faults": [asdict(fault) for fault in lists]}
    session.output.result(data, map(str, lists))
    return None


def current_author() -> str:
    """Return the name of the user, for the history."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


async def commit_lists(
    session: Session,
    lists: Lists,
    *,
    expected: int,
    author: str,
    comment: str,
    retry_hint: str,
) -> ExitCode:
    """Commit ``lists`` and print what became of them.

    ``retry_hint`` is the command, without ``--expect``, that repeats the edit.
    """
    edit = Edit(
        lists=lists,
        expected_revision=expected,
        edit_id=new_edit_id(),
        author=(author or current_author())[:MAX_AUTHOR],
        comment=comment[:MAX_COMMENT],
    )
    result = await commit(session.store, edit, clock=session.clock)
    if isinstance(result, Damaged):
        raise session.error_of(result)
    if isinstance(result, Accepted):
        return await _accepted(session, result)
    if isinstance(result, Unchanged):
        line = f"no changes; version {result.version} stays the newest"
        unchanged = {"committed": False, "version": result.version}
        session.output.result(unchanged, [line])
        return ExitCode.OK
    if isinstance(result, Rejected):
        faults = [asdict(fault) for fault in result.faults]
        lines = (_fault_line(fault) for fault in faults)
        session.output.result({"committed": False, "faults": faults}, lines)
        return ExitCode.INPUT_FAULTS
    if isinstance(result, EditConflict):
        data = {"committed": False, "conflict": _conflict_data(result)}
        session.output.result(data, _conflict_lines(result, retry_hint))
        return ExitCode.CONFLICT
    if isinstance(result, NotWritten):
        error = session.error_of(result.failure)
        raise CommandError(f"nothing was written: {error}", exit_code=error.exit_code)
    raise _unknown_outcome(result)


def _fault_line(fault: dict[str, str]) -> str:
    key = f"{fault['key']}: " if fault["key"] else ""
    return show(f"{key}{fault['problem']}; {fault['remedy']}")


def _unknown_outcome(result: OutcomeUnknown) -> CommandError:
    return CommandError(
        f"the store stopped answering, so it is unknown whether edit {result.edit_id} "
        "took effect. When it answers, look for it with 'cassiasail history', or "
        "repeat the command as it is: it never takes effect twice",
        exit_code=ExitCode.OUTCOME_UNKNOWN,
    )


async def _accepted(session: Session, result: Accepted) -> ExitCode:
    daemons = session.options.daemons
    chosen = random.sample(daemons, min(OFFERS, len(daemons)))
    answers = await offer_to_all(chosen, result.delta_object)
    head = await read_head(session.store)
    same = isinstance(head, Head) and head.version == result.version
    revision = head.revision if isinstance(head, Head) and same else None
    offers = [
        {"address": item.address, "taken": item.value is not None, "why": item.problem}
        for item in answers
    ]
    data = {
        "committed": True,
        "version": result.version,
        "revision": revision,
        "offers": offers,
    }
    session.output.result(data, _accepted_lines(result, revision, offers))
    return ExitCode.OK


def _accepted_lines(
    result: Accepted, revision: int | None, offers: Sequence[dict[str, Any]]
) -> Iterator[str]:
    suffix = "" if revision is None else f", revision {revision}"
    yield f"committed version {result.version}{suffix}"
    taken = [offer["address"] for offer in offers if offer["taken"]]
    if taken:
        yield f"handed to {', '.join(taken)}"
    for offer in offers:
        if not offer["taken"]:
            yield f"not handed to {offer['address']}: {show(offer['why'])}"
    if not taken:
        yield "the daemons fetch it from the store"


def _conflict_data(conflict: EditConflict) -> dict[str, Any]:
    head = conflict.head
    return {
        "expected_revision": conflict.expected_revision,
        "expected_version": conflict.base_version,
        "version": head.version if head else None,
        "revision": head.revision if head else None,
        "versions": [entry_data(entry) for entry in conflict.entries],
        "theirs": change_data(conflict.theirs) if conflict.theirs else None,
        "mine": change_data(conflict.mine) if conflict.mine else None,
        "both": list(conflict.keys_changed_by_both),
    }


def _conflict_lines(conflict: EditConflict, retry_hint: str) -> Iterator[str]:
    yield (
        f"conflict: revision {conflict.expected_revision} is not the newest; "
        "nothing written"
    )
    if conflict.head is None:
        yield "the newest version cannot be read now; try 'cassiasail show' later"
        return
    yield f"newest is {head_line(conflict.head)}"
    if conflict.base_lists is None or conflict.mine is None:
        yield f"no version is known by revision {conflict.expected_revision}"
    else:
        yield from map(entry_line, conflict.entries)
        yield "changed by others:"
        if conflict.theirs is None:
            yield "  unknown, the newest version cannot be read"
        else:
            yield from _indented(change_lines(conflict.base_lists, conflict.theirs))
        yield "changed by you:"
        yield from _indented(change_lines(conflict.base_lists, conflict.mine))
        if conflict.keys_changed_by_both:
            yield "changed by both:"
            yield from _indented(conflict.keys_changed_by_both)
    yield "your input is kept as it is; take over what others changed, then run"
    yield f"  {retry_hint} --expect {conflict.head.revision}"


def _indented(lines: Sequence[str] | Iterator[str]) -> Iterator[str]:
    empty = True
    for line in lines:
        empty = False
        yield f"  {line}"
    if empty:
        yield "  nothing"
