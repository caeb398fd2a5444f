"""``cassiasail validate``: checks list files without the store."""

from collections import Counter
from dataclasses import asdict

from ...state.lists import split_key
from ..exit_codes import ExitCode
from ..files import load_list_files
from ..invocation import Invocation
from ..session import Session


def run(*files: str) -> Invocation:
    """Check list files and print all faults, each with its line and a remedy.

    Args:
        files: a directory with plans.ini and customers.ini, or the two files
    """

    async def action(session: Session) -> ExitCode:
        lists = load_list_files(files)
        if isinstance(lists, list):
            data = [asdict(fault) for fault in lists]
            session.output.print_result({"faults": data}, map(str, lists))
            return ExitCode.INPUT_FAULTS
        counts = Counter(split_key(key)[0] for key in lists.rows_by_key)
        text = ", ".join(f"{count} {kind}" for kind, count in sorted(counts.items()))
        session.output.print_result(
            {"faults": [], "rows": counts}, [f"no faults; {text}"]
        )
        return ExitCode.OK

    return Invocation(action=action)
