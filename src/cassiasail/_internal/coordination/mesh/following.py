"""Keeps a copy of one store table up to date with few store requests.

In each region the first VM of a fixed order polls the store, and the first VMs of the
other data centres, the heads, poll it. In each data centre the first VMs, the relays,
serve all others, the followers. A store request costs more than a request between
daemons, and a large configuration should cross the link between regions once. Every
reply carries its age, the time since the store confirmed the data. A reply that is too
old is rejected and its source is backed off, so a daemon whose source can't reach the
store polls the next VM, then the store, and as a last resort the fallback sources,
which include VMs of other data centres.
"""

import asyncio
import logging
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from random import Random

from ... import metrics
from ...awake_clock import AwakeClock
from ...events import EventLog
from ...protocol import table_sync
from ...protocol.exchanges import Address, ExchangeFailed, Exchanger, FailureReason
from ...protocol.table_sync import SyncQuery, SyncReply
from ...state.table_mirror import (
    NO_VERSION,
    StoredRow,
    StoreVersion,
    TableDelta,
    TableMirror,
)
from .shared_tables import HistoryGone, SharedTables, StoreFailed
from .sync_sources import (
    FIRST_RETRY_DELAY_SECONDS,
    RELAY_COUNT,
    SourceBackoffs,
    SyncSources,
)

logger = logging.getLogger(__name__)

# Maximum delay before a failed peer is polled again, also as a fraction of the maximum
# age: a peer without news for this daemon fails as well and may have some soon.
MAX_RETRY_DELAY_SECONDS = 2.0
MAX_RETRY_DELAY_FRACTION = 0.4
# Maximum delay between failed store polls of the first VM of a region, on which the
# others rely to notice that the store is available again. The maximum of the second VM
# is twice as long, and so on, so that few of them read the store when it returns.
MAX_STORE_RETRY_DELAY_SECONDS = 0.5
# Pause after a reply with rows, so that changes in quick succession are read together:
# many configurations in a row cost one request for each such pause instead of one each.
BATCH_SECONDS = 0.25
# Added to the wait of a poll for the timeout of a peer. A peer replies from memory, so
# one that takes longer than this is treated as failed.
PEER_TIMEOUT_MARGIN_SECONDS = 0.3
# Extra time for a reply that is already arriving: a large table takes seconds over a
# narrow link.
TRANSFER_GRACE_SECONDS = 5.0
# How long the first poll waits for the table of hosts, from which the peers are known.
PEERS_KNOWN_TIMEOUT_SECONDS = 0.6
# At the first start of the whole system no VM is in the table of hosts until the first
# heartbeats. The first poll waits this long for them and for the others to be added:
# without known peers all daemons would read the store at once.
FIRST_START_TIMEOUT_SECONDS = 2.5
FIRST_START_SETTLE_SECONDS = 0.5
FIRST_START_POLL_SECONDS = 0.1
# How long the second relay of a data centre polls the first one at its start before it
# reads the store. A daemon needs about this long from its start to its first reply.
SECOND_RELAY_WAIT_SECONDS = 0.3
# Longest wait of a poll by the head of a data centre at the head of another one, as a
# fraction of the maximum age. The age of its own copy, which it serves, is the sum of
# its wait and the age at its source.
HEAD_WAIT_FRACTION = 0.2
# Copies that were confirmed within this time of each other count as equally old: an age
# is sent in milliseconds and takes time to arrive.
CONFIRMED_TOLERANCE_SECONDS = 0.05
# Upper limit of the wait that a follower may request.
MAX_LONG_POLL_SECONDS = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class FollowTimes:
    """Times in seconds for following one table.

    ``wait`` is how long one poll waits for changes, ``max_age`` the age above which a
    reply is rejected.
    """

    wait: float
    max_age: float


@dataclass(frozen=True, slots=True, kw_only=True)
class _PollFailed:
    reason: str


