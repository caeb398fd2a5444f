"""Measures goodput under overload, and targets crashed by one request.

    python -m devtools.bench_overload [--seed N] [--seconds N] [--json]

All figures but the CPU time per call come from a simulation on virtual time. Goodput
counts calls answered within their deadline. ``TargetHost`` and two baselines get the
same arrivals and service times. The baseline ``fcfs`` serves calls first come, first
served; ``fcfs-expire`` also drops waiting calls whose deadline has passed. Callers do
not send refused calls again, because retries are up to the entry daemon and its retry
budget, which are not part of this bench.
"""

import argparse
import json
import random
import sys
import time
from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from absl import logging

from cassiasail._internal.coordination.hosting import TargetHost
from cassiasail._internal.coordination.permits import (
    CallOutcome,
    HostedCall,
    SlotPermit,
    TargetHeartbeat,
    TargetState,
)
from cassiasail._internal.coordination.quarantine import Quarantine
from cassiasail._internal.ids import CustomerId, RoutePath, TargetId
from cassiasail._internal.state.lists import CallClass
from cassiasail._internal.state.refusals import Refusal

from .hosting_model import SERVICE, CrashingCaller, HostingModel
from .simulation import Simulation

SLOTS = 9
LOAD_FACTORS = (1, 2, 4)  # multiples of the capacity
WARM_UP_SECONDS = 10.0
# Least share of the order goodput at 1x load that must remain at higher loads.
MIN_ORDER_GOODPUT_RATIO = 0.95
# Least share of the useful slots at the next lower load. Below 1, because the loads
# have independent random arrivals.
MIN_TOTAL_GOODPUT_RATIO = 0.98
POISON_SECONDS = 60.0
POISON_HOST_COUNT = 20  # one target each
POISON_RUN_COUNT = 10
MAX_TARGETS_LOST = 2
TIMED_CALL_COUNT = 20_000


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadSource:
    """Calls of one class from some customers.

    ``share`` is their share of the target's capacity at 1x load. Service times are
    exponential with mean ``seconds``; calls are due ``deadline`` seconds after their
    arrival. ``is_flood`` marks the source whose rate grows when only one source grows.
    """

    call_class: CallClass
    share: float
    seconds: float
    deadline: float
    customers: tuple[str, ...]
    is_flood: bool = False


