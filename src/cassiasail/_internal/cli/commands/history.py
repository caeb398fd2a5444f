"""``cassiasail history``: the newest versions."""

from ...coordination.history import HistoryEntry, read_history
from ..exit_codes import ExitCode
from ..invocation import Invocation, parse_whole
from ..output import entry_data, show_time, table
from ..session import Session


def run(*, limit: str = "20") -> Invocation:
    """List versions, newest first.

    Args:
        limit: how many versions
    """
    count = parse_whole("--limit", limit)

    async def action(session: Session) -> ExitCode:
        entries = session.expect(await read_history(session.store, limit=count))
        data = {"versions": [entry_data(entry) for entry in entries]}
        headers = ("version", "revision", "time", "author", "comment", "edit id")
        lines = table(headers, map(_cells, entries))
        session.output.result(data, lines if entries else ["no versions yet"])
        return ExitCode.OK

    return Invocation(action=action)


def _cells(entry: HistoryEntry) -> tuple[object, ...]:
    row = entry.row
    if row is None:
        return entry.version, entry.revision, "-", "-", "history row is damaged", "-"
    return (
        entry.version,
        entry.revision,
        show_time(row.time),
        row.author,
        row.comment,
        row.head.edit_id,
    )
