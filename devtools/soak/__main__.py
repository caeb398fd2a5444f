"""Runs a soak: ``python -m devtools.soak --seed 7 --seconds 20``."""

import asyncio
import json
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

import fire

from .faults import FAULTS, PLANNED, Fault
from .world import SoakVm, SoakWorld

# At the end no faults are injected: first the fleet recovers, then requests are judged.
RECOVER_SECONDS = 8.0
JUDGED_SECONDS = 3.0
# Most faults at a time, and the longest pause between the starts of two.
MAX_OVERLAPPING = 3
MAX_FAULT_GAP_SECONDS = 1.2


async def _inject_faults(
    world: SoakWorld, seconds: float, faults: Sequence[Fault]
) -> list[str]:
    """Start random ``faults`` for ``seconds``; return them when all have ended."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + seconds
    running: set[asyncio.Task[None]] = set()
    drawn: list[str] = []
    while loop.time() < deadline:
        await asyncio.sleep(world.fault_random.uniform(0, MAX_FAULT_GAP_SECONDS))
        running = {task for task in running if not task.done()}
        available = [vm for vm in world.vms if not vm.has_running_fault]
        if len(running) >= MAX_OVERLAPPING or not available:
            continue
        vm, fault = (
            world.fault_random.choice(available),
            world.fault_random.choice(faults),
        )
        duration = world.fault_random.uniform(0.3, 3.0)
        drawn.append(f"{fault.__name__} {vm.name} {duration:.1f}")
        running.add(asyncio.create_task(_run_fault(world, vm, fault, duration)))
    if running:
        await asyncio.gather(*running)
    return drawn


async def _run_fault(
    world: SoakWorld, vm: SoakVm, fault: Fault, seconds: float
) -> None:
    vm.has_running_fault = True
    try:
        await fault(world, vm, seconds)
    finally:
        vm.has_running_fault = False


async def soak(seed: int, seconds: float, vms: int, planned: bool = False) -> list[str]:
    """Run one soak and return the violations.

    With ``planned`` there are only planned operations, which must not lose requests.
    """
    with tempfile.TemporaryDirectory(prefix="cassiasail-soak-") as directory:
        world = SoakWorld(vms=vms, seed=seed, directory=Path(directory))
        try:
            await world.start()
            drawn = await _inject_faults(world, seconds, PLANNED if planned else FAULTS)
            await asyncio.sleep(RECOVER_SECONDS)
            world.ledger.judged_from = asyncio.get_running_loop().time()
            await asyncio.sleep(JUDGED_SECONDS)
            world.ledger.lagging += [
                f"{vm.name} at {vm.seen_version} of {world.version}"
                for vm in world.vms
                if vm.seen_version < world.version
            ]
        finally:
            await world.stop()
    violations = list(world.ledger.violations())
    print(json.dumps({"seed": seed, "faults": drawn, **world.ledger.summary()}))
    return violations


def main(
    seed: int = 1,
    seconds: float = 20.0,
    vms: int = 5,
    runs: int = 1,
    planned: bool = False,
) -> None:
    """Run soaks with ``runs`` consecutive seeds; exit with 1 after a violation."""
    failed = False
    for each in range(seed, seed + runs):
        for violation in asyncio.run(soak(each, seconds, vms, planned)):
            failed = True
            print(f"seed {each}: {violation}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
