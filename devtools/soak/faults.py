"""Faults and planned work that a soak draws at random."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable

from .proxy import Link
from .world import SoakVm, SoakWorld

# Of the settings: between SIGTERM and SIGKILL.
GRACE_SECONDS = 6.0
# Between the acknowledgement that a target leaves and its end.
LEAVE_SECONDS = 2.6
HARMED_LINKS = (
    Link.DELAYED,
    Link.RESET,
    Link.CUT_THERE,
    Link.CUT_BACK,
    Link.SILENT,
)

BEHAVIOURS = ("slow", "fails", "loses", "truncates")

Fault = Callable[[SoakWorld, SoakVm, float], Awaitable[None]]


async def kill(world: SoakWorld, vm: SoakVm, seconds: float) -> None:
    """Kill the daemon and start it again."""
    with world.unplanned():
        await _end(vm, signal.SIGKILL)
        await asyncio.sleep(seconds)
        await world.start_daemon(vm)


async def herd(world: SoakWorld, vm: SoakVm, seconds: float) -> None:
    """Kill all daemons that nothing else happens to, and start them again."""
    idle = [vm, *(each for each in world.vms if not each.busy)]
    for each in idle:
        each.busy = True
    with world.unplanned():
        await asyncio.gather(*(_end(each, signal.SIGKILL) for each in idle))
        await asyncio.sleep(min(seconds, 1.0))
        await asyncio.gather(*(world.start_daemon(each) for each in idle))
    for each in idle:
        each.busy = False


async def pause(world: SoakWorld, vm: SoakVm, seconds: float) -> None:
    """Freeze the daemon for some seconds."""
    with world.unplanned():
        vm.sidecar.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        vm.sidecar.signal(signal.SIGCONT)


async def stop(world: SoakWorld, vm: SoakVm, seconds: float) -> None:
    """Ask the daemon to stop, and start it again; planned."""
    process = vm.sidecar.process
    assert process is not None
    vm.ending = True
    vm.stopping_since = asyncio.get_running_loop().time()
    vm.sidecar.signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(process.wait(), GRACE_SECONDS)
    except TimeoutError:
        if world.is_calm_since(vm.stopping_since):
            world.ledger.overstayed.append(vm.name)
        await _end(vm, signal.SIGKILL)
    await asyncio.sleep(min(seconds, 0.5))
    await world.start_daemon(vm)


async def reload(world: SoakWorld, vm: SoakVm, seconds: float) -> None:
    """Write other settings and send SIGHUP; planned."""
    vm.sidecar.retry_slack = world.fault_random.choice((60, 62))
    vm.sidecar.write_settings(world.directory)
    vm.sidecar.signal(signal.SIGHUP)


async def change(world: SoakWorld, vm: SoakVm, seconds: float) -> None:
    """Write configurations in quick succession; planned."""
    for _ in range(world.fault_random.choice((1, 1, 4))):
        world.change_configuration()
        await asyncio.sleep(0.2)


async def leave(world: SoakWorld, vm: SoakVm, seconds: float) -> None:
    """Have the target leave, and a new one come under the same address; planned."""
    sidecar = vm.sidecar
    sidecar.state = "draining"
    for _ in range(10):
        answer = await sidecar.report_once()
        if getattr(answer, "status", 0) == 200:
            now = asyncio.get_running_loop().time()
            world.ledger.left_at.setdefault(vm.life, now)
            break
        await asyncio.sleep(0.3)
    await asyncio.sleep(LEAVE_SECONDS)
    await sidecar.remove()
    _renew(vm)


async def crash(world: SoakWorld, vm: SoakVm, seconds: float) -> None:
    """End the target without notice and start a new life of it."""
    with world.unplanned():
        await vm.sidecar.stop_target()
        await asyncio.sleep(seconds)
        _renew(vm)
        await vm.sidecar.start_target()


async def misbehave(world: SoakWorld, vm: SoakVm, seconds: float) -> None:
    """Have the target fail, be slow, or lose or truncate answers."""
    with world.unplanned():
        vm.behaviour = world.fault_random.choice(
            ("slow", "fails", "loses", "truncates")
        )
        await asyncio.sleep(seconds)
        vm.behaviour = ""


async def harm_link(world: SoakWorld, vm: SoakVm, seconds: float) -> None:
    """Harm the link to the store, to other daemons or to the target."""
    link = vm.link_by_use[world.fault_random.choice(("inbound", "store", "target"))]
    with world.unplanned():
        link.set_link(world.fault_random.choice(HARMED_LINKS))
        await asyncio.sleep(seconds)
        link.set_link(Link.WHOLE)


def harm_store(attribute: str, harmed: object, usual: object) -> Fault:
    """Return the fault that gives an attribute of the store another value."""

    async def fault(world: SoakWorld, vm: SoakVm, seconds: float) -> None:
        with world.unplanned():
            setattr(world.store, attribute, harmed)
            await asyncio.sleep(seconds)
            setattr(world.store, attribute, usual)

    fault.__name__ = f"store_{attribute}"
    return fault


async def store_forgets(world: SoakWorld, vm: SoakVm, seconds: float) -> None:
    """Have the store drop its history."""
    world.store.forget_history()


FAULTS: tuple[Fault, ...] = (
    kill,
    kill,
    herd,
    pause,
    stop,
    stop,
    stop,
    reload,
    change,
    change,
    leave,
    leave,
    crash,
    misbehave,
    harm_link,
    harm_link,
    harm_link,
    harm_store("down", True, False),
    harm_store("delay", 0.4, 0.0),
    harm_store("loses_answers", True, False),
    store_forgets,
)


async def _end(vm: SoakVm, number: signal.Signals) -> None:
    process = vm.sidecar.process
    assert process is not None
    vm.ending = True
    if process.returncode is None:
        process.send_signal(number)
    await process.wait()


def _renew(vm: SoakVm) -> None:
    """Give the target a new life, at times under its former name."""
    sidecar = vm.sidecar
    sidecar.born = int(time.time() * 1000)
    sidecar.sequence = 0
    sidecar.state = "ready"
    if sidecar.born % 2:
        sidecar.target_id = f"i-{vm.name}-{sidecar.born}"
