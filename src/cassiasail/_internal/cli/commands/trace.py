"""``cassiasail trace``: shows from decision logs why requests failed."""

from dataclasses import asdict

from ..decision_logs import (
    LogLine,
    count_failures_by_cause,
    count_lines_left_out,
    find_final_line,
    lines_of_request,
    read_decisions,
)
from ..exit_codes import ExitCode
from ..invocation import Invocation
from ..options import usage_error
from ..output import table_lines
from ..session import Session


def run(*files: str, request: str = "") -> Invocation:
    """Show the decisions about one request, or group all failures by cause.

    Args:
        files: decision logs of sidecars, one or more files
        request: the attempt id that the client gave to the request
    """
    if not files:
        raise usage_error("name one or more log files of the sidecars")

    async def action(session: Session) -> ExitCode:
        lines = list(read_decisions(files))
        if not request:
            return _print_causes(session, lines)
        return _print_request(session, lines_of_request(lines, request), request)

    return Invocation(action=action)


def _print_request(session: Session, lines: list[LogLine], request: str) -> ExitCode:
    final_line = find_final_line(lines, request)
    text = [_line_text(line, "->" if line is final_line else "  ") for line in lines]
    if final_line is None:
        text.append(f"no line shows how {request} ended; it was served at once, or its")
        text.append("line was left out: see cassiasail_log_lines_left_out_total")
    data = {
        "lines": [asdict(line) for line in lines],
        "deciding": asdict(final_line) if final_line is not None else None,
    }
    session.output.print_result(data, text)
    return ExitCode.OK


def _line_text(line: LogLine, mark: str) -> str:
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
    return f"{mark} {line.time:.3f} {line.host} {line.event} {fields}"


def _print_causes(session: Session, lines: list[LogLine]) -> ExitCode:
    count_by_cause = count_failures_by_cause(lines).most_common()
    data = {
        "causes": [
            {**cause._asdict(), "requests": count} for cause, count in count_by_cause
        ],
        "left_out": count_lines_left_out(lines),
    }
    headers = ("requests", "service", "outcome", "reason", "status")
    rows = [(count, *cause) for cause, count in count_by_cause]
    text = [*table_lines(headers, rows), f"lines left out: {data['left_out']}"]
    session.output.print_result(data, text)
    return ExitCode.OK
