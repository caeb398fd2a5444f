"""Reads the decision logs of sidecars, by request or by cause of failure."""

import json
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

from ...exceptions import CommandError
from .exit_codes import ExitCode

_FAILED_EVENT, _SERVED_EVENT = "request_failed", "request_served"
_FINAL_EVENTS = (_FAILED_EVENT, _SERVED_EVENT, "request_refused", "no_route")


@dataclass(frozen=True, slots=True, kw_only=True)
class LogLine:
    """One decision.

    ``time`` is in seconds, from the clock of the log collector or of the daemon.
    """

    time: float
    host: str
    event: str
    fields: dict[str, Any]


class Cause(NamedTuple):
    """The fields by which failed requests are grouped."""

    service: str
    outcome: str
    reason: str
    status: int


def read_decisions(paths: Sequence[str]) -> Iterator[LogLine]:
    """Yield the decisions in files and skip all other lines.

    A line is a JSON object. A log collector may put a time and the name of the VM
    before it. Without them, the time in the object and the file name without suffix
    are used.
    """
    for path in paths:
        try:
            text = Path(path).read_text(errors="replace")
        except OSError as error:
            raise CommandError(
                f"cannot read {path}: {error}; name the log files of the sidecars",
                exit_code=ExitCode.USAGE,
            ) from error
        for line in text.splitlines():
            parsed = _parse_line(line, Path(path).stem)
            if parsed is not None:
                yield parsed


def _parse_line(line: str, default_host: str) -> LogLine | None:
    """Return the decision in a line of a log, or None if it holds none."""
    prefix, brace, rest = line.partition("{")
    if not brace:
        return None
    try:
        fields = json.loads(brace + rest)
    except ValueError:
        return None
    if not isinstance(fields, dict) or not isinstance(fields.get("event"), str):
        return None
    prefix_words = prefix.split()
    time, host = fields.pop("t", 0.0), default_host
    if len(prefix_words) >= 2:
        host = prefix_words[1]
        try:
            time = float(prefix_words[0])
        except ValueError:
            return None
    if not isinstance(time, int | float):
        return None
    event = fields.pop("event")
    return LogLine(time=float(time), host=host, event=event, fields=fields)


def lines_of_request(lines: Iterable[LogLine], request: str) -> list[LogLine]:
    """Return the decisions on a request and on the requests it caused, by time.

    ``request`` is an attempt id. A request that a target sends while it executes
    another has the attempt id of that one, a dot and an id as its attempt id.
    """
    matching = (
        line
        for line in lines
        if (attempt := str(line.fields.get("attempt", ""))) == request
        or attempt.startswith(request + ".")
    )
    return sorted(matching, key=lambda line: line.time)


def find_final_line(lines: Sequence[LogLine], request: str) -> LogLine | None:
    """Return the decision that ended the request, or None if none was logged."""
    final_lines = [
        line
        for line in lines
        if line.event in _FINAL_EVENTS and line.fields.get("attempt") == request
    ]
    return final_lines[-1] if final_lines else None


def count_failures_by_cause(lines: Iterable[LogLine]) -> Counter[Cause]:
    """Return the number of failed requests by cause.

    Lines that a daemon left out of its log are not counted.
    """
    return Counter(
        Cause(
            service=str(line.fields.get("service", "")),
            outcome=str(line.fields.get("outcome", "")),
            reason=str(line.fields.get("reason", "")),
            status=int(line.fields.get("status", 0)),
        )
        for line in lines
        if line.event == _FAILED_EVENT
    )


def count_lines_left_out(lines: Iterable[LogLine]) -> int:
    """Return how many lines are missing from the logs, as counted by the daemons."""
    return sum(
        int(line.fields.get(name, 0))
        for line in lines
        for name in ("left_out", "unread")
    )
