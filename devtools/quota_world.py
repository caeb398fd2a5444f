"""Simulation of the quota services of a fleet of daemons under faults.

It runs on virtual time and is used by the stateful test, ``devtools.fuzz_quotas`` and
``devtools.bench_quotas``.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from cassiasail._internal.coordination.owner_link import OwnerLink
from cassiasail._internal.coordination.quota_exchange import QuotaClient
from cassiasail._internal.coordination.quota_service import QuotaService
from cassiasail._internal.coordination.shard_leases import ShardLeases
from cassiasail._internal.ids import (
    CustomerId,
    DaemonId,
    DataCentre,
    PlanId,
    Region,
    RoutePath,
    ServiceName,
)
from cassiasail._internal.protocol.quotas import (
    QuotaMessage,
    TokenRequest,
    UsageReportBatch,
)
from cassiasail._internal.state.lists import Allowance
from cassiasail._internal.state.quotas import QuotaKey, ShardId
from cassiasail._internal.state.refusals import Refusal
from cassiasail._internal.state.token_cache import CallGrant

from .quota_faults import FakeNetwork, FakeStore, FakeTable, Faults, Peer
from .quota_oracle import AllowanceOracle
from .virtual_loop import VirtualLoop

TICK_SECONDS = 0.1
# Time within which a changed allowance reaches every daemon.
ALLOWANCE_SPREAD_SECONDS = 0.5
# One-way latencies, in seconds.
SAME_DATA_CENTRE_LATENCY = 0.0001
SAME_REGION_LATENCY = 0.0005
OTHER_REGION_LATENCY = 0.012


@dataclass(frozen=True, kw_only=True)
class WorldShape:
    """Size of the fleet and its timings, in seconds.

    The lease term is short, so that shards change their owner within a run.
    """

    regions: int = 2
    data_centres_per_region: int = 2
    daemons_per_data_centre: int = 3
    shards_per_data_centre: int = 2
    term: float = 12.0
    max_deadline: float = 3.0
    confirm_interval: float = 0.4
    start_jitter: float = 0.05


class SimClock:
    """The clock of one daemon: the time of the loop plus an offset."""

    def __init__(self, loop: VirtualLoop, offset: float) -> None:
        self._loop = loop
        self._offset = offset

    def now(self) -> float:
        return self._loop.time() + self._offset

    def wall(self) -> float:
        return 1_700_000_000.0 + self._loop.time()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)


class SimDaemon(Peer):
    """One daemon; a restart clears its memory and increments its generation."""

    def __init__(
        self, world: "QuotaWorld", name: str, region: int, centre: int
    ) -> None:
        self.world = world
        self.id = DaemonId(name)
        self.region = Region(f"region-{region}")
        self.data_centre = DataCentre(f"dc-{centre}")
        self.latency_class = (self.region, self.data_centre)
        self.generation = 0
        self.is_alive = False
        self.paused_until = 0.0
        self.clock = SimClock(world.loop, world.rng.uniform(0, 1000))
        self.allowance_by_key: dict[QuotaKey, Allowance] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Start with empty memory."""
        world, rng = self.world, self.world.rng
        shape = world.shape
        self.generation += 1
        self.is_alive = True
        self.paused_until = 0.0
        self.allowance_by_key = dict(world.allowance_by_key)
        table, faults = world.table, world.faults
        generation = self.generation

        async def send_to_peer(
            receiver_id: DaemonId, message: QuotaMessage
        ) -> QuotaMessage | None:
            if self.generation != generation:
                return None
            return await world.network.request(self, receiver_id, message)

        store = FakeStore(
            table,
            # The store is in the first region.
            lambda: self.region == "region-0" or not faults.partitioned_regions,
        )
        self.leases = ShardLeases(
            me=self.id,
            incarnation=self.generation,
            data_centre=self.data_centre,
            shards=world.shards,
            members=self.members,
            store=store,
            clock=self.clock,
            term=shape.term,
            max_deadline=shape.max_deadline,
            rng=rng,
            confirm_interval=shape.confirm_interval,
            scan_interval=3 * shape.confirm_interval,
            start_jitter=shape.start_jitter,
        )
        self.service = QuotaService(
            me=self.id,
            shards=world.shards,
            leases=self.leases,
            send_to_peer=send_to_peer,
            allowance_of=self.allowance_of,
            distance=self.distance,
            clock=self.clock,
            rng=rng,
        )
        link = OwnerLink(
            me=self.id,
            data_centre=self.data_centre,
            shards=world.shards,
            members=self.members,
            leases=self.leases,
            service=self.service,
            send_to_peer=send_to_peer,
            clock=self.clock,
        )
        self.exchange = QuotaClient(
            me=self.id,
            incarnation=self.generation,
            data_centre=self.data_centre,
            link=link,
            max_deadline=shape.max_deadline,
            clock=self.clock,
            rng=rng,
        )
        self._spawn(self._tick())
        self._spawn(self._lease_loop())

    def crash(self) -> None:
        """Drop all memory; calls in flight may run on until their deadlines."""
        self.is_alive = False
        self.generation += 1
        for task in list(self.tasks):
            task.cancel()

    def members(self) -> list[DaemonId]:
        """Return the daemons of the data centre that are alive, this one included."""
        peers = self.world.daemons
        centre = [d for d in peers if d.data_centre == self.data_centre]
        return [d.id for d in centre if d.is_alive]

    def allowance_of(self, key: QuotaKey) -> Allowance | None:
        return self.allowance_by_key.get(key)

    def distance(self, data_centre: DataCentre) -> float:
        if data_centre == self.data_centre:
            return 0
        return 1 if self.world.region_of[data_centre] == self.region else 2

    async def wait_until_unpaused(self) -> None:
        while self.paused_until > self.world.loop.time():
            # A sleep below the resolution of the loop's clock would not advance it.
            remaining = self.paused_until - self.world.loop.time()
            await asyncio.sleep(max(remaining, 1e-6))

    async def handle(self, message: TokenRequest | UsageReportBatch) -> QuotaMessage:
        return await self.service.handle(message)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS * self.world.rng.uniform(0.9, 1.1))
            await self.wait_until_unpaused()
            self.exchange.tick()
            self.service.tick()

    async def _lease_loop(self) -> None:
        while True:
            await asyncio.sleep(0.25 * self.world.rng.uniform(0.9, 1.1))
            await self.wait_until_unpaused()
            await self.leases.run_once()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self.world.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        task.add_done_callback(self.world.note_failure)


