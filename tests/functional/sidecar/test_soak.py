"""A short soak, and soaks with seeds that once failed."""

import asyncio
import json
from pathlib import Path

import pytest

from devtools.soak import __main__ as program
from devtools.soak.__main__ import soak
from devtools.soak.ledger import Ledger

# Seed, seconds of faults, and whether only planned operations are drawn; docs/soak.md
# lists what each seed found.
CASES = [(1, 6.0, False), (1, 6.0, True), (2, 6.0, True)]


@pytest.mark.parametrize(("seed", "seconds", "planned"), CASES)
def test_soak_has_no_violations(seed: int, seconds: float, planned: bool) -> None:
    """Guards against wrong results for clients or targets under combined faults."""
    assert asyncio.run(soak(seed, seconds, vms=4, planned=planned)) == []


@pytest.mark.parametrize("violations", [[], ["vm-0 did something wrong"]])
def test_logs_and_records_of_a_failed_run_are_kept(
    violations: list[str], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a failure that nobody can trace, and against logs without end."""
    monkeypatch.setattr(program, "RECOVER_SECONDS", 0.0)
    monkeypatch.setattr(program, "JUDGED_SECONDS", 0.5)
    monkeypatch.setattr(Ledger, "violations", lambda _: iter(violations))
    assert asyncio.run(soak(1, 0.5, vms=2, logs=tmp_path)) == violations
    if not violations:
        assert list(tmp_path.iterdir()) == []
        return
    (directory,) = tmp_path.iterdir()
    kept = {path.name: path.read_text() for path in directory.iterdir()}
    assert "started" in kept["vm-0.log"] and "started" in kept["vm-1.log"]
    assert json.loads(kept["violations.jsonl"]) == violations[0]
    assert {"attempts.jsonl", "runs.jsonl", "schedule.jsonl"} <= kept.keys()
