"""At-most-once execution of keyed calls, by claims in the store.

A daemon dispatches a keyed call only after its own token stands in the claim row.
Every write of that row is conditional on the row's revision, and rows are not
deleted before the sweep, so revisions never repeat within the retention time: a
write that lands late finds another revision and has no effect. After a lost answer
the same conditional write is sent again. It either takes effect, which makes the
first one ineffective whenever it lands, or it conflicts and the conflict shows whose
token stands in the row.
"""

import uuid
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import xxhash

from .. import invariants, metrics
from ..clock import Clock
from ..ids import DaemonId
from ..state.refusals import Executed, Refusal, RefusalReason
from .claimanswers import (
    WRITE_ATTEMPTS,
    AnswerGap,
    pause_before,
    read_answer,
    store_answer,
)
from .claimed import Claimed, ClaimStatus
from .claimrows import (
    AGE_SHARDS,
    MAX_KEY_LENGTH,
    ClaimKey,
    ClaimRow,
    ClaimState,
    RecordedAnswer,
    age_key_of,
    parse_row,
)
from .claimsweep import Swept, sweep_shard
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

# Times a claim may change hands under one take before the take gives up.
MAX_CONFLICTS = 8
# Tokens remembered as never run, so that other daemons may take their claims over.
MAX_NEVER_RUN = 4096


# Asks the daemon that wrote a claim about its token; UNKNOWN when it cannot be asked.
ClaimLookup = Callable[[DaemonId, str], Awaitable[ClaimStatus]]


@dataclass(frozen=True, slots=True, kw_only=True)
class Replay:
    """The key was executed before; this is its whole recorded answer."""

    answer: RecordedAnswer


