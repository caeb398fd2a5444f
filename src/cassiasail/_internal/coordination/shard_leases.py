"""Ownership of quota shards: leases kept as rows of the store.

Row ``quota/<data centre>/<shard>`` is ``{owner, token, released}``. The lease runs
from the *start of a write* that took effect. A read does not extend it: a rival may
have seen the row earlier than the owner's read, and its wait counts from then.
A rival takes a row over only when it was released or has kept its revision for
``term + margin`` on the rival's own clock.
"""

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from absl import logging

from ..clock import Clock
from ..ids import DaemonId, DataCentre
from ..protocol.quotas import OwnerRow
from ..state.quotas import QuotaShard, ShardId
from .shard_directory import ROW_PREFIX, OwnerDirectory, rank, row_key
from .store import ABSENT, Committed, Condition, Conflict, Put, Store, StoredRow
from .store import StoreFailure as Failure

CONFIRM_INTERVAL = 60.0
# Covers the drift of clocks over a term (500 ppm of an hour is 1.8 s) and the half
# second for which tokens of the last holder stay valid.
TAKE_OVER_MARGIN = 5.0
# Members that watch a shard's row to take it over; more would only cost reads.
WATCHERS = 2
# Full jitter before the first read, so that a herd restart spreads its reads.
START_JITTER = 2.0
# Owners and watchers read all rows this often at most. The others learn the owners
# from the answers to their asks and read rows over a span ``OTHERS_SPREAD`` times
# the jitter: 2,800 daemons that start at once make 23 reads/s.
SCAN_INTERVAL = 60.0
OTHERS_SPREAD = 60
# Watchers look for released shards this often: 88 watchers make 9 reads/s.
WATCH_INTERVAL = 10.0


@dataclass(slots=True)
class _Seen:
    """A row as last read, and since when its revision has not changed."""

    revision: int
    since: float
    value: Mapping[str, Any] | None


