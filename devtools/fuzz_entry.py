"""Long seeded runs of the simulations of an entry daemon's decisions.

``python -m devtools.fuzz_entry --seed 1 --steps 100000`` divides the steps
between claims, balancer and retries. A failure prints the seed of its round;
``--part`` and ``--round-seed`` repeat that round alone.
"""

import argparse
import sys
import traceback
from collections import Counter
from collections.abc import Callable
from random import Random

from cassiasail._internal import invariants
from devtools.balancer_world import run_balancer
from devtools.claims_world import run_claims
from devtools.retries_world import run_retries

RUN_BY_PART: dict[str, Callable[[int, int], Counter[str]]] = {
    "claims": run_claims,
    "balancer": run_balancer,
    "retries": run_retries,
}
ROUND_STEPS = 2000


def run_part(part: str, seed: int, steps: int) -> bool:
    """Run rounds of one part and print the outcomes; return whether all passed."""
    rng = Random(f"{part} {seed}")
    outcome_counts: Counter[str] = Counter()
    for done_steps in range(0, steps, ROUND_STEPS):
        round_seed = rng.getrandbits(32)
        if not run_round(
            part, round_seed, min(ROUND_STEPS, steps - done_steps), outcome_counts
        ):
            return False
    print(f"{part}: {steps} steps, {dict(outcome_counts.most_common())}", flush=True)
    return True


def run_round(
    part: str, round_seed: int, steps: int, outcome_counts: Counter[str]
) -> bool:
    """Run one round; print its seed and the exception if it fails."""
    try:
        outcome_counts.update(RUN_BY_PART[part](round_seed, steps))
    except Exception:
        traceback.print_exc()
        print(
            f"{part} failed; reproduce with --part {part} --round-seed {round_seed} "
            f"--steps {steps}",
            flush=True,
        )
        return False
    return True


def main() -> int:
    """Parse the command line and run the parts one after the other."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=60_000)
    parser.add_argument("--part", choices=sorted(RUN_BY_PART))
    parser.add_argument("--round-seed", type=int)
    options = parser.parse_args()
    invariants.set_strict(True)
    if options.round_seed is not None:
        if options.part is None:
            parser.error("--round-seed needs --part")
        outcome_counts: Counter[str] = Counter()
        passed = run_round(
            options.part, options.round_seed, options.steps, outcome_counts
        )
        return 0 if passed else 1
    parts = [options.part] if options.part else sorted(RUN_BY_PART)
    steps_per_part = options.steps // len(parts)
    results = [run_part(part, options.seed, steps_per_part) for part in parts]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
