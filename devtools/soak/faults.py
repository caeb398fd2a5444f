"""Faults and planned operations from which a soak draws at random.

A fault gets its VMs, its duration in seconds and one of the options of its kind; it
draws nothing itself. Planned operations must not lose requests; all others but
``drop_store_history`` run within ``SoakWorld.unplanned_fault``.
"""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from itertools import product
from typing import Any

from .proxy import LinkMode
from .world import SoakVm, SoakWorld

# Time between SIGTERM and SIGKILL, as in the settings of the sidecars.
GRACE_SECONDS = 6.0
# Time between the acknowledged drain of a target and its removal.
DRAIN_WAIT_SECONDS = 2.6
# Ages of the backup from which the store is restored, and times after which the
# operator writes again what the backup lacks, in seconds.
BACKUPS = tuple(product((0.5, 3.0, 6.0, 9.0), (0.0, 0.3, 1.0)))
FAULTY_LINK_MODES = (
    LinkMode.DELAYED,
    LinkMode.RESET,
    LinkMode.DROPS_TO_SERVER,
    LinkMode.DROPS_TO_CLIENT,
    LinkMode.DROPS_ALL,
)

# Longest time until the daemons are started again after the loss of all, and after a
# planned stop.
MASS_KILL_SECONDS = 1.0
RESTART_SECONDS = 0.5
CHANGE_INTERVAL_SECONDS = 0.2
# A daemon without requests in flight ends within this time of SIGTERM.
USUAL_STOP_SECONDS = 2.5
LINKS = ("inbound", "store", "target")
FORMER_ID, NEW_ID = "former id", "new id"
TARGET_IDS = (FORMER_ID, NEW_ID)
# Names of further signals to a daemon that is stopping; none of them changes anything.
SIGNALS_WHILE_STOPPING = ((), ("SIGHUP",), ("SIGTERM", "SIGHUP", "SIGTERM"))
SIGNAL_INTERVAL_SECONDS = 0.1
# Longest time until a daemon that was started is ready, also on a busy machine.
MAX_START_SECONDS = 20.0
TARGET_BEHAVIOURS = ("slow", "fails", "loses", "truncates")

Fault = Callable[[SoakWorld, Sequence[SoakVm], float, Any], Awaitable[None]]


@dataclass(frozen=True, slots=True, kw_only=True)
class FaultKind:
    """A fault, with the options from which one is drawn.

    It occupies its VMs for its duration, ``most_seconds`` of it at most, and
    ``more_seconds`` beyond it. A drawn fault may take longer, ``stop_daemon`` above
    all, if the daemon ends late.
    """

    run: Fault
    options: tuple[Any, ...] = (None,)
    hits_all_vms: bool = False
    most_seconds: float = float("inf")
    more_seconds: float = 0.0

    @property
    def name(self) -> str:
        return self.run.__name__

    def planned_seconds(self, seconds: float) -> float:
        """Return for how long a fault with this duration occupies its VMs."""
        return min(seconds, self.most_seconds) + self.more_seconds


async def kill_daemon(
    world: SoakWorld, vms: Sequence[SoakVm], seconds: float, option: None
) -> None:
    """Kill the daemon of each VM and start it again."""
    with world.unplanned_fault():
        await asyncio.gather(*(_signal_and_wait(vm, signal.SIGKILL) for vm in vms))
        await asyncio.sleep(seconds)
        await asyncio.gather(*(world.start_daemon(vm) for vm in vms))


async def kill_all_daemons(
    world: SoakWorld, vms: Sequence[SoakVm], seconds: float, option: None
) -> None:
    """Kill the daemons of all VMs without another fault, and start them again."""
    await kill_daemon(world, vms, min(seconds, MASS_KILL_SECONDS), None)


async def pause_daemon(
    world: SoakWorld, vms: Sequence[SoakVm], seconds: float, option: None
) -> None:
    """Suspend the daemon process for some seconds."""
    (vm,) = vms
    with world.unplanned_fault():
        vm.sidecar.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        vm.sidecar.signal(signal.SIGCONT)


