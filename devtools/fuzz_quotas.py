"""Long seeded run of random operations on a fleet, checked by the allowance oracle.

``python -m devtools.fuzz_quotas --seed 7 --steps 2000`` exits with 1 on the first
call that exceeds its allowance or the first failed invariant, and prints the step.
"""

import argparse
import random
from collections import Counter

from cassiasail._internal import invariants
from cassiasail.exceptions import CassiasailError

from .quota_operations import KEYS, SHAPES, Operations, random_step

# Share of an allowance that must be usable once all faults have ended; less means
# that a shard or its tokens are lost permanently.
MIN_RECOVERED_SHARE = 0.8


def recovered_share(operations: Operations) -> float:
    """End all faults, then return the share of an allowance that can be used."""
    world = operations.world
    operations.heal()
    operations.change(0, 0)
    # Covers the longest restart, the lease term and the margin before another daemon
    # may claim an expired lease.
    operations.run(60.0)
    allowance = world.allowance_by_key[KEYS[0]]
    # The first seconds use up the burst.
    operations.load_all(0, 0.02)
    operations.run(5.0)
    granted_before = world.counts_by_key[KEYS[0]].granted
    operations.load_all(0, 0.02)
    operations.run(5.0)
    granted = world.counts_by_key[KEYS[0]].granted - granted_before
    return granted / (5.0 * allowance.rate)


def fuzz(seed: int, steps: int) -> str | None:
    """Run ``steps`` operations; return a description of the failure, if any.

    The seed also selects the size of the fleet.
    """
    rng = random.Random(seed)
    operations = Operations(seed, seed % len(SHAPES))
    invariants.set_strict(True)
    step_counts: Counter[str] = Counter()
    try:
        # The first claims of shards take a few seconds; nothing is granted before.
        operations.run(4.0)
        for _ in range(steps):
            step_counts[random_step(operations, rng)] += 1
        share = recovered_share(operations)
        if share < MIN_RECOVERED_SHARE:
            return f"only {share:.2f} of an allowance is usable after all faults ended"
    except (AssertionError, CassiasailError) as error:
        return f"step {step_counts.total()}: {error!r}"
    finally:
        _print_summary(operations, step_counts)
        operations.close()
    return None


def _print_summary(operations: Operations, step_counts: Counter[str]) -> None:
    world = operations.world
    print(f"virtual seconds: {world.loop.time() - 1000:.0f}")
    print(f"operations: {dict(step_counts)}")
    for key, call_counts in world.counts_by_key.items():
        oracle = world.oracle_by_key[key]
        print(
            f"{key[0]}: granted {call_counts.granted}, refused {call_counts.refused}, "
            f"lowest oracle level {oracle.lowest_level:.3f}"
        )


def main() -> None:
    """Parse the command line and run one seed."""
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
