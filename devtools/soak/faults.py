"""Faults and planned operations from which a soak draws at random.

``seconds`` is the duration of a fault. Planned operations must not lose requests; all
others but ``drop_store_history`` run within ``SoakWorld.unplanned_fault``.
"""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable

from .proxy import LinkMode
from .world import SoakVm, SoakWorld

# Time between SIGTERM and SIGKILL, as in the settings of the sidecars.
GRACE_SECONDS = 6.0
# Time between the acknowledged drain of a target and its removal.
DRAIN_WAIT_SECONDS = 2.6
# Greatest age of the backup from which the store is restored.
MAX_BACKUP_AGE_SECONDS = 9.0
# Longest time until the operator writes again what the backup lacks.
MAX_REWRITE_SECONDS = 1.0
FAULTY_LINK_MODES = (
    LinkMode.DELAYED,
    LinkMode.RESET,
    LinkMode.DROPS_TO_SERVER,
    LinkMode.DROPS_TO_CLIENT,
    LinkMode.DROPS_ALL,
)

TARGET_BEHAVIOURS = ("slow", "fails", "loses", "truncates")

Fault = Callable[[SoakWorld, SoakVm, float], Awaitable[None]]


async def kill_daemon(world: SoakWorld, vm: SoakVm, seconds: float) -> None:
    """Kill the daemon and start it again."""
    with world.unplanned_fault():
        await _signal_and_wait(vm, signal.SIGKILL)
        await asyncio.sleep(seconds)
        await world.start_daemon(vm)


async def kill_all_daemons(world: SoakWorld, vm: SoakVm, seconds: float) -> None:
    """Kill all daemons without a running fault, and start them again."""
    available = [vm, *(each for each in world.vms if not each.has_running_fault)]
    for each in available:
        each.has_running_fault = True
    with world.unplanned_fault():
        await asyncio.gather(
            *(_signal_and_wait(each, signal.SIGKILL) for each in available)
        )
        await asyncio.sleep(min(seconds, 1.0))
        await asyncio.gather(*(world.start_daemon(each) for each in available))
    for each in available:
        each.has_running_fault = False


async def pause_daemon(world: SoakWorld, vm: SoakVm, seconds: float) -> None:
    """Suspend the daemon process for some seconds."""
    with world.unplanned_fault():
        vm.sidecar.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        vm.sidecar.signal(signal.SIGCONT)


async def stop_daemon(world: SoakWorld, vm: SoakVm, seconds: float) -> None:
    """Stop the daemon with SIGTERM and start it again; planned."""
    process = vm.sidecar.process
    assert process is not None
    vm.exit_expected = True
    vm.stopping_since = asyncio.get_running_loop().time()
    vm.sidecar.signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(process.wait(), GRACE_SECONDS)
    except TimeoutError:
        if world.no_unplanned_fault_since(vm.stopping_since):
            world.ledger.stop_timeouts.append(vm.name)
        await _signal_and_wait(vm, signal.SIGKILL)
    await asyncio.sleep(min(seconds, 0.5))
    await world.start_daemon(vm)


async def reload_settings(world: SoakWorld, vm: SoakVm, seconds: float) -> None:
    """Write changed settings and send SIGHUP; planned."""
    vm.sidecar.retry_slack = world.fault_random.choice((60, 62))
    vm.sidecar.write_settings(world.directory)
    vm.sidecar.signal(signal.SIGHUP)


async def change_configuration(world: SoakWorld, vm: SoakVm, seconds: float) -> None:
    """Write configurations in quick succession; planned."""
    for _ in range(world.fault_random.choice((1, 1, 4))):
        world.change_configuration()
        await asyncio.sleep(0.2)


async def drain_target(world: SoakWorld, vm: SoakVm, seconds: float) -> None:
    """Drain and remove the target, then start a new one on its address; planned."""
    sidecar = vm.sidecar
    sidecar.state = "draining"
    for _ in range(10):
        response = await sidecar.send_heartbeat()
        if getattr(response, "status", 0) == 200:
            now = asyncio.get_running_loop().time()
            world.ledger.drained_at_by_target.setdefault(vm.target_incarnation, now)
            break
        await asyncio.sleep(0.3)
    await asyncio.sleep(DRAIN_WAIT_SECONDS)
    await sidecar.remove()
    _start_new_incarnation(vm)


