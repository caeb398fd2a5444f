"""``cassiasail history``: lists the newest versions."""

from ...coordination.history import HistoryEntry, read_history
from ..exit_codes import ExitCode
from ..invocation import Invocation, parse_whole_number
from ..output import entry_data, format_utc, table_lines
from ..session import Session


def run(*, limit: str = "20") -> Invocation:
    """List versions, newest first.

    Args:
        limit: the maximum number of versions to list
    """
    count = parse_whole_number("--limit", limit)

    async def action(session: Session) -> ExitCode:
        entries = session.unwrap(await read_history(session.store, limit=count))
        data = {"versions": [entry_data(entry) for entry in entries]}
        headers = ("version", "revision", "time", "author", "comment", "edit id")
        lines = table_lines(headers, map(_history_cells, entries))
        session.output.print_result(data, lines if entries else ["no versions yet"])
        return ExitCode.OK

    return Invocation(action=action)


def _history_cells(entry: HistoryEntry) -> tuple[object, ...]:
    row = entry.row
    if row is None:
        return entry.version, entry.revision, "-", "-", "history row is damaged", "-"
    return (
        entry.version,
        entry.revision,
        format_utc(row.time),
        row.author,
        row.comment,
        row.head.edit_id,
    )
