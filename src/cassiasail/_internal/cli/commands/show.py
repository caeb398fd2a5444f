"""``cassiasail show``: the lists as tables."""

from collections.abc import Iterator

from ...coordination.history import Head
from ...ids import Version
from ...state.lists import Lists, split_key
from ..exit_codes import ExitCode
from ..invocation import Invocation, parse_whole
from ..output import show, show_field, table
from ..session import Session, head_data, head_line

_FIELDS_BY_KIND = {
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
    chosen = Version(parse_whole("--version", version)) if version else None

    async def action(session: Session) -> ExitCode:
        head, lists = await session.lists_of(chosen)
        rows = {key: dict(fields) for key, fields in lists.rows_by_key.items()}
        session.output.result({**head_data(head), "rows": rows}, _lines(head, lists))
        return ExitCode.OK

    return Invocation(action=action)


def _lines(head: Head, lists: Lists) -> Iterator[str]:
    yield head_line(head)
    left = dict(lists.rows_by_key)
    for kind, (names, fields) in _FIELDS_BY_KIND.items():
        rows = []
        for key in sorted(lists.rows_by_key):
            found, parts = split_key(key)
            if found == kind and len(parts) == len(names):
                row = left.pop(key)
                rows.append((*parts, *(show_field(n, row.get(n)) for n in fields)))
        if rows:
            yield ""
            headers = [name.replace("_", " ") for name in (*names, *fields)]
            yield from table(headers, rows)
    for key in sorted(left):
        yield f"unknown row {show(key)}; daemons refuse this version"
