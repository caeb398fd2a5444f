"""Probes suspected VMs in the background until they are reachable again.

Requests of clients are not used for this: each of them would wait for a connection
attempt to a dead VM to fail.
"""

import asyncio
from random import Random

from ...events import EventLog
from ...protocol import table_sync
from ...protocol.exchanges import ExchangeFailed, Exchanger
from ...protocol.table_sync import SyncQuery
from .backoff import Backoff
from .balancing import HostView

# A killed daemon is restarted within about a second. For VMs that stay unreachable the
# delay is doubled up to the maximum.
FIRST_PROBE_DELAY_SECONDS = 0.4
MAX_PROBE_DELAY_SECONDS = 4.0
# Smallest part of a delay that is waited. A killed daemon takes most of the first delay
# to restart.
MIN_DELAY_FRACTION = 0.7
PROBE_TIMEOUT_SECONDS = 0.5
# Names no table: any response, also an error, shows that the daemon is serving.
PROBE_REQUEST = table_sync.encode_query(
    SyncQuery(table="", after=0, era=None, wait=0.0)
)


class SuspectProber:
    """Probes suspected VMs until they respond or are removed from the fleet."""

    def __init__(self, *, pool: Exchanger, events: EventLog, random: Random) -> None:
        self._pool = pool
        self._events = events
        self._random = random
        self._task_by_host: dict[str, asyncio.Task[None]] = {}

    def suspect(self, view: HostView, reason: str) -> None:
        """Mark ``view`` as suspected and probe it until it responds."""
        if view.suspected:
            return
        view.suspected = True
        host = view.record.host
        self._events.write("host_suspected", host=host, reason=reason)
        task = asyncio.create_task(self._probe(view))
        self._task_by_host[host] = task
        task.add_done_callback(lambda _: self._task_by_host.pop(host, None))

    def stop(self) -> None:
        """Cancel all probes."""
        for task in tuple(self._task_by_host.values()):
            task.cancel()

    async def _probe(self, view: HostView) -> None:
        backoff = Backoff(
            first_delay=FIRST_PROBE_DELAY_SECONDS,
            random=self._random,
            min_fraction=MIN_DELAY_FRACTION,
        )
        # A changed record also clears the suspicion: the VM has just written it.
        while view.suspected and not view.removed:
            await asyncio.sleep(backoff.next_delay(max_delay=MAX_PROBE_DELAY_SECONDS))
            result = await self._pool.exchange(
                view.address, PROBE_REQUEST, timeout=PROBE_TIMEOUT_SECONDS
            )
            if not isinstance(result, ExchangeFailed):
                view.suspected = False
        self._events.write("host_cleared", host=view.record.host)