class ShardLeases:
    """Claims, confirms and releases the shards of this daemon's data centre.

    ``members`` returns the living members of the data centre, this daemon included.
    ``shards`` lists all shards of the fleet in a fixed order known to every daemon.
    """

    def __init__(
        self,
        *,
        me: DaemonId,
        incarnation: int,
        data_centre: DataCentre,
        shards: Sequence[ShardId],
        members: Callable[[], Sequence[DaemonId]],
        store: Store,
        clock: Clock,
        term: float,
        max_deadline: float,
        rng: random.Random,
        confirm_interval: float = CONFIRM_INTERVAL,
        scan_interval: float = SCAN_INTERVAL,
        start_jitter: float = START_JITTER,
    ) -> None:
        self._me = me
        self._incarnation = incarnation
        self._position_by_shard = {s: i for i, s in enumerate(shards)}
        self._own_shards = [s for s in shards if s.data_centre == data_centre]
        self._members = members
        self._store = store
        self._clock = clock
        self._term = term
        self._max_deadline = max_deadline
        self._rng = rng
        self._confirm_interval = confirm_interval
        self._scan_interval = scan_interval
        self._start_jitter = start_jitter
        self._watch_interval = min(WATCH_INTERVAL, confirm_interval)
        self._writes = 0
        self._leaving = False
        self._seen_by_shard: dict[ShardId, _Seen] = {}
        self._revision_by_shard: dict[ShardId, int] = {}
        self.shard_by_id: dict[ShardId, QuotaShard] = {}
        self.directory = OwnerDirectory()
        self._due = clock.now() + rng.uniform(0, start_jitter)
        self._scan_due: float | None = clock.now() + self._scan_jitter()
        self._scanned: float | None = None
        # Doubles until all owners are known.
        self._rescan_after = start_jitter
        self._watch_due = self._due

    def usable(self, shard: ShardId) -> QuotaShard | None:
        """Return an owned shard if its lease still holds at this moment."""
        owned = self.shard_by_id.get(shard)
        if owned is None:
            return None
        if owned.is_usable():
            return owned
        logging.warning("lease of quota shard %s lapsed; shard dropped", shard)
        self._drop(shard)
        return None

    def request_scan(self) -> None:
        """Have the rows read again soon, at most once per ``scan_interval``."""
        self._plan_scan(self._scan_interval)

    def _plan_scan(self, interval: float) -> None:
        if self._scan_due is not None:
            return
        now = self._clock.now()
        earliest = now if self._scanned is None else self._scanned + interval
        self._scan_due = max(now, earliest) + self._scan_jitter()

    def _scan_jitter(self) -> float:
        involved = bool(self.shard_by_id) or any(
            map(self._is_watcher, self._own_shards)
        )
        spread = 1 if involved else OTHERS_SPREAD
        return self._rng.uniform(0, self._start_jitter * spread)

    def _rescan_while_incomplete(self) -> None:
        """Plan another scan while a fleet that starts has shards without owner.

        Only owners do so: they forward asks and tell the others.
        """
        known = map(self.directory.owner_of, self._position_by_shard)
        if not self.shard_by_id or all(known):
            self._rescan_after = self._start_jitter
            return
        self._rescan_after = min(self._scan_interval, 2 * self._rescan_after)
        self._plan_scan(self._rescan_after)

    async def run_once(self) -> None:
        """Do what is due: scan the rows, confirm own leases, claim free shards."""
        now = self._clock.now()
        if self._leaving:
            return
        if self._scan_due is not None and now >= self._scan_due:
            self._scan_due = None
            await self._scan()
            self._rescan_while_incomplete()
        if now >= self._watch_due:
            self._watch_due = now + self._watch_interval * self._rng.uniform(0.9, 1.0)
            await self._watch()
        if now < self._due:
            return
        self._due = now + self._confirm_interval * self._rng.uniform(0.9, 1.0)
        for shard in list(self.shard_by_id):
            if self.usable(shard) is not None:
                await self._confirm(shard)

    async def release(self) -> None:
        """Give up all shards on shutdown; no grant follows the first step."""
        self._leaving = True
        owned = list(self.shard_by_id)
        self.shard_by_id.clear()
        for shard in owned:
            await self._release(shard, self._revision_by_shard.pop(shard))

    async def _release(self, shard: ShardId, revision: int) -> None:
        put = Put(key=row_key(shard), value=self._value(released=True))
        # The second attempt follows a confirmation whose answer was outstanding.
        for _ in range(2):
            condition = Condition(key=put.key, revision=revision)
            outcome = await self._store.transact([condition], [put])
            row = None
            if isinstance(outcome, Conflict):
                row = outcome.rows_by_key.get(put.key)
            if row is None or not self._is_own(row):
                return
            revision = row.revision

    async def _scan(self) -> None:
        self._scanned = self._clock.now()
        rows = await self._store.scan(ROW_PREFIX)
        if isinstance(rows, Failure):
            self.request_scan()
            return
        for shard in self._position_by_shard:
            row = rows.get(row_key(shard))
            self._learn(shard, row)
            if shard in self._own_shards:
                self._observe(shard, row, self._clock.now())
                await self._claim_if_free(shard)

    async def _watch(self) -> None:
        watched = [s for s in self._own_shards if self._is_watcher(s)]
        if not watched:
            return
        rows = await self._store.read([row_key(shard) for shard in watched])
        if isinstance(rows, Failure):
            return
        # The time after the answer: an earlier one would overstate how long the
        # revision has been unchanged.
        now = self._clock.now()
        for shard in watched:
            self._observe(shard, rows.get(row_key(shard)), now)
            self._learn(shard, rows.get(row_key(shard)))
            await self._claim_if_free(shard)

    def _is_watcher(self, shard: ShardId) -> bool:
        if shard in self.shard_by_id:
            return False
        return self._me in rank(shard, self._members())[:WATCHERS]

    def _observe(self, shard: ShardId, row: StoredRow | None, now: float) -> None:
        revision = row.revision if row else ABSENT
        value = row.value if row and isinstance(row.value, dict) else None
        seen = self._seen_by_shard.get(shard)
        if seen is None or seen.revision != revision:
            self._seen_by_shard[shard] = _Seen(revision, now, value)

    async def _claim_if_free(self, shard: ShardId) -> None:
        seen = self._seen_by_shard.get(shard)
        if seen is None or shard in self.shard_by_id or self._leaving:
            return
        mine = seen.value is not None and seen.value.get("owner") == self._me
        if not mine and not self._is_watcher(shard):
            return
        unchanged = self._clock.now() - seen.since
        lapsed = unchanged >= self._term + TAKE_OVER_MARGIN
        free = seen.value is None or bool(seen.value.get("released"))
        if mine or free or lapsed:
            await self._claim(shard, seen)

    async def _claim(self, shard: ShardId, seen: _Seen) -> None:
        started = self._clock.now()
        revision = await self._write(shard, seen.revision)
        if revision is None:
            return
        if self._leaving:
            await self._release(shard, revision)
            return
        # A malformed row also counts as a predecessor.
        had_owner = seen.revision != ABSENT
        position = self._position_by_shard[shard]
        self.shard_by_id[shard] = QuotaShard(
            shard=shard,
            position=position,
            total=len(self._position_by_shard),
            clock=self._clock,
            term=self._term,
            max_deadline=self._max_deadline,
            lease_started=started,
            had_owner=had_owner,
        )
        self._hold(shard, revision)
        logging.info("took quota shard %s", shard)

    async def _confirm(self, shard: ShardId) -> None:
        started = self._clock.now()
        known = self._revision_by_shard[shard]
        revision = await self._write(shard, known)
        owned = self.shard_by_id.get(shard)
        if revision is None or owned is None:
            return
        owned.confirm(started)
        self._hold(shard, revision)

    def _hold(self, shard: ShardId, revision: int) -> None:
        self._revision_by_shard[shard] = revision
        self._seen_by_shard.pop(shard, None)
        row = OwnerRow(shard=shard, owner=self._me, revision=revision)
        self.directory.learn([row])

    async def _write(self, shard: ShardId, revision: int) -> int | None:
        """Write the row as owner; return its new revision, None without success."""
        key = row_key(shard)
        value = self._value(released=False)
        outcome = await self._store.transact(
            [Condition(key=key, revision=revision)], [Put(key=key, value=value)]
        )
        if isinstance(outcome, Committed):
            return outcome.revision
        if isinstance(outcome, Conflict):
            row = outcome.rows_by_key.get(key)
            return self._after_conflict(shard, row, value)
        return await self._read_back(shard, value) if outcome.effect_unknown else None

    async def _read_back(self, shard: ShardId, value: dict[str, Any]) -> int | None:
        rows = await self._store.read([row_key(shard)])
        if isinstance(rows, Failure):
            return None
        return self._after_conflict(shard, rows.get(row_key(shard)), value)

    def _after_conflict(
        self, shard: ShardId, row: StoredRow | None, value: dict[str, Any]
    ) -> int | None:
        found = row.value if row and isinstance(row.value, dict) else {}
        if row is not None and found.get("token") == value["token"]:
            return row.revision
        self._observe(shard, row, self._clock.now())
        self._learn(shard, row)
        if shard not in self.shard_by_id:
            return None
        if row is not None and self._is_own(row):
            # An earlier write of this process took effect after its answer was
            # lost. The next confirmation starts from its revision.
            self._revision_by_shard[shard] = row.revision
            return None
        logging.warning("quota shard %s was taken by %s", shard, found.get("owner"))
        self._drop(shard)
        return None

    def _drop(self, shard: ShardId) -> None:
        self.shard_by_id.pop(shard, None)
        self._revision_by_shard.pop(shard, None)

    def _learn(self, shard: ShardId, row: StoredRow | None) -> None:
        if row is None or not isinstance(row.value, dict):
            return
        owner = "" if row.value.get("released") else row.value.get("owner")
        if isinstance(owner, str):
            known = OwnerRow(shard=shard, owner=DaemonId(owner), revision=row.revision)
            self.directory.learn([known])

    def _is_own(self, row: StoredRow) -> bool:
        """Return whether this process wrote the row and has not released it."""
        if not isinstance(row.value, dict) or row.value.get("released"):
            return False
        return str(row.value.get("token")).startswith(self._token_prefix())

    def _token_prefix(self) -> str:
        return f"{self._me}/{self._incarnation}/"

    def _value(self, *, released: bool) -> dict[str, Any]:
        self._writes += 1
        token = f"{self._token_prefix()}{self._writes}"
        return {"owner": self._me, "token": token, "released": released}
