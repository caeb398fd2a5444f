"""Formats the statuses of daemons as text; missing fields are shown as unknown."""

from collections.abc import Iterator, Sequence
from typing import Any

from .daemons import DaemonResponse, get_nested, get_objects
from .output import UNKNOWN, printable, table_lines


def daemon_data(response: DaemonResponse) -> dict[str, Any]:
    """Return the JSON fields of a daemon: its status, or why it is unreachable."""
    if response.value is None:
        return {
            "address": response.address,
            "reachable": False,
            "problem": response.problem,
        }
    return {"address": response.address, "reachable": True, "status": response.value}


def daemon_table(responses: Sequence[DaemonResponse]) -> Iterator[str]:
    """Yield a table of the daemons, then the problems of unreachable ones."""
    headers = ("address", "daemon", "data centre", "version", "state", "store")
    rows = []
    problems = []
    for response in responses:
        if response.value is None:
            rows.append((response.address, *["-"] * 3, "unreachable", "-"))
            problems.append(f"{response.address}: {printable(response.problem)}")
            continue
        names = ("daemon", "data_centre", "version", "state")
        cells = [get_nested(response.value, name) for name in names]
        rows.append((response.address, *cells, _store_text(response.value)))
    yield from table_lines(headers, rows)
    yield from problems


def largest_fleet_view(statuses: Sequence[dict[str, Any]]) -> dict[str, Any]:
    """Return the status that counts the most daemons.

    Each daemon counts itself and the daemons below it in the relay tree, so a leaf
    counts only itself.
    """
    return max(statuses, key=_counted_daemons, default={})


def _counted_daemons(status: dict[str, Any]) -> int:
    """Return how many daemons a status counts; malformed counts are ignored."""
    counts = (
        get_nested(centre, "version_counts") for centre in get_objects(status, "fleet")
    )
    return sum(
        count
        for by_version in counts
        if isinstance(by_version, dict)
        for count in by_version.values()
        if type(count) is int
    )


def fleet_lines(status: dict[str, Any]) -> Iterator[str]:
    """Yield the versions and members of the fleet from the status of one daemon."""
    rows = []
    for centre in get_objects(status, "fleet"):
        counts = get_nested(centre, "version_counts")
        counts = counts if isinstance(counts, dict) else {}
        versions = ", ".join(f"{version}: {count}" for version, count in counts.items())
        lagging_daemons = [
            f"{printable(get_nested(item, 'daemon'))} at "
            f"{printable(get_nested(item, 'version'))}"
            f" ({printable(get_nested(item, 'reason'))})"
            for item in get_objects(centre, "stragglers")
        ]
        name = get_nested(centre, "data_centre")
        rows.append((name, versions or UNKNOWN, "; ".join(lagging_daemons) or "-"))
    if rows:
        scope = get_nested(status, "scope")
        scope_suffix = f", scope {printable(scope)}" if scope is not None else ""
        yield (
            f"fleet, as seen by {printable(get_nested(status, 'daemon'))}"
            f"{scope_suffix}:"
        )
        yield from table_lines(
            ("data centre", "daemons by version", "stragglers"), rows
        )
    members = get_nested(status, "members")
    if isinstance(members, dict):
        counts_text = ", ".join(
            f"{printable(members.get(state))} {state}"
            for state in ("alive", "unreachable", "dead")
        )
        yield f"members: {counts_text}"


def refused_version_lines(status: dict[str, Any]) -> Iterator[str]:
    """Yield one line for each version that a daemon refused."""
    for item in get_objects(status, "refused"):
        detail = get_nested(item, "detail")
        yield (
            f"{printable(get_nested(status, 'daemon'))} refused version "
            f"{printable(get_nested(item, 'version'))}"
            f": {printable(get_nested(item, 'reason'))}"
            f"{f' ({printable(detail)})' if detail else ''}"
        )


def target_lines(targets: Sequence[dict[str, Any]]) -> Iterator[str]:
    """Yield a table of targets with a column for each field that any of them has."""
    first_columns = ("target", "service", "daemon", "data_centre", "state")
    present = {name for target in targets for name in target}
    names = [name for name in first_columns if name in present]
    names += sorted(present.difference(first_columns))
    if not names:
        yield "no targets"
        return
    headers = [name.replace("_", " ") for name in names]
    yield from table_lines(
        headers, ([get_nested(item, name) for name in names] for item in targets)
    )


def _store_text(status: dict[str, Any]) -> str:
    reachable = get_nested(status, "store", "reachable")
    if not isinstance(reachable, bool):
        return UNKNOWN
    age = get_nested(status, "store", "last_answer_seconds")
    if type(age) not in (int, float):
        return "reachable" if reachable else "unreachable"
    # Most daemons rarely send requests to the store, so the last response of a
    # reachable store may be old.
    return f"answered {age:.0f} s ago" + ("" if reachable else ", now unreachable")
