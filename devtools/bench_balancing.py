"""Compares load balancing, retries and hedging with simpler strategies.

``python -m devtools.bench_balancing [--json] [--seconds S] [--seed N]``. All figures
but the microseconds of ``choose()`` come from a model on virtual time and do not
depend on the machine.
"""

import argparse
import json
import time
from collections import Counter
from dataclasses import asdict, dataclass
from random import Random
from typing import Any

import xxhash

from devtools.balancing_model import (
    MEAN_SERVICE_SECONDS,
    NO_TARGETS,
    SLOTS,
    BalancingModel,
    RunResult,
)
from devtools.chain_model import measure_chain

TARGET_KINDS = ["normal"] * 9 + ["slow", "lying", "cold"]
ENTRY_DAEMONS = 8
LOAD_SHARE = 0.6  # share of the capacity of the normal targets
STRATEGIES = ("round_robin", "random", "balancer")
# The fleet that the program is designed for: daemons, services, and the connections
# that each target accepts. All services have the same number of targets.
DAEMON_COUNT, SERVICE_COUNT, CONNECTION_LIMIT = 2800, 130, 130


@dataclass(frozen=True, slots=True, kw_only=True)
class BalancingResult:
    """Figures of one balancing strategy.

    ``refused`` is a share of all calls, ``share_by_kind`` that of each kind of target.
    """

    strategy: str
    calls: int
    p50_ms: float
    p99_ms: float
    refused: float
    share_by_kind: dict[str, float]


def capacity_per_second(normal: int) -> float:
    """Return the calls per second that ``normal`` targets of full speed can run."""
    return normal * SLOTS / MEAN_SERVICE_SECONDS


def measure_balancing(strategy: str, *, seconds: float, seed: int) -> BalancingResult:
    """Run one strategy against 9 normal targets, a slow, a lying and a cold one."""
    model = BalancingModel(
        strategy=strategy, kinds=TARGET_KINDS, entries=ENTRY_DAEMONS, seed=seed
    )
    rate = LOAD_SHARE * capacity_per_second(TARGET_KINDS.count("normal"))
    sample = model.run(rate=rate, seconds=seconds)
    total = sample.calls_by_kind.total()
    return BalancingResult(
        strategy=strategy,
        calls=sample.calls,
        p50_ms=sample.percentile_ms(0.5),
        p99_ms=sample.percentile_ms(0.99),
        refused=sample.refused / sample.calls,
        share_by_kind={kind: n / total for kind, n in sample.calls_by_kind.items()},
    )


def measure_hedging(*, seconds: float, seed: int) -> list[dict[str, Any]]:
    """Compare lookups with and without a hedged attempt after the 95th percentile.

    ``cause`` is what a long service time depends on. With ``run`` the hedged attempt
    draws a new service time; with ``call`` it takes as long as the first attempt.
    """
    rows = []
    for cause in ("run", "call"):
        for kinds in (["normal"] * 12, ["normal"] * 11 + ["slow"]):
            for load in (0.3, 0.6, 0.9):
                rows.append(_hedging_row(cause, kinds, load, seconds, seed))
    return rows


def _hedging_row(
    cause: str, kinds: list[str], load: float, seconds: float, seed: int
) -> dict[str, Any]:
    unhedged = _run_lookups(kinds, load, seconds, seed, cause, hedge_after=None)
    hedge_after = unhedged.percentile_ms(0.95) / 1000
    hedged = _run_lookups(kinds, load, seconds, seed, cause, hedge_after=hedge_after)
    added_dispatches = (
        hedged.dispatches / hedged.calls - unhedged.dispatches / unhedged.calls
    )
    return {
        "cause": cause,
        "targets": "one slow" if "slow" in kinds else "normal",
        "load": load,
        "p50_ms": unhedged.percentile_ms(0.5),
        "hedged_p50_ms": hedged.percentile_ms(0.5),
        "p99_ms": unhedged.percentile_ms(0.99),
        "hedged_p99_ms": hedged.percentile_ms(0.99),
        "more_sent": added_dispatches,
        # Each of the 20 layers of a call chain multiplies the dispatches by this.
        "leaf_of_20": (1 + added_dispatches) ** 20,
    }


def _run_lookups(
    kinds: list[str],
    load: float,
    seconds: float,
    seed: int,
    cause: str,
    *,
    hedge_after: float | None,
) -> RunResult:
    model = BalancingModel(
        strategy="balancer", kinds=kinds, entries=ENTRY_DAEMONS, seed=seed
    )
    model.hedge_after = hedge_after
    model.service_time_depends_on_call = cause == "call"
    return model.run(
        rate=load * capacity_per_second(kinds.count("normal")), seconds=seconds
    )


