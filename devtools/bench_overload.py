"""Goodput under overload and targets lost to a poisonous request, on virtual time.

    python -m devtools.bench_overload [--seed N] [--seconds N] [--json]

Goodput counts calls answered within their deadline. The same arrivals and service
times are given to ``TargetHost`` and to two baselines: first come first served, and
the same with calls dropped whose deadline has passed while they waited. Callers do
not resend refused calls; that is the entry side's retry budget.
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
LOADS = (1, 2, 4)
WARM_UP_SECONDS = 10.0
ORDER_TOLERANCE = 0.95
# Total goodput is compared between independent random arrivals.
TOTAL_TOLERANCE = 0.98
POISON_SECONDS = 60.0
POISON_HOSTS = 20
POISON_RUNS = 10
MAX_TARGETS_LOST = 2
TIMED_CALLS = 20_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Source:
    """Calls of some customers: ``share`` of the capacity at 1x load.

    ``seconds`` is the mean of exponential service times. ``is_flood`` marks the one
    customer that grows when only the flood grows.
    """

    call_class: CallClass
    share: float
    seconds: float
    deadline: float
    customers: tuple[str, ...]
    is_flood: bool = False


ORDINARY = ("desk", "control-room", "grid", "harbour")
SOURCES = (
    Source(
        call_class=CallClass.ORDER,
        share=0.2,
        seconds=0.04,
        deadline=1.0,
        customers=ORDINARY,
    ),
    Source(
        call_class=CallClass.LOOKUP,
        share=0.3,
        seconds=0.02,
        deadline=0.5,
        customers=ORDINARY,
    ),
    Source(
        call_class=CallClass.BULK,
        share=0.1,
        seconds=0.8,
        deadline=10.0,
        customers=ORDINARY,
    ),
    Source(
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
    """A call that will arrive, with the slot time it will take."""

    time: float
    call: HostedCall
    service_seconds: float


Answered = Callable[[Arrival], None]


def arrivals_of(
    seed: int, load: int, seconds: float, *, only_flood_grows: bool, start: float
) -> list[Arrival]:
    """Return Poisson arrivals, the same for every policy."""
    source_seeds = random.Random(f"{seed}/{load}/{only_flood_grows}")
    every = [
        arrival
        for source in SOURCES
        for arrival in _arrivals_of_source(
            random.Random(source_seeds.random()),
            source,
            _share_at(source, load, only_flood_grows=only_flood_grows),
            (start, seconds),
        )
    ]
    return sorted(every, key=lambda arrival: arrival.time)


def _share_at(source: Source, load: int, *, only_flood_grows: bool) -> float:
    if not only_flood_grows:
        return source.share * load
    return source.share + (load - 1 if source.is_flood else 0)


def _arrivals_of_source(
    rng: random.Random, source: Source, share: float, span: tuple[float, float]
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
    """Baseline: one queue as large as the host's, no classes, no estimates."""

    def __init__(
        self, sim: Simulation, answered: Answered, *, drop_expired: bool
    ) -> None:
        self._sim = sim
        self._answered = answered
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
            self._sim.call_later(arrival.service_seconds, self._end_of(arrival))

    def _end_of(self, arrival: Arrival) -> Callable[[], None]:
        def end() -> None:
            self._in_flight -= 1
            self._answered(arrival)
            self._dispatch()

        return end


class HostPolicy:
    """The host side under test."""

    def __init__(self, sim: Simulation, answered: Answered) -> None:
        self._sim = sim
        self._answered = answered
        self.refusals: Counter[str] = Counter()
        self.host = new_host(sim)
        self._announce()

    def offer(self, arrival: Arrival) -> None:
        """Submit a call and run it when it gets a slot."""

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
            self._answered(arrival)

        self._sim.call_later(min(arrival.service_seconds, remaining), end)

    def _announce(self) -> None:
        announce(self.host)
        self._sim.call_later(1.0, self._announce)


def new_host(sim: Simulation) -> TargetHost:
    """Return a host whose target announces itself with ``announce``."""
    return TargetHost(
        target=TargetId("array-ctl-1"),
        clock=sim,
        quarantine=Quarantine(clock=sim, publish=lambda notice: None),
        publish_endpoint=lambda change: None,
        probe_port=lambda: None,
        call_later=sim.call_later,
    )


def announce(host: TargetHost) -> None:
    """Announce the target of ``host`` as ready."""
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
    """Run one policy; rates are per second after the warm-up."""
    sim = Simulation(start)
    calls: Counter[str] = Counter()
    latencies: dict[CallClass, list[float]] = {each: [] for each in CallClass}
    useful_seconds = 0.0
    offered_bulk = answered_bulk = 0

    def counts(arrival: Arrival) -> bool:
        return arrival.time >= start + WARM_UP_SECONDS

    def answered(arrival: Arrival) -> None:
        nonlocal useful_seconds, answered_bulk
        if sim.now() > arrival.call.deadline:
            return
        answered_bulk += counts(arrival) and _is_ordinary_bulk(arrival)
        # By the time of the answer: a backlog drained after the load is no goodput.
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
        offered_bulk += counts(arrival) and _is_ordinary_bulk(arrival)
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
    return call.call_class is CallClass.BULK and call.customer in ORDINARY


