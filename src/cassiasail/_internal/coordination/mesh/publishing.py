"""Keeps the record of this VM in the store as it should be.

Writes are conditional on the version last seen, so a write that the store performs
late, after its answer was lost, cannot undo a newer one.
"""

import asyncio
from random import Random

from ...events import EventLog
from ...state.table_mirror import StoredRow
from .backoff import Backoff
from .following import FIRST_PAUSE_SECONDS
from .shared_tables import ConditionalWrite, SharedTables, WriteConflict, WriteDone

# Several changes of the target within this time become one write.
GATHER_SECONDS = 0.05
# Longest pause between two tries, well inside the time in which others should know.
MAX_PAUSE_SECONDS = 0.8


class RecordPublisher:
    """Writes the wanted value of one row until the store holds it."""

    def __init__(
        self,
        *,
        tables: SharedTables,
        table: str,
        key: str,
        events: EventLog,
        random: Random,
    ) -> None:
        self._tables = tables
        self._table = table
        self._key = key
        self._events = events
        self._random = random
        self._wanted: bytes | None = None
        self._stored: bytes | None = None
        self._version = 0
        self._work = asyncio.Event()
        self._settled = asyncio.Event()

    def want(self, value: bytes) -> None:
        """Have the row hold ``value``."""
        self._wanted = value
        self._settled.clear()
        self._work.set()

    async def settle(self, seconds: float) -> None:
        """Wait until the store holds the wanted value, at most ``seconds``."""
        try:
            async with asyncio.timeout(seconds):
                await self._settled.wait()
        except TimeoutError:
            self._events.write("record_late", waited_ms=int(seconds * 1000))

    def observe(self, row: StoredRow) -> None:
        """Take over what the store holds in the row."""
        if row.version < self._version:
            return
        self._version = 0 if row.deleted else row.version
        self._stored = None if row.deleted else row.value
        if self._stored != self._wanted:
            self._work.set()

    async def run(self) -> None:
        """Write until cancelled."""
        backoff = Backoff(first=FIRST_PAUSE_SECONDS, random=self._random)
        while True:
            await self._work.wait()
            await asyncio.sleep(GATHER_SECONDS)
            self._work.clear()
            wanted = self._wanted
            if wanted is None:
                continue
            if wanted == self._stored or await self._write(wanted):
                backoff.reset()
                if wanted == self._wanted:
                    self._settled.set()
                continue
            self._work.set()
            await asyncio.sleep(backoff.pause(longest=MAX_PAUSE_SECONDS))

    async def _write(self, wanted: bytes) -> bool:
        write = ConditionalWrite(key=self._key, value=wanted, expected=self._version)
        result = await self._tables.write(self._table, [write])
        if isinstance(result, WriteDone):
            self._version, self._stored = result.version, wanted
            self._events.write("record_written", version=result.version)
            return True
        if isinstance(result, WriteConflict):
            present = next((r for r in result.rows if r.key == self._key), None)
            self._version = present.version if present is not None else 0
            self._stored = present.value if present is not None else None
            return self._stored == wanted
        self._events.write("record_not_written", reason=result.reason)
        return False
