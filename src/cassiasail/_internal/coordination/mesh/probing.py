"""Finds out in the background whether a VM that did not answer is back.

Requests of clients are not spent on it: a dead VM costs each of them the time of a
connection that does not come about.
"""

import asyncio
from random import Random

from ...events import EventLog
from ...protocol import table_sync
from ...protocol.exchanges import ExchangeFailed, Exchanger
from ...protocol.table_sync import SyncQuery
from .backoff import Backoff
from .balancing import HostView

# A killed daemon is back within about a second; the pause doubles up to the second
# figure for VMs that are gone for long.
FIRST_PAUSE_SECONDS = 0.4
MAX_PAUSE_SECONDS = 4.0
# Part of a pause that is always waited: a killed daemon needs most of the first one.
JITTER = 0.7
PROBE_SECONDS = 0.5
# Names no table: the answer of any kind shows that the daemon serves.
PROBE = table_sync.encode_query(SyncQuery(table="", after=0, wait=0.0))


class SuspectProber:
    """Probes suspected VMs until they answer or leave the fleet."""

    def __init__(self, *, pool: Exchanger, events: EventLog, random: Random) -> None:
        self._pool = pool
        self._events = events
        self._random = random
        self._task_by_host: dict[str, asyncio.Task[None]] = {}

    def suspect(self, view: HostView, reason: str) -> None:
        """Avoid ``view`` until it answers a probe."""
        if view.suspected:
            return
        view.suspected = True
        host = view.record.host
        self._events.write("host_suspected", host=host, reason=reason)
        task = asyncio.create_task(self._probe(view))
        self._task_by_host[host] = task
        task.add_done_callback(lambda _: self._task_by_host.pop(host, None))

    def stop(self) -> None:
        """End all probes."""
        for task in tuple(self._task_by_host.values()):
            task.cancel()

    async def _probe(self, view: HostView) -> None:
        backoff = Backoff(first=FIRST_PAUSE_SECONDS, random=self._random, jitter=JITTER)
        # A changed record clears the suspicion: the VM has just written it.
        while view.suspected and not view.removed:
            await asyncio.sleep(backoff.pause(longest=MAX_PAUSE_SECONDS))
            result = await self._pool.exchange(
                view.address, PROBE, timeout=PROBE_SECONDS
            )
            if not isinstance(result, ExchangeFailed):
                view.suspected = False
        self._events.write("host_cleared", host=view.record.host)
