"""Ownership of quota shards by leases, which are kept as rows of the store.

Row ``quota/<data centre>/<shard>`` is ``{owner, token, released}``. A lease lasts for
``term`` from the *start* of the owner's last committed write. Reading the row does not
extend it: another daemon may have read the same revision earlier, and its waiting time
counts from that read. Another daemon claims the shard only if the row is missing or
released, or if its revision has not changed for ``term + margin`` by that daemon's
clock.
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
from .shard_directory import ROW_PREFIX, OwnerDirectory, rank_members, row_key
from .store import (
    ABSENT,
    Committed,
    Condition,
    Conflict,
    Put,
    Store,
    StoredRow,
    StoreFailure,
)

# The owner writes its rows again this often to extend the leases.
CONFIRM_INTERVAL_SECONDS = 60.0
# Covers the clock drift over a lease term (500 ppm of an hour is 1.8 s) and the 0.5 s
# for which tokens of the previous owner stay valid.
TAKEOVER_MARGIN_SECONDS = 5.0
# Members that poll a shard's row to claim the shard; more would only cost reads.
WATCHERS_PER_SHARD = 2
# Random delay before the first read, which spreads the reads when many daemons start
# at once.
START_JITTER_SECONDS = 2.0
# Shortest time between two reads of all rows after ``request_scan``. Daemons that
# neither own nor watch a shard receive the owners in responses to token requests, so
# ``UNINVOLVED_JITTER_FACTOR`` multiplies their start jitter: 2,800 daemons that start
# at once make 23 reads/s.
SCAN_INTERVAL_SECONDS = 60.0
UNINVOLVED_JITTER_FACTOR = 60
# Watchers poll their rows this often: 88 watchers make 9 reads/s.
WATCH_INTERVAL_SECONDS = 10.0


@dataclass(slots=True)
class _ObservedRow:
    """A row as last read, and the time since which its revision is unchanged."""

    revision: int
    unchanged_since: float
    value: Mapping[str, Any] | None


class ShardLeases:
    """Claims, confirms and releases the shards of this daemon's data centre.

    ``members`` returns the living members of the data centre, this daemon included.
    ``shards`` lists all shards of the fleet, in the same order on every daemon.
    ``term`` is the duration of a lease in seconds.
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
        confirm_interval: float = CONFIRM_INTERVAL_SECONDS,
        scan_interval: float = SCAN_INTERVAL_SECONDS,
        start_jitter: float = START_JITTER_SECONDS,
    ) -> None:
        self._me = me
        self._incarnation = incarnation
        self._position_by_shard = {s: i for i, s in enumerate(shards)}
        self._local_shards = [s for s in shards if s.data_centre == data_centre]
        self._members = members
        self._store = store
        self._clock = clock
        self._term = term
        self._max_deadline = max_deadline
        self._rng = rng
        self._confirm_interval = confirm_interval
        self._scan_interval = scan_interval
        self._start_jitter = start_jitter
        self._watch_interval = min(WATCH_INTERVAL_SECONDS, confirm_interval)
        self._write_count = 0
        self._is_releasing = False
        self._observed_by_shard: dict[ShardId, _ObservedRow] = {}
        self._revision_by_shard: dict[ShardId, int] = {}
        self.shard_by_id: dict[ShardId, QuotaShard] = {}
        self.directory = OwnerDirectory()
        self._confirm_due = clock.now() + rng.uniform(0, start_jitter)
        self._scan_due: float | None = clock.now() + self._scan_jitter()
        self._last_scan_at: float | None = None
        # Delay before the next scan; doubles until the owners of all shards are known.
        self._rescan_delay = start_jitter
        self._watch_due = self._confirm_due

    def leased_shard(self, shard: ShardId) -> QuotaShard | None:
        """Return an owned shard while its lease is valid; drop it once it expired."""
        owned = self.shard_by_id.get(shard)
        if owned is None:
            return None
        if owned.is_lease_valid():
            return owned
        logging.warning("lease of quota shard %s expired; dropping the shard", shard)
        self._drop_shard(shard)
        return None

    def request_scan(self) -> None:
        """Schedule a read of all rows, at most one per ``scan_interval``."""
        self._schedule_scan(self._scan_interval)

    def _schedule_scan(self, interval: float) -> None:
        """Schedule a read of all rows, ``interval`` after the last one or later."""
        if self._scan_due is not None:
            return
        now = self._clock.now()
        earliest = now if self._last_scan_at is None else self._last_scan_at + interval
        self._scan_due = max(now, earliest) + self._scan_jitter()

    def _scan_jitter(self) -> float:
        """Return a random delay, longer if this daemon owns and watches no shard."""
        owns_or_watches = bool(self.shard_by_id) or any(
            map(self._is_watcher, self._local_shards)
        )
        factor = 1 if owns_or_watches else UNINVOLVED_JITTER_FACTOR
        return self._rng.uniform(0, self._start_jitter * factor)

    def _rescan_while_incomplete(self) -> None:
        """Schedule another scan while some shard has no known owner.

        Only owners of a shard do so. They forward token requests, and the other
        daemons receive the owners in their responses.
        """
        owners = map(self.directory.owner_of, self._position_by_shard)
        if not self.shard_by_id or all(owners):
            self._rescan_delay = self._start_jitter
            return
        self._rescan_delay = min(self._scan_interval, 2 * self._rescan_delay)
        self._schedule_scan(self._rescan_delay)

    async def run_once(self) -> None:
        """Scan rows, claim free shards and confirm leases, as far as they are due."""
        now = self._clock.now()
        if self._is_releasing:
            return
        if self._scan_due is not None and now >= self._scan_due:
            self._scan_due = None
            await self._scan_rows()
            self._rescan_while_incomplete()
        if now >= self._watch_due:
            self._watch_due = now + self._watch_interval * self._rng.uniform(0.9, 1.0)
            await self._poll_watched_rows()
        if now < self._confirm_due:
            return
        self._confirm_due = now + self._confirm_interval * self._rng.uniform(0.9, 1.0)
        for shard in list(self.shard_by_id):
            if self.leased_shard(shard) is not None:
                await self._confirm(shard)

    async def release(self) -> None:
        """Release all shards on shutdown; from now on, nothing is granted."""
        self._is_releasing = True
        owned = list(self.shard_by_id)
        self.shard_by_id.clear()
        for shard in owned:
            await self._release_row(shard, self._revision_by_shard.pop(shard))

    async def _release_row(self, shard: ShardId, revision: int) -> None:
        """Mark the row as released if this process still holds it."""
        put = Put(key=row_key(shard), value=self._row_value(released=True))
        # The second attempt is for a confirmation in progress that committed and so
        # raised the revision.
        for _ in range(2):
            condition = Condition(key=put.key, revision=revision)
            outcome = await self._store.transact([condition], [put])
            row = None
            if isinstance(outcome, Conflict):
                row = outcome.rows_by_key.get(put.key)
            if row is None or not self._is_held_by_this_process(row):
                return
            revision = row.revision

    async def _scan_rows(self) -> None:
        """Read all rows, update the directory and claim free local shards."""
        self._last_scan_at = self._clock.now()
        rows = await self._store.scan(ROW_PREFIX)
        if isinstance(rows, StoreFailure):
            self.request_scan()
            return
        for shard in self._position_by_shard:
            row = rows.get(row_key(shard))
            self._update_directory(shard, row)
            if shard in self._local_shards:
                self._observe(shard, row, self._clock.now())
                await self._claim_if_free(shard)

    async def _poll_watched_rows(self) -> None:
        """Read the rows of watched shards and claim those that are free."""
        watched = [s for s in self._local_shards if self._is_watcher(s)]
        if not watched:
            return
        rows = await self._store.read([row_key(shard) for shard in watched])
        if isinstance(rows, StoreFailure):
            return
        # Taken after the response: an earlier time would overstate how long the
        # revision has been unchanged.
        now = self._clock.now()
        for shard in watched:
            self._observe(shard, rows.get(row_key(shard)), now)
            self._update_directory(shard, rows.get(row_key(shard)))
            await self._claim_if_free(shard)

    def _is_watcher(self, shard: ShardId) -> bool:
        """Return whether this daemon is a preferred next owner of a shard."""
        if shard in self.shard_by_id:
            return False
        return self._me in rank_members(shard, self._members())[:WATCHERS_PER_SHARD]

    def _observe(self, shard: ShardId, row: StoredRow | None, now: float) -> None:
        """Record a row that was read, and when its revision changed."""
        revision = row.revision if row else ABSENT
        value = row.value if row and isinstance(row.value, dict) else None
        observed = self._observed_by_shard.get(shard)
        if observed is None or observed.revision != revision:
            self._observed_by_shard[shard] = _ObservedRow(revision, now, value)

    async def _claim_if_free(self, shard: ShardId) -> None:
        """Claim a shard if it has no valid row, was released or its lease expired.

        Only watchers do so, and the daemon that the row names as owner. The latter
        claims it without waiting, since the lease belongs to its earlier incarnation.
        """
        observed = self._observed_by_shard.get(shard)
        if observed is None or shard in self.shard_by_id or self._is_releasing:
            return
        names_this_daemon = (
            observed.value is not None and observed.value.get("owner") == self._me
        )
        if not names_this_daemon and not self._is_watcher(shard):
            return
        unchanged_seconds = self._clock.now() - observed.unchanged_since
        is_expired = unchanged_seconds >= self._term + TAKEOVER_MARGIN_SECONDS
        is_free = observed.value is None or bool(observed.value.get("released"))
        if names_this_daemon or is_free or is_expired:
            await self._claim(shard, observed)

    async def _claim(self, shard: ShardId, observed: _ObservedRow) -> None:
        """Write the row as owner and start to serve the shard."""
        started_at = self._clock.now()
        revision = await self._write_row(shard, observed.revision)
        if revision is None:
            return
        if self._is_releasing:
            await self._release_row(shard, revision)
            return
        # A malformed row also counts as a previous owner.
        had_owner = observed.revision != ABSENT
        position = self._position_by_shard[shard]
        self.shard_by_id[shard] = QuotaShard(
            shard=shard,
            position=position,
            total=len(self._position_by_shard),
            clock=self._clock,
            term=self._term,
            max_deadline=self._max_deadline,
            lease_started=started_at,
            had_owner=had_owner,
        )
        self._record_lease(shard, revision)
        logging.info("claimed quota shard %s", shard)

    async def _confirm(self, shard: ShardId) -> None:
        """Write the row again to extend the lease."""
        started_at = self._clock.now()
        last_revision = self._revision_by_shard[shard]
        revision = await self._write_row(shard, last_revision)
        owned = self.shard_by_id.get(shard)
        if revision is None or owned is None:
            return
        owned.extend_lease(started_at)
        self._record_lease(shard, revision)

    def _record_lease(self, shard: ShardId, revision: int) -> None:
        """Record the revision of a committed write that names this daemon."""
        self._revision_by_shard[shard] = revision
        self._observed_by_shard.pop(shard, None)
        row = OwnerRow(shard=shard, owner=self._me, revision=revision)
        self.directory.merge([row])

    async def _write_row(self, shard: ShardId, revision: int) -> int | None:
        """Write the row as owner; return its new revision, or None on failure."""
        key = row_key(shard)
        value = self._row_value(released=False)
        outcome = await self._store.transact(
            [Condition(key=key, revision=revision)], [Put(key=key, value=value)]
        )
        if isinstance(outcome, Committed):
            return outcome.revision
        if isinstance(outcome, Conflict):
            row = outcome.rows_by_key.get(key)
            return self._resolve_conflict(shard, row, value)
        return await self._read_back(shard, value) if outcome.effect_unknown else None

    async def _read_back(self, shard: ShardId, value: dict[str, Any]) -> int | None:
        """Read the row after a write whose outcome is unknown; return its revision.

        Returns None if the write did not take effect or the read failed.
        """
        rows = await self._store.read([row_key(shard)])
        if isinstance(rows, StoreFailure):
            return None
        return self._resolve_conflict(shard, rows.get(row_key(shard)), value)

    def _resolve_conflict(
        self, shard: ShardId, row: StoredRow | None, value: dict[str, Any]
    ) -> int | None:
        """Return the revision if the row is the one written, else None.

        Drops the shard if another process has claimed or released it.
        """
        found_value = row.value if row and isinstance(row.value, dict) else {}
        if row is not None and found_value.get("token") == value["token"]:
            return row.revision
        self._observe(shard, row, self._clock.now())
        self._update_directory(shard, row)
        if shard not in self.shard_by_id:
            return None
        if row is not None and self._is_held_by_this_process(row):
            # An earlier write of this process committed after its response was lost.
            # The next confirmation uses its revision.
            self._revision_by_shard[shard] = row.revision
            return None
        logging.warning(
            "quota shard %s was claimed by %s; dropping the shard",
            shard,
            found_value.get("owner"),
        )
        self._drop_shard(shard)
        return None

    def _drop_shard(self, shard: ShardId) -> None:
        """Stop serving a shard without a write to its row."""
        self.shard_by_id.pop(shard, None)
        self._revision_by_shard.pop(shard, None)

    def _update_directory(self, shard: ShardId, row: StoredRow | None) -> None:
        """Merge a row of the store into the directory; ignores a malformed row."""
        if row is None or not isinstance(row.value, dict):
            return
        owner = "" if row.value.get("released") else row.value.get("owner")
        if isinstance(owner, str):
            owner_row = OwnerRow(
                shard=shard, owner=DaemonId(owner), revision=row.revision
            )
            self.directory.merge([owner_row])

    def _is_held_by_this_process(self, row: StoredRow) -> bool:
        """Return whether this process wrote the row and has not released it."""
        if not isinstance(row.value, dict) or row.value.get("released"):
            return False
        return str(row.value.get("token")).startswith(self._token_prefix())

    def _token_prefix(self) -> str:
        return f"{self._me}/{self._incarnation}/"

    def _row_value(self, *, released: bool) -> dict[str, Any]:
        self._write_count += 1
        token = f"{self._token_prefix()}{self._write_count}"
        return {"owner": self._me, "token": token, "released": released}