async def crash_target(world: SoakWorld, vm: SoakVm, seconds: float) -> None:
    """End the target without notice and start a new incarnation of it."""
    with world.unplanned_fault():
        await vm.sidecar.stop_target()
        await asyncio.sleep(seconds)
        _start_new_incarnation(vm)
        await vm.sidecar.start_target()


async def degrade_target(world: SoakWorld, vm: SoakVm, seconds: float) -> None:
    """Make the target fail, respond slowly, or lose or truncate responses."""
    with world.unplanned_fault():
        vm.behaviour = world.fault_random.choice(
            ("slow", "fails", "loses", "truncates")
        )
        await asyncio.sleep(seconds)
        vm.behaviour = ""


async def disturb_link(world: SoakWorld, vm: SoakVm, seconds: float) -> None:
    """Disturb the link to the store, to other daemons or to the target."""
    link = vm.link_by_use[world.fault_random.choice(("inbound", "store", "target"))]
    with world.unplanned_fault():
        link.set_mode(world.fault_random.choice(FAULTY_LINK_MODES))
        await asyncio.sleep(seconds)
        link.set_mode(LinkMode.NORMAL)


def store_fault(attribute: str, faulty: object, normal: object) -> Fault:
    """Return a fault that changes an attribute of the store for a time."""

    async def fault(world: SoakWorld, vm: SoakVm, seconds: float) -> None:
        with world.unplanned_fault():
            setattr(world.store, attribute, faulty)
            await asyncio.sleep(seconds)
            setattr(world.store, attribute, normal)

    fault.__name__ = f"store_{attribute}"
    return fault


async def drop_store_history(world: SoakWorld, vm: SoakVm, seconds: float) -> None:
    """Make the store drop its history."""
    world.store.drop_history()


async def store_restored(world: SoakWorld, vm: SoakVm, seconds: float) -> None:
    """Take the store down and restore it from a backup some seconds old."""
    age_seconds = world.fault_random.uniform(0, MAX_BACKUP_AGE_SECONDS)
    rewrite_seconds = world.fault_random.uniform(0, MAX_REWRITE_SECONDS)
    with world.unplanned_fault():
        world.store.down = True
        await asyncio.sleep(seconds)
        world.store.restore(age_seconds)
        world.store.down = False
        await asyncio.sleep(rewrite_seconds)
        world.write_configuration()


FAULTS: tuple[Fault, ...] = (
    kill_daemon,
    kill_daemon,
    kill_all_daemons,
    pause_daemon,
    stop_daemon,
    stop_daemon,
    stop_daemon,
    reload_settings,
    change_configuration,
    change_configuration,
    drain_target,
    drain_target,
    crash_target,
    degrade_target,
    disturb_link,
    disturb_link,
    disturb_link,
    store_fault("down", True, False),
    store_fault("delay", 0.4, 0.0),
    store_fault("drops_responses", True, False),
    drop_store_history,
    store_restored,
    store_restored,
)


async def _signal_and_wait(vm: SoakVm, number: signal.Signals) -> None:
    """Send a signal to the daemon if it is running, and wait for its exit."""
    process = vm.sidecar.process
    assert process is not None
    vm.exit_expected = True
    if process.returncode is None:
        process.send_signal(number)
    await process.wait()


def _start_new_incarnation(vm: SoakVm) -> None:
    """Start a new incarnation of the target, sometimes under its former id."""
    sidecar = vm.sidecar
    sidecar.start_time_ms = int(time.time() * 1000)
    sidecar.sequence = 0
    sidecar.state = "ready"
    if sidecar.start_time_ms % 2:
        sidecar.target_id = f"i-{vm.name}-{sidecar.start_time_ms}"
