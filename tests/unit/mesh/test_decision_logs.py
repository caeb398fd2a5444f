"""From the id of a failed request to its cause."""

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
def log(tmp_path: Path) -> str:
    path = tmp_path / "all.log"
    path.write_text(LOG)
    return str(path)


def run(*arguments: str, home: Path) -> int:
    return int(cli_main.run(arguments, environ={}, home=home))


def test_the_lines_of_a_request_are_in_order_and_one_decides(
    log: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards the way from an id to the decision that ended the request."""
    assert run("trace", log, "--request", "abc", home=tmp_path) == 0
    lines = capsys.readouterr().out.splitlines()
    assert [line.split()[-1] for line in lines][0].startswith("service=q")
    assert lines[1].startswith("   10.500 vm-1 target_failed")
    assert lines[2].startswith("-> 10.600 vm-2 request_failed")


def test_failures_are_grouped_by_cause(
    log: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards the table by which a whole run is read."""
    assert run("trace", log, "--json", home=tmp_path) == 0
    data = json.loads(capsys.readouterr().out)
    assert {cause["reason"] for cause in data["causes"]} == {"busy", "target_reset"}
    assert data["left_out"] == 4


def test_a_missing_log_is_named(tmp_path: Path) -> None:
    """Guards against an empty table that only had no input."""
    assert run("trace", str(tmp_path / "none.log"), home=tmp_path) == 2
    assert run("trace", home=tmp_path) == 2


def test_a_full_pipe_delays_nobody() -> None:
    """Guards against a daemon that waits for the reader of its log."""
    reader, writer = os.pipe()
    events = EventLog(fd=writer)
    for number in range(5000):
        events.write(f"event_{number}", text="x" * 1000)
    os.close(reader)
    events.write("after the reader left")
    os.close(writer)


def test_lines_beyond_the_rate_are_counted(tmp_path: Path) -> None:
    """Guards against logs that grow with the load, and against silent gaps."""
    path = tmp_path / "log"
    fd = os.open(path, os.O_WRONLY | os.O_CREAT)
    events = EventLog(fd=fd)
    for _ in range(BURST_LINES + 10):
        events.write("same")
    os.close(fd)
    lines = path.read_text().splitlines()
    assert len(lines) <= BURST_LINES + 1
