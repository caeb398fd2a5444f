"""Runs a whole layout for less than a minute and reports violations of guarantees.

The platform stand-in and each daemon and target run as separate processes. Callers
send mixed traffic while a list is edited twice with the ``cassiasail`` command line,
one daemon is killed and restarted, and one target drains.
"""

import argparse
import asyncio
import json
import random
import signal
import sys
import time
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from prometheus_client.parser import text_string_to_metric_families

from .layouts import TARGET_PORT, Layout, Vm, build_layout
from .processes import LayoutProcesses
from .reservations import reserve_net
from .traffic import STREAMS_BY_LAYOUT, Traffic, TrafficCounts

LISTS = Path(__file__).parent / "lists"
# Time with traffic before and after each step of the scenario.
STEP_SECONDS = 4.0
# A line in the lists of every layout, which each edit replaces.
ORIGINAL_BURST = "burst = 40"
CONVERGENCE_LIMIT_SECONDS = 8.0  # required limit for a change on all daemons
# All processes share the clock of this machine. The margin covers the time between
# spending a token and the start of the call at the target.
LOG_MARGIN_SECONDS = 0.001


@dataclass(slots=True, kw_only=True)
class Report:
    """Measurements of a run, and the guarantees that were violated."""

    convergence_by_version: dict[int, list[float]] = field(default_factory=dict)
    control_bytes: float = 0.0
    cross_region_bytes: float = 0.0
    retried_by_reason: Counter[str] = field(default_factory=Counter)
    run_twice: int = 0
    ran_although_refused: int = 0
    over_allowance: int = 0
    invariant_failures: float = 0.0
    violations: list[str] = field(default_factory=list)


async def run_cli(layout: Layout, *arguments: str) -> tuple[int, str]:
    """Run the ``cassiasail`` command line and return its exit code and output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "cassiasail",
        *arguments,
        f"--store={layout.store}",
        f"--daemons={','.join(vm.admin for vm in layout.vms[:3])}",
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    return process.returncode or 0, output.decode()


async def apply_lists(processes: LayoutProcesses, changes: Sequence[str] = ()) -> None:
    """Commit the layout's lists; a change ``OLD=>NEW`` replaces text in them."""
    layout = processes.layout
    directory = processes.directory / "lists"
    directory.mkdir(exist_ok=True)
    for name in ("plans.ini", "customers.ini"):
        text = (LISTS / layout.name / name).read_text()
        for change in changes:
            old, _, new = change.partition("=>")
            text = text.replace(old, new)
        (directory / name).write_text(text)
    shown = json.loads(await run_cli_checked(layout, "show", "--json"))
    expected = f"--expect={shown['revision']}"
    print((await run_cli_checked(layout, "apply", str(directory), expected)).strip())


async def run_cli_checked(layout: Layout, *arguments: str) -> str:
    """Run the command line and return its output; raise if it fails."""
    code, output = await run_cli(layout, *arguments)
    if code != 0:
        raise RuntimeError(f"cassiasail {arguments[0]}: exit code {code}: {output}")
    return output


async def version_history(processes: LayoutProcesses, vm: Vm) -> dict[int, float]:
    """Return the wall time at which a daemon put each version in force."""
    page = await processes.get_json(f"http://{vm.admin}/versions")
    return {int(version): at for version, at in page.items()}


async def wait_for_version(processes: LayoutProcesses, version: int) -> None:
    """Wait until every daemon has ``version`` or a later one in force."""
    async with asyncio.timeout(3 * CONVERGENCE_LIMIT_SECONDS):
        for vm in processes.layout.vms:
            while True:
                status = await processes.get_json(f"http://{vm.admin}/status")
                if status["version"] >= version:
                    break
                await asyncio.sleep(0.05)


async def run_scenario(processes: LayoutProcesses, traffic: Traffic) -> dict[str, Any]:
    """Under traffic, edit twice, kill and restart a daemon, and drain a target."""
    layout = processes.layout
    commits = f"http://{layout.store}/commits"
    await asyncio.sleep(STEP_SECONDS)
    await apply_lists(processes, [f"{ORIGINAL_BURST}=>burst = 45"])
    await wait_for_version(processes, 2)
    histories = {2: [await version_history(processes, vm) for vm in layout.vms]}

    killed = layout.vms[1]
    print(f"killing and restarting the daemon of {killed.name}")
    traffic.excluded.add(killed.name)
    # The kill would lose the calls of the daemon's callers. Let these finish, so that
    # each lost call in the report points to a fault.
    await asyncio.sleep(0.5)
    processes.signal(f"daemon-{killed.name}", signal.SIGKILL)
    await processes.wait_exit(f"daemon-{killed.name}")
    await asyncio.sleep(STEP_SECONDS)
    await processes.start_daemon(killed)
    await processes.wait_for(f"http://{killed.admin}/readyz")
    traffic.excluded.discard(killed.name)

    drained = layout.vms[2]
    print(f"draining the target of {drained.name}")
    stats = f"http://{drained.ip}:{TARGET_PORT}"
    processes.signal(f"target-{drained.name}", signal.SIGTERM)
    drain_started = time.time()
    last = await _poll_until_exit(processes, drained)
    if last["last_call_at"] > drain_started + 2.0:
        last["late"] = True
    await apply_lists(processes, [f"{ORIGINAL_BURST}=>burst = 50"])
    await wait_for_version(processes, 3)
    histories[3] = [await version_history(processes, vm) for vm in layout.vms]
    await asyncio.sleep(STEP_SECONDS)
    return {
        "commits": await processes.get_json(commits),
        "histories": histories,
        "drained": last,
        "drained_url": stats,
    }


