"""A fleet of daemons with their quota parts on virtual time, under faults.

Used by the stateful test, ``devtools.fuzz_quotas`` and ``devtools.bench_quotas``.
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

TICK = 0.1
# Seconds within which a change of an allowance reaches every daemon here.
SPREAD = 0.5
SAME_DATA_CENTRE = 0.0001
SAME_REGION = 0.0005
OTHER_REGION = 0.012


@dataclass(frozen=True, kw_only=True)
class WorldShape:
    """Size and time constants; short terms let take-overs happen within a run."""

    regions: int = 2
    data_centres_per_region: int = 2
    daemons_per_data_centre: int = 3
    shards_per_data_centre: int = 2
    term: float = 12.0
    max_deadline: float = 3.0
    confirm_interval: float = 0.4
    start_jitter: float = 0.05


class SimClock:
    """The clock of one daemon: starts anywhere, runs at the pace of the loop."""

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
    """One daemon; a restart replaces its parts and raises its generation."""

    def __init__(self, world: "World", name: str, region: int, centre: int) -> None:
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
        self.running: set[asyncio.Task[None]] = set()

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

        async def ask(to: DaemonId, message: QuotaMessage) -> QuotaMessage | None:
            if self.generation != generation:
                return None
            return await world.network.ask(self, to, message)

        store = FakeStore(
            table,
            # The store is in the first region.
            lambda: self.region == "region-0" or not faults.cut_regions,
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
            send_to_peer=ask,
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
            send_to_peer=ask,
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
        """Lose all memory; calls in flight may run on until their deadlines."""
        self.is_alive = False
        self.generation += 1
        for task in list(self.running):
            task.cancel()

    def members(self) -> list[DaemonId]:
        """Return the daemons of the data centre that this one believes alive."""
        peers = self.world.daemons
        centre = [d for d in peers if d.data_centre == self.data_centre]
        return [d.id for d in centre if d.is_alive]

    def allowance_of(self, key: QuotaKey) -> Allowance | None:
        return self.allowance_by_key.get(key)

    def distance(self, data_centre: DataCentre) -> float:
        if data_centre == self.data_centre:
            return 0
        return 1 if self.world.region_of[data_centre] == self.region else 2

    async def unpaused(self) -> None:
        while self.paused_until > self.world.loop.time():
            # A rest below the resolution of the loop's clock would not move time.
            rest = self.paused_until - self.world.loop.time()
            await asyncio.sleep(max(rest, 1e-6))

    async def handle(self, message: TokenRequest | UsageReportBatch) -> QuotaMessage:
        return await self.service.handle(message)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK * self.world.rng.uniform(0.9, 1.1))
            await self.unpaused()
            self.exchange.tick()
            self.service.tick()

    async def _lease_loop(self) -> None:
        while True:
            await asyncio.sleep(0.25 * self.world.rng.uniform(0.9, 1.1))
            await self.unpaused()
            await self.leases.run_once()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.world.loop.create_task(work)
        self.running.add(task)
        task.add_done_callback(self.running.discard)
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
    """What became of the calls of one allowance."""

    granted: int = 0
    refused: int = 0
    cached: int = 0
    waited: list[float] = field(default_factory=list)


class World:
    """The fleet, its faults and the oracles; ``run`` moves time forward."""

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
                hold=self.shape.max_deadline + 1,
            )
        self._lay_out()
        for daemon in self.daemons:
            self.loop.call_soon(daemon.start)

    def _lay_out(self) -> None:
        shape = self.shape
        centres = shape.regions * shape.data_centres_per_region
        self.region_of: dict[DataCentre, Region] = {}
        self.shards: list[ShardId] = []
        self.daemons: list[SimDaemon] = []
        for centre in range(centres):
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
        """Move time forward and raise what failed meanwhile."""
        self.loop.run_until_complete(asyncio.sleep(seconds))
        if self.failures:
            raise self.failures[0]

    def close(self) -> None:
        """Cancel everything that still runs."""
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        gathered = asyncio.gather(*tasks, return_exceptions=True)
        self.loop.run_until_complete(_swallow(gathered))
        self.loop.close()

    def start_load(
        self, daemon: SimDaemon, key: QuotaKey, rate: float, seconds: float, hold: float
    ) -> None:
        """Have callers send calls at random times to a daemon."""
        self._spawn(self._load(daemon, key, rate, self.loop.time() + seconds, hold))

    def start_calls(
        self, daemon: SimDaemon, key: QuotaKey, count: int, hold: float
    ) -> None:
        """Have callers send ``count`` calls at once to a daemon."""
        for _ in range(count):
            self._spawn(self._call(daemon, key, hold))

    def change_allowance(self, key: QuotaKey, allowance: Allowance) -> None:
        """Change an allowance; daemons learn of it at different times."""
        self.allowance_by_key[key] = allowance
        # Tokens granted just before the last daemon learned of it live 0.5 s more.
        oracle = self.oracle_by_key[key]
        oracle.change(self.loop.time(), allowance, SPREAD + 0.6)
        for daemon in self.daemons:
            delay = self.rng.uniform(0, SPREAD)
            self.loop.call_later(delay, self._inform, daemon, key, allowance)

    def _inform(self, daemon: SimDaemon, key: QuotaKey, allowance: Allowance) -> None:
        if self.allowance_by_key[key] is allowance:
            daemon.allowance_by_key[key] = allowance

    def restart_later(self, daemon: SimDaemon, seconds: float) -> None:
        """Start a crashed daemon again under the same id."""
        self.loop.call_later(seconds, self._restart, daemon, daemon.generation)

    def shut_down(self, daemon: SimDaemon) -> None:
        """Release the daemon's shards, then end it."""
        self._spawn(self._shut_down(daemon, daemon.generation))

    def violations(self) -> int:
        """Return the calls beyond any allowance so far."""
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

    async def _shut_down(self, daemon: SimDaemon, generation: int) -> None:
        await daemon.unpaused()
        if daemon.generation == generation and daemon.is_alive:
            await daemon.leases.release()
            if daemon.generation == generation:
                daemon.crash()

    async def _load(
        self, daemon: SimDaemon, key: QuotaKey, rate: float, until: float, hold: float
    ) -> None:
        while self.loop.time() < until:
            await asyncio.sleep(self.rng.expovariate(rate))
            self._spawn(self._call(daemon, key, hold))

    async def _call(self, daemon: SimDaemon, key: QuotaKey, hold: float) -> None:
        await daemon.unpaused()
        allowance = daemon.allowance_by_key.get(key)
        if not daemon.is_alive or allowance is None:
            return
        counts, oracle = self.counts_by_key[key], self.oracle_by_key[key]
        generation = daemon.generation
        lasts = self.rng.uniform(0.2, 1.0) * self.shape.max_deadline
        began = self.loop.time()
        deadline = daemon.clock.now() + lasts
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
        counts.waited.append(self.loop.time() - began)
        oracle.start(self.loop.time())
        left = began + lasts - self.loop.time()
        await asyncio.sleep(max(0.0, min(left, self.rng.expovariate(1 / hold))))
        if daemon.generation != generation:
            # The caller's daemon died; its call may run on until the deadline.
            await asyncio.sleep(max(0.0, began + lasts - self.loop.time()))
        oracle.end()
        if daemon.generation == generation:
            exchange.release_permit(grant)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(work)
        _keep.add(task)
        task.add_done_callback(_keep.discard)
        task.add_done_callback(self.note_failure)


_keep: set["asyncio.Task[None]"] = set()


async def _swallow(gathered: "asyncio.Future[Any]") -> None:
    await gathered


def _latency(source: Peer, target: Peer) -> float:
    if source.latency_class == target.latency_class:
        return SAME_DATA_CENTRE
    return SAME_REGION if source.region == target.region else OTHER_REGION
