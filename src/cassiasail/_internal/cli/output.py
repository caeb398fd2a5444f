"""Output of the commands: text and tables, or JSON."""

import json
import sys
from collections.abc import Iterable, Iterator, Sequence
from datetime import UTC, datetime
from typing import Any

from ..coordination.history import HistoryEntry
from ..state.lists import Delta, Fields, Lists
from ..state.listunits import format_bytes, format_rate, format_seconds

UNKNOWN = "unknown"
_FORMATTER_BY_FIELD = {
    "deadline": format_seconds,
    "rate": format_rate,
    "max_body": format_bytes,
}


class Output:
    """Prints the result of a command once, as text or as one JSON object."""

    def __init__(self, *, as_json: bool) -> None:
        self.as_json = as_json

    def print_result(self, data: Any, lines: Iterable[str]) -> None:
        """Print ``data`` as JSON if JSON output is selected, else ``lines`` as text."""
        if self.as_json:
            print(json.dumps(data, indent=2, sort_keys=True, default=str))
            return
        for line in lines:
            print(line)

    def print_note(self, message: str) -> None:
        """Print a message that is not part of the result to standard error."""
        sys.stdout.flush()
        print(message, file=sys.stderr, flush=True)


def table_lines(
    headers: Sequence[str], rows: Iterable[Sequence[object]]
) -> Iterator[str]:
    """Yield the lines of a table, left-aligned, with upper-case headers."""
    cells = [[header.upper() for header in headers]]
    cells += [[printable(cell) for cell in row] for row in rows]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headers))]
    for row in cells:
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        yield "  ".join(padded).rstrip()


def printable(value: object) -> str:
    """Return ``value`` as one line of printable text.

    Values come from daemons and from the store. Text with unprintable characters is
    escaped, so that it cannot send control sequences to the terminal.
    """
    if value is None:
        return UNKNOWN
    text = str(value)
    return text if text.isprintable() else repr(text)


def format_utc(seconds: float | None) -> str:
    """Return seconds since the epoch as a UTC date and time."""
    if seconds is None:
        return UNKNOWN
    try:
        utc_time = datetime.fromtimestamp(seconds, UTC)
    except (ValueError, OverflowError, OSError):
        return printable(seconds)
    return f"{utc_time:%Y-%m-%d %H:%M:%SZ}"


def format_field(name: str, value: Any) -> str:
    """Return the value of a row field, written as in the list files."""
    formatter = _FORMATTER_BY_FIELD.get(name)
    if formatter is None or type(value) not in (int, float):
        return printable(value)
    return formatter(value)


def change_lines(old: Lists, delta: Delta) -> Iterator[str]:
    """Yield one line per row that ``delta`` adds (+), removes (-) or changes (~)."""
    changed = delta.changed_by_key
    for key in sorted({*changed, *delta.removed}):
        before = old.rows_by_key.get(key)
        if key not in changed:
            yield f"- {printable(key)}{_format_fields(before or {})}"
        elif before is None:
            yield f"+ {printable(key)}{_format_fields(changed[key])}"
        else:
            yield f"~ {printable(key)}{_format_changes(before, changed[key])}"


def change_data(delta: Delta) -> dict[str, Any]:
    """Return the JSON fields of a change."""
    return {
        "set": {key: dict(fields) for key, fields in delta.changed_by_key.items()},
        "removed": list(delta.removed),
    }


def entry_data(entry: HistoryEntry) -> dict[str, Any]:
    """Return the JSON fields of a version in the history."""
    data: dict[str, Any] = {"version": entry.version, "revision": entry.revision}
    if entry.row is None:
        return {**data, "damaged": True}
    head = entry.row.head
    return {
        **data,
        "digest": f"{head.digest:032x}",
        "edit_id": head.edit_id,
        "author": entry.row.author,
        "time": entry.row.time,
        "comment": entry.row.comment,
    }


def entry_line(entry: HistoryEntry) -> str:
    """Return a version in the history as a line of text."""
    if entry.row is None:
        return f"version {entry.version}: its history row is damaged"
    row = entry.row
    comment = f": {printable(row.comment)}" if row.comment else ""
    author = printable(row.author)
    return f"version {entry.version} by {author}, {format_utc(row.time)}{comment}"


def _format_fields(fields: Fields) -> str:
    return "".join(
        f" {name}={format_field(name, value)}" for name, value in sorted(fields.items())
    )


def _format_changes(before: Fields, after: Fields) -> str:
    names = sorted({*before, *after})
    return "".join(
        f" {name}={format_field(name, before.get(name))}"
        f"->{format_field(name, after.get(name))}"
        for name in names
        if before.get(name) != after.get(name)
    )