async def _poll_until_exit(processes: LayoutProcesses, vm: Vm) -> dict[str, Any]:
    """Poll a target until it exits and return its last record."""
    last: dict[str, Any] = {"stats": {}, "calls": [], "last_call_at": 0.0}
    base = f"http://{vm.ip}:{TARGET_PORT}"
    while True:
        try:
            last["calls"] = await processes.get_json(f"{base}/_calls")
            last["stats"] = await processes.get_json(f"{base}/_stats")
            last["last_call_at"] = last["stats"]["last_call_at"]
        except OSError:
            return last
        await asyncio.sleep(0.1)


def fill_convergence(report: Report, observed: dict[str, Any]) -> None:
    """Add the time from each commit after the first until each daemon applied it.

    The first version is left out, since daemons are still starting then. Times are
    read right after each commit, because a daemon that restarts later applies the
    version again and reports a later time.
    """
    for version, histories in observed["histories"].items():
        committed = observed["commits"][str(version)]
        report.convergence_by_version[version] = sorted(
            max(0.0, history[version] - committed) for history in histories
        )


async def fill_metrics(report: Report, processes: LayoutProcesses) -> None:
    """Add up the counters of all daemons."""
    for vm in processes.layout.vms:
        async with processes.session.get(f"http://{vm.admin}/metrics") as response:
            text = await response.text()
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                _add_sample(report, sample.name, sample.labels, sample.value)


def _add_sample(
    report: Report, name: str, labels: dict[str, str], value: float
) -> None:
    if name == "cassiasail_control_bytes_total" and labels["direction"] == "sent":
        report.control_bytes += value
        if labels["scope"] == "cross_region":
            report.cross_region_bytes += value
    elif name == "cassiasail_calls_retried_total":
        report.retried_by_reason[labels["reason"]] += int(value)
    elif name == "cassiasail_invariant_failures_total":
        report.invariant_failures += value