def bench_goodput(seed: int, seconds: float) -> list[dict[str, Any]]:
    """Measure all policies and loads, with one flood growing and with all growing."""
    rows = []
    start = 1000.0
    for only_flood_grows in (True, False):
        for load in LOADS:
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


class NoQuarantine(Quarantine):
    """Baseline: crash records are ignored."""

    def check(self, fingerprint: bytes) -> Refusal | None:
        return None

    def is_on_probation(self, fingerprint: bytes) -> bool:
        return False


def bench_poison(seed: int) -> list[dict[str, Any]]:
    """Count targets lost to a request resent each second through other daemons."""
    return [
        _poison_row(
            name,
            [_poison_run(seed * POISON_RUNS + run, kind) for run in range(POISON_RUNS)],
        )
        for name, kind in (("none", NoQuarantine), ("quarantine", Quarantine))
    ]


def _poison_run(seed: int, kind: type[Quarantine]) -> dict[str, float]:
    model = HostingModel(seed=seed, hosts=POISON_HOSTS, slots=4, quarantine_type=kind)
    poison = CrashingCaller(model, b"poison")
    views = [b"view-%d" % index for index in range(5)]
    end = model.sim.now() + POISON_SECONDS
    while model.sim.now() < end:
        model.sim.run(0.005)
        host = model.random.choice(model.hosts)
        if not host.is_up:
            continue
        # Half of the ordinary requests of the same customer are alike.
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
        "targets": POISON_HOSTS,
        "sent": sum(run["sent"] for run in runs) / len(runs),
        "targets_lost_mean": sum(run["lost"] for run in runs) / len(runs),
        "targets_lost_max": max(run["lost"] for run in runs),
        "deaths_max": max(run["deaths"] for run in runs),
        "ordinary_answered_min": min(run["answered"] for run in runs),
    }


def bench_cost(seed: int) -> dict[str, float]:
    """Return microseconds of CPU per call: slot free, and 200 calls waiting."""
    idle = _cost_of_calls(seed, waiting=0)
    return {"idle_us": idle, "queued_us": _cost_of_calls(seed, waiting=200)}


def _cost_of_calls(seed: int, *, waiting: int) -> float:
    rng = random.Random(seed)
    sim = Simulation()
    host = new_host(sim)
    announce(host)
    permits: deque[SlotPermit] = deque()

    def resolve(result: SlotPermit | Refusal) -> None:
        assert isinstance(result, SlotPermit), result
        assert result.begin_dispatch() is None
        permits.append(result)

    calls = [
        HostedCall(
            customer=CustomerId(rng.choice(ORDINARY)),
            route=RoutePath("/lookup"),
            call_class=CallClass.LOOKUP,
            deadline=sim.now() + 1e6,
            fingerprint=rng.randbytes(16),
        )
        for _ in range(TIMED_CALLS + SLOTS + waiting)
    ]
    for call in calls[TIMED_CALLS:] if waiting else ():
        host.submit(call, resolve)
    began = time.process_time()
    for call in calls[:TIMED_CALLS]:
        host.submit(call, resolve)
        permits.popleft().finish(CallOutcome.ANSWERED)
    return (time.process_time() - began) / TIMED_CALLS * 1e6


def judge(goodput: list[dict[str, Any]], poison: list[dict[str, Any]]) -> list[str]:
    """Return the bars that were missed.

    Total goodput is judged in useful slot time: when all classes grow, strict priority
    replaces lookups by orders that take twice as long, so calls/s must fall.
    """
    missed = []
    for grows in ("flood", "all"):
        rows = [
            row for row in goodput if row["policy"] == "host" and row["grows"] == grows
        ]
        for before, row in zip(rows, rows[1:], strict=False):
            where = f"{grows} grows, {row['load']}x"
            if row["order"] < ORDER_TOLERANCE * rows[0]["order"]:
                missed.append(f"order goodput: {where}")
            if row["useful_slots"] < TOTAL_TOLERANCE * before["useful_slots"]:
                missed.append(f"total goodput falls: {where}")
    if poison[-1]["targets_lost_max"] > MAX_TARGETS_LOST:
        missed.append("targets lost to one request")
    return missed


def print_tables(report: dict[str, Any]) -> None:
    """Print the report for people."""
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
    print("\ntargets lost to one request, resent each second through other daemons")
    for row in report["poison"]:
        print(
            f"{row['quarantine']:11} mean {row['targets_lost_mean']:.1f}, max "
            f"{row['targets_lost_max']} of {row['targets']} ({row['deaths_max']} "
            f"deaths), sent {row['sent']:.0f} times, ordinary calls answered at "
            f"least {row['ordinary_answered_min']:.1%}"
        )
    cost = report["cost"]
    print(
        f"\ncost of an admitted call: {cost['idle_us']:.1f} us with a free slot, "
        f"{cost['queued_us']:.1f} us with 200 waiting"
    )
    print("bars missed:", "; ".join(report["missed"]) or "none")


def main() -> None:
    """Run the bench; exits with 1 if a bar is missed."""
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
        "cost": bench_cost(arguments.seed),
        "missed": judge(goodput, poison),
    }
    if arguments.json:
        print(json.dumps(report, indent=2))
    else:
        print_tables(report)
    sys.exit(1 if report["missed"] else 0)


if __name__ == "__main__":
    main()
