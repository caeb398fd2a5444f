"""Runs the command line in this process against servers on loopback."""

import json
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from cassiasail._internal.cli.main import run as run_command
from tests.lib.listtexts import CUSTOMERS, PLANS
from tests.lib.servers import LossyPlatform, StubDaemon, platform_and_daemon


@dataclass
class CommandResult:
    """Exit code and output of one command."""

    code: int
    out: str
    err: str

    def json(self) -> Any:
        return json.loads(self.out)


@dataclass
class Operator:
    """An operator's environment: a home directory, the store and one daemon."""

    home: Path
    capture: pytest.CaptureFixture[str]
    platform: LossyPlatform
    store: str
    daemon: StubDaemon
    daemon_address: str
    environ: dict[str, str] = field(default_factory=dict)

    def run(self, *arguments: str) -> CommandResult:
        """Run a command with exactly these arguments."""
        self.capture.readouterr()
        try:
            code = int(run_command(arguments, environ=self.environ, home=self.home))
        except SystemExit as exit_error:
            code = int(exit_error.code or 0)
        printed = self.capture.readouterr()
        return CommandResult(code, printed.out, printed.err)

    def run_with_store(self, *arguments: str) -> CommandResult:
        """Run a command with these arguments and ``--store``."""
        return self.run(*arguments, "--store", self.store)

    def write_lists(
        self, name: str, plans: str = PLANS, customers: str = CUSTOMERS
    ) -> str:
        """Write both list files to a directory and return it."""
        directory = self.home / name
        directory.mkdir(exist_ok=True)
        (directory / "plans.ini").write_text(plans)
        (directory / "customers.ini").write_text(customers)
        return str(directory)

    def commit_first(self) -> None:
        """Commit version 1."""
        result = self.run_with_store(
            "apply", self.write_lists("first"), "--expect", "0"
        )
        assert result.code == 0, result

    def newest_revision(self) -> str:
        """Return the revision of the newest version, for ``--expect``."""
        return str(self.run_with_store("show", "--json").json()["revision"])

    def committed_versions(self) -> list[int]:
        """Return the committed versions, newest first."""
        entries = self.run_with_store("history", "--json").json()["versions"]
        return [entry["version"] for entry in entries]


@pytest.fixture
def operator(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> Iterator[Operator]:
    with platform_and_daemon() as (platform, store, daemon, address):
        yield Operator(tmp_path, capsys, platform, store, daemon, address)
