"""Long seeded run of random operations against the allowance oracle.

``python -m devtools.fuzz_quotas --seed 7 --steps 2000`` exits with 1 on the first
call beyond its allowance or failed invariant and prints the step it happened at.
"""

import argparse
import random
from collections import Counter

from cassiasail._internal import invariants
from cassiasail.exceptions import CassiasailError

from .quota_operations import KEYS, SHAPES, Operations, random_step

# Part of an allowance that must be usable once all faults have ended; less means
# that a shard or its tokens are lost for good.
RECOVERED = 0.8


def recovered_use(operations: Operations) -> float:
    """End all faults, then return the part of an allowance that can be used."""
    world = operations.world
    operations.heal()
    operations.change(0, 0)
    # Covers the longest restart, the term, and the margin of a take-over.
    operations.run(60.0)
    allowance = world.allowance_by_key[KEYS[0]]
    # The first seconds use up the burst.
    operations.load_all(0, 0.02)
    operations.run(5.0)
    before = world.counts_by_key[KEYS[0]].granted
    operations.load_all(0, 0.02)
    operations.run(5.0)
    granted = world.counts_by_key[KEYS[0]].granted - before
    return granted / (5.0 * allowance.rate)


def fuzz(seed: int, steps: int) -> str | None:
    """Run ``steps`` operations; return a description of the failure, if any.

    The seed also selects the size of the fleet.
    """
    rng = random.Random(seed)
    operations = Operations(seed, seed % len(SHAPES))
    invariants.set_strict(True)
    counts: Counter[str] = Counter()
    try:
        # The first claims need a few seconds; without them nothing is granted.
        operations.run(4.0)
        for _ in range(steps):
            counts[random_step(operations, rng)] += 1
        use = recovered_use(operations)
        if use < RECOVERED:
            return f"only {use:.2f} of an allowance is usable after all faults ended"
    except (AssertionError, CassiasailError) as error:
        return f"step {counts.total()}: {error!r}"
    finally:
        _print_summary(operations, counts)
        operations.close()
    return None


def _print_summary(operations: Operations, counts: Counter[str]) -> None:
    world = operations.world
    print(f"virtual seconds: {world.loop.time() - 1000:.0f}")
    print(f"operations: {dict(counts)}")
    for key, call_counts in world.counts_by_key.items():
        oracle = world.oracle_by_key[key]
        print(
            f"{key[0]}: granted {call_counts.granted}, refused {call_counts.refused}, "
            f"lowest oracle level {oracle.lowest:.3f}"
        )


def main() -> None:
    """Run the fuzzer as a command."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=1000)
    options = parser.parse_args()
    failure = fuzz(options.seed, options.steps)
    print(f"seed {options.seed}, {options.steps} steps: {failure or 'no violation'}")
    if failure:
        raise SystemExit(1)


if __name__ == "__main__":
    main()
