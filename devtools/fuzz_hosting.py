"""Long seeded run of target hosts, checked by the oracle of the hosting model.

    python -m devtools.fuzz_hosting --seed 1 --steps 100000

The state machine in tests/unit/test_hosting.py uses the same steps.
"""

import argparse
import time
from collections.abc import Callable
from functools import partial

from absl import logging

from cassiasail._internal import invariants
from cassiasail._internal.coordination.permits import TargetState
from cassiasail._internal.state.lists import CallClass

from .hosting_model import CrashingCaller, HostingModel, ModelHost

CUSTOMERS = ("desk", "control-room", "yield-reports")
# Each model is used for this many steps, to keep its list of calls short.
STEPS_PER_MODEL = 2000


def submit(model: HostingModel, host: ModelHost) -> None:
    """Submit a burst of calls, some with a fingerprint that others share."""
    random = model.random
    for _ in range(random.choice((1, 1, 3, 12))):
        shared = random.randrange(3).to_bytes(16, "little")
        model.submit(
            host,
            customer=random.choice(CUSTOMERS),
            call_class=random.choice(tuple(CallClass)),
            fingerprint=b"s" + shared if random.random() < 0.3 else None,
            service_seconds=random.choice((0.005, 0.05, 0.5, 3.0)),
            deadline=random.choice((0.01, 0.1, 1.0, 5.0)),
            depth=random.choice((0, 0, 1, 7)),
        )


def withdraw(model: HostingModel, host: ModelHost) -> None:
    """Withdraw one of the open calls of a host."""
    waiting = [call for call in model.open_calls.values() if call.host is host]
    if waiting:
        model.withdraw(model.random.choice(waiting))


def crash(model: HostingModel, host: ModelHost) -> None:
    """Crash the target for a reason that no call causes."""
    host.crash(model.random.choice((0.001, 0.3, 4.0)))


def crash_rack(model: HostingModel, host: ModelHost) -> None:
    """Crash all targets but one within a tenth of a second."""
    for other in model.hosts:
        if other is not host:
            model.later(model.random.uniform(0, 0.1), partial(crash, model, other))


def stop_heartbeats(model: HostingModel, host: ModelHost) -> None:
    """Stop the heartbeats of a running target for 0.5 to 6 s."""
    host.heartbeats_stopped = True

    def resume() -> None:
        host.heartbeats_stopped = False

    model.later(model.random.uniform(0.5, 6.0), resume)


def drain(model: HostingModel, host: ModelHost) -> None:
    """Let a target drain and become ready again later."""
    host.state = TargetState.DRAINING
    host.send_heartbeat()

    def ready() -> None:
        host.state = TargetState.READY

    model.later(model.random.uniform(0.5, 3.0), ready)


def report_starting(model: HostingModel, host: ModelHost) -> None:
    """Send one heartbeat with the state STARTING."""
    host.state = TargetState.STARTING
    host.send_heartbeat()
    host.state = TargetState.READY


def change_load_reports(model: HostingModel, host: ModelHost) -> None:
    """Change the free slots that a target reports, and whether it sheds with 503.

    Both stay until the next such step.
    """
    host.free_slots = model.random.choice((None, 0, 1, 99))
    host.sheds_with_503 = model.random.random() < 0.3


def wait(model: HostingModel, host: ModelHost) -> None:
    """Advance virtual time."""
    model.sim.run(model.random.choice((0.0, 0.003, 0.05, 0.3, 2.5)))


# Steps with their weights: most submit or wait, faults are rarer.
STEPS: tuple[tuple[Callable[[HostingModel, ModelHost], None], int], ...] = (
    (submit, 40),
    (wait, 40),
    (withdraw, 6),
    (crash, 3),
    (crash_rack, 1),
    (stop_heartbeats, 2),
    (drain, 2),
    (report_starting, 1),
    (change_load_reports, 4),
)


def run_model(seed: int, steps: int) -> HostingModel:
    """Run random steps on one model and check it after each."""
    model = HostingModel(seed=seed, queue_capacity=20)
    crashing_caller = CrashingCaller(model, b"poison") if seed % 2 else None
    weighted_steps = [step for step, weight in STEPS for _ in range(weight)]
    for _ in range(steps):
        step = model.random.choice(weighted_steps)
        step(model, model.random.choice(model.hosts))
        model.check()
    if crashing_caller:
        crashing_caller.is_stopped = True
    model.settle()
    return model


def main() -> None:
    """Run ``--steps`` steps from ``--seed`` and print the counts of results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=20_000)
    arguments = parser.parse_args()
    logging.set_verbosity(logging.ERROR)
    invariants.set_strict(True)
    started_at, calls, done_steps, max_crashed_targets = time.monotonic(), 0, 0, 0
    results: dict[str, int] = {}
    seed = arguments.seed * 1_000_000
    while done_steps < arguments.steps:
        steps = min(STEPS_PER_MODEL, arguments.steps - done_steps)
        try:
            model = run_model(seed, steps)
        except Exception:
            print(f"failed: run_model(seed={seed}, steps={steps})")
            raise
        done_steps, seed, calls = done_steps + steps, seed + 1, calls + len(model.calls)
        for result, count in model.results.items():
            results[result] = results.get(result, 0) + count
        max_crashed_targets = max(
            [max_crashed_targets, *map(len, model.crashes_by_fingerprint.values())]
        )
    print(f"seed {arguments.seed}: {done_steps} steps, {calls} calls, no check failed")
    print(f"targets crashed by one request: at most {max_crashed_targets}")
    for result, count in sorted(results.items(), key=lambda item: -item[1]):
        print(f"{count:9d}  {result}")
    print(f"{time.monotonic() - started_at:.1f} s")


if __name__ == "__main__":
    main()
