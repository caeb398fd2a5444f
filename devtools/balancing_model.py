"""A model of targets, their queues and entry daemons, on virtual time.

It models what the choice of a target depends on: slots, a bounded queue, service
times, refusals and load reports. Hosts and connections are not modelled.
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
QUEUE = 4 * SLOTS  # calls that wait at one target before it refuses
MEAN_SERVICE = 0.020  # seconds
SIGMA = 1.0  # of the log-normal service time; its 99th percentile is 6 times the mean
HOP = 0.00025  # seconds one way
COLD_SECONDS = 10.0
NONE: frozenset[TargetId] = frozenset()


@dataclass(slots=True, eq=False)
class Job:
    """One dispatch of a call to a target."""

    done: Gate
    drawn: float
    cancelled: bool = False
    task: Task | None = None


class Target:
    """A target with its queue.

    ``kind`` is ``normal``, ``slow`` (10 times the service time), ``lying`` (5 times,
    refuses 3 calls in 10 and reports no load) or ``cold`` (10 times at the start,
    falling to normal over 10 s).
    """

    def __init__(self, loop: VirtualLoop, rng: Random, index: int, kind: str) -> None:
        self._loop = loop
        self._rng = rng
        self.kind = kind
        self.busy = 0
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

    def submit(self, drawn: float) -> Job:
        """Queue a call that needs ``drawn`` times the mean service time.

        The gate of the job is set to whether it was run.
        """
        job = Job(done=Gate(self._loop), drawn=drawn)
        self.calls += 1
        refuses = self.kind == "lying" and self._rng.random() < 0.3
        if refuses or len(self.queue) >= QUEUE:
            job.done.set(False)
        elif self.busy < SLOTS:
            self._start(job)
        else:
            self.queue.append(job)
        return job

    def cancel(self, job: Job) -> None:
        """Stop a call that nobody waits for; a running one frees its slot."""
        if job.done.is_set:
            return
        job.cancelled = True
        if job.task is not None:
            self._loop.kill(job.task)
            self._free()

    def report(self) -> LoadReport:
        """Return what the host reports, which a lying target falsifies."""
        if self.kind == "lying":
            return LoadReport(queued=0, in_flight=0, slots=SLOTS)
        return LoadReport(queued=len(self.queue), in_flight=self.busy, slots=SLOTS)

    def _start(self, job: Job) -> None:
        self.busy += 1
        job.task = self._loop.spawn(self._run(job))

    async def _run(self, job: Job) -> None:
        seconds = MEAN_SERVICE * job.drawn * self._factor()
        self.busy_seconds += seconds
        await self._loop.sleep(seconds)
        job.done.set(True)
        self._free()

    def _free(self) -> None:
        self.busy -= 1
        while self.queue:
            job = self.queue.popleft()
            if not job.cancelled:
                self._start(job)
                return

    def _factor(self) -> float:
        if self.kind == "cold":
            age = self._loop.now() - self._started
            return max(1.0, 10.0 - 9.0 * age / COLD_SECONDS)
        return {"slow": 10.0, "lying": 5.0}.get(self.kind, 1.0)


# Chooses a target for a call of an entry daemon, excluding some.
Choose = Callable[[frozenset[TargetId]], TargetView | Refusal]


@dataclass(slots=True, kw_only=True)
class Entry:
    """One entry daemon: its choice and what it is told of the result."""

    choose: Choose
    balancer: Balancer | None = None


@dataclass(slots=True, kw_only=True)
class Sample:
    """What a run measured; latencies in seconds, in order of completion."""

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


class Model:
    """Entry daemons that send Poisson calls to targets of several kinds."""

    def __init__(
        self, *, strategy: str, kinds: list[str], entries: int, seed: int
    ) -> None:
        self.loop = VirtualLoop()
        self.rng = Random(seed)
        self.targets = [
            Target(self.loop, self.rng, index, kind) for index, kind in enumerate(kinds)
        ]
        self.target_by_id = {item.view.target_id: item for item in self.targets}
        self.entries = [self._entry(strategy, index) for index in range(entries)]
        self.sample = Sample()
        # Seconds after which a call is sent a second time; None never.
        self.hedge_after: float | None = None
        # Whether a call takes long because of what it asks for; its second sending
        # then takes as long as the first.
        self.time_is_of_call = False

    def run(self, *, rate: float, seconds: float) -> Sample:
        """Send ``rate`` calls per second in all for ``seconds``, then drain."""
        self.loop.spawn(self._arrivals(rate, self.loop.now() + seconds))
        self.loop.run_until(self.loop.now() + seconds + 60.0)
        for target in self.targets:
            self.sample.calls_by_kind[target.kind] += target.calls
            self.sample.busy_seconds += target.busy_seconds
        return self.sample

    async def _arrivals(self, rate: float, end: float) -> None:
        while self.loop.now() < end:
            await self.loop.sleep(self.rng.expovariate(rate))
            entry = self.entries[int(self.rng.random() * len(self.entries))]
            self.sample.calls += 1
            self.loop.spawn(self._call(entry))

    async def _call(self, entry: Entry) -> None:
        start = self.loop.now()
        winner = Gate(self.loop)
        jobs: list[tuple[Target, Job]] = []
        drawn = self._draw_time()
        first = self._dispatch(entry, NONE, drawn, winner, jobs)
        if first is not None and self.hedge_after is not None:
            self.loop.spawn(self._hedge(entry, first, drawn, winner, jobs))
        answered = await winner
        for target, job in jobs:
            target.cancel(job)
        if answered:
            self.sample.latencies.append(self.loop.now() - start)
        else:
            self.sample.refused += 1

    async def _hedge(
        self,
        entry: Entry,
        first: TargetView,
        drawn: float,
        winner: Gate,
        jobs: list[tuple[Target, Job]],
    ) -> None:
        await self.loop.sleep(self.hedge_after or 0.0)
        if winner.is_set:
            return
        if not self.time_is_of_call:
            drawn = self._draw_time()
        self._dispatch(entry, frozenset((first.target_id,)), drawn, winner, jobs)

    def _dispatch(
        self,
        entry: Entry,
        exclude: frozenset[TargetId],
        drawn: float,
        winner: Gate,
        jobs: list[tuple[Target, Job]],
    ) -> TargetView | None:
        view = entry.choose(exclude)
        if isinstance(view, Refusal):
            winner.set(False)
            return None
        self.sample.dispatches += 1
        self.loop.spawn(self._exchange(entry, view, drawn, winner, jobs))
        return view

    async def _exchange(
        self,
        entry: Entry,
        view: TargetView,
        drawn: float,
        winner: Gate,
        jobs: list[tuple[Target, Job]],
    ) -> None:
        start = self.loop.now()
        if entry.balancer is not None:
            entry.balancer.attempt_started(view)
        target = self.target_by_id[view.target_id]
        await self.loop.sleep(HOP)
        job = target.submit(drawn)
        jobs.append((target, job))
        ran = await job.done
        await self.loop.sleep(HOP)
        if entry.balancer is not None:
            outcome = AttemptOutcome.ANSWERED if ran else AttemptOutcome.REFUSED
            seconds = self.loop.now() - start
            entry.balancer.attempt_ended(view, outcome, seconds, target.report())
        winner.set(ran)

    def _entry(self, strategy: str, index: int) -> Entry:
        views = [target.view for target in self.targets]
        if strategy == "random":
            return Entry(choose=lambda exclude: views[self._draw(len(views))])
        if strategy == "round_robin":
            turn = iter(range(index, 1 << 60))
            return Entry(choose=lambda exclude: views[next(turn) % len(views)])
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

        return Entry(choose=choose, balancer=balancer)

    def _draw_time(self) -> float:
        # The mean is 1, whatever sigma is.
        return self.rng.lognormvariate(-SIGMA * SIGMA / 2, SIGMA)

    def _draw(self, count: int) -> int:
        return int(self.rng.random() * count)
