"""Stand-ins for the store and the network between daemons, with switchable faults.

All randomness comes from the generator passed in, all time from the running loop.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field

import cbor2

from cassiasail._internal.coordination.store import (
    ABSENT,
    Committed,
    Condition,
    Conflict,
    Put,
    Remove,
    StoredRow,
    StoreFailure,
    StoreFailureReason,
)
from cassiasail._internal.ids import DaemonId, Region
from cassiasail._internal.protocol.quotas import (
    QuotaMessage,
    TokenRequest,
    UsageReportBatch,
    quota_message_from_wire,
)

ASK_TIMEOUT = 0.1
STORE_TIMEOUT = 2.0
UNREACHABLE = StoreFailure(reason=StoreFailureReason.UNREACHABLE)
LOST = StoreFailure(reason=StoreFailureReason.TIMEOUT, effect_unknown=True)
TIMED_OUT = StoreFailure(reason=StoreFailureReason.TIMEOUT)


@dataclass
class Faults:
    """Switches; probabilities are per message or per store request."""

    loss: float = 0.0
    duplication: float = 0.0
    delay: float = 0.0  # longest extra delay of a message, in seconds
    store_down: bool = False
    store_answer_loss: float = 0.0
    store_late_effect: float = 0.0  # the write takes effect after its failure
    cut_regions: set[Region] = field(default_factory=set)


class FakeTable:
    """The rows of the store; a view per region applies the faults."""

    def __init__(self, rng: random.Random, faults: Faults) -> None:
        self.row_by_key: dict[str, StoredRow] = {}
        self.revision = 0
        self.rng = rng
        self.faults = faults
        self.count_by_operation: Counter[str] = Counter()

    def apply(
        self, conditions: Sequence[Condition], writes: Sequence[Put | Remove]
    ) -> Committed | Conflict:
        """Apply all writes if all conditions hold, otherwise none."""
        rows = self.row_by_key
        differing = {
            item.key: rows.get(item.key)
            for item in conditions
            if (rows[item.key].revision if item.key in rows else ABSENT)
            != item.revision
        }
        if differing:
            return Conflict(rows_by_key=differing)
        self.revision += 1
        for item in writes:
            if isinstance(item, Put):
                rows[item.key] = StoredRow(value=item.value, revision=self.revision)
            else:
                rows.pop(item.key, None)
        return Committed(revision=self.revision)


class FakeStore:
    """The table as one daemon sees it; ``reachable`` is false across a cut."""

    def __init__(self, table: FakeTable, reachable: Callable[[], bool]) -> None:
        self._table = table
        self._reachable = reachable

    async def read(
        self, keys: Sequence[str]
    ) -> Mapping[str, StoredRow | None] | StoreFailure:
        if not await self._admit("read"):
            return TIMED_OUT
        return {key: self._table.row_by_key.get(key) for key in keys}

    async def scan(
        self, prefix: str, *, limit: int = 1000, descending: bool = False
    ) -> Mapping[str, StoredRow] | StoreFailure:
        if not await self._admit("scan"):
            return TIMED_OUT
        rows = sorted(self._table.row_by_key.items(), reverse=descending)
        return dict([row for row in rows if row[0].startswith(prefix)][:limit])

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Put | Remove]
    ) -> Committed | Conflict | StoreFailure:
        if not await self._admit("transact"):
            return UNREACHABLE
        table = self._table
        if table.rng.random() < table.faults.store_late_effect:
            delay = table.rng.uniform(0, 8)
            loop = asyncio.get_running_loop()
            loop.call_later(delay, table.apply, list(conditions), list(writes))
            return LOST
        outcome = table.apply(conditions, writes)
        await asyncio.sleep(0.004)
        if table.rng.random() < table.faults.store_answer_loss:
            await asyncio.sleep(STORE_TIMEOUT)
            return LOST
        return outcome

    async def get_object(self, name: str) -> bytes | None | StoreFailure:
        return UNREACHABLE

    async def put_object(self, name: str, data: bytes) -> None | StoreFailure:
        return UNREACHABLE

    async def _admit(self, operation: str) -> bool:
        self._table.count_by_operation[operation] += 1
        await asyncio.sleep(self._table.rng.uniform(0.002, 0.02))
        if self._table.faults.store_down or not self._reachable():
            await asyncio.sleep(STORE_TIMEOUT)
            return False
        return True


class Peer:
    """A daemon as the network sees it."""

    id: DaemonId
    region: Region
    latency_class: tuple[str, str]
    generation: int
    is_alive: bool

    async def unpaused(self) -> None:
        """Return once the daemon is not paused."""
        raise NotImplementedError

    async def handle(self, message: TokenRequest | UsageReportBatch) -> QuotaMessage:
        """Answer a message."""
        raise NotImplementedError


class FakeNetwork:
    """Carries encoded messages with latency by distance, and counts them.

    ``latency`` returns the one-way latency between two daemons in seconds.
    """

    def __init__(
        self,
        rng: random.Random,
        faults: Faults,
        latency: Callable[[Peer, Peer], float],
    ) -> None:
        self.peer_by_id: dict[DaemonId, Peer] = {}
        self.messages: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.messages_by_receiver: Counter[DaemonId] = Counter()
        self._rng = rng
        self._faults = faults
        self._latency = latency

    async def ask(
        self, source: Peer, to: DaemonId, message: QuotaMessage
    ) -> QuotaMessage | None:
        """Send a message and wait for its answer; None after a timeout."""
        await source.unpaused()
        generation = source.generation
        answer: asyncio.Future[QuotaMessage] = (
            asyncio.get_running_loop().create_future()
        )
        copies = 2 if self._rng.random() < self._faults.duplication else 1
        for _ in range(copies):
            self._spawn(self._deliver(source, to, message, answer))
        await asyncio.wait((answer,), timeout=ASK_TIMEOUT)
        # An answer that is there before the timeout counts even to a paused daemon.
        arrived = answer.done()
        await source.unpaused()
        if not arrived or source.generation != generation:
            answer.cancel()
            return None
        return answer.result()

    async def _deliver(
        self,
        source: Peer,
        to: DaemonId,
        message: QuotaMessage,
        answer: "asyncio.Future[QuotaMessage]",
    ) -> None:
        target = self.peer_by_id[to]
        received = await self._carry(source, target, message)
        if received is None or not target.is_alive:
            return
        generation = target.generation
        await target.unpaused()
        if target.generation != generation:
            return
        assert isinstance(received, TokenRequest | UsageReportBatch)
        reply = await target.handle(received)
        if target.generation != generation:
            return
        returned = await self._carry(target, source, reply)
        if returned is not None and not answer.done():
            answer.set_result(returned)

    async def _carry(
        self, source: Peer, target: Peer, message: QuotaMessage
    ) -> QuotaMessage | None:
        data = cbor2.dumps(message.to_wire())
        scope = "local" if source.region == target.region else "cross"
        self.messages[scope] += 1
        self.bytes[scope] += len(data)
        self.messages_by_receiver[target.id] += 1
        await asyncio.sleep(
            self._latency(source, target) + self._rng.uniform(0, self._faults.delay)
        )
        cut = self._faults.cut_regions
        is_cut = source.region != target.region and bool(
            {source.region, target.region} & cut
        )
        if is_cut or self._rng.random() < self._faults.loss:
            return None
        return quota_message_from_wire(cbor2.loads(data))

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        # The loop keeps only weak references to tasks.
        _running.add(task)
        task.add_done_callback(_running.discard)


_running: set["asyncio.Future[None]"] = set()
