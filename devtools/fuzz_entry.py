"""Seeded long runs of the entry daemon's decisions, with the worlds of the tests.

``python -m devtools.fuzz_entry --seed 1 --steps 100000`` spreads the steps over
claims, balancer and retries. A failure prints the seed of its round; ``--part`` and
``--round-seed`` repeat one round alone.
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
    """Run rounds of one part; print what was seen; return whether all held."""
    rng = Random(f"{part} {seed}")
    total: Counter[str] = Counter()
    for done in range(0, steps, ROUND_STEPS):
        round_seed = rng.getrandbits(32)
        if not run_round(part, round_seed, min(ROUND_STEPS, steps - done), total):
            return False
    print(f"{part}: {steps} steps, {dict(total.most_common())}", flush=True)
    return True


def run_round(part: str, round_seed: int, steps: int, total: Counter[str]) -> bool:
    """Run one round; print its seed and the fault if something does not hold."""
    try:
        total.update(RUN_BY_PART[part](round_seed, steps))
    except Exception:
        traceback.print_exc()
        print(
            f"{part} failed; repeat with --part {part} --round-seed {round_seed} "
            f"--steps {steps}",
            flush=True,
        )
        return False
    return True


def main() -> int:
    """Run the parts one after the other."""
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
        total: Counter[str] = Counter()
        held = run_round(options.part, options.round_seed, options.steps, total)
        return 0 if held else 1
    parts = [options.part] if options.part else sorted(RUN_BY_PART)
    share = options.steps // len(parts)
    results = [run_part(part, options.seed, share) for part in parts]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