async def stop_daemon(
    world: SoakWorld,
    vms: Sequence[SoakVm],
    seconds: float,
    signals_while_stopping: tuple[str, ...],
) -> None:
    """Stop the daemon with SIGTERM, perhaps repeated, and start it again; planned."""
    (vm,) = vms
    loop = asyncio.get_running_loop()
    process = vm.sidecar.process
    assert process is not None
    vm.exit_expected = True
    vm.stopping_since = loop.time()
    vm.sidecar.signal(signal.SIGTERM)
    for name in signals_while_stopping:
        await asyncio.sleep(SIGNAL_INTERVAL_SECONDS)
        if process.returncode is None:
            vm.sidecar.signal(signal.Signals[name])
    try:
        remaining = vm.stopping_since + GRACE_SECONDS - loop.time()
        await asyncio.wait_for(process.wait(), remaining)
    except TimeoutError:
        if world.no_unplanned_fault_since(vm.stopping_since):
            world.ledger.stop_timeouts.append(vm.name)
        await _signal_and_wait(vm, signal.SIGKILL)
    await asyncio.sleep(min(seconds, RESTART_SECONDS))
    await world.start_daemon(vm)


async def reload_settings(
    world: SoakWorld, vms: Sequence[SoakVm], seconds: float, retry_slack: int
) -> None:
    """Write changed settings and send SIGHUP; planned."""
    (vm,) = vms
    vm.sidecar.retry_slack = retry_slack
    vm.sidecar.write_settings(world.directory)
    vm.sidecar.signal(signal.SIGHUP)


async def change_configuration(
    world: SoakWorld, vms: Sequence[SoakVm], seconds: float, changes: int
) -> None:
    """Write configurations in quick succession; planned."""
    for _ in range(changes):
        world.change_configuration()
        await asyncio.sleep(CHANGE_INTERVAL_SECONDS)


async def restart_in_series(
    world: SoakWorld, vms: Sequence[SoakVm], seconds: float, restarts: int
) -> None:
    """Stop and start a daemon several times amid reloads and new configurations.

    Planned; clients come back between two stops, and signals overlap with the changes.
    """
    (vm,) = vms
    changes = asyncio.create_task(change_configuration(world, vms, seconds, restarts))
    await vm.sidecar.wait_until_ready(MAX_START_SECONDS)
    for _ in range(restarts):
        for retry_slack in (60, 62):
            await reload_settings(world, vms, seconds, retry_slack)
            await asyncio.sleep(SIGNAL_INTERVAL_SECONDS)
        await stop_daemon(world, vms, 0.0, SIGNALS_WHILE_STOPPING[-1])
        await vm.sidecar.wait_until_ready(MAX_START_SECONDS)
    await changes


async def drain_target(
    world: SoakWorld, vms: Sequence[SoakVm], seconds: float, id_of_next: str
) -> None:
    """Drain and remove the target, then start a new one on its address; planned."""
    (vm,) = vms
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
    _start_new_incarnation(vm, id_of_next)


async def crash_target(
    world: SoakWorld, vms: Sequence[SoakVm], seconds: float, id_of_next: str
) -> None:
    """End the target without notice and start a new incarnation of it."""
    (vm,) = vms
    with world.unplanned_fault():
        await vm.sidecar.stop_target()
        await asyncio.sleep(seconds)
        _start_new_incarnation(vm, id_of_next)
        await vm.sidecar.start_target()


async def degrade_target(
    world: SoakWorld, vms: Sequence[SoakVm], seconds: float, behaviour: str
) -> None:
    """Make the target fail, respond slowly, or lose or truncate responses."""
    (vm,) = vms
    with world.unplanned_fault():
        vm.behaviour = behaviour
        await asyncio.sleep(seconds)
        vm.behaviour = ""


async def disturb_link(
    world: SoakWorld,
    vms: Sequence[SoakVm],
    seconds: float,
    link_and_mode: tuple[str, str],
) -> None:
    """Disturb the link to the store, to other daemons or to the target."""
    (vm,) = vms
    use, mode = link_and_mode
    link = vm.link_by_use[use]
    with world.unplanned_fault():
        link.set_mode(LinkMode[mode])
        await asyncio.sleep(seconds)
        link.set_mode(LinkMode.NORMAL)


