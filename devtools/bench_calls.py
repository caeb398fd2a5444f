"""Measures the latency that daemons add to a call, and their CPU time per call.

One run compares calls sent straight to a target, through a bare forwarder written
with the same HTTP library, through the host daemon (one daemon), and through an entry
daemon on another VM and the host daemon (two daemons). Calls of all variants are
interleaved, so that noise of the machine affects them equally.
"""

import argparse
import asyncio
import json
import os
import time
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

import aiohttp

from .layouts import TARGET_PORT, Layout, scaled_layout
from .processes import LayoutProcesses
from .quickstart import apply_lists, wait_for_version
from .reservations import reserve_net

FORWARDER_PORT = 8081
CALLS_PER_SECOND = 64.0  # load of one daemon in a fleet of the designed size
MAX_ADDED_P99_MS = 0.58  # at most this much added in 99 of 100 calls
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def bench_layout(net: int) -> Layout:
    """Return two VMs of one region; the first runs the target that is called."""
    layout = scaled_layout("utility", count=5, net=net)
    vms = (layout.vms[0], layout.vms[4])
    return replace(layout, vms=vms, region_delay_ms=0.0, region_mbit=0.0)


def cpu_seconds(pid: int) -> float:
    """Return the CPU time of a process, user and system, in seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def quantile(values: Sequence[float], share: float) -> float:
    """Return the ``share`` quantile (0 to 1) of values sorted in ascending order."""
    return values[min(len(values) - 1, int(share * len(values)))]


async def timed_call(http: aiohttp.ClientSession, url: str) -> float:
    """Send one call and return its latency in milliseconds."""
    started = time.perf_counter()
    headers = {"Cassiasail-Customer": "bench", "Work-Ms": "0"}
    async with http.get(url, headers=headers) as response:
        await response.read()
        if response.status != 200:
            raise RuntimeError(f"{url}: status {response.status}")
    return (time.perf_counter() - started) * 1000


async def measure_latency(
    http: aiohttp.ClientSession, url_by_variant: dict[str, str], seconds: float
) -> dict[str, dict[str, float]]:
    """Send 64 calls/s to each URL, the URLs in turn, and return quantiles in ms."""
    latencies_ms: dict[str, list[float]] = {variant: [] for variant in url_by_variant}
    variants = list(url_by_variant)
    start, index = time.monotonic(), 0
    while (due := index / (CALLS_PER_SECOND * len(variants))) < seconds:
        await asyncio.sleep(max(0.0, start + due - time.monotonic()))
        variant = variants[index % len(variants)]
        latencies_ms[variant].append(await timed_call(http, url_by_variant[variant]))
        index += 1
    return {
        variant: _quantiles(sorted(values_ms))
        for variant, values_ms in latencies_ms.items()
    }


def _quantiles(sorted_ms: Sequence[float]) -> dict[str, float]:
    return {
        "calls": len(sorted_ms),
        "p50": quantile(sorted_ms, 0.50),
        "p99": quantile(sorted_ms, 0.99),
        "p99.9": quantile(sorted_ms, 0.999),
    }


async def measure_saturation(
    http: aiohttp.ClientSession, url: str, pids: Sequence[int], seconds: float
) -> dict[str, float]:
    """Send calls from 16 concurrent callers, without a pause between calls.

    Returns the calls/s, the CPU milliseconds of the processes ``pids`` per call, and
    quantiles of the latency in ms.
    """
    end = time.monotonic() + seconds
    latencies_ms: list[float] = []

    async def caller() -> None:
        while time.monotonic() < end:
            latencies_ms.append(await timed_call(http, url))

    cpu_before = sum(cpu_seconds(pid) for pid in pids)
    await asyncio.gather(*(caller() for _ in range(16)))
    cpu_used = sum(cpu_seconds(pid) for pid in pids) - cpu_before
    return {
        "calls_per_second": len(latencies_ms) / seconds,
        "core_ms_per_call": cpu_used / len(latencies_ms) * 1000,
        **_quantiles(sorted(latencies_ms)),
    }


async def run(seconds: float) -> dict[str, Any]:
    """Run the whole bench and return its figures."""
    layout = bench_layout(reserve_net())
    processes = LayoutProcesses(layout=layout)
    target_vm, entry_vm = layout.vms
    path = "/outlooks/bench"
    url_by_variant = {
        "straight": f"http://{target_vm.ip}:{TARGET_PORT}{path}",
        "forwarder": f"http://{target_vm.ip}:{FORWARDER_PORT}{path}",
        "one daemon": f"http://{target_vm.http}/{target_vm.service}{path}",
        "two daemons": f"http://{entry_vm.http}/{target_vm.service}{path}",
    }
    try:
        await processes.start_platform()
        await asyncio.gather(*(processes.start_daemon(vm) for vm in layout.vms))
        await processes.start_target(target_vm)
        await processes.start_forwarder(target_vm, FORWARDER_PORT)
        for vm in layout.vms:
            await processes.wait_for(f"http://{vm.admin}/healthz")
        await apply_lists(processes, _BENCH_CHANGES)
        await wait_for_version(processes, 1)
        await asyncio.sleep(4)
        async with aiohttp.ClientSession() as http:
            for url in url_by_variant.values():
                for _ in range(50):
                    await timed_call(http, url)
            latency = await measure_latency(http, url_by_variant, seconds)
            saturation = {
                variant: await measure_saturation(
                    http,
                    url_by_variant[variant],
                    _variant_pids(processes, variant),
                    seconds / 3,
                )
                for variant in url_by_variant
            }
        return {"latency_ms": latency, "saturation": saturation}
    finally:
        await processes.stop()


def _variant_pids(processes: LayoutProcesses, variant: str) -> list[int]:
    target_vm, entry_vm = processes.layout.vms
    names_by_variant = {
        "straight": [],
        "forwarder": ["forwarder"],
        "one daemon": [f"daemon-{target_vm.name}"],
        "two daemons": [f"daemon-{target_vm.name}", f"daemon-{entry_vm.name}"],
    }
    return [processes.pid(name) for name in names_by_variant[variant]]


# Changes that add a customer whose allowance is never exhausted by the bench.
_BENCH_CHANGES = (
    "[plan dispatch]=>[plan bench]\n"
    "[allowance bench outlook-svc /outlooks]\n"
    "rate = 100000\nburst = 100000\nin_flight = 10000\n"
    "[plan dispatch]",
    "[customer harbour-dispatch]=>[customer bench]\n"
    "plan = bench\n"
    "[customer harbour-dispatch]",
)


def print_table(figures: dict[str, Any]) -> None:
    """Print the figures, and what each variant adds to a straight call."""
    latency = figures["latency_ms"]
    base = latency["straight"]
    print(f"64 calls/s on each variant, ms; limit of added p99: {MAX_ADDED_P99_MS}")
    for variant, row in latency.items():
        added = ", ".join(
            f"{name} +{row[name] - base[name]:.2f}" for name in ("p50", "p99", "p99.9")
        )
        print(
            f"  {variant:12} p50 {row['p50']:.2f}  p99 {row['p99']:.2f}  "
            f"p99.9 {row['p99.9']:.2f}  added: {added}  ({row['calls']} calls)"
        )
    print("16 concurrent callers without pauses")
    for variant, row in figures["saturation"].items():
        print(
            f"  {variant:12} {row['calls_per_second']:.0f} calls/s, uses "
            f"{row['core_ms_per_call']:.3f} core-ms per call, p50 {row['p50']:.2f} ms, "
            f"p99 {row['p99']:.2f} ms"
        )


def main() -> None:
    """Run the bench and print its figures as a table or as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    figures = asyncio.run(run(options.seconds))
    if options.json:
        print(json.dumps(figures, indent=2))
    else:
        print_table(figures)


if __name__ == "__main__":
    main()
