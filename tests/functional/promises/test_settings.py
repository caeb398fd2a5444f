"""``cassiasaild --check``, run as a process."""

import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from .fleet import six_vms

scenarios("settings.feature")


def run_cassiasaild(path: Path, *arguments: str) -> subprocess.CompletedProcess[str]:
    command = (sys.executable, "-m", "cassiasail._internal.daemon", "--config")
    return subprocess.run(
        (*command, str(path), *arguments), capture_output=True, text=True, timeout=60
    )


@pytest.fixture
def path(tmp_path: Path) -> Path:
    return tmp_path / "daemon.ini"


@given("the settings of a daemon")
def settings(path: Path) -> None:
    layout = six_vms(net=1)
    path.write_text(layout.settings_of(layout.vms[0]))


@given(parsers.parse('in them "{old}" is replaced by "{new}"'))
def replace(path: Path, old: str, new: str) -> None:
    text = path.read_text()
    assert text.count(old) == 1
    path.write_text(text.replace(old, new))


@when("the settings are checked")
def check(path: Path, context: dict[str, Any]) -> None:
    context["result"] = run_cassiasaild(path, "--check")


@then("the exit code is 0")
def succeeded(context: dict[str, Any]) -> None:
    assert context["result"].returncode == 0, context["result"]
    assert context["result"].stderr == ""


@then("the exit code is not 0")
def failed(context: dict[str, Any]) -> None:
    assert context["result"].returncode != 0


@then(
    parsers.parse('a fault names "{section}", "{key}", "{value}" and what is allowed')
)
def fault_shown(context: dict[str, Any], section: str, key: str, value: str) -> None:
    lines = context["result"].stderr.splitlines()
    parts = (f"[{section}]", key, value, "allowed: ")
    assert [line for line in lines if all(part in line for part in parts)], lines
    assert not [line for line in lines if "Traceback" in line], lines


@then("the daemon refuses to start with the same faults")
def refuses_to_start(path: Path, context: dict[str, Any]) -> None:
    started = run_cassiasaild(path)
    assert started.returncode != 0
    assert started.stderr == context["result"].stderr


@then(parsers.parse("{count:d} faults are shown"))
def fault_count(context: dict[str, Any], count: int) -> None:
    assert len(context["result"].stderr.splitlines()) == count
