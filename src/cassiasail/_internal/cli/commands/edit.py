"""``cassiasail edit``: opens the newest lists in the operator's editor."""

import os
import shlex
import tempfile
from collections.abc import Callable
from pathlib import Path

from ..exit_codes import ExitCode
from ..exporting import write_list_files
from ..invocation import Invocation
from ..options import usage_error
from ..session import Session


def run(directory: str = "") -> Invocation:
    """Export the newest lists, open them in $EDITOR and print how to apply them.

    The editor replaces this process; no child process is started. The files are never
    deleted, even if the edit is not applied.

    Args:
        directory: where the files are written, by default a new temporary directory
    """

    async def action(session: Session) -> ExitCode:
        head, lists = await session.read_lists(None)
        output_directory = Path(directory or tempfile.mkdtemp(prefix="cassiasail-"))
        paths = write_list_files(head, lists, output_directory, replace=False)
        names = [str(path) for path in paths]
        apply_command = shlex.join(["cassiasail", "apply", *names])
        full_command = f"{apply_command} --expect {head.revision}"
        session.output.print_result(
            {"files": names, "expect": head.revision, "apply": full_command},
            ["when the files are edited, run", f"  {full_command}"],
        )
        try:
            editor = shlex.split(os.environ.get("EDITOR", ""))
        except ValueError as error:
            raise usage_error(f"EDITOR is malformed ({error}); the files are written")
        if editor:
            session.after_close = _exec_editor([*editor, *names])
        else:
            session.output.print_note("EDITOR is not set; open the files in an editor")
        return ExitCode.OK

    return Invocation(action=action)


def _exec_editor(command: list[str]) -> Callable[[], None]:
    """Return a function that replaces this process by ``command``."""

    def exec_editor() -> None:
        try:
            os.execvp(command[0], command)
        except OSError as error:
            raise usage_error(
                f"cannot run EDITOR {command[0]!r}: {error.strerror}; the files are "
                "written, open them in another editor"
            )

    return exec_editor
