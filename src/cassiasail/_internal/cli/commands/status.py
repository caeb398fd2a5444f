"""``cassiasail status``: shows the store, the daemons and the fleet's versions."""

from collections.abc import Iterator
from typing import Any

from ....exceptions import CommandError
from ..daemons import DaemonResponse, get_nested, query_all
from ..exit_codes import ExitCode
from ..invocation import Invocation
from ..options import usage_error
from ..session import Session, head_data, head_line
from ..status_text import (
    daemon_data,
    daemon_table,
    fleet_lines,
    largest_fleet_view,
    refused_version_lines,
)

# Steps from a leaf of the relay tree to its root: relay, data-centre head, region
# head, root.
MAX_RELAY_TREE_STEPS = 4


def run() -> Invocation:
    """Show the store, the daemons and the versions of the fleet.

    Shows all responses that arrive. The exit code is 4 if the store does not respond
    and 5 if none of the daemons does.
    """
    return Invocation(action=_show_status)


async def _show_status(session: Session) -> ExitCode:
    options = session.options
    if not options.store and not options.daemons:
        raise usage_error("neither store nor daemons are set; see --store, --daemons")
    store, store_line = await _store_status(session)
    responses = await session.query_daemons("/status")
    view = await _query_largest_fleet_view(responses)
    data = {
        "store": store,
        "daemons": [daemon_data(response) for response in responses],
        "fleet_view": view,
    }
    session.output.print_result(data, _status_lines(store_line, responses, view))
    if store.get("reachable") is False:
        return ExitCode(store["exit_code"])
    if responses and all(response.value is None for response in responses):
        return ExitCode.DAEMONS_UNREACHABLE
    return ExitCode.OK


async def _query_largest_fleet_view(responses: list[DaemonResponse]) -> dict[str, Any]:
    """Return the status that counts the most daemons, of these or of their parents.

    A daemon counts the daemons below it in the relay tree, and only the root counts
    all. Parents, at most four levels up to the root, are queried as long as each
    counts more daemons than the last.
    """
    statuses = [response.value for response in responses if response.value is not None]
    view = largest_fleet_view(statuses)
    for _ in range(MAX_RELAY_TREE_STEPS):
        address = get_nested(view, "parent_admin")
        if not isinstance(address, str):
            break
        (response,) = await query_all([address], "/status")
        if response.value is None:
            break
        view = largest_fleet_view([view, response.value])
        if view is not response.value:
            break
    return view


async def _store_status(session: Session) -> tuple[dict[str, Any], str]:
    """Return the JSON fields of the store and its line of text."""
    if not session.options.store:
        return {"reachable": None}, "store: not set"
    try:
        head = await session.read_newest_head()
    except CommandError as error:
        failure = {"reachable": False, "error": str(error)}
        return {**failure, "exit_code": error.exit_code}, f"store: {error}"
    milliseconds = session.slowest_request_seconds * 1000
    data = {"reachable": True, "milliseconds": milliseconds, **head_data(head)}
    line = f"store: {session.options.store} answered in {milliseconds:.0f} ms; "
    return data, line + head_line(head)


def _status_lines(
    store_line: str, responses: list[DaemonResponse], view: dict[str, Any]
) -> Iterator[str]:
    yield store_line
    if not responses:
        yield "daemons: none are set"
        return
    yield ""
    yield from daemon_table(responses)
    statuses = [response.value for response in responses if response.value is not None]
    fleet = list(fleet_lines(view))
    if fleet:
        yield ""
        yield from fleet
    for status in statuses:
        yield from refused_version_lines(status)
