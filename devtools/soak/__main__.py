"""Runs the soak: ``python -m devtools.soak --seed 7 --seconds 20``."""

import asyncio
import json
import sys
import tempfile
from pathlib import Path

import fire

from .faults import FAULTS, Fault
from .world import SoakVm, SoakWorld

# Time without faults at the end: first to recover, then to be judged.
RECOVER_SECONDS = 8.0
JUDGED_SECONDS = 3.0
# Faults that overlap, and the pause between the starts of two.
MAX_OVERLAPPING = 3
GAP_SECONDS = 1.2


async def _inject(world: SoakWorld, seconds: float) -> list[str]:
    """Draw faults for ``seconds``, let them end, and return what was drawn."""
    loop = asyncio.get_running_loop()
    ends = loop.time() + seconds
    running: set[asyncio.Task[None]] = set()
    drawn: list[str] = []
    while loop.time() < ends:
        await asyncio.sleep(world.fault_random.uniform(0, GAP_SECONDS))
        running = {task for task in running if not task.done()}
        idle = [vm for vm in world.vms if not vm.busy]
        if len(running) >= MAX_OVERLAPPING or not idle:
            continue
        vm, fault = world.fault_random.choice(idle), world.fault_random.choice(FAULTS)
        length = world.fault_random.uniform(0.3, 3.0)
        drawn.append(f"{fault.__name__} {vm.name} {length:.1f}")
        running.add(asyncio.create_task(_run(world, vm, fault, length)))
    if running:
        await asyncio.gather(*running)
    return drawn


async def _run(world: SoakWorld, vm: SoakVm, fault: Fault, seconds: float) -> None:
    vm.busy = True
    try:
        await fault(world, vm, seconds)
    finally:
        vm.busy = False


async def soak(seed: int, seconds: float, vms: int) -> list[str]:
    """Run one soak and return the broken promises."""
    with tempfile.TemporaryDirectory(prefix="cassiasail-soak-") as directory:
        world = SoakWorld(vms=vms, seed=seed, directory=Path(directory))
        try:
            await world.start()
            drawn = await _inject(world, seconds)
            await asyncio.sleep(RECOVER_SECONDS)
            world.ledger.calm_from = asyncio.get_running_loop().time()
            await asyncio.sleep(JUDGED_SECONDS)
            world.ledger.behind += [
                f"{vm.name} at {vm.seen_version} of {world.version}"
                for vm in world.vms
                if vm.seen_version < world.version
            ]
        finally:
            await world.stop()
    broken = list(world.ledger.violations())
    print(json.dumps({"seed": seed, "faults": drawn, **world.ledger.summary()}))
    return broken


def main(seed: int = 1, seconds: float = 20.0, vms: int = 5, runs: int = 1) -> None:
    """Run ``runs`` soaks from ``seed`` on; the exit code is 1 after a violation."""
    failed = False
    for each in range(seed, seed + runs):
        for violation in asyncio.run(soak(each, seconds, vms)):
            failed = True
            print(f"seed {each}: {violation}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
