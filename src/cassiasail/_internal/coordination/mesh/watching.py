"""Follows a table of the store: one full read, then its changes.

A watch survives outages, lost history and answers from the past: rows only ever move
to higher versions, and where the history is lost the table is read anew.
"""

import asyncio
from collections.abc import Callable
from random import Random

from ...events import EventLog
from .shared_tables import HistoryGone, RowsPage, SharedTables, StoredRow, StoreFailed

# Pause after a failed call, doubled up to the second figure; with jitter, so that the
# daemons do not return together. The longest pause is well inside the time in which a
# configuration must be in force after an outage.
FIRST_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 0.8
# Changes that come in quick succession are read together; a new configuration has
# seconds to take effect.
GATHER_SECONDS = 0.25


class TableWatch:
    """The rows of one table, kept up to date while ``run`` runs.

    ``changed`` gets each new or changed row, with ``deleted`` for one that is gone.
    ``wait`` is how long one call waits for changes, in seconds.
    """

    def __init__(
        self,
        *,
        tables: SharedTables,
        table: str,
        wait: float,
        changed: Callable[[StoredRow], None],
        events: EventLog,
        random: Random,
    ) -> None:
        self._tables = tables
        self._table = table
        self._wait = wait
        self._changed = changed
        self._events = events
        self._random = random
        self._version_by_key: dict[str, int] = {}
        self._after = 0
        self._pause = FIRST_PAUSE_SECONDS
        self._lost_since: float | None = None
        self.read_once = asyncio.Event()

    async def run(self) -> None:
        """Follow the table until cancelled."""
        current = False
        while True:
            if not current:
                current = await self._read_all()
                if not current:
                    await self._back_off()
                continue
            page = await self._tables.changes(
                self._table, after=self._after, wait=self._wait
            )
            if isinstance(page, RowsPage):
                self._regained()
                self._apply(page)
                if page.rows:
                    await asyncio.sleep(GATHER_SECONDS)
            elif isinstance(page, HistoryGone):
                self._events.write("history_gone", table=self._table, after=self._after)
                current = False
            else:
                self._lost(page)
                await self._back_off()

    async def _read_all(self) -> bool:
        rows: dict[str, StoredRow] = {}
        start: str | None = None
        while True:
            page = await self._tables.read(self._table, start=start)
            if isinstance(page, StoreFailed):
                self._lost(page)
                return False
            rows.update((row.key, row) for row in page.rows)
            if not page.more or not page.rows:
                break
            # The smallest key behind the last one.
            start = page.rows[-1].key + "\0"
        if page.version < self._after:
            self._events.write(
                "stale_read", table=self._table, version=page.version, known=self._after
            )
            return False
        for key in self._version_by_key.keys() - rows.keys():
            gone = StoredRow(key=key, value=b"", version=page.version, deleted=True)
            self._take(gone)
        for row in rows.values():
            self._take(row)
        self._after = page.version
        self._regained()
        self.read_once.set()
        return True

    def _apply(self, page: RowsPage) -> None:
        for row in page.rows:
            self._take(row)
        self._after = max(self._after, page.version)

    def _take(self, row: StoredRow) -> None:
        if row.version <= self._version_by_key.get(row.key, 0):
            return
        if row.deleted:
            self._version_by_key.pop(row.key, None)
        else:
            self._version_by_key[row.key] = row.version
        self._changed(row)

    def _lost(self, failure: StoreFailed) -> None:
        if self._lost_since is None:
            self._lost_since = asyncio.get_running_loop().time()
            self._events.write("store_lost", table=self._table, reason=failure.reason)

    def _regained(self) -> None:
        self._pause = FIRST_PAUSE_SECONDS
        if self._lost_since is not None:
            away = asyncio.get_running_loop().time() - self._lost_since
            self._lost_since = None
            self._events.write(
                "store_regained", table=self._table, away_ms=int(away * 1000)
            )

    async def _back_off(self) -> None:
        await asyncio.sleep(self._pause * self._random.uniform(0.5, 1.0))
        self._pause = min(MAX_PAUSE_SECONDS, 2 * self._pause)