def over_allowance(
    calls: Iterable[tuple[float, float]],
    *,
    rate: float,
    burst: int,
    in_flight: int,
    slack: float,
) -> int:
    """Return by how many calls a log of (start, end) exceeds an allowance.

    A call starts at its target at most ``slack`` seconds after its token was spent,
    so a window of t seconds may show rate * (t + slack) + burst calls.
    """
    ordered = sorted(calls)
    tokens, last, lowest_tokens = float(burst) + rate * slack, None, 0.0
    for start, _ in ordered:
        if last is not None:
            tokens = min(burst + rate * slack, tokens + rate * (start - last))
        tokens, last = tokens - 1, start
        lowest_tokens = min(lowest_tokens, tokens)
    events = sorted(
        event
        for start, end in ordered
        if end > start
        for event in ((start, 1), (end - LOG_MARGIN_SECONDS, -1))
    )
    running = most_running = 0
    for _, change in events:
        running += change
        most_running = max(most_running, running)
    return int(-lowest_tokens // 1) + max(0, most_running - in_flight)


async def fill_executions(
    report: Report,
    processes: LayoutProcesses,
    observed: dict[str, Any],
    counts: TrafficCounts,
) -> None:
    """Compare the executed calls with the responses that callers received."""
    runs: Counter[str] = Counter(observed["drained"]["stats"].get("runs_by_key", {}))
    calls = list(observed["drained"]["calls"])
    for vm in processes.layout.vms:
        if f"http://{vm.ip}:{TARGET_PORT}" == observed["drained_url"]:
            continue
        base = f"http://{vm.ip}:{TARGET_PORT}"
        runs.update((await processes.get_json(f"{base}/_stats"))["runs_by_key"])
        calls += await processes.get_json(f"{base}/_calls")
    report.run_twice = sum(1 for count in runs.values() if count > 1)
    report.ran_although_refused = sum(1 for key in counts.refused_keys if runs[key])
    slack = max(counts.seconds, default=0.0)
    for row in await _allowances(processes):
        log = [
            (start, end)
            for start, end, customer, path in calls
            if customer == row["customer"] and path.startswith(row["path"])
        ]
        report.over_allowance += over_allowance(
            log,
            rate=row["rate"],
            burst=row["burst"],
            in_flight=row["in_flight"],
            slack=slack,
        )


async def _allowances(processes: LayoutProcesses) -> list[dict[str, Any]]:
    admin = processes.layout.vms[0].admin
    pairs = {
        (stream.customer, stream.service)
        for stream in STREAMS_BY_LAYOUT[processes.layout.name]
    }
    rows = []
    for customer, service in sorted(pairs):
        url = f"http://{admin}/explain?customer={customer}&service={service}"
        found = await processes.get_json(url)
        rows += [{"customer": customer, **route} for route in found["routes"]]
    return rows


def check_guarantees(
    report: Report, counts: TrafficCounts, observed: dict[str, Any]
) -> None:
    """Add the violated guarantees to the report."""
    violation_counts = (
        ("a call ran twice", report.run_twice),
        ("a call ran although it was refused as not run", report.ran_although_refused),
        ("an answer was cut", counts.truncated),
        ("an answer was not that to its own request", counts.wrong),
        ("calls exceeded an allowance", report.over_allowance),
        ("a call got no result", counts.connection_lost),
        ("an invariant failed", report.invariant_failures),
        ("a draining target got work after 2 s", observed["drained"].get("late", 0)),
        ("no call was answered", int(counts.answered == 0)),
    )
    report.violations += [text for text, count in violation_counts if count]
    slowest = [times[-1] for times in report.convergence_by_version.values()]
    if len(slowest) < 2 or max(slowest) > CONVERGENCE_LIMIT_SECONDS:
        report.violations.append(
            f"a change took more than {CONVERGENCE_LIMIT_SECONDS:g} s"
        )


def print_report(report: Report, counts: TrafficCounts, *, seconds: float) -> None:
    """Print the report as a short table."""
    for version, times in sorted(report.convergence_by_version.items()):
        median = times[len(times) // 2]
        print(
            f"convergence of version {version}: p50 {median * 1000:.0f} ms, "
            f"p99 {times[int(0.99 * (len(times) - 1))] * 1000:.0f} ms, "
            f"max {times[-1] * 1000:.0f} ms ({len(times)} daemons)"
        )
    refused = ", ".join(
        f"{reason} {count}" for reason, count in counts.refused_by_reason.most_common()
    )
    retried = ", ".join(
        f"{reason} {count}" for reason, count in report.retried_by_reason.most_common()
    )
    rows = (
        ("control bytes sent", f"{report.control_bytes:.0f}"),
        ("  of these across regions", f"{report.cross_region_bytes:.0f}"),
        ("calls with a result", f"{counts.sent}"),
        ("  answered", f"{counts.answered}"),
        ("  refused", f"{sum(counts.refused_by_reason.values())} ({refused})"),
        ("retried by daemons", retried or "0"),
        ("sent again by callers", f"{counts.retries}"),
        ("lost", f"{counts.connection_lost} (must be 0)"),
        ("run twice", f"{report.run_twice} (must be 0)"),
        ("run although refused", f"{report.ran_although_refused} (must be 0)"),
        ("cut", f"{counts.truncated} (must be 0)"),
        ("wrong answer", f"{counts.wrong} (must be 0)"),
        ("over allowance", f"{report.over_allowance} (must be 0)"),
        ("failed invariants", f"{report.invariant_failures:.0f} (must be 0)"),
        ("seconds", f"{seconds:.1f}"),
    )
    for name, value in rows:
        print(f"{name:28} {value}")


async def run(layout_name: str, seed: int) -> int:
    """Run the scenario and return the exit code."""
    started = time.monotonic()
    layout = build_layout(layout_name, net=reserve_net())
    processes = LayoutProcesses(layout=layout)
    report = Report()
    traffic = Traffic(
        layout=layout,
        streams=STREAMS_BY_LAYOUT[layout_name],
        rng=random.Random(seed),
    )
    try:
        print(f"starting {len(layout.vms)} VMs in {len(layout.data_centres)} centres")
        await processes.start()
        await asyncio.gather(
            *(processes.wait_for(f"http://{vm.admin}/healthz") for vm in layout.vms)
        )
        await apply_lists(processes)
        await wait_for_version(processes, 1)
        await asyncio.sleep(STEP_SECONDS)
        traffic_task = asyncio.create_task(traffic.run())
        observed = await run_scenario(processes, traffic)
        traffic.stop()
        await traffic_task
        fill_convergence(report, observed)
        await fill_metrics(report, processes)
        await fill_executions(report, processes, observed, traffic.counts)
        check_guarantees(report, traffic.counts, observed)
    finally:
        await processes.stop()
    print_report(report, traffic.counts, seconds=time.monotonic() - started)
    for text in report.violations:
        print(f"BROKEN: {text}")
    if not report.violations:
        print("all promises held")
    return 1 if report.violations else 0


def main() -> None:
    """Run as a program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--layout", choices=sorted(STREAMS_BY_LAYOUT), default="utility"
    )
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    sys.exit(asyncio.run(run(options.layout, options.seed)))


if __name__ == "__main__":
    main()