def store_fault(attribute: str, faulty: object, normal: object) -> Fault:
    """Return a fault that changes an attribute of the store for a time."""

    async def fault(
        world: SoakWorld, vms: Sequence[SoakVm], seconds: float, option: None
    ) -> None:
        with world.unplanned_fault():
            setattr(world.store, attribute, faulty)
            await asyncio.sleep(seconds)
            setattr(world.store, attribute, normal)

    fault.__name__ = f"store_{attribute}"
    return fault


async def drop_store_history(
    world: SoakWorld, vms: Sequence[SoakVm], seconds: float, option: None
) -> None:
    """Make the store drop its history."""
    world.store.drop_history()


async def store_restored(
    world: SoakWorld, vms: Sequence[SoakVm], seconds: float, backup: tuple[float, float]
) -> None:
    """Take the store down and restore it from a backup some seconds old.

    ``backup`` has its age and how long after the restore the operator writes the
    newest configuration again, in seconds.
    """
    age_seconds, rewrite_seconds = backup
    with world.unplanned_fault():
        world.store.down = True
        await asyncio.sleep(seconds)
        world.store.restore(age_seconds)
        world.store.down = False
        await asyncio.sleep(rewrite_seconds)
        world.write_configuration()


# Each kind is listed as often as it is likely.
PLANNED_FAULTS: tuple[FaultKind, ...] = (
    *[
        FaultKind(
            run=stop_daemon,
            options=SIGNALS_WHILE_STOPPING,
            most_seconds=RESTART_SECONDS,
            more_seconds=USUAL_STOP_SECONDS,
        )
    ]
    * 3,
    FaultKind(run=reload_settings, options=(60, 62), most_seconds=0.0),
    FaultKind(
        run=restart_in_series,
        options=(2, 3),
        most_seconds=0.0,
        more_seconds=2 * (USUAL_STOP_SECONDS + RESTART_SECONDS),
    ),
    *[
        FaultKind(
            run=change_configuration,
            options=(1, 1, 4),
            most_seconds=0.0,
            more_seconds=4 * CHANGE_INTERVAL_SECONDS,
        )
    ]
    * 2,
    *[
        FaultKind(
            run=drain_target,
            options=TARGET_IDS,
            most_seconds=0.0,
            more_seconds=DRAIN_WAIT_SECONDS + 0.3,
        )
    ]
    * 2,
    FaultKind(run=drop_store_history, most_seconds=0.0),
)
FAULTS: tuple[FaultKind, ...] = (
    *PLANNED_FAULTS,
    *[FaultKind(run=kill_daemon)] * 2,
    FaultKind(run=kill_all_daemons, hits_all_vms=True, most_seconds=MASS_KILL_SECONDS),
    FaultKind(run=pause_daemon),
    FaultKind(run=crash_target, options=TARGET_IDS),
    FaultKind(run=degrade_target, options=TARGET_BEHAVIOURS),
    *[
        FaultKind(
            run=disturb_link,
            options=tuple(product(LINKS, (mode.name for mode in FAULTY_LINK_MODES))),
        )
    ]
    * 3,
    FaultKind(run=store_fault("down", True, False)),
    FaultKind(run=store_fault("delay", 0.4, 0.0)),
    FaultKind(run=store_fault("drops_responses", True, False)),
    *[
        FaultKind(
            run=store_restored,
            options=BACKUPS,
            more_seconds=1.0,
        )
    ]
    * 2,
)


async def _signal_and_wait(vm: SoakVm, number: signal.Signals) -> None:
    """Send a signal to the daemon if it is running, and wait for its exit."""
    process = vm.sidecar.process
    assert process is not None
    vm.exit_expected = True
    if process.returncode is None:
        process.send_signal(number)
    await process.wait()


def _start_new_incarnation(vm: SoakVm, id_of_next: str) -> None:
    """Start a new incarnation of the target under its former id or a new one."""
    sidecar = vm.sidecar
    sidecar.start_time_ms = int(time.time() * 1000)
    sidecar.sequence = 0
    sidecar.state = "ready"
    if id_of_next == NEW_ID:
        sidecar.target_id = f"i-{vm.name}-{sidecar.start_time_ms}"