ORDINARY_CUSTOMERS = ("desk", "control-room", "grid", "harbour")
LOAD_SOURCES = (
    LoadSource(
        call_class=CallClass.ORDER,
        share=0.2,
        seconds=0.04,
        deadline=1.0,
        customers=ORDINARY_CUSTOMERS,
    ),
    LoadSource(
        call_class=CallClass.LOOKUP,
        share=0.3,
        seconds=0.02,
        deadline=0.5,
        customers=ORDINARY_CUSTOMERS,
    ),
    LoadSource(
        call_class=CallClass.BULK,
        share=0.1,
        seconds=0.8,
        deadline=10.0,
        customers=ORDINARY_CUSTOMERS,
    ),
    LoadSource(
        call_class=CallClass.BULK,
        share=0.4,
        seconds=0.8,
        deadline=10.0,
        customers=("yield-reports",),
        is_flood=True,
    ),
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """A call, the time of its arrival and the time for which it occupies a slot."""

    time: float
    call: HostedCall
    service_seconds: float


OnAnswered = Callable[[Arrival], None]


def arrivals_of(
    seed: int, load: int, seconds: float, *, only_flood_grows: bool, start: float
) -> list[Arrival]:
    """Return the Poisson arrivals of all sources, in order of time.

    They depend on the arguments only, so every policy gets the same arrivals.
    """
    source_seeds = random.Random(f"{seed}/{load}/{only_flood_grows}")
    arrivals = [
        arrival
        for source in LOAD_SOURCES
        for arrival in _arrivals_of_source(
            random.Random(source_seeds.random()),
            source,
            _share_of_capacity(source, load, only_flood_grows=only_flood_grows),
            (start, seconds),
        )
    ]
    return sorted(arrivals, key=lambda arrival: arrival.time)


def _share_of_capacity(
    source: LoadSource, load: int, *, only_flood_grows: bool
) -> float:
    if not only_flood_grows:
        return source.share * load
    return source.share + (load - 1 if source.is_flood else 0)


def _arrivals_of_source(
    rng: random.Random, source: LoadSource, share: float, span: tuple[float, float]
) -> Iterator[Arrival]:
    rate = share * SLOTS / source.seconds
    start, seconds = span
    at = start + rng.expovariate(rate)
    while at < start + seconds:
        yield Arrival(
            time=at,
            service_seconds=rng.expovariate(1 / source.seconds),
            call=HostedCall(
                customer=CustomerId(rng.choice(source.customers)),
                route=RoutePath(f"/{source.call_class.value}"),
                call_class=source.call_class,
                deadline=at + source.deadline,
                depth=rng.choice((0, 0, 0, 1, 2)),
                fingerprint=rng.randbytes(16),
            ),
        )
        at += rng.expovariate(rate)


class FirstComeFirstServed:
    """Baseline: one queue as large as that of ``TargetHost``, in order of arrival.

    It ignores call classes and doesn't estimate waiting times. With ``drop_expired``
    it drops calls whose deadline has passed when they get a slot.
    """

    def __init__(
        self, sim: Simulation, on_answered: OnAnswered, *, drop_expired: bool
    ) -> None:
        self._sim = sim
        self._on_answered = on_answered
        self._drop_expired = drop_expired
        self._waiting: deque[Arrival] = deque()
        self._in_flight = 0
        self._capacity = 32 * SLOTS

    def offer(self, arrival: Arrival) -> None:
        """Queue a call, or drop it if the queue is full."""
        if len(self._waiting) < self._capacity:
            self._waiting.append(arrival)
            self._dispatch()

    def _dispatch(self) -> None:
        while self._waiting and self._in_flight < SLOTS:
            arrival = self._waiting.popleft()
            if self._drop_expired and self._sim.now() >= arrival.call.deadline:
                continue
            self._in_flight += 1
            self._sim.call_later(arrival.service_seconds, self._ending_of(arrival))

    def _ending_of(self, arrival: Arrival) -> Callable[[], None]:
        def end() -> None:
            self._in_flight -= 1
            self._on_answered(arrival)
            self._dispatch()

        return end


class HostPolicy:
    """Policy under test: a ``TargetHost`` that gets a heartbeat each second."""

    def __init__(self, sim: Simulation, on_answered: OnAnswered) -> None:
        self._sim = sim
        self._on_answered = on_answered
        self.refusals: Counter[str] = Counter()
        self.host = new_host(sim)
        self._send_heartbeats()

    def offer(self, arrival: Arrival) -> None:
        """Submit a call; run it when it gets a slot, until its deadline at most."""

        def resolve(result: SlotPermit | Refusal) -> None:
            if isinstance(result, Refusal):
                self.refusals[result.reason.value] += 1
                return
            refusal = result.begin_dispatch()
            if refusal is None:
                self._run(arrival, result)

        self.host.submit(arrival.call, resolve)

    def _run(self, arrival: Arrival, permit: SlotPermit) -> None:
        remaining = arrival.call.deadline - self._sim.now()
        is_late = arrival.service_seconds > remaining

        def end() -> None:
            if is_late:
                permit.finish(CallOutcome.TIMED_OUT)
                return
            permit.finish(CallOutcome.ANSWERED)
            self._on_answered(arrival)

        self._sim.call_later(min(arrival.service_seconds, remaining), end)

    def _send_heartbeats(self) -> None:
        apply_ready_heartbeat(self.host)
        self._sim.call_later(1.0, self._send_heartbeats)


def new_host(sim: Simulation) -> TargetHost:
    """Return a host whose target is not ready before ``apply_ready_heartbeat``."""
    return TargetHost(
        target=TargetId("array-ctl-1"),
        clock=sim,
        quarantine=Quarantine(clock=sim, publish=lambda notice: None),
        publish_endpoint=lambda change: None,
        probe_port=lambda: None,
        call_later=sim.call_later,
    )


def apply_ready_heartbeat(host: TargetHost) -> None:
    """Apply a heartbeat that reports the target of ``host`` as ready."""
    host.apply_heartbeat(
        TargetHeartbeat(
            service=SERVICE,
            state=TargetState.READY,
            slots=SLOTS,
            connections=130,
            start_time=1.0,
        )
    )


def measure_goodput(
    policy_name: str, arrivals: list[Arrival], seconds: float, start: float
) -> dict[str, Any]:
    """Run one policy; the rates that it returns are per second after the warm-up."""
    sim = Simulation(start)
    calls: Counter[str] = Counter()
    latencies: dict[CallClass, list[float]] = {each: [] for each in CallClass}
    useful_seconds = 0.0
    offered_bulk = answered_bulk = 0

    def is_measured(arrival: Arrival) -> bool:
        return arrival.time >= start + WARM_UP_SECONDS

    def answered(arrival: Arrival) -> None:
        nonlocal useful_seconds, answered_bulk
        if sim.now() > arrival.call.deadline:
            return
        answered_bulk += is_measured(arrival) and _is_ordinary_bulk(arrival)
        # Counted by the time of the response: a backlog that is worked off after the
        # load has ended is not goodput.
        if not start + WARM_UP_SECONDS <= sim.now() < start + seconds:
            return
        calls[arrival.call.call_class.value] += 1
        latencies[arrival.call.call_class].append(sim.now() - arrival.time)
        useful_seconds += arrival.service_seconds

    policy: FirstComeFirstServed | HostPolicy
    if policy_name == "host":
        policy = HostPolicy(sim, answered)
    else:
        drop_expired = policy_name == "fcfs-expire"
        policy = FirstComeFirstServed(sim, answered, drop_expired=drop_expired)
    for arrival in arrivals:
        sim.run(max(0.0, arrival.time - sim.now()))
        policy.offer(arrival)
        offered_bulk += is_measured(arrival) and _is_ordinary_bulk(arrival)
    sim.run(20.0)
    span = seconds - WARM_UP_SECONDS
    return {
        **{each.value: calls[each.value] / span for each in CallClass},
        "total_calls": sum(calls.values()) / span,
        "useful_slots": useful_seconds / span,
        "order_p99_ms": _p99(latencies[CallClass.ORDER]) * 1e3,
        "lookup_p99_ms": _p99(latencies[CallClass.LOOKUP]) * 1e3,
        "ordinary_bulk_answered": answered_bulk / max(1, offered_bulk),
        "refusals": dict(policy.refusals) if isinstance(policy, HostPolicy) else {},
    }


def _p99(values: list[float]) -> float:
    return sorted(values)[int(0.99 * len(values))] if values else 0.0


def _is_ordinary_bulk(arrival: Arrival) -> bool:
    call = arrival.call
    return call.call_class is CallClass.BULK and call.customer in ORDINARY_CUSTOMERS


def bench_goodput(seed: int, seconds: float) -> list[dict[str, Any]]:
    """Measure each policy at each load, with one or all sources growing."""
    rows = []
    start = 1000.0
    for only_flood_grows in (True, False):
        for load in LOAD_FACTORS:
            arrivals = arrivals_of(
                seed, load, seconds, only_flood_grows=only_flood_grows, start=start
            )
            for policy in ("fcfs", "fcfs-expire", "host"):
                rows.append(
                    {
                        "grows": "flood" if only_flood_grows else "all",
                        "load": load,
                        "policy": policy,
                        **measure_goodput(policy, arrivals, seconds, start),
                    }
                )
    return rows


class DisabledQuarantine(Quarantine):
    """Baseline: never refuses a request and ignores crash records."""

    def check(self, fingerprint: bytes) -> Refusal | None:
        return None

    def is_on_probation(self, fingerprint: bytes) -> bool:
        return False


def bench_poison(seed: int) -> list[dict[str, Any]]:
    """Count targets crashed by a request that is resent each second to another daemon.

    The rows are without and with quarantine.
    """
    return [
        _poison_row(
            name,
            [
                _run_poison(seed * POISON_RUN_COUNT + run, quarantine_type)
                for run in range(POISON_RUN_COUNT)
            ],
        )
        for name, quarantine_type in (
            ("none", DisabledQuarantine),
            ("quarantine", Quarantine),
        )
    ]


def _run_poison(seed: int, quarantine_type: type[Quarantine]) -> dict[str, float]:
    model = HostingModel(
        seed=seed, hosts=POISON_HOST_COUNT, slots=4, quarantine_type=quarantine_type
    )
    poison = CrashingCaller(model, b"poison")
    views = [b"view-%d" % index for index in range(5)]
    end = model.sim.now() + POISON_SECONDS
    while model.sim.now() < end:
        model.sim.run(0.005)
        host = model.random.choice(model.hosts)
        if not host.is_up:
            continue
        # Half of the customer's ordinary requests share one of five fingerprints.
        shared = model.random.choice(views) if model.random.random() < 0.5 else None
        model.submit(host, fingerprint=shared, service_seconds=0.05)
    poison.is_stopped = True
    model.settle_without_crash_bound()
    ordinary = [call for call in model.calls if not call.crashes_target]
    answered = sum(CallOutcome.ANSWERED in call.results for call in ordinary)
    lost = model.crashes_by_fingerprint[b"poison"]
    return {
        "lost": len(lost),
        "deaths": sum(lost.values()),
        "sent": poison.sent_count,
        "answered": answered / len(ordinary),
    }


def _poison_row(name: str, runs: list[dict[str, float]]) -> dict[str, Any]:
    return {
        "quarantine": name,
        "runs": len(runs),
        "targets": POISON_HOST_COUNT,
        "sent": sum(run["sent"] for run in runs) / len(runs),
        "targets_lost_mean": sum(run["lost"] for run in runs) / len(runs),
        "targets_lost_max": max(run["lost"] for run in runs),
        "deaths_max": max(run["deaths"] for run in runs),
        "ordinary_answered_min": min(run["answered"] for run in runs),
    }


def measure_cpu_per_call(seed: int) -> dict[str, float]:
    """Return the CPU microseconds per call, with a free slot and with 200 waiting."""
    idle = _cpu_us_per_call(seed, waiting=0)
    return {"idle_us": idle, "queued_us": _cpu_us_per_call(seed, waiting=200)}


def _cpu_us_per_call(seed: int, *, waiting: int) -> float:
    rng = random.Random(seed)
    sim = Simulation()
    host = new_host(sim)
    apply_ready_heartbeat(host)
    permits: deque[SlotPermit] = deque()

    def resolve(result: SlotPermit | Refusal) -> None:
        assert isinstance(result, SlotPermit), result
        assert result.begin_dispatch() is None
        permits.append(result)

    calls = [
        HostedCall(
            customer=CustomerId(rng.choice(ORDINARY_CUSTOMERS)),
            route=RoutePath("/lookup"),
            call_class=CallClass.LOOKUP,
            deadline=sim.now() + 1e6,
            fingerprint=rng.randbytes(16),
        )
        for _ in range(TIMED_CALL_COUNT + SLOTS + waiting)
    ]
    for call in calls[TIMED_CALL_COUNT:] if waiting else ():
        host.submit(call, resolve)
    began = time.process_time()
    for call in calls[:TIMED_CALL_COUNT]:
        host.submit(call, resolve)
        permits.popleft().finish(CallOutcome.ANSWERED)
    return (time.process_time() - began) / TIMED_CALL_COUNT * 1e6


def find_missed_limits(
    goodput: list[dict[str, Any]], poison: list[dict[str, Any]]
) -> list[str]:
    """Return a text for each limit that ``TargetHost`` missed.

    Total goodput is compared by useful slot time, not by calls/s: when all sources
    grow, strict priority replaces lookups by orders that take twice as long, so the
    calls/s must fall.
    """
    missed = []
    for grows in ("flood", "all"):
        rows = [
            row for row in goodput if row["policy"] == "host" and row["grows"] == grows
        ]
        for lower_load_row, row in zip(rows, rows[1:], strict=False):
            case = f"{grows} grows, {row['load']}x"
            if row["order"] < MIN_ORDER_GOODPUT_RATIO * rows[0]["order"]:
                missed.append(f"order goodput: {case}")
            if (
                row["useful_slots"]
                < MIN_TOTAL_GOODPUT_RATIO * lower_load_row["useful_slots"]
            ):
                missed.append(f"total goodput falls: {case}")
    if poison[-1]["targets_lost_max"] > MAX_TARGETS_LOST:
        missed.append("targets lost to one request")
    return missed


def print_tables(report: dict[str, Any]) -> None:
    """Print the report as tables."""
    print("goodput in calls/s within the deadline; useful: slots of", SLOTS)
    print(
        f"{'grows':6}{'load':>5} {'policy':12}{'order':>8}{'lookup':>8}{'bulk':>7}"
        f"{'total':>8}{'useful':>8}{'order p99':>11}{'lookup p99':>12}"
        f"{'others bulk':>13}"
    )
    for row in report["goodput"]:
        print(
            f"{row['grows']:6}{row['load']:>4}x {row['policy']:12}{row['order']:8.1f}"
            f"{row['lookup']:8.1f}{row['bulk']:7.2f}{row['total_calls']:8.1f}"
            f"{row['useful_slots']:8.2f}{row['order_p99_ms']:8.0f} ms"
            f"{row['lookup_p99_ms']:9.0f} ms{row['ordinary_bulk_answered']:13.0%}"
        )
    print("\ntargets crashed by one request, resent each second to another daemon")
    for row in report["poison"]:
        print(
            f"{row['quarantine']:11} mean {row['targets_lost_mean']:.1f}, max "
            f"{row['targets_lost_max']} of {row['targets']} ({row['deaths_max']} "
            f"crashes), sent {row['sent']:.0f} times, ordinary calls answered at "
            f"least {row['ordinary_answered_min']:.1%}"
        )
    cost = report["cost"]
    print(
        f"\ncost of an admitted call: {cost['idle_us']:.1f} us with a free slot, "
        f"{cost['queued_us']:.1f} us with 200 waiting"
    )
    print("limits missed:", "; ".join(report["missed"]) or "none")


def main() -> None:
    """Run the bench; exits with 1 if a limit is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    logging.set_verbosity(logging.ERROR)
    goodput = bench_goodput(arguments.seed, arguments.seconds)
    poison = bench_poison(arguments.seed)
    report = {
        "seed": arguments.seed,
        "seconds": arguments.seconds,
        "goodput": goodput,
        "poison": poison,
        "cost": measure_cpu_per_call(arguments.seed),
        "missed": find_missed_limits(goodput, poison),
    }
    if arguments.json:
        print(json.dumps(report, indent=2))
    else:
        print_tables(report)
    sys.exit(1 if report["missed"] else 0)


if __name__ == "__main__":
    main()