class TableFollower:
    """Keeps a copy of one table and serves it to followers.

    ``changed`` is called with each new, changed or deleted row, ``unreachable`` with
    the address of each peer that accepted no connection, ``copy_missing`` with that of
    each one that replied that it has no copy. If the store was restored from a backup,
    ``restored`` is called with the version of the copy that replaces this one, before
    ``changed`` gets its rows. ``peers`` returns the current order of sources. If
    ``peers_known`` is given, the first poll waits for this event, up to
    ``PEERS_KNOWN_TIMEOUT_SECONDS``, and with ``first_start`` also until a peer is
    known.
    """

    def __init__(
        self,
        *,
        tables: SharedTables,
        table: str,
        pool: Exchanger,
        times: FollowTimes,
        peers: Callable[[], SyncSources],
        changed: Callable[[StoredRow], None],
        unreachable: Callable[[Address], None],
        awake: AwakeClock,
        events: EventLog,
        random: Random,
        copy_missing: Callable[[Address], None] = lambda address: None,
        restored: Callable[[StoreVersion], None] | None = None,
        peers_known: asyncio.Event | None = None,
        first_start: bool = False,
    ) -> None:
        self._tables = tables
        self._peers_known = peers_known
        self._first_start = first_start
        self._table = table
        self._pool = pool
        self._times = times
        self._peers = peers
        self._unreachable = unreachable
        self._copy_missing = copy_missing
        self._awake = awake
        self._events = events
        self._restored = restored
        self._changed = changed
        self._mirror = TableMirror(
            changed=self._row_changed, restored=self._copy_replaced
        )
        self._loop = asyncio.get_running_loop()
        self._backoffs = SourceBackoffs(random)
        # Era that a copy of a build without eras is taken for: the one in which this
        # daemon started. After a restore such a copy is therefore not applied.
        self._default_era = 0
        self._confirmed_at = float("-inf")
        self._started_at = self._loop.time()
        self._wake_event = asyncio.Event()
        # None is the store.
        self._source: Address | None = None
        self._store_unreachable_since: float | None = None
        self._history_gone = False
        self._last_reply_had_rows = False
        self._stopped = False
        self.first_copy_read = asyncio.Event()

    @property
    def age(self) -> float:
        """Seconds since the store confirmed this copy."""
        return self._loop.time() - self._confirmed_at

    @property
    def version(self) -> StoreVersion:
        """Version of this copy."""
        return self._mirror.version

    @property
    def _may_read_store(self) -> bool:
        """Whether it is the turn of this VM to read the store."""
        # Before the first copy the time since the start counts.
        age = min(self.age, self._loop.time() - self._started_at)
        return self._peers().may_read_store(age=age, max_age=self._times.max_age)

    def stop(self) -> None:
        """Make all polls of followers return at once with no usable data.

        The reply has an infinite age, so a follower moves to another source.
        """
        self._stopped = True
        self._wake_followers()

    async def run(self) -> None:
        """Follow the table until cancelled."""
        if self._peers_known is not None:
            await self._wait_for_peers(self._peers_known)
        await self._read_first_copy()
        while True:
            source = await self._next_source()
            reply = await self._poll(source, self._poll_wait(source))
            if self._apply_reply(source, reply):
                if self._last_reply_had_rows:
                    await asyncio.sleep(BATCH_SECONDS)
            else:
                await self._poll_other_sources()

    async def _wait_for_peers(self, peers_known: asyncio.Event) -> None:
        try:
            async with asyncio.timeout(PEERS_KNOWN_TIMEOUT_SECONDS):
                await peers_known.wait()
        except TimeoutError:
            self._events.write("peers_unknown", table=self._table)
        if self._first_start:
            await self._wait_for_first_peers()

    async def _wait_for_first_peers(self) -> None:
        """Wait until the heartbeats of the first targets have made peers known."""
        deadline = self._loop.time() + FIRST_START_TIMEOUT_SECONDS
        while not self._peers().any_known and self._loop.time() < deadline:
            await asyncio.sleep(FIRST_START_POLL_SECONDS)
        if self._peers().any_known:
            await asyncio.sleep(FIRST_START_SETTLE_SECONDS)

    async def _read_first_copy(self) -> None:
        """Poll the relays concurrently until one of them returns the table.

        After a power loss all daemons start together, and any relay may start late. The
        head of a data centre and its second relay wait only a short time and then read
        the store, so that they can serve the other VMs while these still wait. If these
        read the store too, their reads would take longer than the wait over a narrow
        link. If no relay replies in time, all sources are polled.
        """
        relays = self._peers().relays()
        if not relays:
            return
        serves_others = self._peers().is_data_centre_head or len(relays) < RELAY_COUNT
        wait = SECOND_RELAY_WAIT_SECONDS if serves_others else self._times.wait
        deadline = self._loop.time() + wait
        while (remaining := deadline - self._loop.time()) > 0:
            if await self._poll_concurrently(relays, wait=remaining):
                return
            await asyncio.sleep(FIRST_RETRY_DELAY_SECONDS)
        await self._poll_other_sources()

    async def _poll_other_sources(self) -> None:
        """After a failure, poll concurrently the sources that are not backed off.

        While the copy is fresh only the relays are polled. Polled one after the other,
        the timeouts of unreachable sources would add up to more than the time allowed
        for a configuration to be applied.
        """
        now = self._loop.time()
        order = self._peers()
        fresh = self.age <= self._times.max_age / 2
        with_store = self._may_read_store
        sources = order.relays() if fresh else order.sources(with_store=with_store)
        available = [each for each in sources if self._backoffs.retry_at(each) <= now]
        await self._poll_concurrently(available, wait=0.0)

    async def _poll_concurrently(
        self, sources: Iterable[Address | None], *, wait: float
    ) -> bool:
        """Apply the first reply of ``sources`` that is newer than this copy.

        Usable replies that come before it are applied as well; returns false if there
        is none of either kind. A peer that follows this daemon, or the same source,
        replies first but has nothing newer. Each poll has its own timeout, which is
        extended while a reply is arriving.
        """
        source_by_task = {
            asyncio.create_task(self._poll(each, wait)): each for each in sources
        }
        pending = set(source_by_task)
        confirmed_at, any_applied = self._confirmed_at, False
        try:
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                for task, source in source_by_task.items():
                    if task in done:
                        any_applied |= self._apply_reply(source, task.result())
                if self._confirmed_at > confirmed_at + CONFIRMED_TOLERANCE_SECONDS:
                    break
            return any_applied
        finally:
            for task in source_by_task:
                task.cancel()

    def _poll_wait(self, source: Address | None) -> float:
        """Return how long ``source`` may wait for changes, in seconds.

        If the copy is older than the maximum age, the connection to the store may be
        dead, and a source that failed may be so still. A poll without a wait detects
        this soonest.
        """
        if self._backoffs.has_failed(source):
            return 0.0
        if source is None:
            return 0.0 if self.age > self._times.max_age else self._times.wait
        if self._peers().is_data_centre_head:
            return min(self._times.wait, HEAD_WAIT_FRACTION * self._times.max_age)
        return self._times.wait

    def _apply_reply(
        self, source: Address | None, reply: SyncReply | _PollFailed
    ) -> bool:
        """Apply ``reply``; false if it failed, is too old or older than this copy."""
        self._last_reply_had_rows = False
        if isinstance(reply, _PollFailed):
            self._record_source_failure(source, reply.reason)
            return False
        if reply.age > self._times.max_age:
            self._record_source_failure(source, "too_old")
            has_copy = reply.age < math.inf
            if source is not None and not has_copy and self.first_copy_read.is_set():
                # Before, all daemons may be starting.
                self._copy_missing(source)
            return False
        self._report_refused_rows(source, reply.delta)
        if not self._mirror.apply(reply.delta):
            self._record_source_failure(source, "behind")
            return False
        self._record_source_success(source, reply)
        self._last_reply_had_rows = bool(reply.delta.rows)
        if self._last_reply_had_rows:
            self._wake_followers()
        return True

    def _row_changed(self, row: StoredRow) -> None:
        """Pass a changed row on; a defect in its use must not end the follower."""
        try:
            self._changed(row)
        except Exception:
            logger.exception("the use of a changed row failed; report this defect")
            metrics.MESH_ENTRIES_REFUSED.labels("failed_row").inc()
            self._events.write("row_failed", table=self._table, key=row.key)

    def _report_refused_rows(self, source: Address | None, delta: TableDelta) -> None:
        """Log and count the rows of a reply that can't be used."""
        for row in delta.refused:
            metrics.MESH_ENTRIES_REFUSED.labels(
                "store_row" if source is None else "peer_row"
            ).inc()
            self._events.write(
                "row_refused",
                table=self._table,
                key=row.key,
                source=str(source or "store"),
                reason=row.reason,
            )

    def _copy_replaced(self, old: StoreVersion, new: StoreVersion) -> None:
        """Report that the first copy of a later era is going to replace this one."""
        if old.era == 0:
            # The first copy, or the first one that came from a build with eras.
            self._default_era = new.era
        else:
            self._events.write(
                "store_restored",
                table=self._table,
                old_era=old.era,
                old_version=old.number,
                era=new.era,
                version=new.number,
            )
        if self._restored is not None:
            self._restored(new)
        # Also wakes them if the new copy has no rows.
        self._wake_followers()

    async def serve(self, query: SyncQuery) -> SyncReply:
        """Reply when rows changed, this copy is too old or the wait is over.

        A follower whose copy is of another era gets its reply at once: either it needs
        this copy, or it has to poll another source.
        """
        deadline = self._loop.time() + min(query.wait, MAX_LONG_POLL_SECONDS)
        while True:
            if self._stopped:
                empty = TableDelta(rows=(), version=NO_VERSION)
                return SyncReply(delta=empty, age=float("inf"))
            own_era = self._mirror.version.era
            # One of both may come from a build that knows no eras.
            era = query.era if query.era is not None and own_era > 0 else own_era
            delta = self._mirror.since(StoreVersion(era=era, number=query.after))
            remaining = deadline - self._loop.time()
            if self.first_copy_read.is_set():
                # Reply as soon as this copy is too old, so that the follower changes
                # its source at once. Before the first read followers wait: after a
                # power loss all daemons start together and must not all read the store
                # over one narrow link.
                remaining = min(remaining, self._times.max_age - self.age)
                if era != own_era:
                    remaining = 0.0
            if delta.rows or remaining <= 0:
                return SyncReply(delta=delta, age=self.age)
            wake_event = self._wake_event
            try:
                async with asyncio.timeout(remaining):
                    await wake_event.wait()
            except TimeoutError:
                continue

    def _wake_followers(self) -> None:
        self._wake_event.set()
        self._wake_event = asyncio.Event()

    async def _next_source(self) -> Address | None:
        """Return the first source that is not backed off; wait if all are."""
        while True:
            now = self._loop.time()
            sources = self._peers().sources(with_store=self._may_read_store)
            for source in sources:
                if self._backoffs.retry_at(source) <= now:
                    return source
            soonest = min(self._backoffs.retry_at(source) for source in sources)
            await asyncio.sleep(max(0.01, soonest - now))

    async def _poll(
        self, source: Address | None, wait: float
    ) -> SyncReply | _PollFailed:
        sent_at, awake_at = self._loop.time(), self._awake.now()
        reply = await self._request(source, wait)
        if isinstance(reply, _PollFailed):
            return reply
        elapsed = self._loop.time() - sent_at
        paused = max(0.0, elapsed - (self._awake.now() - awake_at))
        return replace(reply, paused=paused)

    async def _request(
        self, source: Address | None, wait: float
    ) -> SyncReply | _PollFailed:
        if source is None:
            return await self._poll_store(wait)
        version = self._mirror.version
        query = SyncQuery(
            table=self._table, after=version.number, era=version.era, wait=wait
        )
        result = await self._pool.exchange(
            source,
            table_sync.encode_query(query),
            timeout=query.wait + PEER_TIMEOUT_MARGIN_SECONDS,
            grace=TRANSFER_GRACE_SECONDS,
        )
        if isinstance(result, ExchangeFailed):
            # Until the first copy is read, the peers may still be starting, as this
            # daemon is, so failed connections are not reported.
            if not result.sent and self.first_copy_read.is_set():
                self._unreachable(source)
            return _PollFailed(reason=result.reason.value)
        reply = table_sync.decode_reply(result, default_era=self._default_era)
        return reply or _PollFailed(reason="malformed")

    async def _poll_store(self, wait: float) -> SyncReply | _PollFailed:
        result: TableDelta | HistoryGone | StoreFailed = HistoryGone()
        # A copy that came from other daemons has versions of the store as well, so its
        # changes are enough.
        if self.first_copy_read.is_set() and not self._history_gone:
            result = await self._tables.changes(
                self._table, after=self._mirror.version, wait=wait
            )
            if isinstance(result, HistoryGone):
                self._events.write("history_gone", table=self._table)
                self._history_gone = True
        if isinstance(result, HistoryGone):
            result = await self._tables.read(self._table)
        if isinstance(result, StoreFailed):
            return _PollFailed(reason=result.reason)
        self._history_gone = False
        return SyncReply(delta=result, age=0.0)

    def _record_source_failure(self, source: Address | None, reason: str) -> None:
        max_delay = min(
            MAX_RETRY_DELAY_SECONDS, MAX_RETRY_DELAY_FRACTION * self._times.max_age
        )
        if source is None:
            rank = self._peers().store_rank
            max_delay = MAX_STORE_RETRY_DELAY_SECONDS * (1 + rank)
        # A peer that doesn't reply costs the time of a whole poll each time.
        timed_out = source is not None and reason == FailureReason.TIMED_OUT.value
        min_delay = self._times.wait if timed_out else 0.0
        self._backoffs.record_failure(
            source, self._loop.time(), min_delay=min_delay, max_delay=max_delay
        )
        if source == self._source:
            # Makes polls of followers check the age of this copy again: they must not
            # wait for a copy that is no longer updated.
            self._wake_followers()
        if source is None and self._store_unreachable_since is None:
            self._store_unreachable_since = self._loop.time()
            self._events.write("store_lost", table=self._table, reason=reason)
        elif source is not None:
            self._events.write(
                "relay_failed", table=self._table, relay=str(source), reason=reason
            )

    def _record_source_success(self, source: Address | None, reply: SyncReply) -> None:
        now = self._loop.time()
        self._backoffs.record_success(source)
        # The age was that of the moment at which the reply was sent.
        confirmed_at = now - reply.age - reply.paused
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        self.first_copy_read.set()
        if source != self._source:
            self._source = source
            self._events.write(
                "source", table=self._table, source=str(source or "store")
            )
        if source is None and self._store_unreachable_since is not None:
            outage_ms = int((now - self._store_unreachable_since) * 1000)
            self._store_unreachable_since = None
            self._events.write("store_regained", table=self._table, away_ms=outage_ms)
