"""Long seeded run of random faults on an in-memory fleet of daemons.

``python -m devtools.fuzz_fleet --seed 1 --steps 2000 --daemons 13`` stops at the
first failed check and prints the step and the seed that reproduce it. Run it at the
root of the repository, because it imports the fleet from the tests.
"""

import argparse
import sys
import time

from absl import logging

from cassiasail._internal import invariants
from tests.lib.fleet_faults import FleetFaults


def run(*, seed: int, steps: int, daemons: int, fan_out: int) -> None:
    """Apply ``steps`` random faults; end them and check about every twelfth step."""
    fleet = FleetFaults(seed=seed, daemons=daemons, fan_out=fan_out)
    history: list[str] = []
    checks = 0
    for step in range(steps):
        action = fleet.rng.choice(fleet.actions())
        history.append(action.__name__)
        try:
            action()
            if fleet.rng.random() < 1 / 12:
                history.append("heal_and_check")
                fleet.heal_and_check()
                checks += 1
        except Exception:
            print(f"FAILED at step {step} of seed {seed}: {history[-25:]}")
            raise
    fleet.heal_and_check()
    version_seconds, member_seconds = fleet.slowest_convergence
    print(
        f"seed {seed}: {steps} steps, {checks + 1} checks, {len(fleet.net.committed)} "
        f"versions; slowest convergence {version_seconds:.1f} s versions, "
        f"{member_seconds:.1f} s members"
    )


def main() -> None:
    """Parse the command line and run the seeds one after the other."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds to run")
    parser.add_argument("--steps", type=int, default=500)
    parser.add_argument("--daemons", type=int, default=13)
    parser.add_argument("--fan-out", type=int, default=4)
    options = parser.parse_args()
    logging.set_verbosity(logging.FATAL)
    invariants.set_strict(True)
    started_at = time.monotonic()
    for seed in range(options.seed, options.seed + options.seeds):
        run(
            seed=seed,
            steps=options.steps,
            daemons=options.daemons,
            fan_out=options.fan_out,
        )
    print(f"{time.monotonic() - started_at:.1f} s", file=sys.stderr)


if __name__ == "__main__":
    main()
