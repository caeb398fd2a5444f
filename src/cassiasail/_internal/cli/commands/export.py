"""``cassiasail export``: the lists as files."""

from pathlib import Path

from ...ids import Version
from ..exit_codes import ExitCode
from ..exporting import export_lists
from ..invocation import Invocation, parse_whole
from ..session import Session, head_data, head_line


def run(directory: str, *, version: str = "", force: bool = False) -> Invocation:
    """Write plans.ini and customers.ini to a directory.

    Args:
        directory: made if it does not exist
        version: export this version instead of the newest one
        force: replace files that exist
    """
    chosen = Version(parse_whole("--version", version)) if version else None

    async def action(session: Session) -> ExitCode:
        head, lists = await session.lists_of(chosen)
        paths = export_lists(head, lists, Path(directory), replace=force)
        newest = await session.head()
        data = {**head_data(head), "files": [str(path) for path in paths]}
        lines = [head_line(head), *(f"wrote {path}" for path in paths)]
        lines.append(f"apply with --expect {newest.revision}")
        session.output.result({**data, "expect": newest.revision}, lines)
        return ExitCode.OK

    return Invocation(action=action)
