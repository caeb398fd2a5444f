"""Seeded long run of the host side against the model's oracle.

    python -m devtools.fuzz_hosting --seed 1 --steps 100000

The same steps are the rules of the state machine in tests/unit/test_hosting.py.
"""

import argparse
import time
from collections.abc import Callable
from functools import partial

from absl import logging

from cassiasail._internal import invariants
from cassiasail._internal.coordination.permits import TargetState
from cassiasail._internal.state.lists import CallClass

from .hosting_model import HostingModel, ModelHost, PoisonCaller

CUSTOMERS = ("desk", "control-room", "yield-reports")
# A new model after this many steps keeps the list of calls short.
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
    """Let a caller go away."""
    waiting = [call for call in model.open_calls.values() if call.host is host]
    if waiting:
        model.withdraw(model.random.choice(waiting))


def crash(model: HostingModel, host: ModelHost) -> None:
    """Kill the target for a reason outside the requests."""
    host.crash(model.random.choice((0.001, 0.3, 4.0)))


def crash_rack(model: HostingModel, host: ModelHost) -> None:
    """Kill all targets but one within a tenth of a second."""
    for other in model.hosts:
        if other is not host:
            model.later(model.random.uniform(0, 0.1), partial(crash, model, other))


def fall_silent(model: HostingModel, host: ModelHost) -> None:
    """Stop the announcements of a living target for some time."""
    host.is_silent = True

    def speak() -> None:
        host.is_silent = False

    model.later(model.random.uniform(0.5, 6.0), speak)


def drain(model: HostingModel, host: ModelHost) -> None:
    """Let a target drain, and come back later."""
    host.state = TargetState.DRAINING
    host.announce()

    def ready() -> None:
        host.state = TargetState.READY

    model.later(model.random.uniform(0.5, 3.0), ready)


def start_cold(model: HostingModel, host: ModelHost) -> None:
    """Let a target announce that it is starting."""
    host.state = TargetState.STARTING
    host.announce()
    host.state = TargetState.READY


def mislead(model: HostingModel, host: ModelHost) -> None:
    """Change the load report, or shed with 503 for a while."""
    host.free_slots = model.random.choice((None, 0, 1, 99))
    host.sheds_with_503 = model.random.random() < 0.3


def wait(model: HostingModel, host: ModelHost) -> None:
    """Let time pass."""
    model.sim.run(model.random.choice((0.0, 0.003, 0.05, 0.3, 2.5)))


# Weights: most steps submit and wait, faults are rarer.
STEPS: tuple[tuple[Callable[[HostingModel, ModelHost], None], int], ...] = (
    (submit, 40),
    (wait, 40),
    (withdraw, 6),
    (crash, 3),
    (crash_rack, 1),
    (fall_silent, 2),
    (drain, 2),
    (start_cold, 1),
    (mislead, 4),
)


def run_model(seed: int, steps: int) -> HostingModel:
    """Run random steps on one model and check it after each."""
    model = HostingModel(seed=seed, queue_capacity=20)
    poison = PoisonCaller(model, b"poison") if seed % 2 else None
    choices = [step for step, weight in STEPS for _ in range(weight)]
    for _ in range(steps):
        step = model.random.choice(choices)
        step(model, model.random.choice(model.hosts))
        model.check()
    if poison:
        poison.is_stopped = True
    model.settle()
    return model


def main() -> None:
    """Run ``--steps`` steps from ``--seed`` and print what was seen."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=20_000)
    arguments = parser.parse_args()
    logging.set_verbosity(logging.ERROR)
    invariants.set_strict(True)
    began, calls, done, worst = time.monotonic(), 0, 0, 0
    results: dict[str, int] = {}
    seed = arguments.seed * 1_000_000
    while done < arguments.steps:
        steps = min(STEPS_PER_MODEL, arguments.steps - done)
        try:
            model = run_model(seed, steps)
        except Exception:
            print(f"failed: run_model(seed={seed}, steps={steps})")
            raise
        done, seed, calls = done + steps, seed + 1, calls + len(model.calls)
        for result, count in model.results.items():
            results[result] = results.get(result, 0) + count
        worst = max([worst, *map(len, model.lost_by_fingerprint.values())])
    print(f"seed {arguments.seed}: {done} steps, {calls} calls, no check failed")
    print(f"targets lost to one request: at most {worst}")
    for result, count in sorted(results.items(), key=lambda item: -item[1]):
        print(f"{count:9d}  {result}")
    print(f"{time.monotonic() - began:.1f} s")


if __name__ == "__main__":
    main()
