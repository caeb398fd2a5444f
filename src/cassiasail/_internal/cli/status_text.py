"""Tables of what daemons answer; absent members are shown as unknown."""

from collections.abc import Iterator, Sequence
from typing import Any

from .daemons import DaemonAnswer, dig, dig_list
from .output import UNKNOWN, show, table


def daemon_data(answer: DaemonAnswer) -> dict[str, Any]:
    """Return the status of a daemon for programs."""
    if answer.value is None:
        return {
            "address": answer.address,
            "reachable": False,
            "problem": answer.problem,
        }
    return {"address": answer.address, "reachable": True, "status": answer.value}


def daemon_table(answers: Sequence[DaemonAnswer]) -> Iterator[str]:
    """Yield one line a daemon."""
    headers = ("address", "daemon", "data centre", "version", "state", "store")
    rows = []
    problems = []
    for answer in answers:
        if answer.value is None:
            rows.append((answer.address, *["-"] * 3, "unreachable", "-"))
            problems.append(f"{answer.address}: {show(answer.problem)}")
            continue
        names = ("daemon", "data_centre", "version", "state")
        cells = [dig(answer.value, name) for name in names]
        rows.append((answer.address, *cells, _store_text(answer.value)))
    yield from table(headers, rows)
    yield from problems


def widest_view(values: Sequence[dict[str, Any]]) -> dict[str, Any]:
    """Return the status that counts most daemons; a leaf counts only itself."""
    return max(values, key=_counted, default={})


def _counted(value: dict[str, Any]) -> int:
    counts = (dig(centre, "version_counts") for centre in dig_list(value, "fleet"))
    return sum(
        count
        for by_version in counts
        if isinstance(by_version, dict)
        for count in by_version.values()
        if type(count) is int
    )


def fleet_lines(value: dict[str, Any]) -> Iterator[str]:
    """Yield the versions of the fleet as one daemon sees them."""
    rows = []
    for centre in dig_list(value, "fleet"):
        counts = dig(centre, "version_counts")
        counts = counts if isinstance(counts, dict) else {}
        versions = ", ".join(f"{version}: {count}" for version, count in counts.items())
        stragglers = [
            f"{show(dig(item, 'daemon'))} at {show(dig(item, 'version'))}"
            f" ({show(dig(item, 'reason'))})"
            for item in dig_list(centre, "stragglers")
        ]
        name = dig(centre, "data_centre")
        rows.append((name, versions or UNKNOWN, "; ".join(stragglers) or "-"))
    if rows:
        scope = dig(value, "scope")
        limit = f", scope {show(scope)}" if scope is not None else ""
        yield f"fleet, as seen by {show(dig(value, 'daemon'))}{limit}:"
        yield from table(("data centre", "daemons by version", "stragglers"), rows)
    members = dig(value, "members")
    if isinstance(members, dict):
        counts_text = ", ".join(
            f"{show(members.get(state))} {state}"
            for state in ("alive", "unreachable", "dead")
        )
        yield f"members: {counts_text}"


def refused_lines(value: dict[str, Any]) -> Iterator[str]:
    """Yield the versions that a daemon refused."""
    for item in dig_list(value, "refused"):
        detail = dig(item, "detail")
        yield (
            f"{show(dig(value, 'daemon'))} refused version {show(dig(item, 'version'))}"
            f": {show(dig(item, 'reason'))}{f' ({show(detail)})' if detail else ''}"
        )


def target_lines(targets: Sequence[dict[str, Any]]) -> Iterator[str]:
    """Yield a table of targets, with the members that any of them has."""
    order = ("target", "service", "daemon", "data_centre", "state")
    present = {name for target in targets for name in target}
    names = [name for name in order if name in present]
    names += sorted(present.difference(order))
    if not names:
        yield "no targets"
        return
    headers = [name.replace("_", " ") for name in names]
    yield from table(headers, ([dig(item, name) for name in names] for item in targets))


def _store_text(value: dict[str, Any]) -> str:
    reachable = dig(value, "store", "reachable")
    if not isinstance(reachable, bool):
        return UNKNOWN
    age = dig(value, "store", "last_answer_seconds")
    if type(age) not in (int, float):
        return "reachable" if reachable else "unreachable"
    # Most daemons hardly ever ask the store, so a good answer may be old.
    return f"answered {age:.0f} s ago" + ("" if reachable else ", now unreachable")
