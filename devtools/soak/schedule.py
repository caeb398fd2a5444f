"""Draws the faults of a soak from its seed, and runs them at their times.

The whole schedule is drawn before the first fault starts, so that a seed always gives
the same faults. Only the time of a fault may change: it waits for an earlier one that
takes longer than planned.
"""

import asyncio
from collections.abc import Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass
from random import Random
from typing import Any

from .faults import FAULTS, PLANNED_FAULTS, FaultKind
from .world import SoakVm, SoakWorld

# Most faults at a time, and the longest pause between the starts of two.
MAX_OVERLAPPING = 3
MAX_FAULT_GAP_SECONDS = 1.2
# Range of the duration that a fault is told.
FAULT_SECONDS = (0.3, 3.0)


@dataclass(frozen=True, slots=True, kw_only=True)
class ScheduledFault:
    """One fault; ``start`` is in seconds after the first one may start.

    ``vms`` are the indexes of its VMs, ``option`` is one of the options of its kind.
    """

    start: float
    kind: FaultKind
    vms: tuple[int, ...]
    seconds: float
    option: Any

    @property
    def planned_end(self) -> float:
        return self.start + self.kind.planned_seconds(self.seconds)

    def __str__(self) -> str:
        names = ",".join(f"vm-{index}" for index in self.vms)
        option = "" if self.option is None else f" {self.option}"
        return f"{self.start:.1f} {self.kind.name} {names} {self.seconds:.1f}{option}"


def draw_schedule(
    seed: int, *, seconds: float, vms: int, planned: bool = False
) -> list[ScheduledFault]:
    """Return the faults that start within ``seconds``, by their start.

    With ``planned`` they are planned operations only.
    """
    random = Random(f"faults {seed}")
    kinds = PLANNED_FAULTS if planned else FAULTS
    schedule: list[ScheduledFault] = []
    start = 0.0
    while (start := start + random.uniform(0, MAX_FAULT_GAP_SECONDS)) < seconds:
        running = [fault for fault in schedule if fault.planned_end > start]
        busy = {vm for fault in running for vm in fault.vms}
        available = [vm for vm in range(vms) if vm not in busy]
        if len(running) >= MAX_OVERLAPPING or not available:
            continue
        kind = random.choice(kinds)
        vm = random.choice(available)
        schedule.append(
            ScheduledFault(
                start=start,
                kind=kind,
                vms=tuple(available) if kind.hits_all_vms else (vm,),
                seconds=random.uniform(*FAULT_SECONDS),
                option=random.choice(kind.options),
            )
        )
    return schedule


async def run_schedule(world: SoakWorld, schedule: Sequence[ScheduledFault]) -> None:
    """Run all faults, and record when each of them really started and ended."""
    limit = asyncio.Semaphore(MAX_OVERLAPPING)
    first_start = asyncio.get_running_loop().time()
    async with asyncio.TaskGroup() as group:
        for fault in schedule:
            group.create_task(_run_fault(world, fault, first_start, limit))


async def _run_fault(
    world: SoakWorld,
    fault: ScheduledFault,
    first_start: float,
    limit: asyncio.Semaphore,
) -> None:
    loop = asyncio.get_running_loop()
    await asyncio.sleep(first_start + fault.start - loop.time())
    vms: list[SoakVm] = [world.vms[index] for index in fault.vms]
    async with AsyncExitStack() as held:
        # In the order of the VMs, so that two faults never wait for each other.
        for vm in vms:
            await held.enter_async_context(vm.fault_lock)
        await held.enter_async_context(limit)
        started_at = loop.time()
        await fault.kind.run(world, vms, fault.seconds, fault.option)
        world.ledger.faults.append(f"{started_at:.3f} to {loop.time():.3f}: {fault}")
