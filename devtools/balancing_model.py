"""Simulation of entry daemons that choose targets, on virtual time.

It covers what the choice of a target depends on: slots, a bounded queue, service
times, refusals and load reports. It omits host daemons and connections.
"""

import math
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from cassiasail._internal.coordination.balancer import Balancer, LinkBudget
from cassiasail._internal.ids import (
    DaemonId,
    DataCentre,
    Region,
    ServiceName,
    TargetId,
)
from cassiasail._internal.state.members import EndpointState
from cassiasail._internal.state.refusals import Refusal
from cassiasail._internal.state.targets import (
    AttemptOutcome,
    LoadReport,
    TargetView,
)
from devtools.virtualtime import Gate, Task, VirtualLoop

SERVICE = ServiceName("outlook-svc")
REGION, DATA_CENTRE = Region("kzn-coast"), DataCentre("kzn-1")
SLOTS = 9
QUEUE_CAPACITY = 4 * SLOTS  # calls that one target queues before it refuses
MEAN_SERVICE_SECONDS = 0.020
# Sigma of the log-normal service time: its 99th percentile is 6 times the mean.
SERVICE_TIME_SIGMA = 1.0
HOP_SECONDS = 0.00025  # one way
COLD_START_SECONDS = 10.0
NO_TARGETS: frozenset[TargetId] = frozenset()


@dataclass(slots=True, eq=False)
class Job:
    """One dispatch of a call to a target.

    ``done`` is set to whether the call was executed. ``service_time_factor`` is the
    service time as a multiple of the mean.
    """

    done: Gate
    service_time_factor: float
    cancelled: bool = False
    task: Task | None = None


class Target:
    """A target with its queue.

    ``kind`` is ``normal``, ``slow`` (10 times the service time), ``lying`` (5 times
    the service time; refuses 3 calls in 10 and always reports no load) or ``cold`` (10
    times the service time at the start, falling to normal over 10 s).
    """

    def __init__(self, loop: VirtualLoop, rng: Random, index: int, kind: str) -> None:
        self._loop = loop
        self._rng = rng
        self.kind = kind
        self.busy_slots = 0
        self.queue: deque[Job] = deque()
        self.calls = 0
        self.busy_seconds = 0.0
        self._started = loop.now()
        self.view = TargetView(
            target_id=TargetId(f"t{index}"),
            daemon_id=DaemonId(f"host{index}"),
            region=REGION,
            data_centre=DATA_CENTRE,
            state=EndpointState.READY,
            slots=SLOTS,
            # Only the cold target has just started.
            ready_since=self._started if kind == "cold" else -math.inf,
            reachable=True,
        )

    def submit(self, service_time_factor: float) -> Job:
        """Start, queue or refuse a call.

        It needs ``service_time_factor`` times the mean service time of a normal target.
        """
        job = Job(done=Gate(self._loop), service_time_factor=service_time_factor)
        self.calls += 1
        refuses = self.kind == "lying" and self._rng.random() < 0.3
        if refuses or len(self.queue) >= QUEUE_CAPACITY:
            job.done.set(False)
        elif self.busy_slots < SLOTS:
            self._start(job)
        else:
            self.queue.append(job)
        return job

    def cancel(self, job: Job) -> None:
        """Cancel a call whose caller has its response; a running one frees its slot."""
        if job.done.is_set:
            return
        job.cancelled = True
        if job.task is not None:
            self._loop.kill(job.task)
            self._free_slot()

    def report(self) -> LoadReport:
        """Return the load report, which is false if ``kind`` is ``lying``."""
        if self.kind == "lying":
            return LoadReport(queued=0, in_flight=0, slots=SLOTS)
        return LoadReport(
            queued=len(self.queue), in_flight=self.busy_slots, slots=SLOTS
        )

    def _start(self, job: Job) -> None:
        self.busy_slots += 1
        job.task = self._loop.spawn(self._run(job))

    async def _run(self, job: Job) -> None:
        seconds = MEAN_SERVICE_SECONDS * job.service_time_factor * self._slowdown()
        self.busy_seconds += seconds
        await self._loop.sleep(seconds)
        job.done.set(True)
        self._free_slot()

    def _free_slot(self) -> None:
        self.busy_slots -= 1
        while self.queue:
            job = self.queue.popleft()
            if not job.cancelled:
                self._start(job)
                return

    def _slowdown(self) -> float:
        if self.kind == "cold":
            age = self._loop.now() - self._started
            return max(1.0, 10.0 - 9.0 * age / COLD_START_SECONDS)
        return {"slow": 10.0, "lying": 5.0}.get(self.kind, 1.0)


# Chooses a target for a call; the argument holds the excluded targets.
Choose = Callable[[frozenset[TargetId]], TargetView | Refusal]


@dataclass(slots=True, kw_only=True)
class EntryDaemon:
    """One entry daemon: how it chooses a target.

    A ``balancer`` is given the result of each dispatch.
    """

    choose: Choose
    balancer: Balancer | None = None


