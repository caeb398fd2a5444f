"""Decision logs: writing them, and finding the cause of a failure in them."""

import json
import os
from pathlib import Path

import pytest

from cassiasail._internal.cli import main as cli_main
from cassiasail._internal.events import BURST_LINES, EventLog

LOG = """\
10.500 vm-1 {"t":77.1,"event":"target_failed","attempt":"abc","reason":"target_reset"}
10.600 vm-2 {"t":3.2,"event":"request_failed","attempt":"abc","service":"s",\
"outcome":"may_have_run","status":0,"reason":"target_reset","tries":["vm-1:x"]}
10.400 vm-3 {"t":9.9,"event":"request_served","attempt":"abc.def","service":"q"}
10.700 vm-2 {"t":3.3,"event":"request_failed","attempt":"xyz","service":"s",\
"outcome":"not_run","status":0,"reason":"busy","left_out":4}
not a decision
10.800 vm-2 {"t":broken
"""


@pytest.fixture
def log_path(tmp_path: Path) -> str:
    path = tmp_path / "all.log"
    path.write_text(LOG)
    return str(path)


def run_command(*arguments: str, home: Path) -> int:
    return int(cli_main.run(arguments, environ={}, home=home))


def test_trace_sorts_the_lines_of_a_request_and_marks_the_final_one(
    log_path: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a wrong order of decisions or a wrong final decision."""
    assert run_command("trace", log_path, "--request", "abc", home=tmp_path) == 0
    lines = capsys.readouterr().out.splitlines()
    assert [line.split()[-1] for line in lines][0].startswith("service=q")
    assert lines[1].startswith("   10.500 vm-1 target_failed")
    assert lines[2].startswith("-> 10.600 vm-2 request_failed")


def test_trace_groups_failures_by_cause(
    log_path: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against causes or left-out lines that are missing from the summary."""
    assert run_command("trace", log_path, "--json", home=tmp_path) == 0
    data = json.loads(capsys.readouterr().out)
    assert {cause["reason"] for cause in data["causes"]} == {"busy", "target_reset"}
    assert data["left_out"] == 4


def test_trace_without_a_readable_log_is_a_usage_error(tmp_path: Path) -> None:
    """Guards against an empty table when a log file is missing or none is named."""
    assert run_command("trace", str(tmp_path / "none.log"), home=tmp_path) == 2
    assert run_command("trace", home=tmp_path) == 2


def test_full_or_closed_pipe_does_not_block_the_writer() -> None:
    """Guards against a daemon that blocks on a slow reader of its log."""
    read_fd, write_fd = os.pipe()
    events = EventLog(fd=write_fd)
    for number in range(5000):
        events.write(f"event_{number}", text="x" * 1000)
    os.close(read_fd)
    events.write("after the reader left")
    os.close(write_fd)


def test_lines_beyond_the_burst_are_not_written(tmp_path: Path) -> None:
    """Guards against log output that grows with the load."""
    path = tmp_path / "log"
    fd = os.open(path, os.O_WRONLY | os.O_CREAT)
    events = EventLog(fd=fd)
    for _ in range(BURST_LINES + 10):
        events.write("same")
    os.close(fd)
    lines = path.read_text().splitlines()
    assert len(lines) <= BURST_LINES + 1
