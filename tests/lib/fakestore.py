"""An in-memory store with fault injection, on any clock."""

from collections import Counter
from collections.abc import Mapping, Sequence
from random import Random
from typing import Any

import cbor2

from cassiasail._internal.clock import Clock
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


class FakeStore:
    """Implements ``Store`` in memory.

    Faults are set by these attributes:

    - ``down``: every request fails without effect.
    - ``latency``: seconds before each effect and again after it. With ``rng`` this is
      the maximum of a random time, without it the exact time.
    - ``lose_responses``: the next N writes take effect but time out.
    - ``delay_effects``: the next N transactions time out and take effect
      ``effect_delay`` seconds later; their conditions are evaluated then.
    """

    def __init__(
        self, *, clock: Clock, rng: Random | None = None, timeout: float = 2.0
    ) -> None:
        self._clock = clock
        self._rng = rng
        self.timeout = timeout
        self.down = False
        self.latency = 0.0
        self.lose_responses = 0
        self.delay_effects = 0
        self.effect_delay = 5.0
        self.row_by_key: dict[str, StoredRow] = {}
        self.object_by_name: dict[str, bytes] = {}
        self.count_by_operation: Counter[str] = Counter()
        self.rows_written = 0
        self._revision = ABSENT
        self._delayed_writes: list[
            tuple[float, Sequence[Condition], Sequence[Put | Remove]]
        ] = []

    async def read(
        self, keys: Sequence[str]
    ) -> Mapping[str, StoredRow | None] | StoreFailure:
        if failure := await self._begin("read"):
            return failure
        rows = {key: self.row_by_key.get(key) for key in keys}
        await self._sleep_latency()
        return rows

    async def scan(
        self, prefix: str, *, limit: int = 1000, descending: bool = False
    ) -> Mapping[str, StoredRow] | StoreFailure:
        if failure := await self._begin("scan"):
            return failure
        keys = (key for key in self.row_by_key if key.startswith(prefix))
        chosen = sorted(keys, reverse=descending)[:limit]
        rows = {key: self.row_by_key[key] for key in chosen}
        await self._sleep_latency()
        return rows

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Put | Remove]
    ) -> Committed | Conflict | StoreFailure:
        if failure := await self._begin("transact"):
            return failure
        if self.delay_effects > 0:
            self.delay_effects -= 1
            due = self._clock.now() + self.effect_delay
            self._delayed_writes.append((due, conditions, writes))
            return await self._time_out()
        result = self._apply(conditions, writes)
        if self.lose_responses > 0:
            self.lose_responses -= 1
            return await self._time_out()
        await self._sleep_latency()
        return result

    async def get_object(self, name: str) -> bytes | None | StoreFailure:
        if failure := await self._begin("get_object"):
            return failure
        data = self.object_by_name.get(name)
        await self._sleep_latency()
        return data

    async def put_object(self, name: str, data: bytes) -> None | StoreFailure:
        if failure := await self._begin("put_object"):
            return failure
        self.object_by_name.setdefault(name, data)
        if self.lose_responses > 0:
            self.lose_responses -= 1
            return await self._time_out()
        await self._sleep_latency()
        return None

    def apply_due_writes(self) -> None:
        """Apply the delayed transactions that are due, oldest first."""
        now = self._clock.now()
        due = [item for item in self._delayed_writes if item[0] <= now]
        self._delayed_writes = [item for item in self._delayed_writes if item[0] > now]
        for _, conditions, writes in sorted(due, key=lambda item: item[0]):
            self._apply(conditions, writes)

    async def _begin(self, operation: str) -> StoreFailure | None:
        """Count the request and delay it; return the failure while down."""
        self.count_by_operation[operation] += 1
        await self._sleep_latency()
        self.apply_due_writes()
        if self.down:
            return StoreFailure(reason=StoreFailureReason.UNAVAILABLE)
        return None

    async def _sleep_latency(self) -> None:
        if self.latency <= 0:
            return
        factor = self._rng.random() if self._rng else 1.0
        await self._clock.sleep(self.latency * factor)

    async def _time_out(self) -> StoreFailure:
        await self._clock.sleep(self.timeout)
        return StoreFailure(reason=StoreFailureReason.TIMEOUT, effect_unknown=True)

    def _apply(
        self, conditions: Sequence[Condition], writes: Sequence[Put | Remove]
    ) -> Committed | Conflict:
        changed_rows = {
            item.key: self.row_by_key.get(item.key)
            for item in conditions
            if self._revision_of(item.key) != item.revision
        }
        if changed_rows:
            return Conflict(rows_by_key=changed_rows)
        self._revision += 1
        self.rows_written += len(writes)
        for item in writes:
            if isinstance(item, Remove):
                self.row_by_key.pop(item.key, None)
            else:
                # Encoded and decoded as on the wire, so that callers never share
                # mutable values.
                value: Any = cbor2.loads(cbor2.dumps(item.value))
                self.row_by_key[item.key] = StoredRow(
                    value=value, revision=self._revision
                )
        return Committed(revision=self._revision)

    def _revision_of(self, key: str) -> int:
        row = self.row_by_key.get(key)
        return row.revision if row else ABSENT
