"""Removes the records of VMs that no longer exist.

VMs are replaced often, and each one leaves a record that every daemon reads at
its start. In each data centre the first relay removes the records of VMs that have been
unreachable for a minute. A VM that was only disconnected writes its record again once
it reads that the record is missing.
"""

import asyncio

from ...events import EventLog
from ...protocol.exchanges import ExchangeFailed, Exchanger
from ...state.hosts import HostId
from ...state.table_mirror import StoreVersion
from .balancing import Distance, Fleet, HostView
from .probing import PROBE_REQUEST, PROBE_TIMEOUT_SECONDS
from .shared_tables import ConditionalWrite, SharedTables, WriteDone

# Pause between two rounds of probes.
CHECK_INTERVAL_SECONDS = 10.0
# Time after which an unreachable VM is removed. A restart of a VM takes seconds; a
# minute exceeds every time limit in the requirements.
REMOVE_AFTER_SECONDS = 60.0


class RecordPruner:
    """Probes VMs of the local data centre and removes the records of unreachable ones.

    Only VMs that are suspected or have no ready target are probed. The others receive
    requests, which show whether they respond.
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
        # By host and record version: a record that changes is timed from the start.
        self._unreachable_since: dict[tuple[HostId, StoreVersion], float] = {}

    async def run(self) -> None:
        """Remove records until cancelled, while this VM is the first relay."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            if self._fleet.sync_sources().preferred:
                self._unreachable_since.clear()
            else:
                await self.check_once()

    async def check_once(self) -> None:
        """Probe the VMs that are not usable; remove those unreachable for too long."""
        local = [
            view
            for view in self._fleet.view_by_host.values()
            if view.distance is Distance.SAME_DATA_CENTRE
            and view.record.host != self._fleet.own_host
        ]
        unusable = [view for view in local if not view.is_usable]
        unreachable = [view for view in unusable if not await self._responds(view)]
        now = self._loop.time()
        self._unreachable_since = {
            key: self._unreachable_since.get(key, now)
            for key in ((view.record.host, view.version) for view in unreachable)
        }
        if local and len(unreachable) == len(local):
            # If no other VM is reachable, this daemon is probably disconnected itself.
            self._unreachable_since.clear()
        for host, version in tuple(self._unreachable_since):
            if now - self._unreachable_since[host, version] >= REMOVE_AFTER_SECONDS:
                await self._remove(host, version)

    async def _responds(self, view: HostView) -> bool:
        result = await self._pool.exchange(
            view.address, PROBE_REQUEST, timeout=PROBE_TIMEOUT_SECONDS
        )
        return not isinstance(result, ExchangeFailed)

    async def _remove(self, host: HostId, version: StoreVersion) -> None:
        write = ConditionalWrite(key=host, value=None, expected=version)
        result = await self._tables.write(self._table, [write])
        removed = isinstance(result, WriteDone)
        self._events.write("record_pruned", host=host, removed=removed)
