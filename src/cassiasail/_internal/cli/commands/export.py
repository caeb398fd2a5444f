"""``cassiasail export``: writes the lists of a version to files."""

from pathlib import Path

from ...ids import Version
from ..exit_codes import ExitCode
from ..exporting import write_list_files
from ..invocation import Invocation, parse_whole_number
from ..session import Session, head_data, head_line


def run(directory: str, *, version: str = "", force: bool = False) -> Invocation:
    """Write plans.ini and customers.ini to a directory.

    Args:
        directory: created if it does not exist
        version: export this version instead of the newest one
        force: replace files that exist
    """
    requested = Version(parse_whole_number("--version", version)) if version else None

    async def action(session: Session) -> ExitCode:
        head, lists = await session.read_lists(requested)
        paths = write_list_files(head, lists, Path(directory), replace=force)
        newest = await session.read_newest_head()
        data = {**head_data(head), "files": [str(path) for path in paths]}
        lines = [head_line(head), *(f"wrote {path}" for path in paths)]
        lines.append(f"apply with --expect {newest.revision}")
        session.output.print_result({**data, "expect": newest.revision}, lines)
        return ExitCode.OK

    return Invocation(action=action)
