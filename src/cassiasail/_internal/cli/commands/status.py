"""``cassiasail status``: the store, the daemons and the versions of the fleet."""

from collections.abc import Iterator
from typing import Any

from ....exceptions import CommandError
from ..daemons import DaemonAnswer, ask_all, dig
from ..exit_codes import ExitCode
from ..invocation import Invocation
from ..options import usage_error
from ..session import Session, head_data, head_line
from ..status_text import (
    daemon_data,
    daemon_table,
    fleet_lines,
    refused_lines,
    widest_view,
)

# Leaf, relay, data-centre head, region head, root.
MAX_LEVELS = 4


def run() -> Invocation:
    """Show the store, the daemons and the versions of the fleet.

    Works with whatever answers: the exit code is 4 when the store does not, 5 when
    none of the daemons does.
    """
    return Invocation(action=_status)


async def _status(session: Session) -> ExitCode:
    options = session.options
    if not options.store and not options.daemons:
        raise usage_error("neither store nor daemons are set; see --store, --daemons")
    store, store_line = await _store_status(session)
    answers = await session.ask_daemons("/status")
    view = await _fleet_view(answers)
    data = {
        "store": store,
        "daemons": [daemon_data(answer) for answer in answers],
        "fleet_view": view,
    }
    session.output.result(data, _lines(store_line, answers, view))
    if store.get("reachable") is False:
        return ExitCode(store["exit_code"])
    if answers and all(answer.value is None for answer in answers):
        return ExitCode.DAEMONS_UNREACHABLE
    return ExitCode.OK


async def _fleet_view(answers: list[DaemonAnswer]) -> dict[str, Any]:
    """Return the widest view: that of an answer, or of a daemon above it.

    A daemon counts the daemons below it in the relay tree; only the root, at most
    four levels up, counts all.
    """
    values = [answer.value for answer in answers if answer.value is not None]
    view = widest_view(values)
    for _ in range(MAX_LEVELS):
        address = dig(view, "parent_admin")
        if not isinstance(address, str):
            break
        (answer,) = await ask_all([address], "/status")
        if answer.value is None:
            break
        view = widest_view([view, answer.value])
        if view is not answer.value:
            break
    return view


async def _store_status(session: Session) -> tuple[dict[str, Any], str]:
    if not session.options.store:
        return {"reachable": None}, "store: not set"
    try:
        head = await session.head()
    except CommandError as error:
        failure = {"reachable": False, "error": str(error)}
        return {**failure, "exit_code": error.exit_code}, f"store: {error}"
    milliseconds = session.slowest_request * 1000
    data = {"reachable": True, "milliseconds": milliseconds, **head_data(head)}
    line = f"store: {session.options.store} answered in {milliseconds:.0f} ms; "
    return data, line + head_line(head)


def _lines(
    store_line: str, answers: list[DaemonAnswer], view: dict[str, Any]
) -> Iterator[str]:
    yield store_line
    if not answers:
        yield "daemons: none are set"
        return
    yield ""
    yield from daemon_table(answers)
    values = [answer.value for answer in answers if answer.value is not None]
    fleet = list(fleet_lines(view))
    if fleet:
        yield ""
        yield from fleet
    for value in values:
        yield from refused_lines(value)
