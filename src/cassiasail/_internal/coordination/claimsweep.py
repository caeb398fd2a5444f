"""Removal of claims after their retention, oldest first, in small batches."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from .. import metrics
from ..clock import Clock
from .claimrows import AGE_PREFIX, ClaimRow, age_prefix, minute_of, parse_row
from .store import Committed, Condition, Remove, Store, StoredRow, StoreFailure

RETENTION = 24 * 3600.0  # seconds that a resend is recognised
# Wall clocks of VMs may differ; a claim whose writer's clock was behind by less than
# this is still kept for the whole retention time.
CLOCK_MARGIN = 3600.0  # seconds
# One batch is three requests; at 11 heads and a pause of 10 s it keeps up with
# 220 orders/s, above the 150 orders/s that the store carries.
SWEEP_BATCH = 200
# Pauses in seconds for the caller of the sweep, after a partial and a full batch.
IDLE_PAUSE = 60.0
BACKLOG_PAUSE = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Swept:
    """Claims removed by one pass, and whether more are probably due."""

    removed: int
    more: bool

    @property
    def pause(self) -> float:
        """Return the seconds to wait before the next pass."""
        return BACKLOG_PAUSE if self.more else IDLE_PAUSE


async def sweep_shard(store: Store, clock: Clock, shard: int) -> Swept | StoreFailure:
    """Remove one batch of expired claims of a shard: at most three requests.

    The removal is conditional on every row's revision. A conflict, such as with
    another head or a key that was just claimed again, leaves the batch to a later
    pass, and a lost answer needs no care.
    """
    aged = await store.scan(age_prefix(shard), limit=SWEEP_BATCH)
    if isinstance(aged, StoreFailure):
        return aged
    due_minute = int((clock.wall() - RETENTION - CLOCK_MARGIN) // 60)
    due = {key: row for key, row in aged.items() if _is_due(key, due_minute)}
    if not due:
        return Swept(removed=0, more=False)
    row_keys = sorted({key for row in due.values() if (key := _row_key(row))})
    rows = await store.read(row_keys)
    if isinstance(rows, StoreFailure):
        return rows
    expired = dict(_expired(rows, due))
    conditions = [
        Condition(key=key, revision=row.revision)
        for key, row in (*due.items(), *expired.items())
    ]
    writes = [Remove(key=key) for key in (*due, *expired)]
    result = await store.transact(conditions, writes)
    if isinstance(result, StoreFailure):
        return result
    if not isinstance(result, Committed):
        return Swept(removed=0, more=True)
    metrics.CLAIMS.labels("swept").inc(len(expired))
    return Swept(removed=len(expired), more=len(due) == SWEEP_BATCH)


def _is_due(age_key: str, due_minute: int) -> bool:
    minute = minute_of(age_key)
    return age_key.startswith(AGE_PREFIX) and (minute is None or minute < due_minute)


def _row_key(age_row: StoredRow) -> str | None:
    value = age_row.value
    return value.get("row") if isinstance(value, dict) else None


def _expired(
    rows: Mapping[str, StoredRow | None], due: Mapping[str, StoredRow]
) -> Iterator[tuple[str, StoredRow]]:
    """Yield the claim rows that the due age rows still belong to.

    A key that was released and claimed again has a younger age row; its claim stays.
    """
    for key, row in rows.items():
        claim: ClaimRow | None = None if row is None else parse_row(row.value)
        if row is not None and claim is not None and claim.age_key in due:
            yield key, row
