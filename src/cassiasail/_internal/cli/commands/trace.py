"""``cassiasail trace``: what the logs of the sidecars say about failed requests."""

from dataclasses import asdict

from ..decision_logs import (
    LogLine,
    about,
    causes,
    deciding,
    left_out,
    read_lines,
)
from ..exit_codes import ExitCode
from ..invocation import Invocation
from ..options import usage_error
from ..output import table
from ..session import Session


def run(*files: str, request: str = "") -> Invocation:
    """Show the decisions about one request, or group all failures by cause.

    Args:
        files: logs of the daemons, one or several
        request: id of the client attempt
    """
    if not files:
        raise usage_error("name one or more log files of the daemons")

    async def action(session: Session) -> ExitCode:
        lines = list(read_lines(files))
        if not request:
            return _show_causes(session, lines)
        return _show_request(session, about(lines, request), request)

    return Invocation(action=action)


def _show_request(session: Session, lines: list[LogLine], request: str) -> ExitCode:
    end = deciding(lines, request)
    text = [_line_text(line, "->" if line is end else "  ") for line in lines]
    if end is None:
        text.append(f"no line tells how {request} ended; it was served at once, or its")
        text.append("line was left out: see cassiasail_log_lines_left_out_total")
    data = {
        "lines": [asdict(line) for line in lines],
        "deciding": asdict(end) if end is not None else None,
    }
    session.output.result(data, text)
    return ExitCode.OK


def _line_text(line: LogLine, mark: str) -> str:
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
    return f"{mark} {line.time:.3f} {line.host} {line.event} {fields}"


def _show_causes(session: Session, lines: list[LogLine]) -> ExitCode:
    ranked = causes(lines).most_common()
    data = {
        "causes": [{**cause._asdict(), "requests": count} for cause, count in ranked],
        "left_out": left_out(lines),
    }
    headers = ("requests", "service", "outcome", "reason", "status")
    rows = [(count, *cause) for cause, count in ranked]
    text = [*table(headers, rows), f"lines left out: {data['left_out']}"]
    session.output.result(data, text)
    return ExitCode.OK
