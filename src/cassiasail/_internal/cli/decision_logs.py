"""Reads the decision logs of sidecars: the lines of one request, failures by cause."""

import json
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

from ...exceptions import CommandError
from .exit_codes import ExitCode

_FAILED, _SERVED = "request_failed", "request_served"
_ENDS = (_FAILED, _SERVED, "request_refused", "no_route")


@dataclass(frozen=True, slots=True, kw_only=True)
class LogLine:
    """One decision; ``time`` is in seconds of whoever collected the logs."""

    time: float
    host: str
    event: str
    fields: dict[str, Any]


class Cause(NamedTuple):
    """What failed requests have in common."""

    service: str
    outcome: str
    reason: str
    status: int


def read_lines(paths: Sequence[str]) -> Iterator[LogLine]:
    """Yield the decisions in files; other lines are passed over.

    A line is a JSON object, which a collector may have preceded by a time and the
    name of the VM. Without them the time is that of the daemon and the name that of
    the file.
    """
    for path in paths:
        try:
            text = Path(path).read_text(errors="replace")
        except OSError as error:
            raise CommandError(
                f"cannot read {path}: {error}; name the log files of the daemons",
                exit_code=ExitCode.USAGE,
            ) from error
        for line in text.splitlines():
            parsed = _parse(line, Path(path).stem)
            if parsed is not None:
                yield parsed


def _parse(line: str, name: str) -> LogLine | None:
    prefix, brace, rest = line.partition("{")
    if not brace:
        return None
    try:
        fields = json.loads(brace + rest)
    except ValueError:
        return None
    if not isinstance(fields, dict) or not isinstance(fields.get("event"), str):
        return None
    words = prefix.split()
    time, host = fields.pop("t", 0.0), name
    if len(words) >= 2:
        host = words[1]
        try:
            time = float(words[0])
        except ValueError:
            return None
    if not isinstance(time, int | float):
        return None
    event = fields.pop("event")
    return LogLine(time=float(time), host=host, event=event, fields=fields)


def about(lines: Iterable[LogLine], request: str) -> list[LogLine]:
    """Return the decisions about a request and the calls its target made, in order.

    A target gives its calls the id of the request, a dot, and an id of their own.
    """
    named = (
        line
        for line in lines
        if (attempt := str(line.fields.get("attempt", ""))) == request
        or attempt.startswith(request + ".")
    )
    return sorted(named, key=lambda line: line.time)


def deciding(lines: Sequence[LogLine], request: str) -> LogLine | None:
    """Return the decision that ended the request, None if no line tells."""
    ends = [
        line
        for line in lines
        if line.event in _ENDS and line.fields.get("attempt") == request
    ]
    return ends[-1] if ends else None


def causes(lines: Iterable[LogLine]) -> Counter[Cause]:
    """Return how many requests failed, by cause; lines left out are not counted."""
    return Counter(
        Cause(
            service=str(line.fields.get("service", "")),
            outcome=str(line.fields.get("outcome", "")),
            reason=str(line.fields.get("reason", "")),
            status=int(line.fields.get("status", 0)),
        )
        for line in lines
        if line.event == _FAILED
    )


def left_out(lines: Iterable[LogLine]) -> int:
    """Return how many lines the daemons did not write, as far as they told."""
    return sum(
        int(line.fields.get(name, 0))
        for line in lines
        for name in ("left_out", "unread")
    )