class Claims:
    """Takes, records and releases claims for one daemon.

    ``lookup`` asks another daemon about a token, ``status`` answers that question
    for tokens of this daemon. Times are in seconds of ``clock``.
    """

    def __init__(
        self,
        *,
        daemon: DaemonId,
        store: Store,
        clock: Clock,
        lookup: ClaimLookup,
        new_token: Callable[[], str] = lambda: uuid.uuid4().hex,
    ) -> None:
        self._daemon = daemon
        self._store = store
        self._clock = clock
        self._lookup = lookup
        self._new_token = new_token
        # Heads start at different shards, so that they rarely meet in one batch.
        self._sweep_shard = xxhash.xxh32_intdigest(daemon.encode()) % AGE_SHARDS
        self._running: set[str] = set()
        self._never_run: OrderedDict[str, None] = OrderedDict()

    def status(self, token: str) -> ClaimStatus:
        """Return what this daemon knows about ``token``.

        NEVER_RUN is final: the token is closed before it is listed as such.
        """
        if token in self._running:
            return ClaimStatus.RUNNING
        if token in self._never_run:
            return ClaimStatus.NEVER_RUN
        return ClaimStatus.UNKNOWN

    async def take(
        self,
        key: ClaimKey,
        body_digest: bytes,
        *,
        deadline: float,
        attempt: int = 1,
    ) -> Claimed | Replay | Refusal:
        """Claim ``key`` for one execution, or say why it must not run now.

        ``deadline`` is a time of the clock. ``attempt`` numbers the caller's sendings
        of the key from 1. From 2 on, a refusal without a claim says
        ``executed: "unknown"``, because an earlier sending may have been executed, and
        a release keeps sendings with lower numbers from running later.
        """
        if not 0 < len(key.key) <= MAX_KEY_LENGTH:
            detail = f"use an idempotency key of 1 to {MAX_KEY_LENGTH} characters"
            return _refusal(RefusalReason.MALFORMED, Executed.NO, detail)
        row = self._new_row(key, body_digest, attempt)
        claimed = Claimed(
            row_key=key.row_key, row=row, deadline=deadline, clock=self._clock
        )
        # Listed before the first write: another daemon may see the row first.
        self._running.add(row.token)
        outcome: Claimed | Replay | Refusal | None = None
        try:
            outcome = await self._write_claim(claimed)
            return outcome
        finally:
            if not isinstance(outcome, Claimed):
                # Refused or cancelled. Writes under way may still leave a row with
                # this token; the status then tells others that it never runs.
                self._close(claimed, never_run=True)

    async def record(self, claimed: Claimed, answer: RecordedAnswer) -> bool:
        """Record the whole answer; return whether a resend will get it.

        Answers above 1 MiB are noted as executed without their body; a resend then
        gets ``outcome_unknown`` with that explanation.
        """
        try:
            stored = await store_answer(self._store, self._clock, claimed.row, answer)
            if isinstance(stored, StoreFailure):
                return False
            row = replace(claimed.row, state=ClaimState.DONE, answer=stored)
            return await self._rewrite(claimed, row) and stored is not None
        finally:
            self._close(claimed, never_run=False)

    async def release(self, claimed: Claimed) -> bool:
        """Give a claim back after certain non-execution; return whether it is free.

        When the store does not confirm, other daemons still learn from ``status``
        that the token never ran, as long as this daemon lives.
        """
        if claimed.is_outstanding:
            invariants.check("release_only_unexecuted", False, claimed.row_key)
            self.forget(claimed)
            return False
        self._close(claimed, never_run=True)
        row = replace(claimed.row, state=ClaimState.RELEASED)
        return await self._rewrite(claimed, row)

    def forget(self, claimed: Claimed) -> None:
        """Close a claim whose outcome is unknown; its row stays as claimed."""
        self._close(claimed, never_run=False)

    async def sweep(self) -> Swept | StoreFailure:
        """Remove one batch of claims older than the retention time.

        Data-centre heads call this and wait for ``Swept.pause`` between calls. Each
        call takes the next shard.
        """
        self._sweep_shard = (self._sweep_shard + 1) % AGE_SHARDS
        return await sweep_shard(self._store, self._clock, self._sweep_shard)

    def _new_row(self, key: ClaimKey, body_digest: bytes, attempt: int) -> ClaimRow:
        token, wall = self._new_token(), self._clock.wall()
        return ClaimRow(
            token=token,
            body_digest=body_digest,
            daemon=self._daemon,
            state=ClaimState.CLAIMED,
            time=wall,
            age_key=age_key_of(key.row_key, token, wall),
            attempt=attempt,
        )

    async def _write_claim(self, claimed: Claimed) -> Claimed | Replay | Refusal:
        revision = ABSENT
        for _ in range(MAX_CONFLICTS):
            result = await self._write(claimed, claimed.row, revision, add_age=True)
            if isinstance(result, StoreFailure):
                detail = "the store did not confirm the claim; send the call again"
                return _refusal(
                    RefusalReason.STORE_UNAVAILABLE,
                    _unless_resent(claimed),
                    detail,
                    retry_after=1.0,
                )
            if isinstance(result, Committed):
                claimed.revision = result.revision
                return claimed
            found = result.rows_by_key.get(claimed.row_key)
            if found is None:
                revision = ABSENT
                continue
            decision = await self._judge(claimed, found)
            if not isinstance(decision, int):
                return decision
            revision = decision
        detail = "other sendings of the same key keep changing its claim"
        return _refusal(RefusalReason.IN_PROGRESS, Executed.UNKNOWN, detail)

    async def _judge(
        self, claimed: Claimed, found: StoredRow
    ) -> Claimed | Replay | Refusal | int:
        """Decide on a row that stands in the way.

        An int is the revision on which the claim may be written over the row.
        """
        row = parse_row(found.value)
        if row is None:
            detail = "the claim row is malformed; ask the operators to inspect it"
            return _refusal(RefusalReason.OUTCOME_UNKNOWN, Executed.UNKNOWN, detail)
        if row.state is ClaimState.RELEASED:
            return _reuse(claimed, row, found.revision)
        if row.token == claimed.token:
            claimed.revision = found.revision
            return claimed
        done = row.state is ClaimState.DONE
        status = ClaimStatus.UNKNOWN if done else await self._status_of(row)
        # Before the body is compared: a claim that never ran binds the key to nothing.
        if status is ClaimStatus.NEVER_RUN:
            return _reuse(claimed, row, found.revision)
        if row.body_digest != claimed.row.body_digest:
            detail = "use a new idempotency key for another body"
            return _refusal(RefusalReason.KEY_REUSED, _unless_resent(claimed), detail)
        if done:
            return await self._replay(row)
        if status is ClaimStatus.RUNNING:
            detail = "the call is running; send it again later for its answer"
            return _refusal(
                RefusalReason.IN_PROGRESS, Executed.UNKNOWN, detail, retry_after=1.0
            )
        detail = "the call was claimed and its outcome is not known; check the order"
        return _refusal(RefusalReason.OUTCOME_UNKNOWN, Executed.UNKNOWN, detail)

    async def _status_of(self, row: ClaimRow) -> ClaimStatus:
        if row.daemon == self._daemon:
            return self.status(row.token)
        return await self._lookup(row.daemon, row.token)

    async def _replay(self, row: ClaimRow) -> Replay | Refusal:
        found = await read_answer(self._store, row.answer)
        if isinstance(found, RecordedAnswer):
            metrics.CLAIMS.labels("replayed").inc()
            return Replay(answer=found)
        reason = RefusalReason.OUTCOME_UNKNOWN
        retry_after = None
        if found is AnswerGap.UNREADABLE:
            reason, retry_after = RefusalReason.STORE_UNAVAILABLE, 1.0
        # Not "no", although this sending ran nothing: the key has been executed.
        return _refusal(reason, Executed.UNKNOWN, found.value, retry_after=retry_after)

    async def _rewrite(self, claimed: Claimed, row: ClaimRow) -> bool:
        """Replace the claim's own row; false if the store does not confirm it."""
        result = await self._write(claimed, row, claimed.revision, add_age=False)
        if isinstance(result, Committed):
            written = True
        elif isinstance(result, Conflict):
            found = result.rows_by_key.get(claimed.row_key)
            present = None if found is None else parse_row(found.value)
            # An earlier attempt whose answer was lost has written the same row.
            written = present == row
        else:
            written = False
        outcome = row.state.value if written else f"{row.state.value}_unconfirmed"
        metrics.CLAIMS.labels(outcome).inc()
        return written

    async def _write(
        self, claimed: Claimed, row: ClaimRow, revision: int, *, add_age: bool
    ) -> Committed | Conflict | StoreFailure:
        """Send one conditional write until the store decides on it."""
        conditions = [Condition(key=claimed.row_key, revision=revision)]
        writes = [Put(key=claimed.row_key, value=row.fields())]
        if add_age:
            writes.append(Put(key=row.age_key, value={"row": claimed.row_key}))
        result: Committed | Conflict | StoreFailure
        for attempt in range(WRITE_ATTEMPTS):
            await pause_before(self._clock, attempt)
            result = await self._store.transact(conditions, writes)
            if not isinstance(result, StoreFailure):
                return result
            # A claim that comes after the deadline is of no use to the caller.
            if add_age and self._clock.now() >= claimed.deadline:
                break
        return result

    def _close(self, claimed: Claimed, *, never_run: bool) -> None:
        claimed.close()
        self._running.discard(claimed.token)
        if not never_run:
            return
        self._never_run[claimed.token] = None
        while len(self._never_run) > MAX_NEVER_RUN:
            self._never_run.popitem(last=False)


def _unless_resent(claimed: Claimed) -> Executed:
    """Return "no" for a first sending; an earlier one may have been executed."""
    return Executed.NO if claimed.row.attempt <= 1 else Executed.UNKNOWN


def _reuse(claimed: Claimed, row: ClaimRow, revision: int) -> int | Refusal:
    """Return the revision to write over, unless a later sending came first.

    The later sending was told that nothing ran, so an earlier one, which may have
    been under way for long, must not run after it.
    """
    if row.attempt <= claimed.row.attempt:
        return revision
    detail = "a later sending of the same key was already treated"
    return _refusal(RefusalReason.IN_PROGRESS, Executed.UNKNOWN, detail)


def _refusal(
    reason: RefusalReason,
    executed: Executed,
    detail: str,
    *,
    retry_after: float | None = None,
) -> Refusal:
    return Refusal(
        reason=reason, executed=executed, detail=detail, retry_after=retry_after
    )
