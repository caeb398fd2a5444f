"""Keeps a copy of one table of the store up to date at the least cost.

In each data centre the first VMs of a fixed order ask the store; the others ask them,
because a call to the store costs more than one inside the data centre, and a large
configuration must cross the link between regions only a few times. Every answer tells
how long ago the store confirmed it. A source whose knowledge is too old is passed over,
so a daemon whose source is cut off asks the next VM, the store, or as a last resort a
VM of another data centre.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from ...events import EventLog
from ...protocol import table_sync
from ...protocol.exchanges import Address, ExchangeFailed, Exchanger
from ...protocol.table_sync import SyncQuery, SyncReply
from ...state.table_mirror import StoredRow, TableDelta, TableMirror
from .backoff import Backoff
from .shared_tables import HistoryGone, SharedTables, StoreFailed

# Pause before a source that failed is asked again, doubled each time up to the second
# figure.
FIRST_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 2.0
# The VMs that the others of a data centre rely on look for the store's return often.
MAX_RELAY_PAUSE_SECONDS = 0.5
# Changes in quick succession are read together: a storm of configurations costs a call
# for each such span and not for each configuration.
GATHER_SECONDS = 0.25
# A peer answers from memory; later than its wait by this much, it is not well.
PEER_MARGIN_SECONDS = 0.3
# A large table takes seconds over a narrow link; it is waited for while it arrives.
TRANSFER_SECONDS = 5.0
# How long the first poll waits until the peers are known from their own table.
FIRST_WAIT_SECONDS = 0.6
# How long the second relay of a data centre waits for the first one when both start: a
# daemon needs about this long from its start to its first answer.
RELAY_FIRST_WAIT_SECONDS = 0.3
# VMs of the own data centre that are asked before the store.
RELAYS = 2
# VMs of a data centre that turn to the store when its relays do not help; the others
# follow them.
STORE_READERS = 3
# Knowledge of this many times the age that is relied on lets any VM ask the store.
STALE_AGES = 2.0
# Bounds how long a follower is kept waiting, whatever it asks for.
MAX_WAIT_SECONDS = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class FollowTimes:
    """Times in seconds: one call's ``wait`` for changes, and the oldest knowledge."""

    wait: float
    max_age: float


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerOrder:
    """Addresses to ask: before the store, and when the store does not answer."""

    before: tuple[Address, ...]
    behind: tuple[Address, ...]

    @property
    def reads_store(self) -> bool:
        """Whether this VM asks the store as soon as its relays do not help."""
        return len(self.before) < STORE_READERS

    def relays(self) -> tuple[Address | None, ...]:
        """Return those of the own data centre that are asked before the store."""
        return self.before[:RELAYS]

    def sources(self, *, stale: bool) -> tuple[Address | None, ...]:
        """Return all that may be asked, in order; None is the store.

        Most VMs ask it only when their knowledge is ``stale``. If all of a data centre
        asked it together, their answers would fill the link between regions, come too
        late, and be asked for again.
        """
        if self.reads_store or stale:
            return (*self.relays(), None, *self.behind)
        return (*self.before[:STORE_READERS], *self.behind)


@dataclass(frozen=True, slots=True, kw_only=True)
class _Failed:
    reason: str


