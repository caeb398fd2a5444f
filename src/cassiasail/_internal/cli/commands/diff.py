"""``cassiasail diff``: what list files would change."""

from ...state.lists import diff
from ..committing import require_lists
from ..exit_codes import ExitCode
from ..invocation import Invocation
from ..output import change_data, change_lines
from ..session import Session, head_data, head_line


def run(*files: str) -> Invocation:
    """Show what list files would change in the newest version.

    Args:
        files: a directory with plans.ini and customers.ini, or the two files
    """

    async def action(session: Session) -> ExitCode:
        new = require_lists(session, files)
        if new is None:
            return ExitCode.INPUT_FAULTS
        head, old = await session.lists_of(None)
        change = diff(old, new)
        lines = list(change_lines(old, change)) or ["no changes"]
        data = {**head_data(head), "changes": change_data(change)}
        session.output.result(data, [f"against {head_line(head)}", *lines])
        return ExitCode.OK

    return Invocation(action=action)