@dataclass(slots=True, kw_only=True)
class RunResult:
    """Results of a run; latencies in seconds, in order of completion."""

    latencies: list[float] = field(default_factory=list)
    refused: int = 0
    calls: int = 0
    dispatches: int = 0
    calls_by_kind: Counter[str] = field(default_factory=Counter)
    busy_seconds: float = 0.0

    def percentile_ms(self, share: float) -> float:
        """Return a percentile of the latencies in milliseconds."""
        ordered = sorted(self.latencies)
        return 1000 * ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class BalancingModel:
    """Entry daemons that send calls to targets of several kinds.

    The calls arrive as a Poisson process.
    """

    def __init__(
        self, *, strategy: str, kinds: list[str], entries: int, seed: int
    ) -> None:
        self.loop = VirtualLoop()
        self.rng = Random(seed)
        self.targets = [
            Target(self.loop, self.rng, index, kind) for index, kind in enumerate(kinds)
        ]
        self.target_by_id = {item.view.target_id: item for item in self.targets}
        self.entries = [self._create_entry(strategy, index) for index in range(entries)]
        self.result = RunResult()
        # Seconds after which a call without a response is sent to a second target;
        # None disables this.
        self.hedge_after: float | None = None
        # Whether the service time depends on the call rather than on the target; a
        # second sending then takes as long as the first.
        self.service_time_depends_on_call = False

    def run(self, *, rate: float, seconds: float) -> RunResult:
        """Send ``rate`` calls per second in all for ``seconds``, then let them end."""
        self.loop.spawn(self._send_calls(rate, self.loop.now() + seconds))
        self.loop.run_until(self.loop.now() + seconds + 60.0)
        for target in self.targets:
            self.result.calls_by_kind[target.kind] += target.calls
            self.result.busy_seconds += target.busy_seconds
        return self.result

    async def _send_calls(self, rate: float, end: float) -> None:
        while self.loop.now() < end:
            await self.loop.sleep(self.rng.expovariate(rate))
            entry = self.entries[int(self.rng.random() * len(self.entries))]
            self.result.calls += 1
            self.loop.spawn(self._send_call(entry))

    async def _send_call(self, entry: EntryDaemon) -> None:
        started_at = self.loop.now()
        first_response = Gate(self.loop)
        jobs: list[tuple[Target, Job]] = []
        service_time_factor = self._draw_service_time_factor()
        first = self._dispatch(
            entry, NO_TARGETS, service_time_factor, first_response, jobs
        )
        if first is not None and self.hedge_after is not None:
            self.loop.spawn(
                self._hedge(entry, first, service_time_factor, first_response, jobs)
            )
        is_answered = await first_response
        for target, job in jobs:
            target.cancel(job)
        if is_answered:
            self.result.latencies.append(self.loop.now() - started_at)
        else:
            self.result.refused += 1

    async def _hedge(
        self,
        entry: EntryDaemon,
        first: TargetView,
        service_time_factor: float,
        first_response: Gate,
        jobs: list[tuple[Target, Job]],
    ) -> None:
        await self.loop.sleep(self.hedge_after or 0.0)
        if first_response.is_set:
            return
        if not self.service_time_depends_on_call:
            service_time_factor = self._draw_service_time_factor()
        self._dispatch(
            entry,
            frozenset((first.target_id,)),
            service_time_factor,
            first_response,
            jobs,
        )

    def _dispatch(
        self,
        entry: EntryDaemon,
        exclude: frozenset[TargetId],
        service_time_factor: float,
        first_response: Gate,
        jobs: list[tuple[Target, Job]],
    ) -> TargetView | None:
        view = entry.choose(exclude)
        if isinstance(view, Refusal):
            first_response.set(False)
            return None
        self.result.dispatches += 1
        self.loop.spawn(
            self._await_job(entry, view, service_time_factor, first_response, jobs)
        )
        return view

    async def _await_job(
        self,
        entry: EntryDaemon,
        view: TargetView,
        service_time_factor: float,
        first_response: Gate,
        jobs: list[tuple[Target, Job]],
    ) -> None:
        started_at = self.loop.now()
        if entry.balancer is not None:
            entry.balancer.attempt_started(view)
        target = self.target_by_id[view.target_id]
        await self.loop.sleep(HOP_SECONDS)
        job = target.submit(service_time_factor)
        jobs.append((target, job))
        was_executed = await job.done
        await self.loop.sleep(HOP_SECONDS)
        if entry.balancer is not None:
            outcome = (
                AttemptOutcome.ANSWERED if was_executed else AttemptOutcome.REFUSED
            )
            seconds = self.loop.now() - started_at
            entry.balancer.attempt_ended(view, outcome, seconds, target.report())
        first_response.set(was_executed)

    def _create_entry(self, strategy: str, index: int) -> EntryDaemon:
        views = [target.view for target in self.targets]
        if strategy == "random":
            return EntryDaemon(
                choose=lambda exclude: views[self._draw_index(len(views))]
            )
        if strategy == "round_robin":
            counter = iter(range(index, 1 << 60))
            return EntryDaemon(choose=lambda exclude: views[next(counter) % len(views)])
        balancer = Balancer(
            daemon=DaemonId(f"entry{index}"),
            region=REGION,
            data_centre=DATA_CENTRE,
            clock=self.loop,
            rng=self.rng,
            link=LinkBudget(clock=self.loop, rate=1e6),
        )
        balancer.set_targets(SERVICE, views)

        def choose(exclude: frozenset[TargetId]) -> TargetView | Refusal:
            return balancer.choose(SERVICE, exclude=exclude, expected_bytes=1000)

        return EntryDaemon(choose=choose, balancer=balancer)

    def _draw_service_time_factor(self) -> float:
        # The distribution has a mean of 1 for every sigma.
        return self.rng.lognormvariate(
            -SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2, SERVICE_TIME_SIGMA
        )

    def _draw_index(self, count: int) -> int:
        return int(self.rng.random() * count)
