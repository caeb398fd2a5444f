"""Fakes of the store and of the network between daemons, with configurable faults.

All random numbers come from the generator passed in; all time is that of the running
event loop.
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

RESPONSE_TIMEOUT = 0.1  # seconds
STORE_TIMEOUT = 2.0  # seconds
UNREACHABLE = StoreFailure(reason=StoreFailureReason.UNREACHABLE)
EFFECT_UNKNOWN = StoreFailure(reason=StoreFailureReason.TIMEOUT, effect_unknown=True)
TIMED_OUT = StoreFailure(reason=StoreFailureReason.TIMEOUT)


@dataclass
class Faults:
    """The faults in force; probabilities are per message or per store request."""

    loss: float = 0.0
    duplication: float = 0.0
    delay: float = 0.0  # longest extra delay of a message, in seconds
    store_down: bool = False
    store_response_loss: float = 0.0
    # The write takes effect after it was reported as failed.
    store_late_effect: float = 0.0
    # Regions without connection to the others.
    partitioned_regions: set[Region] = field(default_factory=set)


class FakeTable:
    """The rows of the store, shared by the ``FakeStore`` of each daemon."""

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
        conflicting_rows = {
            item.key: rows.get(item.key)
            for item in conditions
            if (rows[item.key].revision if item.key in rows else ABSENT)
            != item.revision
        }
        if conflicting_rows:
            return Conflict(rows_by_key=conflicting_rows)
        self.revision += 1
        for item in writes:
            if isinstance(item, Put):
                rows[item.key] = StoredRow(value=item.value, revision=self.revision)
            else:
                rows.pop(item.key, None)
        return Committed(revision=self.revision)


class FakeStore:
    """A daemon's access to the table, with the faults applied.

    ``reachable`` returns whether the daemon has a connection to the store.
    """

    def __init__(self, table: FakeTable, reachable: Callable[[], bool]) -> None:
        self._table = table
        self._reachable = reachable

    async def read(
        self, keys: Sequence[str]
    ) -> Mapping[str, StoredRow | None] | StoreFailure:
        if not await self._reach_store("read"):
            return TIMED_OUT
        return {key: self._table.row_by_key.get(key) for key in keys}

    async def scan(
        self, prefix: str, *, limit: int = 1000, descending: bool = False
    ) -> Mapping[str, StoredRow] | StoreFailure:
        if not await self._reach_store("scan"):
            return TIMED_OUT
        rows = sorted(self._table.row_by_key.items(), reverse=descending)
        return dict([row for row in rows if row[0].startswith(prefix)][:limit])

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Put | Remove]
    ) -> Committed | Conflict | StoreFailure:
        if not await self._reach_store("transact"):
            return UNREACHABLE
        table = self._table
        if table.rng.random() < table.faults.store_late_effect:
            delay = table.rng.uniform(0, 8)
            loop = asyncio.get_running_loop()
            loop.call_later(delay, table.apply, list(conditions), list(writes))
            return EFFECT_UNKNOWN
        outcome = table.apply(conditions, writes)
        await asyncio.sleep(0.004)
        if table.rng.random() < table.faults.store_response_loss:
            await asyncio.sleep(STORE_TIMEOUT)
            return EFFECT_UNKNOWN
        return outcome

    async def get_object(self, name: str) -> bytes | None | StoreFailure:
        return UNREACHABLE

    async def put_object(self, name: str, data: bytes) -> None | StoreFailure:
        return UNREACHABLE

    async def _reach_store(self, operation: str) -> bool:
        self._table.count_by_operation[operation] += 1
        await asyncio.sleep(self._table.rng.uniform(0.002, 0.02))
        if self._table.faults.store_down or not self._reachable():
            await asyncio.sleep(STORE_TIMEOUT)
            return False
        return True


class Peer:
    """What the network needs of a daemon.

    ``generation`` changes at each crash and restart.
    """

    id: DaemonId
    region: Region
    latency_class: tuple[str, str]
    generation: int
    is_alive: bool

    async def wait_until_unpaused(self) -> None:
        """Return once the daemon is not paused."""
        raise NotImplementedError

    async def handle(self, message: TokenRequest | UsageReportBatch) -> QuotaMessage:
        """Return the response to a message."""
        raise NotImplementedError


class FakeNetwork:
    """Delivers encoded messages with latency and faults, and counts them.

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

    async def request(
        self, sender: Peer, receiver_id: DaemonId, message: QuotaMessage
    ) -> QuotaMessage | None:
        """Send a message and wait for its response.

        Returns None after a timeout, or if the sender crashed meanwhile.
        """
        await sender.wait_until_unpaused()
        generation = sender.generation
        response: asyncio.Future[QuotaMessage] = (
            asyncio.get_running_loop().create_future()
        )
        copies = 2 if self._rng.random() < self._faults.duplication else 1
        for _ in range(copies):
            self._spawn(self._deliver(sender, receiver_id, message, response))
        await asyncio.wait((response,), timeout=RESPONSE_TIMEOUT)
        # A response that arrived before the timeout counts even if the sender was
        # paused by then.
        is_in_time = response.done()
        await sender.wait_until_unpaused()
        if not is_in_time or sender.generation != generation:
            response.cancel()
            return None
        return response.result()

    async def _deliver(
        self,
        sender: Peer,
        receiver_id: DaemonId,
        message: QuotaMessage,
        response: "asyncio.Future[QuotaMessage]",
    ) -> None:
        receiver = self.peer_by_id[receiver_id]
        delivered = await self._transmit(sender, receiver, message)
        if delivered is None or not receiver.is_alive:
            return
        generation = receiver.generation
        await receiver.wait_until_unpaused()
        if receiver.generation != generation:
            return
        assert isinstance(delivered, TokenRequest | UsageReportBatch)
        reply = await receiver.handle(delivered)
        if receiver.generation != generation:
            return
        returned = await self._transmit(receiver, sender, reply)
        if returned is not None and not response.done():
            response.set_result(returned)

    async def _transmit(
        self, sender: Peer, receiver: Peer, message: QuotaMessage
    ) -> QuotaMessage | None:
        data = cbor2.dumps(message.to_wire())
        scope = "local" if sender.region == receiver.region else "cross"
        self.messages[scope] += 1
        self.bytes[scope] += len(data)
        self.messages_by_receiver[receiver.id] += 1
        await asyncio.sleep(
            self._latency(sender, receiver) + self._rng.uniform(0, self._faults.delay)
        )
        partitioned = self._faults.partitioned_regions
        is_partitioned = sender.region != receiver.region and bool(
            {sender.region, receiver.region} & partitioned
        )
        if is_partitioned or self._rng.random() < self._faults.loss:
            return None
        return quota_message_from_wire(cbor2.loads(data))

    def _spawn(self, delivery: Awaitable[None]) -> None:
        task = asyncio.ensure_future(delivery)
        # The loop keeps only weak references to tasks.
        _deliveries.add(task)
        task.add_done_callback(_deliveries.discard)


_deliveries: set["asyncio.Future[None]"] = set()
