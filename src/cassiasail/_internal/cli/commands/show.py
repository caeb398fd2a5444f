"""``cassiasail show``: shows the lists of a version as tables."""

from collections.abc import Iterator

from ...coordination.history import Head
from ...ids import Version
from ...state.lists import Lists, split_key
from ..exit_codes import ExitCode
from ..invocation import Invocation, parse_whole_number
from ..output import format_field, printable, table_lines
from ..session import Session, head_data, head_line

# For each kind of row, the columns from the parts of its key and from its fields.
_COLUMNS_BY_KIND = {
    "customer": (("customer",), ("plan", "contact")),
    "allowance": (
        ("plan", "service", "path"),
        ("rate", "burst", "in_flight", "max_body"),
    ),
    "route": (
        ("service", "path"),
        ("class", "deadline", "idempotent", "idempotency_key"),
    ),
    "plan": (("plan",), ()),
    "service": (("service",), ()),
}


def run(*, version: str = "") -> Invocation:
    """Show the lists of the newest version, or of another one.

    Args:
        version: show this version instead of the newest one
    """
    requested = Version(parse_whole_number("--version", version)) if version else None

    async def action(session: Session) -> ExitCode:
        head, lists = await session.read_lists(requested)
        rows = {key: dict(fields) for key, fields in lists.rows_by_key.items()}
        session.output.print_result(
            {**head_data(head), "rows": rows}, _list_lines(head, lists)
        )
        return ExitCode.OK

    return Invocation(action=action)


def _list_lines(head: Head, lists: Lists) -> Iterator[str]:
    yield head_line(head)
    unknown_rows = dict(lists.rows_by_key)
    for kind, (key_columns, field_columns) in _COLUMNS_BY_KIND.items():
        rows = []
        for key in sorted(lists.rows_by_key):
            row_kind, parts = split_key(key)
            if row_kind == kind and len(parts) == len(key_columns):
                row = unknown_rows.pop(key)
                rows.append(
                    (*parts, *(format_field(n, row.get(n)) for n in field_columns))
                )
        if rows:
            yield ""
            headers = [
                name.replace("_", " ") for name in (*key_columns, *field_columns)
            ]
            yield from table_lines(headers, rows)
    for key in sorted(unknown_rows):
        yield f"unknown row {printable(key)}; daemons refuse this version"
