"""The command line, run in this process against servers on loopback."""

import json
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from cassiasail._internal.cli.main import run
from tests.lib.listtexts import CUSTOMERS, PLANS
from tests.lib.servers import LossyPlatform, StubDaemon, platform_and_daemon


@dataclass
class Answer:
    """Exit code and output of one command."""

    code: int
    out: str
    err: str

    def json(self) -> Any:
        return json.loads(self.out)


@dataclass
class Desk:
    """An operator's place: a home directory, the store and one daemon."""

    home: Path
    capture: pytest.CaptureFixture[str]
    platform: LossyPlatform
    store: str
    daemon: StubDaemon
    daemon_address: str
    environ: dict[str, str] = field(default_factory=dict)

    def bare(self, *arguments: str) -> Answer:
        """Run a command with exactly these arguments."""
        self.capture.readouterr()
        try:
            code = int(run(arguments, environ=self.environ, home=self.home))
        except SystemExit as ended:
            code = int(ended.code or 0)
        printed = self.capture.readouterr()
        return Answer(code, printed.out, printed.err)

    def cli(self, *arguments: str) -> Answer:
        """Run a command with the store set."""
        return self.bare(*arguments, "--store", self.store)

    def write(self, name: str, plans: str = PLANS, customers: str = CUSTOMERS) -> str:
        """Write both list files to a directory and return it."""
        place = self.home / name
        place.mkdir(exist_ok=True)
        (place / "plans.ini").write_text(plans)
        (place / "customers.ini").write_text(customers)
        return str(place)

    def commit_first(self) -> None:
        """Commit version 1."""
        answer = self.cli("apply", self.write("first"), "--expect", "0")
        assert answer.code == 0, answer

    def revision(self) -> str:
        """Return the revision to expect."""
        return str(self.cli("show", "--json").json()["revision"])

    def versions(self) -> list[int]:
        """Return the committed versions, newest first."""
        found = self.cli("history", "--json").json()["versions"]
        return [entry["version"] for entry in found]


@pytest.fixture
def desk(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> Iterator[Desk]:
    with platform_and_daemon() as (platform, store, daemon, address):
        yield Desk(tmp_path, capsys, platform, store, daemon, address)