class _Pauses:
    """When each source may be asked again."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._until_by_source: dict[Address | None, float] = {}
        self._backoff_by_source: dict[Address | None, Backoff] = {}

    def until(self, source: Address | None) -> float:
        return self._until_by_source.get(source, 0.0)

    def failed(self, source: Address | None, now: float, longest: float) -> None:
        backoff = self._backoff_by_source.get(source)
        if backoff is None:
            backoff = Backoff(first=FIRST_PAUSE_SECONDS, random=self._random)
            self._backoff_by_source[source] = backoff
        self._until_by_source[source] = now + backoff.pause(longest=longest)

    def worked(self, source: Address | None) -> None:
        self._until_by_source.pop(source, None)
        self._backoff_by_source.pop(source, None)


class TableFollower:
    """Follows one table; ``run`` never ends by itself.

    ``changed`` gets each new, changed or deleted row; ``peers`` the present order of
    peers; ``unreachable`` is told those that took no connection. With ``starts_after``
    the first poll waits until the peers are known.
    """

    def __init__(
        self,
        *,
        tables: SharedTables,
        table: str,
        pool: Exchanger,
        times: FollowTimes,
        peers: Callable[[], PeerOrder],
        changed: Callable[[StoredRow], None],
        unreachable: Callable[[Address], None],
        events: EventLog,
        random: Random,
        starts_after: asyncio.Event | None = None,
    ) -> None:
        self._tables = tables
        self._starts_after = starts_after
        self._table = table
        self._pool = pool
        self._times = times
        self._peers = peers
        self._unreachable = unreachable
        self._events = events
        self._mirror = TableMirror(changed=changed)
        self._loop = asyncio.get_running_loop()
        self._pauses = _Pauses(random)
        self._confirmed_at = float("-inf")
        self._news = asyncio.Event()
        # None is the store.
        self._source: Address | None = None
        self._lost_since: float | None = None
        self._read_all = True
        self._had_rows = False
        self._stopped = False
        self.read_once = asyncio.Event()

    @property
    def age(self) -> float:
        """Seconds since the store confirmed this copy."""
        return self._loop.time() - self._confirmed_at

    @property
    def _is_stale(self) -> bool:
        return self.age > STALE_AGES * self._times.max_age

    def stop(self) -> None:
        """Send followers elsewhere from now on."""
        self._stopped = True
        self._tell_followers()

    async def run(self) -> None:
        """Follow the table until cancelled."""
        if self._starts_after is not None:
            await self._wait_for_peers(self._starts_after)
        await self._read_first()
        while True:
            source = await self._next_source()
            reply = await self._poll(source, self._wait_at(source))
            if self._taken(source, reply):
                if self._had_rows:
                    await asyncio.sleep(GATHER_SECONDS)
            else:
                await self._recover()

    async def _wait_for_peers(self, known: asyncio.Event) -> None:
        try:
            async with asyncio.timeout(FIRST_WAIT_SECONDS):
                await known.wait()
        except TimeoutError:
            self._events.write("peers_unknown", table=self._table)

    async def _read_first(self) -> None:
        """Ask the relays together for the first copy.

        After a power loss all daemons start together, and any relay may start late.
        The second one turns to the store soon, so that the others need not: over a
        narrow link their reads would take longer than the wait.
        """
        relays = self._peers().relays()
        if not relays:
            return
        is_relay = len(relays) < RELAYS
        wait = RELAY_FIRST_WAIT_SECONDS if is_relay else self._times.wait
        ends = self._loop.time() + wait
        while (left := ends - self._loop.time()) > 0:
            if await self._ask_together(relays, wait=left):
                return
            await asyncio.sleep(FIRST_PAUSE_SECONDS)
        await self._recover()

    async def _recover(self) -> None:
        """Ask all sources at once when the one in use fails.

        One after the other, silent sources would take longer together than a
        configuration may take.
        """
        now = self._loop.time()
        order = self._peers()
        fresh = self.age <= self._times.max_age / 2
        sources = order.relays() if fresh else order.sources(stale=self._is_stale)
        asked = [each for each in sources if self._pauses.until(each) <= now]
        await self._ask_together(asked, wait=0.0)

    async def _ask_together(
        self, sources: Iterable[Address | None], *, wait: float
    ) -> bool:
        """Take the first usable answer of ``sources``; false if there is none.

        Each one has its own time: one that is silent fails, one whose answer is
        arriving goes on.
        """
        source_by_task = {
            asyncio.create_task(self._poll(each, wait)): each for each in sources
        }
        waiting = set(source_by_task)
        try:
            while waiting:
                done, waiting = await asyncio.wait(
                    waiting, return_when=asyncio.FIRST_COMPLETED
                )
                if any(self._taken(source_by_task[t], t.result()) for t in done):
                    return True
            return False
        finally:
            for task in waiting:
                task.cancel()

    def _wait_at(self, source: Address | None) -> float:
        """Return how long ``source`` may wait for changes.

        A store that confirmed nothing lately may have gone silent on the connection
        in use; an answer without a wait tells soonest.
        """
        if source is None and self.age > self._times.max_age:
            return 0.0
        return self._times.wait

    def _taken(self, source: Address | None, reply: SyncReply | _Failed) -> bool:
        """Take over ``reply``; false if it is of no use."""
        self._had_rows = False
        if isinstance(reply, _Failed):
            self._source_failed(source, reply.reason)
            return False
        if reply.age > self._times.max_age:
            self._source_failed(source, "too_old")
            return False
        if not self._mirror.apply(reply.delta):
            self._source_failed(source, "behind")
            return False
        self._source_worked(source, reply)
        self._had_rows = bool(reply.delta.rows)
        if self._had_rows:
            self._tell_followers()
        return True

    async def serve(self, query: SyncQuery) -> SyncReply:
        """Answer a follower as soon as there is news, or after its wait."""
        ends = self._loop.time() + min(query.wait, MAX_WAIT_SECONDS)
        while True:
            if self._stopped:
                nothing = TableDelta(rows=(), version=0)
                return SyncReply(delta=nothing, age=float("inf"))
            delta = self._mirror.since(query.after)
            left = ends - self._loop.time()
            if self.read_once.is_set():
                # A follower learns at once that this knowledge has become too old.
                # Before the first read it waits: after a power loss all daemons start
                # together, and must not all read the store over one narrow link.
                left = min(left, self._times.max_age - self.age)
            if delta.rows or left <= 0:
                return SyncReply(delta=delta, age=self.age)
            news = self._news
            try:
                async with asyncio.timeout(left):
                    await news.wait()
            except TimeoutError:
                continue

    def _tell_followers(self) -> None:
        self._news.set()
        self._news = asyncio.Event()

    async def _next_source(self) -> Address | None:
        """Return the first source that may be asked, waiting for one if need be."""
        while True:
            now = self._loop.time()
            sources = self._peers().sources(stale=self._is_stale)
            for source in sources:
                if self._pauses.until(source) <= now:
                    return source
            soonest = min(self._pauses.until(source) for source in sources)
            await asyncio.sleep(max(0.01, soonest - now))

    async def _poll(self, source: Address | None, wait: float) -> SyncReply | _Failed:
        if source is None:
            return await self._poll_store(wait)
        query = SyncQuery(table=self._table, after=self._mirror.version, wait=wait)
        result = await self._pool.exchange(
            source,
            table_sync.encode_query(query),
            timeout=query.wait + PEER_MARGIN_SECONDS,
            grace=TRANSFER_SECONDS,
        )
        if isinstance(result, ExchangeFailed):
            # Before the first copy the others may be starting like this daemon.
            if not result.sent and self.read_once.is_set():
                self._unreachable(source)
            return _Failed(reason=result.reason.value)
        return table_sync.decode_reply(result) or _Failed(reason="malformed")

    async def _poll_store(self, wait: float) -> SyncReply | _Failed:
        result: TableDelta | HistoryGone | StoreFailed
        if not self._read_all:
            result = await self._tables.changes(
                self._table, after=self._mirror.version, wait=wait
            )
            if isinstance(result, HistoryGone):
                self._events.write("history_gone", table=self._table)
                self._read_all = True
        if self._read_all:
            result = await self._tables.read(self._table)
        if isinstance(result, StoreFailed):
            return _Failed(reason=result.reason)
        assert isinstance(result, TableDelta)
        self._read_all = False
        return SyncReply(delta=result, age=0.0)

    def _source_failed(self, source: Address | None, reason: str) -> None:
        longest = MAX_PAUSE_SECONDS
        if source is None and not self._peers().before:
            longest = MAX_RELAY_PAUSE_SECONDS
        self._pauses.failed(source, self._loop.time(), longest)
        if source == self._source:
            # Followers must not wait for one that hears nothing itself.
            self._tell_followers()
        if source is None and self._lost_since is None:
            self._lost_since = self._loop.time()
            self._events.write("store_lost", table=self._table, reason=reason)
        elif source is not None:
            self._events.write(
                "relay_failed", table=self._table, relay=str(source), reason=reason
            )

    def _source_worked(self, source: Address | None, reply: SyncReply) -> None:
        now = self._loop.time()
        self._pauses.worked(source)
        self._confirmed_at = max(self._confirmed_at, now - reply.age)
        self.read_once.set()
        if source != self._source:
            self._source = source
            self._events.write(
                "source", table=self._table, source=str(source or "store")
            )
        if source is None and self._lost_since is not None:
            away = int((now - self._lost_since) * 1000)
            self._lost_since = None
            self._events.write("store_regained", table=self._table, away_ms=away)
