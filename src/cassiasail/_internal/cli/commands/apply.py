"""``cassiasail apply``: commits list files as a new version."""

import shlex

from ..committing import commit_lists, load_lists_or_print_faults
from ..exit_codes import ExitCode
from ..invocation import Invocation, parse_whole_number
from ..session import Session


def run(*files: str, expect: str, comment: str = "", author: str = "") -> Invocation:
    """Commit list files as a new version.

    Args:
        files: a directory with plans.ini and customers.ini, or the two files
        expect: the revision that the files are based on, from show or export
        comment: shown in the history
        author: shown in the history, by default the name of the user
    """
    expected = parse_whole_number("--expect", expect)

    async def action(session: Session) -> ExitCode:
        lists = load_lists_or_print_faults(session, files)
        if lists is None:
            return ExitCode.INPUT_FAULTS
        return await commit_lists(
            session,
            lists,
            expected=expected,
            author=author,
            comment=comment,
            retry_hint=shlex.join(["cassiasail", "apply", *files]),
        )

    return Invocation(action=action)