def key_named(name: str) -> QuotaKey:
    """Return an allowance key for a customer."""
    return CustomerId(name), ServiceName("series"), RoutePath("/bulk")


def allowance_of(rate: float, burst: int, in_flight: int) -> Allowance:
    """Return an allowance with these limits."""
    return Allowance(
        plan=PlanId("plan"),
        service=ServiceName("series"),
        path=RoutePath("/bulk"),
        rate=rate,
        burst=burst,
        in_flight=in_flight,
        max_body=1 << 20,
    )


@dataclass
class CallCounts:
    """Outcomes of the calls of one allowance."""

    granted: int = 0
    refused: int = 0
    cached: int = 0  # granted at once from tokens that the daemon held
    # Seconds that each granted call waited for its grant.
    wait_seconds: list[float] = field(default_factory=list)


class QuotaWorld:
    """The fleet, its faults and the oracles; ``run`` advances time."""

    def __init__(
        self,
        *,
        seed: int,
        allowance_by_key: dict[QuotaKey, Allowance],
        shape: WorldShape | None = None,
    ) -> None:
        self.shape = shape or WorldShape()
        self.rng = random.Random(seed)
        self.loop = VirtualLoop()
        self.faults = Faults()
        self.table = FakeTable(self.rng, self.faults)
        self.network = FakeNetwork(self.rng, self.faults, _latency)
        self.allowance_by_key = dict(allowance_by_key)
        self.counts_by_key: dict[QuotaKey, CallCounts] = {}
        self.oracle_by_key: dict[QuotaKey, AllowanceOracle] = {}
        self.failures: list[BaseException] = []
        self.events: Counter[str] = Counter()
        for key, allowance in allowance_by_key.items():
            self.counts_by_key[key] = CallCounts()
            self.oracle_by_key[key] = AllowanceOracle(
                allowance=allowance,
                level=allowance.burst,
                now=self.loop.time(),
                permit_hold_seconds=self.shape.max_deadline + 1,
            )
        self._create_daemons()
        for daemon in self.daemons:
            self.loop.call_soon(daemon.start)

    def _create_daemons(self) -> None:
        shape = self.shape
        data_centre_count = shape.regions * shape.data_centres_per_region
        self.region_of: dict[DataCentre, Region] = {}
        self.shards: list[ShardId] = []
        self.daemons: list[SimDaemon] = []
        for centre in range(data_centre_count):
            region = centre // shape.data_centres_per_region
            name = DataCentre(f"dc-{centre}")
            self.region_of[name] = Region(f"region-{region}")
            numbers = range(shape.shards_per_data_centre)
            self.shards += [ShardId(name, number) for number in numbers]
            for number in range(shape.daemons_per_data_centre):
                daemon_name = f"10.0.{centre}.{number}:7000"
                self.daemons.append(SimDaemon(self, daemon_name, region, centre))
        for daemon in self.daemons:
            self.network.peer_by_id[daemon.id] = daemon

    def run(self, seconds: float) -> None:
        """Advance time by ``seconds`` and raise the first failure of a task."""
        self.loop.run_until_complete(asyncio.sleep(seconds))
        if self.failures:
            raise self.failures[0]

    def close(self) -> None:
        """Cancel all tasks and close the loop."""
        pending = asyncio.all_tasks(self.loop)
        for task in pending:
            task.cancel()
        gathered = asyncio.gather(*pending, return_exceptions=True)
        self.loop.run_until_complete(_await_gathered(gathered))
        self.loop.close()

    def start_load(
        self, daemon: SimDaemon, key: QuotaKey, rate: float, seconds: float, hold: float
    ) -> None:
        """Send calls to a daemon at random times, ``rate`` a second.

        ``hold`` is the mean duration of a call in seconds.
        """
        self._spawn(
            self._send_calls(daemon, key, rate, self.loop.time() + seconds, hold)
        )

    def start_calls(
        self, daemon: SimDaemon, key: QuotaKey, count: int, hold: float
    ) -> None:
        """Send ``count`` calls at once to a daemon."""
        for _ in range(count):
            self._spawn(self._run_call(daemon, key, hold))

    def change_allowance(self, key: QuotaKey, allowance: Allowance) -> None:
        """Change an allowance; daemons apply it at different times."""
        self.allowance_by_key[key] = allowance
        # Tokens that a daemon got just before it applied the change are valid for
        # 0.5 s more.
        oracle = self.oracle_by_key[key]
        oracle.change(self.loop.time(), allowance, ALLOWANCE_SPREAD_SECONDS + 0.6)
        for daemon in self.daemons:
            delay = self.rng.uniform(0, ALLOWANCE_SPREAD_SECONDS)
            self.loop.call_later(delay, self._apply_allowance, daemon, key, allowance)

    def _apply_allowance(
        self, daemon: SimDaemon, key: QuotaKey, allowance: Allowance
    ) -> None:
        if self.allowance_by_key[key] is allowance:
            daemon.allowance_by_key[key] = allowance

    def restart_later(self, daemon: SimDaemon, seconds: float) -> None:
        """Start a crashed daemon again under the same id."""
        self.loop.call_later(seconds, self._restart, daemon, daemon.generation)

    def shut_down(self, daemon: SimDaemon) -> None:
        """Release the daemon's shards, then stop it."""
        self._spawn(self._release_and_stop(daemon, daemon.generation))

    def violations(self) -> int:
        """Return how many calls exceeded their allowance so far."""
        oracles = self.oracle_by_key.values()
        return sum(o.over_rate + o.over_in_flight for o in oracles)

    def note_failure(self, task: "asyncio.Task[None]") -> None:
        """Keep the exception of a background task for ``run`` to raise."""
        if not task.cancelled() and task.exception() is not None:
            failure = task.exception()
            assert failure is not None
            self.failures.append(failure)

    def _restart(self, daemon: SimDaemon, generation: int) -> None:
        if not daemon.is_alive and daemon.generation == generation:
            daemon.start()

    async def _release_and_stop(self, daemon: SimDaemon, generation: int) -> None:
        await daemon.wait_until_unpaused()
        if daemon.generation == generation and daemon.is_alive:
            await daemon.leases.release()
            if daemon.generation == generation:
                daemon.crash()

    async def _send_calls(
        self, daemon: SimDaemon, key: QuotaKey, rate: float, until: float, hold: float
    ) -> None:
        while self.loop.time() < until:
            await asyncio.sleep(self.rng.expovariate(rate))
            self._spawn(self._run_call(daemon, key, hold))

    async def _run_call(self, daemon: SimDaemon, key: QuotaKey, hold: float) -> None:
        await daemon.wait_until_unpaused()
        allowance = daemon.allowance_by_key.get(key)
        if not daemon.is_alive or allowance is None:
            return
        counts, oracle = self.counts_by_key[key], self.oracle_by_key[key]
        generation = daemon.generation
        timeout = self.rng.uniform(0.2, 1.0) * self.shape.max_deadline
        started_at = self.loop.time()
        deadline = daemon.clock.now() + timeout
        exchange = daemon.exchange
        grant: CallGrant | Refusal | None = exchange.try_acquire(
            *key, allowance, deadline
        )
        if grant is not None:
            counts.cached += 1
        else:
            grant = await exchange.acquire(*key, allowance, deadline)
        if daemon.generation != generation:
            return
        if isinstance(grant, Refusal):
            counts.refused += 1
            return
        counts.granted += 1
        counts.wait_seconds.append(self.loop.time() - started_at)
        oracle.start(self.loop.time())
        remaining = started_at + timeout - self.loop.time()
        await asyncio.sleep(max(0.0, min(remaining, self.rng.expovariate(1 / hold))))
        if daemon.generation != generation:
            # The entry daemon crashed; its call may run on until the deadline.
            await asyncio.sleep(max(0.0, started_at + timeout - self.loop.time()))
        oracle.end()
        if daemon.generation == generation:
            exchange.release_permit(grant)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(coroutine)
        _background_tasks.add(task)
        task.add_done_callback(_background_tasks.discard)
        task.add_done_callback(self.note_failure)


_background_tasks: set["asyncio.Task[None]"] = set()


async def _await_gathered(gathered: "asyncio.Future[Any]") -> None:
    await gathered


def _latency(sender: Peer, receiver: Peer) -> float:
    if sender.latency_class == receiver.latency_class:
        return SAME_DATA_CENTRE_LATENCY
    return (
        SAME_REGION_LATENCY
        if sender.region == receiver.region
        else OTHER_REGION_LATENCY
    )