def measure_chains(*, seconds: float, seed: int) -> list[dict[str, Any]]:
    """Count the calls that reach the failing leaf of a chain of 20 services.

    The cases differ in the retry budget, in the number of layers that retry and in
    the attempts per layer. ``x`` is the calls at the leaf per call into the chain.
    """
    cases = (
        ("no retries", True, True, 1),
        ("retries in every layer, no budget", False, False, 4),
        ("budget, every layer retries", True, False, 4),
        ("one layer retries, no budget", False, True, 4),
        ("budget and one layer", True, True, 4),
    )
    rows = []
    for name, use_budgets, mark_refusals, max_attempts in cases:
        result = measure_chain(
            use_budgets=use_budgets,
            mark_refusals=mark_refusals,
            rate=100,
            seconds=seconds,
            seed=seed,
            max_attempts=max_attempts,
        )
        rows.append({"retries": name, **asdict(result), "x": result.amplification})
    return rows


def measure_subsets(*, seed: int) -> list[dict[str, Any]]:
    """Compare the load of the busiest target for subsets of 1 to 8 targets per daemon.

    Each daemon divides its calls into 32 equal parts and sends each part to the less
    loaded of two random targets of its subset. The call rates of daemons are
    log-normal with sigma 1.
    """
    targets = DAEMON_COUNT // SERVICE_COUNT
    rng = Random(seed)
    rates = [rng.lognormvariate(0.0, 1.0) for _ in range(DAEMON_COUNT)]
    rows = []
    for size in (1, 2, 4, 8):
        load = [0.0] * targets
        connections: Counter[int] = Counter()
        for daemon, rate in enumerate(rates):
            subset = sorted(
                range(targets),
                key=lambda target: xxhash.xxh64_intdigest(
                    f"{daemon} {target}".encode()  # noqa: B023
                ),
            )[:size]
            connections.update(subset)
            for _ in range(32):
                first, second = rng.choice(subset), rng.choice(subset)
                load[first if load[first] <= load[second] else second] += rate
        rows.append(
            {
                "subset": size,
                "busiest_over_mean": max(load) * targets / sum(load),
                "connections_per_target": max(connections.values()),
                "allowed": CONNECTION_LIMIT,
            }
        )
    return rows


def measure_choose_time(*, seed: int) -> list[dict[str, Any]]:
    """Time ``choose()`` on this machine, with calls in flight and load reports."""
    rows = []
    for count in (4, 21, 200):
        model = BalancingModel(
            strategy="balancer", kinds=["normal"] * count, entries=1, seed=seed
        )
        model.run(rate=0.5 * capacity_per_second(min(count, 8)), seconds=0.5)
        choose, rounds = model.entries[0].choose, 20_000
        start = time.perf_counter()
        for _ in range(rounds):
            choose(NO_TARGETS)
        rows.append(
            {
                "targets": count,
                "microseconds": (time.perf_counter() - start) / rounds * 1e6,
            }
        )
    return rows


def print_table(title: str, rows: list[dict[str, Any]]) -> None:
    """Print rows, which all have the same keys, as a table with a heading."""
    print(f"\n{title}")
    names = list(rows[0])
    cells = [names, *([_format_cell(row[name]) for name in names] for row in rows)]
    widths = [max(len(line[index]) for line in cells) for index in range(len(names))]
    for line in cells:
        print(
            "  ".join(
                cell.rjust(width) for cell, width in zip(line, widths, strict=True)
            )
        )


def _format_cell(value: Any) -> str:
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def main() -> None:
    """Run all measurements and print them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    seconds, seed = options.seconds, options.seed
    balancing = []
    for strategy in STRATEGIES:
        row = asdict(measure_balancing(strategy, seconds=seconds, seed=seed))
        shares = row.pop("share_by_kind")
        balancing.append({**row, **{f"to_{kind}": n for kind, n in shares.items()}})
    tables = {
        "balancing": balancing,
        "chain": measure_chains(seconds=seconds, seed=seed),
        "hedging": measure_hedging(seconds=seconds, seed=seed),
        "subsets": measure_subsets(seed=seed),
        "choose": measure_choose_time(seed=seed),
    }
    if options.json:
        print(json.dumps(tables))
        return
    for title, rows in tables.items():
        print_table(title, rows)


if __name__ == "__main__":
    main()
