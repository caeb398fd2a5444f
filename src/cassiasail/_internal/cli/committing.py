"""Commits lists for a command and prints the outcome."""

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
from .files import load_list_files
from .output import change_data, change_lines, entry_data, entry_line, printable
from .session import Session, head_line

# Number of daemons to which a new version is offered. The daemons that poll the store
# find it within 500 ms in any case. With three, it is unlikely that all are down.
OFFER_COUNT = 3

# The codec of the store limits the length of author and comment.
MAX_AUTHOR_CHARACTERS = 256
MAX_COMMENT_CHARACTERS = 4096


def load_lists_or_print_faults(session: Session, files: Sequence[str]) -> Lists | None:
    """Return the lists of ``files``, or print all faults and return None."""
    lists = load_list_files(files)
    if isinstance(lists, Lists):
        return lists
    data = {"faults": [asdict(fault) for fault in lists]}
    session.output.print_result(data, map(str, lists))
    return None


def current_author() -> str:
    """Return the login name of the user, the default author in the history."""
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
    """Commit ``lists``, print the outcome and return the exit code.

    ``expected`` is the revision that the edit is based on. ``retry_hint`` is the
    command that repeats the edit, without ``--expect``; it is printed on a conflict.
    """
    edit = Edit(
        lists=lists,
        expected_revision=expected,
        edit_id=new_edit_id(),
        author=(author or current_author())[:MAX_AUTHOR_CHARACTERS],
        comment=comment[:MAX_COMMENT_CHARACTERS],
    )
    result = await commit(session.store, edit, clock=session.clock)
    if isinstance(result, Damaged):
        raise session.store_error(result)
    if isinstance(result, Accepted):
        return await _offer_and_print(session, result)
    if isinstance(result, Unchanged):
        line = f"no changes; version {result.version} stays the newest"
        unchanged = {"committed": False, "version": result.version}
        session.output.print_result(unchanged, [line])
        return ExitCode.OK
    if isinstance(result, Rejected):
        faults = [asdict(fault) for fault in result.faults]
        lines = (_fault_line(fault) for fault in faults)
        session.output.print_result({"committed": False, "faults": faults}, lines)
        return ExitCode.INPUT_FAULTS
    if isinstance(result, EditConflict):
        data = {"committed": False, "conflict": _conflict_data(result)}
        session.output.print_result(data, _conflict_lines(result, retry_hint))
        return ExitCode.CONFLICT
    if isinstance(result, NotWritten):
        error = session.store_error(result.failure)
        raise CommandError(f"nothing was written: {error}", exit_code=error.exit_code)
    raise _unknown_outcome_error(result)


def _fault_line(fault: dict[str, str]) -> str:
    key = f"{fault['key']}: " if fault["key"] else ""
    return printable(f"{key}{fault['problem']}; {fault['remedy']}")


def _unknown_outcome_error(result: OutcomeUnknown) -> CommandError:
    return CommandError(
        f"the store stopped responding, so it is unknown whether edit {result.edit_id} "
        "took effect. When it responds, look for it with 'cassiasail history', or "
        "repeat the command as it is: it never takes effect twice",
        exit_code=ExitCode.OUTCOME_UNKNOWN,
    )


async def _offer_and_print(session: Session, result: Accepted) -> ExitCode:
    """Offer a committed version to a few daemons and print it.

    The revision is read back from the store. It is left out if the read fails or if a
    later version has been committed in the meantime.
    """
    daemons = session.options.daemons
    offered_daemons = random.sample(daemons, min(OFFER_COUNT, len(daemons)))
    responses = await offer_to_all(offered_daemons, result.delta_object)
    head = await read_head(session.store)
    is_newest = isinstance(head, Head) and head.version == result.version
    revision = head.revision if isinstance(head, Head) and is_newest else None
    offers = [
        {
            "address": response.address,
            "taken": response.value is not None,
            "why": response.problem,
        }
        for response in responses
    ]
    data = {
        "committed": True,
        "version": result.version,
        "revision": revision,
        "offers": offers,
    }
    session.output.print_result(data, _accepted_lines(result, revision, offers))
    return ExitCode.OK


def _accepted_lines(
    result: Accepted, revision: int | None, offers: Sequence[dict[str, Any]]
) -> Iterator[str]:
    suffix = "" if revision is None else f", revision {revision}"
    yield f"committed version {result.version}{suffix}"
    accepting_addresses = [offer["address"] for offer in offers if offer["taken"]]
    if accepting_addresses:
        yield f"handed to {', '.join(accepting_addresses)}"
    for offer in offers:
        if not offer["taken"]:
            yield f"not handed to {offer['address']}: {printable(offer['why'])}"
    if not accepting_addresses:
        yield "the daemons will read it from the store"


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
        yield f"no version was found for revision {conflict.expected_revision}"
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
    """Yield the lines indented, or "nothing" if there are none."""
    is_empty = True
    for line in lines:
        is_empty = False
        yield f"  {line}"
    if is_empty:
        yield "  nothing"
