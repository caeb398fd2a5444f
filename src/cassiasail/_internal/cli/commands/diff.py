"""``cassiasail diff``: compares list files with the newest version."""

from ...state.lists import diff
from ..committing import load_lists_or_print_faults
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
        new_lists = load_lists_or_print_faults(session, files)
        if new_lists is None:
            return ExitCode.INPUT_FAULTS
        head, old_lists = await session.read_lists(None)
        change = diff(old_lists, new_lists)
        lines = list(change_lines(old_lists, change)) or ["no changes"]
        data = {**head_data(head), "changes": change_data(change)}
        session.output.print_result(data, [f"against {head_line(head)}", *lines])
        return ExitCode.OK

    return Invocation(action=action)
