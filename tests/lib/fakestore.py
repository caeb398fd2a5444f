"""An in-memory store with fault switches, on any clock."""

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

    Switches: ``down`` refuses everything without effect; ``latency`` is the longest
    time in seconds before and again after each effect (drawn from ``rng``, the
    exact value without one); ``lose_answers`` lets the next N writes take effect
    but time out; ``delay_effects`` lets the next N writes time out and take effect
    ``effect_delay`` seconds later, with their conditions evaluated then.
    """

    def __init__(
        self, *, clock: Clock, rng: Random | None = None, timeout: float = 2.0
    ) -> None:
        self._clock = clock
        self._rng = rng
        self.timeout = timeout
        self.down = False
        self.latency = 0.0
        self.lose_answers = 0
        self.delay_effects = 0
        self.effect_delay = 5.0
        self.row_by_key: dict[str, StoredRow] = {}
        self.object_by_name: dict[str, bytes] = {}
        self.count_by_operation: Counter[str] = Counter()
        self.rows_written = 0
        self._revision = ABSENT
        self._late: list[tuple[float, Sequence[Condition], Sequence[Put | Remove]]] = []

    async def read(
        self, keys: Sequence[str]
    ) -> Mapping[str, StoredRow | None] | StoreFailure:
        if failure := await self._arrive("read"):
            return failure
        rows = {key: self.row_by_key.get(key) for key in keys}
        await self._pause()
        return rows

    async def scan(
        self, prefix: str, *, limit: int = 1000, descending: bool = False
    ) -> Mapping[str, StoredRow] | StoreFailure:
        if failure := await self._arrive("scan"):
            return failure
        keys = (key for key in self.row_by_key if key.startswith(prefix))
        chosen = sorted(keys, reverse=descending)[:limit]
        rows = {key: self.row_by_key[key] for key in chosen}
        await self._pause()
        return rows

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Put | Remove]
    ) -> Committed | Conflict | StoreFailure:
        if failure := await self._arrive("transact"):
            return failure
        if self.delay_effects > 0:
            self.delay_effects -= 1
            due = self._clock.now() + self.effect_delay
            self._late.append((due, conditions, writes))
            return await self._time_out()
        result = self._apply(conditions, writes)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return await self._time_out()
        await self._pause()
        return result

    async def get_object(self, name: str) -> bytes | None | StoreFailure:
        if failure := await self._arrive("get_object"):
            return failure
        data = self.object_by_name.get(name)
        await self._pause()
        return data

    async def put_object(self, name: str, data: bytes) -> None | StoreFailure:
        if failure := await self._arrive("put_object"):
            return failure
        self.object_by_name.setdefault(name, data)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return await self._time_out()
        await self._pause()
        return None

    def settle(self) -> None:
        """Let the delayed writes that are due take effect, oldest first."""
        now = self._clock.now()
        due = [item for item in self._late if item[0] <= now]
        self._late = [item for item in self._late if item[0] > now]
        for _, conditions, writes in sorted(due, key=lambda item: item[0]):
            self._apply(conditions, writes)

    async def _arrive(self, operation: str) -> StoreFailure | None:
        self.count_by_operation[operation] += 1
        await self._pause()
        self.settle()
        if self.down:
            return StoreFailure(reason=StoreFailureReason.UNAVAILABLE)
        return None

    async def _pause(self) -> None:
        if self.latency <= 0:
            return
        share = self._rng.random() if self._rng else 1.0
        await self._clock.sleep(self.latency * share)

    async def _time_out(self) -> StoreFailure:
        await self._clock.sleep(self.timeout)
        return StoreFailure(reason=StoreFailureReason.TIMEOUT, effect_unknown=True)

    def _apply(
        self, conditions: Sequence[Condition], writes: Sequence[Put | Remove]
    ) -> Committed | Conflict:
        differing = {
            item.key: self.row_by_key.get(item.key)
            for item in conditions
            if self._revision_of(item.key) != item.revision
        }
        if differing:
            return Conflict(rows_by_key=differing)
        self._revision += 1
        self.rows_written += len(writes)
        for item in writes:
            if isinstance(item, Remove):
                self.row_by_key.pop(item.key, None)
            else:
                # A copy, as on the wire: callers must not share mutable values.
                value: Any = cbor2.loads(cbor2.dumps(item.value))
                self.row_by_key[item.key] = StoredRow(
                    value=value, revision=self._revision
                )
        return Committed(revision=self._revision)

    def _revision_of(self, key: str) -> int:
        row = self.row_by_key.get(key)
        return row.revision if row else ABSENT
