"""``cassiasail daemon``: shows the status of one daemon."""

from collections.abc import Iterator
from typing import Any

from ....exceptions import CommandError
from ..daemons import DaemonResponse, get_objects, query_all
from ..exit_codes import ExitCode
from ..invocation import Invocation
from ..options import check_address
from ..output import printable
from ..session import Session
from ..status_text import (
    daemon_data,
    daemon_table,
    fleet_lines,
    refused_version_lines,
    target_lines,
)


def run(address: str) -> Invocation:
    """Show the status of one daemon and its targets.

    Args:
        address: the admin address, HOST:PORT
    """
    admin_address = check_address("ADDRESS", address)

    async def action(session: Session) -> ExitCode:
        response = (await query_all([admin_address], "/status"))[0]
        if response.value is None:
            raise CommandError(
                f"the daemon at {address} sent no status: "
                f"{printable(response.problem)}; check the address, or query "
                "other daemons with 'cassiasail status'",
                exit_code=ExitCode.DAEMONS_UNREACHABLE,
            )
        session.output.print_result(
            daemon_data(response), _status_lines(response, response.value)
        )
        return ExitCode.OK

    return Invocation(action=action)


def _status_lines(response: DaemonResponse, status: dict[str, Any]) -> Iterator[str]:
    yield from daemon_table([response])
    yield f"digest: {printable(status.get('digest'))}"
    yield from refused_version_lines(status)
    yield ""
    yield from target_lines(get_objects(status, "targets"))
    yield ""
    yield from fleet_lines(status)
