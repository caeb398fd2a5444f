"""Runs a soak: ``python -m devtools.soak --seed 7 --seconds 20``."""

import asyncio
import json
import shutil
import sys
import tempfile
from collections.abc import Iterable
from dataclasses import asdict
from pathlib import Path
from typing import Any

import fire

from .hostile_clients import HostileGroup, draw_groups, run_groups
from .schedule import ScheduledFault, draw_schedule, run_schedule
from .world import SoakWorld

# At the end no faults are injected: first the fleet recovers, then requests are judged.
RECOVER_SECONDS = 8.0
JUDGED_SECONDS = 3.0


async def soak(
    seed: int,
    seconds: float,
    vms: int,
    *,
    planned: bool = False,
    logs: Path | None = None,
) -> list[str]:
    """Run one soak and return the violations.

    With ``planned`` there are only planned operations, which must not lose requests.
    The logs and settings of the daemons and the records of clients, targets and faults
    are in a new directory within ``logs``, by default the one for temporary files. It
    is removed after a run without violations.
    """
    directory = Path(tempfile.mkdtemp(prefix=f"cassiasail-soak-{seed}-", dir=logs))
    schedule = draw_schedule(seed, seconds=seconds, vms=vms, planned=planned)
    groups = draw_groups(seed, seconds=seconds, vms=vms)
    world = SoakWorld(vms=vms, seed=seed, directory=directory)
    try:
        await _run(world, schedule, groups)
    except BaseException as error:
        _keep_records(world, schedule, [f"the run ended early: {error!r}"])
        raise
    finally:
        await world.stop()
    violations = list(world.ledger.violations())
    faults = [str(each) for each in (*schedule, *groups)]
    print(json.dumps({"seed": seed, "faults": faults, **world.ledger.summary()}))
    if violations:
        _keep_records(world, schedule, violations)
    else:
        shutil.rmtree(directory)
    return violations


async def _run(
    world: SoakWorld, schedule: list[ScheduledFault], groups: list[HostileGroup]
) -> None:
    """Run all faults, let the fleet recover and send the requests that are judged."""
    await world.start()
    await asyncio.gather(run_schedule(world, schedule), run_groups(world, groups))
    await asyncio.sleep(RECOVER_SECONDS)
    world.ledger.judged_from = asyncio.get_running_loop().time()
    await asyncio.sleep(JUDGED_SECONDS)
    world.ledger.lagging += [
        f"{vm.name} at {vm.seen_version} of {world.version}"
        for vm in world.vms
        if vm.seen_version < world.version
    ]


def _keep_records(
    world: SoakWorld, schedule: list[ScheduledFault], violations: list[str]
) -> None:
    """Write the records of a run that failed beside the logs of its daemons."""
    ledger = world.ledger
    records_by_name: dict[str, Iterable[Any]] = {
        "violations": violations,
        "schedule": map(str, schedule),
        "faults": ledger.faults,
        "attempts": map(asdict, ledger.sent.values()),
        "runs": map(asdict, ledger.runs),
    }
    for name, records in records_by_name.items():
        with (world.directory / f"{name}.jsonl").open("w") as file:
            for record in records:
                print(json.dumps(record), file=file)
    print(f"the run failed; its logs and records are in {world.directory}")


def main(
    seed: int = 1,
    seconds: float = 20.0,
    vms: int = 5,
    runs: int = 1,
    planned: bool = False,
    logs: str | None = None,
) -> None:
    """Run soaks with ``runs`` consecutive seeds; exit with 1 after a violation.

    The logs of a run that fails are kept in the directory ``logs``, by default the one
    for temporary files.
    """
    failed = False
    parent = None if logs is None else Path(logs)
    if parent is not None:
        parent.mkdir(parents=True, exist_ok=True)
    for each in range(seed, seed + runs):
        for violation in asyncio.run(
            soak(each, seconds, vms, planned=planned, logs=parent)
        ):
            failed = True
            print(f"seed {each}: {violation}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
