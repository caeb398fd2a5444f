"""Publishes the record of this VM in the store.

Each write is conditional on the last known version of the row. A write whose response
was lost and that the store performs late therefore can't overwrite a newer one. A store
that was restored from a backup may have lost a write that it had acknowledged; the row
is then written again.
"""

import asyncio
from random import Random

from ...events import EventLog
from ...state.table_mirror import NO_VERSION, StoredRow, StoreVersion
from .backoff import Backoff
from .shared_tables import (
    ConditionalWrite,
    SharedTables,
    StoreFailed,
    WriteConflict,
)
from .sync_sources import FIRST_RETRY_DELAY_SECONDS

# Changes of the target within this time are combined into one write.
BATCH_SECONDS = 0.05
# Maximum delay between two write attempts, well below the time within which a
# change has to reach the other daemons.
MAX_RETRY_DELAY_SECONDS = 0.8


class RecordPublisher:
    """Writes one row, with retries, until the store holds the wanted value."""

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
        self._wanted_value: bytes | None = None
        self._stored_value: bytes | None = None
        # Latest state of the row that the store reported; the value is None if the row
        # does not exist.
        self._stored_version = NO_VERSION
        self._write_needed = asyncio.Event()
        self._stored_event = asyncio.Event()

    def set_wanted(self, value: bytes) -> None:
        """Make ``value`` the wanted value of the row; ``run`` writes it."""
        self._wanted_value = value
        self._stored_event.clear()
        self._write_needed.set()

    async def wait_until_stored(self, timeout: float) -> None:
        """Wait up to ``timeout`` seconds until the store holds the wanted value."""
        try:
            async with asyncio.timeout(timeout):
                await self._stored_event.wait()
        except TimeoutError:
            self._events.write("record_late", waited_ms=int(timeout * 1000))

    def observe(self, row: StoredRow) -> None:
        """Apply the state of the row as read from the store.

        If it differs from the wanted value, the row is written again.
        """
        if row.version < self._stored_version:
            return
        self._set_stored(row.version, None if row.deleted else row.value)

    def observe_restore(self, version: StoreVersion) -> None:
        """Forget the stored row: the first copy of an era is read, at ``version``.

        ``observe`` is called afterwards if the copy has the row. A row that was lost by
        a restore or removed before that copy may have been in no earlier one, so no
        other call reports that it is missing now.
        """
        if self._stored_version < version:
            self._set_stored(StoreVersion(era=version.era, number=0), None)

    def _set_stored(self, version: StoreVersion, value: bytes | None) -> None:
        self._stored_version, self._stored_value = version, value
        if value != self._wanted_value:
            self._write_needed.set()

    async def run(self) -> None:
        """Write the row whenever it needs a write, until cancelled."""
        backoff = Backoff(first_delay=FIRST_RETRY_DELAY_SECONDS, random=self._random)
        while True:
            await self._write_needed.wait()
            await asyncio.sleep(BATCH_SECONDS)
            self._write_needed.clear()
            wanted = self._wanted_value
            if wanted is None:
                continue
            if wanted == self._stored_value or await self._write(wanted):
                backoff.reset()
                if wanted == self._wanted_value:
                    self._stored_event.set()
                continue
            self._write_needed.set()
            await asyncio.sleep(backoff.next_delay(max_delay=MAX_RETRY_DELAY_SECONDS))

    async def _write(self, wanted: bytes) -> bool:
        exists = self._stored_value is not None
        write = ConditionalWrite(
            key=self._key,
            value=wanted,
            expected=self._stored_version if exists else None,
        )
        result = await self._tables.write(self._table, [write])
        if isinstance(result, StoreFailed):
            self._events.write("record_not_written", reason=result.reason)
            return False
        era = result.era if isinstance(result, WriteConflict) else result.version.era
        if era < self._stored_version.era:
            # The store was restored since it sent this response.
            self._events.write("record_not_written", reason="restored", era=era)
            return False
        if isinstance(result, WriteConflict):
            current = next((r for r in result.rows if r.key == self._key), None)
            self._stored_version = (
                current.version if current is not None else StoreVersion(era, 0)
            )
            self._stored_value = current.value if current is not None else None
            return self._stored_value == wanted
        if result.version < self._stored_version:
            # The row was changed or removed after this write, and already read.
            self._events.write("record_not_written", reason="changed", era=era)
            return False
        self._stored_version, self._stored_value = result.version, wanted
        self._events.write("record_written", era=era, version=result.version.number)
        return True
