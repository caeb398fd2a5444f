"""Tables for people and JSON for programs."""

import json
import sys
from collections.abc import Iterable, Iterator, Sequence
from datetime import UTC, datetime
from typing import Any

from ..coordination.history import HistoryEntry
from ..state.lists import Delta, Fields, Lists
from ..state.listunits import format_bytes, format_rate, format_seconds

UNKNOWN = "unknown"
_FORMAT_BY_FIELD = {
    "deadline": format_seconds,
    "rate": format_rate,
    "max_body": format_bytes,
}


class Output:
    """Prints the result of a command once, as text or as one JSON object."""

    def __init__(self, *, as_json: bool) -> None:
        self.as_json = as_json

    def result(self, data: Any, lines: Iterable[str]) -> None:
        """Print ``data`` for programs or ``lines`` for people."""
        if self.as_json:
            print(json.dumps(data, indent=2, sort_keys=True, default=str))
            return
        for line in lines:
            print(line)

    def note(self, message: str) -> None:
        """Tell people something that is not part of the result."""
        sys.stdout.flush()
        print(message, file=sys.stderr, flush=True)


def table(headers: Sequence[str], rows: Iterable[Sequence[object]]) -> Iterator[str]:
    """Yield the lines of a table, left-aligned, with upper-case headers."""
    cells = [[header.upper() for header in headers]]
    cells += [[show(cell) for cell in row] for row in rows]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headers))]
    for row in cells:
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        yield "  ".join(padded).rstrip()


def show(value: object) -> str:
    """Return ``value`` as one line of printable text.

    Values come from daemons and from the store, and must not reach the terminal as
    control sequences.
    """
    if value is None:
        return UNKNOWN
    text = str(value)
    return text if text.isprintable() else repr(text)


def show_time(seconds: float | None) -> str:
    """Return seconds since the epoch as UTC."""
    if seconds is None:
        return UNKNOWN
    try:
        moment = datetime.fromtimestamp(seconds, UTC)
    except (ValueError, OverflowError, OSError):
        return show(seconds)
    return f"{moment:%Y-%m-%d %H:%M:%SZ}"


def show_field(name: str, value: Any) -> str:
    """Return a field of a row in the units of the list files."""
    form = _FORMAT_BY_FIELD.get(name)
    if form is None or type(value) not in (int, float):
        return show(value)
    return form(value)


def change_lines(old: Lists, delta: Delta) -> Iterator[str]:
    """Yield one line a row that ``delta`` adds (+), removes (-) or changes (~)."""
    changed = delta.changed_by_key
    for key in sorted({*changed, *delta.removed}):
        before = old.rows_by_key.get(key)
        if key not in changed:
            yield f"- {show(key)}{_fields_text(before or {})}"
        elif before is None:
            yield f"+ {show(key)}{_fields_text(changed[key])}"
        else:
            yield f"~ {show(key)}{_changes_text(before, changed[key])}"


def change_data(delta: Delta) -> dict[str, Any]:
    """Return a change for programs."""
    return {
        "set": {key: dict(fields) for key, fields in delta.changed_by_key.items()},
        "removed": list(delta.removed),
    }


def entry_data(entry: HistoryEntry) -> dict[str, Any]:
    """Return a version of the history for programs."""
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
    """Return a version of the history for people."""
    if entry.row is None:
        return f"version {entry.version}: its history row is damaged"
    row = entry.row
    comment = f": {show(row.comment)}" if row.comment else ""
    author = show(row.author)
    return f"version {entry.version} by {author}, {show_time(row.time)}{comment}"


def _fields_text(fields: Fields) -> str:
    return "".join(
        f" {name}={show_field(name, value)}" for name, value in sorted(fields.items())
    )


def _changes_text(before: Fields, after: Fields) -> str:
    names = sorted({*before, *after})
    return "".join(
        f" {name}={show_field(name, before.get(name))}"
        f"->{show_field(name, after.get(name))}"
        for name in names
        if before.get(name) != after.get(name)
    )
