"""``cassiasail daemon``: the status of one daemon."""

from collections.abc import Iterator
from typing import Any

from ....exceptions import CommandError
from ..daemons import DaemonAnswer, ask_all, dig_list
from ..exit_codes import ExitCode
from ..invocation import Invocation
from ..options import check_address
from ..output import show
from ..session import Session
from ..status_text import (
    daemon_data,
    daemon_table,
    fleet_lines,
    refused_lines,
    target_lines,
)


def run(address: str) -> Invocation:
    """Show the status of one daemon and its targets.

    Args:
        address: the admin address, HOST:PORT
    """
    checked = check_address("ADDRESS", address)

    async def action(session: Session) -> ExitCode:
        answer = (await ask_all([checked], "/status"))[0]
        if answer.value is None:
            raise CommandError(
                f"the daemon at {address} gave no status: {show(answer.problem)}; "
                "check the address, or ask another daemon with 'cassiasail status'",
                exit_code=ExitCode.DAEMONS_UNREACHABLE,
            )
        session.output.result(daemon_data(answer), _lines(answer, answer.value))
        return ExitCode.OK

    return Invocation(action=action)


def _lines(answer: DaemonAnswer, value: dict[str, Any]) -> Iterator[str]:
    yield from daemon_table([answer])
    yield f"digest: {show(value.get('digest'))}"
    yield from refused_lines(value)
    yield ""
    yield from target_lines(dig_list(value, "targets"))
    yield ""
    yield from fleet_lines(value)
