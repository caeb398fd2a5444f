"""``cassiasail edit``: the newest lists in the operator's editor."""

import os
import shlex
import tempfile
from collections.abc import Callable
from pathlib import Path

from ..exit_codes import ExitCode
from ..exporting import export_lists
from ..invocation import Invocation
from ..options import usage_error
from ..session import Session


def run(directory: str = "") -> Invocation:
    """Export the newest lists, open them in $EDITOR and print how to apply them.

    The editor takes the place of this process, which starts no other process. The
    files stay where they are whatever happens to the edit.

    Args:
        directory: for the files, by default a new temporary one
    """

    async def action(session: Session) -> ExitCode:
        head, lists = await session.lists_of(None)
        place = Path(directory or tempfile.mkdtemp(prefix="cassiasail-"))
        paths = export_lists(head, lists, place, replace=False)
        names = [str(path) for path in paths]
        apply = shlex.join(["cassiasail", "apply", *names])
        command = f"{apply} --expect {head.revision}"
        session.output.result(
            {"files": names, "expect": head.revision, "apply": command},
            ["when the files are edited, run", f"  {command}"],
        )
        try:
            editor = shlex.split(os.environ.get("EDITOR", ""))
        except ValueError as error:
            raise usage_error(f"EDITOR is malformed ({error}); the files are written")
        if editor:
            session.last_step = _replace_process([*editor, *names])
        else:
            session.output.note("EDITOR is not set; open the files in an editor")
        return ExitCode.OK

    return Invocation(action=action)


def _replace_process(command: list[str]) -> Callable[[], None]:
    def step() -> None:
        try:
            os.execvp(command[0], command)
        except OSError as error:
            raise usage_error(
                f"cannot run EDITOR {command[0]!r}: {error.strerror}; the files are "
                "written, open them in another editor"
            )

    return step
