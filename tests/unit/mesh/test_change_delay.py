"""How long a change takes to reach all daemons of a fleet, in virtual time."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from random import Random

import pytest

from tests.lib.mesh_world import (
    CONFIG_APPLY_SECONDS,
    LargeConfig,
    MeshWorld,
    Vm,
    WorldLoop,
    places,
)

SETTLE_SECONDS = 8.0
# A daemon and the store count as undisturbed this long after the last fault on them.
CONTACT_SECONDS = 3.0
CHECK_SECONDS = 0.02
PLACES = places(regions=2, centres=3)
# 5,300 routes: 1.2 MB from the store, 0.15 MB from another daemon, over a link of
# 60 Mbit/s between the regions and links of 7 Mbit/s to the VMs, with 0.4 cores each.
LARGE = LargeConfig(
    region_link=0.17, vm_link=0.1, peer_share=0.13, decode=0.23, encode=0.01
)
SLOW_LINK_MBPS, FAST_LINK_MBPS = 7, 140


class Operator:
    """Writes configurations, and checks who still handles requests by older ones."""

    def __init__(self, world: MeshWorld) -> None:
        self._world = world
        self._loop = asyncio.get_running_loop()
        self._acknowledged: list[tuple[float, int]] = []
        self._store_disturbed_at = self._loop.time()
        self._disturbed_at_by_host: dict[str, float] = {}
        self.late: dict[tuple[str, int], str] = {}

    async def change(self) -> None:
        """Write the next version; retry until the store has acknowledged it."""
        store = self._world.store
        while store.down or store.silent:
            await asyncio.sleep(0.1)
        self._world.write_configuration(self._world.version + 1)
        self._acknowledged.append((self._loop.time(), self._world.version))

    async def watch(self) -> None:
        """Record each undisturbed daemon that is late, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            self._record_disturbances()
            now = self._loop.time()
            if now - self._store_disturbed_at <= CONTACT_SECONDS:
                continue
            for acknowledged_at, version in self._acknowledged[-1:-4:-1]:
                if now - acknowledged_at > CONFIG_APPLY_SECONDS:
                    self._record_late(version, now - acknowledged_at)
                    break

    def _record_disturbances(self) -> None:
        now, store = self._loop.time(), self._world.store
        if store.down or store.silent or store.refused or store.read_delay:
            self._store_disturbed_at = now
        for vm in self._world.vms:
            if vm.stopping or vm.slowdown > 1:
                self._disturbed_at_by_host[vm.host] = now

    def _record_late(self, version: int, seconds: float) -> None:
        now = self._loop.time()
        for vm in self._world.vms:
            disturbed_at = self._disturbed_at_by_host.get(vm.host, 0.0)
            calm = now - max(vm.started_at, disturbed_at)
            if calm > CONTACT_SECONDS and vm.config_version < version:
                self.late[vm.host, version] = (
                    f"{vm.host} in {vm.place.data_centre}, calm for {calm:.2f} s, has"
                    f" {vm.config_version} {seconds:.2f} s after the acknowledgement of"
                    f" {version}"
                )


Script = Callable[[MeshWorld, Operator], Awaitable[None]]


def play(
    script: Script, *, vms: int = 6, large: LargeConfig | None = None
) -> list[str]:
    """Run ``script`` on a fleet that has settled; return who got a change late.

    There are ``vms`` in each data centre; the first two of them have fast links.
    """

    async def main() -> list[str]:
        world = MeshWorld(0, places=PLACES)
        for number in range(vms * len(PLACES)):
            centre, vm = divmod(number, vms)
            world.add(
                number + 1,
                place=PLACES[centre],
                link_mbps=FAST_LINK_MBPS if vm < 2 else SLOW_LINK_MBPS,
            )
        await asyncio.sleep(SETTLE_SECONDS)
        assert world.is_consistent
        world.large = large
        operator = Operator(world)
        watcher = asyncio.create_task(operator.watch())
        await script(world, operator)
        await asyncio.sleep(CONTACT_SECONDS + CONFIG_APPLY_SECONDS)
        watcher.cancel()
        world.stop()
        return list(operator.late.values())

    with asyncio.Runner(loop_factory=WorldLoop) as runner:
        return runner.run(main())


async def change_at_random(operator: Operator, random: Random) -> None:
    while True:
        await asyncio.sleep(random.uniform(0.3, 3.0))
        await operator.change()


async def restart_in_turn(
    world: MeshWorld, random: Random, vms: list[Vm], gap: float
) -> None:
    async def restart(vm: Vm) -> None:
        await vm.terminate(random.uniform(2.6, 5.5))
        await asyncio.sleep(random.uniform(0.2, 1.0))
        vm.start()

    async with asyncio.TaskGroup() as group:
        for vm in vms:
            group.create_task(restart(vm))
            await asyncio.sleep(gap)


async def replace_in_turn(
    world: MeshWorld, random: Random, vms: list[Vm], gap: float
) -> None:
    numbers: Iterator[int] = iter(random.sample(range(50, 250), len(vms)))

    async def replace(vm: Vm) -> None:
        await vm.terminate(random.uniform(2.6, 5.5))
        world.remove(vm)

    async with asyncio.TaskGroup() as group:
        for vm in vms:
            world.add(next(numbers), place=vm.place, link_mbps=vm.record.link_mbps)
            await asyncio.sleep(gap)
            group.create_task(replace(vm))


@pytest.mark.parametrize("seed", range(10))
def test_change_reaches_undisturbed_daemons_in_a_rollout(seed: int) -> None:
    """Guards against daemons that wait for others which start, stop or are stale."""

    async def script(world: MeshWorld, operator: Operator) -> None:
        random = Random(seed)
        changes = asyncio.create_task(change_at_random(operator, random))
        act = random.choice((restart_in_turn, replace_in_turn))
        vms = random.sample(world.vms, len(world.vms) // 2)
        rollout = asyncio.create_task(
            act(world, random, vms, random.choice((0.25, 0.5, 1.0)))
        )
        await asyncio.sleep(random.uniform(0, 5))
        match random.randrange(4):
            case 0:
                world.store.silent = True
            case 1:
                world.store.down = True
            case 2:
                world.store.refused = {
                    vm.host for vm in random.sample(world.vms, len(world.vms) // 3)
                }
            case 3:
                world.store.read_delay = random.choice((0.25, 0.5))
        await asyncio.sleep(random.uniform(1, 8))
        world.store.silent = world.store.down = False
        world.store.refused, world.store.read_delay = set(), 0.0
        await rollout
        changes.cancel()

    assert play(script) == []


@pytest.mark.parametrize(
    "slowdown",
    [
        1.0,
        5.0,
        pytest.param(20.0, marks=pytest.mark.xfail(reason="KNOWN-RED.txt, issue 20")),
    ],
)
def test_large_change_is_read_over_a_narrow_link_by_few_daemons(
    slowdown: float,
) -> None:
    """Guards against reads by a whole region that fill its link and then time out."""

    async def script(world: MeshWorld, operator: Operator) -> None:
        random = Random(1)
        vms = random.sample(world.vms, len(world.vms) // 2)
        rollout = asyncio.create_task(replace_in_turn(world, random, vms, 0.5))
        head = next(vm for vm in world.vms if vm.place.region == PLACES[-1].region)
        for change in range(6):
            await operator.change()
            await asyncio.sleep(1.0)
            head.slowdown = slowdown if change in (1, 2) else 1.0
            await asyncio.sleep(2.5)
        await rollout

    assert play(script, vms=12, large=LARGE) == []
