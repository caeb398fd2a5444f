"""Removes the records of VMs that are gone for good.

VMs are replaced all the time, and each leaves a record that every daemon reads at its
start. In each data centre the first relay removes the records of VMs that have answered
nothing for a minute. A VM that was only cut off writes its record again once it reads
that it is missing.
"""

import asyncio

from ...events import EventLog
from ...protocol.exchanges import ExchangeFailed, Exchanger
from ...state.hosts import HostId
from .balancing import Distance, Fleet, HostView
from .probing import PROBE, PROBE_SECONDS
from .shared_tables import ConditionalWrite, SharedTables, WriteDone

# Pause between two rounds of questions.
ROUND_SECONDS = 10.0
# A restart of a VM takes seconds; a minute is past every bound of the users' pages.
GONE_SECONDS = 60.0


class RecordPruner:
    """Asks the VMs of the own data centre and removes those that are gone.

    Only VMs without a usable target or under suspicion are asked: the others answer
    requests.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        tables: SharedTables,
        table: str,
        pool: Exchanger,
        events: EventLog,
    ) -> None:
        self._fleet = fleet
        self._tables = tables
        self._table = table
        self._pool = pool
        self._events = events
        self._loop = asyncio.get_running_loop()
        self._silent_since: dict[tuple[HostId, int], float] = {}

    async def run(self) -> None:
        """Remove records until cancelled."""
        while True:
            await asyncio.sleep(ROUND_SECONDS)
            if self._fleet.sync_sources().before:
                self._silent_since.clear()
            else:
                await self.check()

    async def check(self) -> None:
        """Ask the doubtful VMs once and remove those that were silent for long."""
        near = [
            view
            for view in self._fleet.view_by_host.values()
            if view.distance is Distance.SAME_DATA_CENTRE
            and view.record.host != self._fleet.own_host
        ]
        doubtful = [view for view in near if not view.is_usable]
        silent = [view for view in doubtful if not await self._answers(view)]
        now = self._loop.time()
        self._silent_since = {
            key: self._silent_since.get(key, now)
            for key in ((view.record.host, view.version) for view in silent)
        }
        if near and len(silent) == len(near):
            # A daemon that reaches nobody is more likely cut off itself.
            self._silent_since.clear()
        for host, version in tuple(self._silent_since):
            if now - self._silent_since[host, version] >= GONE_SECONDS:
                await self._remove(host, version)

    async def _answers(self, view: HostView) -> bool:
        result = await self._pool.exchange(view.address, PROBE, timeout=PROBE_SECONDS)
        return not isinstance(result, ExchangeFailed)

    async def _remove(self, host: HostId, version: int) -> None:
        write = ConditionalWrite(key=host, value=None, expected=version)
        result = await self._tables.write(self._table, [write])
        removed = isinstance(result, WriteDone)
        self._events.write("record_pruned", host=host, removed=removed)
