"""Removal of claims after the retention time, oldest first, in small batches."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from .. import metrics
from ..clock import Clock
from .claimrows import AGE_PREFIX, ClaimRow, age_prefix, minute_of, parse_row
from .store import Committed, Condition, Remove, Store, StoredRow, StoreFailure

# For this long, a call that is sent again with its idempotency key is recognised.
RETENTION_SECONDS = 24 * 3600.0
# Wall clocks of VMs may differ. A claim is kept for the whole retention time if the
# clock of the daemon that wrote it was behind by less than this.
CLOCK_MARGIN_SECONDS = 3600.0
# Claims in one batch, which costs three store requests. With 11 heads and a pause of
# 10 s, the sweep keeps up with 220 keyed calls/s; the store can process 150 of them
# per second.
SWEEP_BATCH = 200
# Time that the caller sleeps between passes, after a partial and after a full batch.
IDLE_PAUSE_SECONDS = 60.0
BACKLOG_PAUSE_SECONDS = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class SweepResult:
    """Claims removed by one pass, and whether more are probably due for removal."""

    removed: int
    more_due: bool

    @property
    def pause(self) -> float:
        """Return the time in seconds to sleep before the next pass."""
        return BACKLOG_PAUSE_SECONDS if self.more_due else IDLE_PAUSE_SECONDS


async def sweep_shard(
    store: Store, clock: Clock, shard: int
) -> SweepResult | StoreFailure:
    """Remove one batch of expired claims of a shard with at most three requests.

    The removal is conditional on the revision of every row. On a conflict, for example
    because another head removed a row or a key was claimed again, a later pass retries
    the batch. A lost response is not handled: a later pass finds whatever is left.
    """
    age_rows = await store.scan(age_prefix(shard), limit=SWEEP_BATCH)
    if isinstance(age_rows, StoreFailure):
        return age_rows
    due_minute = int((clock.wall() - RETENTION_SECONDS - CLOCK_MARGIN_SECONDS) // 60)
    due = {key: row for key, row in age_rows.items() if _is_due(key, due_minute)}
    if not due:
        return SweepResult(removed=0, more_due=False)
    row_keys = sorted({key for row in due.values() if (key := _claim_row_key(row))})
    rows = await store.read(row_keys)
    if isinstance(rows, StoreFailure):
        return rows
    expired = dict(_expired_claims(rows, due))
    conditions = [
        Condition(key=key, revision=row.revision)
        for key, row in (*due.items(), *expired.items())
    ]
    writes = [Remove(key=key) for key in (*due, *expired)]
    result = await store.transact(conditions, writes)
    if isinstance(result, StoreFailure):
        return result
    if not isinstance(result, Committed):
        return SweepResult(removed=0, more_due=True)
    metrics.CLAIMS.labels("swept").inc(len(expired))
    return SweepResult(removed=len(expired), more_due=len(due) == SWEEP_BATCH)


def _is_due(age_key: str, due_minute: int) -> bool:
    minute = minute_of(age_key)
    return age_key.startswith(AGE_PREFIX) and (minute is None or minute < due_minute)


def _claim_row_key(age_row: StoredRow) -> str | None:
    value = age_row.value
    return value.get("row") if isinstance(value, dict) else None


def _expired_claims(
    rows: Mapping[str, StoredRow | None], due: Mapping[str, StoredRow]
) -> Iterator[tuple[str, StoredRow]]:
    """Yield the claim rows whose current age row is due.

    A claim whose key was released and claimed again has a newer age row and is kept.
    """
    for key, row in rows.items():
        claim: ClaimRow | None = None if row is None else parse_row(row.value)
        if row is not None and claim is not None and claim.age_key in due:
            yield key, row
