"""At-most-once execution of calls with an idempotency key, by claims in the store.

A daemon dispatches such a call only after the claim row of its key contains a token
that this daemon generated. Every write of the row is conditional on the row's
revision. Rows are deleted only by the sweep, after the retention time, so until then
a revision never repeats: a write that takes effect late finds a different revision
and changes nothing.

If the response to a write is lost, the same conditional write is sent again. Either
it takes effect, and then the first write can no longer do so, or it conflicts, and
the row in the conflict shows whose token won.
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
    ReplayFailure,
    read_response,
    sleep_before_retry,
    store_response,
)
from .claimed import ClaimStatus, HeldClaim
from .claimrows import (
    AGE_SHARDS,
    MAX_KEY_LENGTH,
    ClaimKey,
    ClaimRow,
    ClaimState,
    RecordedResponse,
    age_key_of,
    parse_row,
)
from .claimsweep import SweepResult, sweep_shard
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

# Writes of one acquisition that may find a changed row before the call is refused.
MAX_WRITE_CONFLICTS = 8
# Tokens kept in memory as never run, so that other daemons may overwrite their claims.
MAX_NEVER_RUN_TOKENS = 4096


# Requests the status of a token from the daemon that wrote the claim. Returns UNKNOWN
# if that daemon is unreachable.
ClaimLookup = Callable[[DaemonId, str], Awaitable[ClaimStatus]]


@dataclass(frozen=True, slots=True, kw_only=True)
class Replay:
    """The call was executed before; ``response`` is its complete recorded response."""

    response: RecordedResponse


class Claims:
    """Acquires, records and releases claims for one daemon.

    ``lookup`` requests the status of a token from another daemon; ``status`` returns
    the status of the tokens of this daemon. Times are in seconds of ``clock``.
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
        # The data-centre heads that sweep start at different shards, so that they
        # rarely remove the same batch.
        self._last_swept_shard = xxhash.xxh32_intdigest(daemon.encode()) % AGE_SHARDS
        self._running_tokens: set[str] = set()
        self._never_run_tokens: OrderedDict[str, None] = OrderedDict()

    def status(self, token: str) -> ClaimStatus:
        """Return the status of a token that this daemon generated.

        NEVER_RUN is final: the claim is closed before its token is listed as such.
        """
        if token in self._running_tokens:
            return ClaimStatus.RUNNING
        if token in self._never_run_tokens:
            return ClaimStatus.NEVER_RUN
        return ClaimStatus.UNKNOWN

    async def acquire(
        self,
        key: ClaimKey,
        body_digest: bytes,
        *,
        deadline: float,
        caller_attempt: int = 1,
    ) -> HeldClaim | Replay | Refusal:
        """Claim ``key`` for one execution, or return why it must not run now.

        ``deadline`` is a time of the clock. ``caller_attempt`` is the number that the
        caller gave this attempt of the call, counted from 1. If it is 2 or higher, a
        refusal without a claim has ``executed: "unknown"``, because an earlier attempt
        of the caller may have been executed, and releasing the claim prevents
        attempts with lower numbers from running later.
        """
        if not 0 < len(key.key) <= MAX_KEY_LENGTH:
            detail = f"use an idempotency key of 1 to {MAX_KEY_LENGTH} characters"
            return _refusal(RefusalReason.MALFORMED, Executed.NO, detail)
        row = self._new_row(key, body_digest, caller_attempt)
        claim = HeldClaim(
            row_key=key.row_key, row=row, deadline=deadline, clock=self._clock
        )
        # Listed before the first write, because another daemon may read the row and
        # look up its token before the write returns here.
        self._running_tokens.add(row.token)
        result: HeldClaim | Replay | Refusal | None = None
        try:
            result = await self._write_claim(claim)
            return result
        finally:
            if not isinstance(result, HeldClaim):
                # Refused or cancelled. A pending write may still leave a row with this
                # token, so its status must show to other daemons that it never runs.
                self._close(claim, never_run=True)

    async def record(self, claim: HeldClaim, response: RecordedResponse) -> bool:
        """Record the response; return whether later attempts will be sent it.

        If the body is above 1 MiB, only the fact of the execution is recorded. Later
        attempts are then refused as ``outcome_unknown``, with a detail that says so.
        """
        try:
            stored = await store_response(self._store, self._clock, claim.row, response)
            if isinstance(stored, StoreFailure):
                return False
            row = replace(claim.row, state=ClaimState.DONE, response=stored)
            return await self._update_row(claim, row) and stored is not None
        finally:
            self._close(claim, never_run=False)

    async def release(self, claim: HeldClaim) -> bool:
        """Release the claim of a call that was certainly not executed.

        Returns whether the store confirmed that the key is free. If it did not,
        ``status`` still returns NEVER_RUN for the token while this daemon runs, and
        other daemons can overwrite the claim.
        """
        if claim.is_outstanding:
            invariants.check("release_only_unexecuted", False, claim.row_key)
            self.abandon(claim)
            return False
        self._close(claim, never_run=True)
        row = replace(claim.row, state=ClaimState.RELEASED)
        return await self._update_row(claim, row)

    def abandon(self, claim: HeldClaim) -> None:
        """Close a claim whose outcome is unknown; its row stays in state CLAIMED."""
        self._close(claim, never_run=False)

    async def sweep(self) -> SweepResult | StoreFailure:
        """Remove one batch of claims older than the retention time.

        Each call sweeps the next shard. Data-centre heads call this repeatedly and
        sleep for ``SweepResult.pause`` between calls.
        """
        self._last_swept_shard = (self._last_swept_shard + 1) % AGE_SHARDS
        return await sweep_shard(self._store, self._clock, self._last_swept_shard)

    def _new_row(
        self, key: ClaimKey, body_digest: bytes, caller_attempt: int
    ) -> ClaimRow:
        token, unix_time = self._new_token(), self._clock.wall()
        return ClaimRow(
            token=token,
            body_digest=body_digest,
            daemon=self._daemon,
            state=ClaimState.CLAIMED,
            claimed_at=unix_time,
            age_key=age_key_of(key.row_key, token, unix_time),
            caller_attempt=caller_attempt,
        )

    async def _write_claim(self, claim: HeldClaim) -> HeldClaim | Replay | Refusal:
        """Write the claim row; on each conflict, decide whether to overwrite it."""
        revision = ABSENT
        for _ in range(MAX_WRITE_CONFLICTS):
            result = await self._write(claim, claim.row, revision, add_age_row=True)
            if isinstance(result, StoreFailure):
                detail = "the store did not confirm the claim; send the call again"
                return _refusal(
                    RefusalReason.STORE_UNAVAILABLE,
                    _executed_without_claim(claim),
                    detail,
                    retry_after=1.0,
                )
            if isinstance(result, Committed):
                claim.revision = result.revision
                return claim
            found = result.rows_by_key.get(claim.row_key)
            if found is None:
                revision = ABSENT
                continue
            decision = await self._decide_on_existing_row(claim, found)
            if not isinstance(decision, int):
                return decision
            revision = decision
        detail = "other attempts with the same key keep changing its claim"
        return _refusal(RefusalReason.IN_PROGRESS, Executed.UNKNOWN, detail)

    async def _decide_on_existing_row(
        self, claim: HeldClaim, found: StoredRow
    ) -> HeldClaim | Replay | Refusal | int:
        """Decide what an existing row of the key means for this call.

        Returns the result of the acquisition, or an int: the revision at which the
        row may be overwritten with the claim.
        """
        row = parse_row(found.value)
        if row is None:
            detail = "the claim row is malformed; ask the operators to inspect it"
            return _refusal(RefusalReason.OUTCOME_UNKNOWN, Executed.UNKNOWN, detail)
        if row.state is ClaimState.RELEASED:
            return _revision_to_overwrite(claim, row, found.revision)
        if row.token == claim.token:
            claim.revision = found.revision
            return claim
        done = row.state is ClaimState.DONE
        status = ClaimStatus.UNKNOWN if done else await self._token_status(row)
        # Checked before the bodies are compared: after a claim that never ran, the
        # key may be used with any body.
        if status is ClaimStatus.NEVER_RUN:
            return _revision_to_overwrite(claim, row, found.revision)
        if row.body_digest != claim.row.body_digest:
            detail = "use a new idempotency key for another body"
            return _refusal(
                RefusalReason.KEY_REUSED, _executed_without_claim(claim), detail
            )
        if done:
            return await self._replay(row)
        if status is ClaimStatus.RUNNING:
            detail = "the call is running; send it again later for its response"
            return _refusal(
                RefusalReason.IN_PROGRESS, Executed.UNKNOWN, detail, retry_after=1.0
            )
        detail = (
            "the call was claimed and its outcome is unknown; check at the service "
            "whether it took effect"
        )
        return _refusal(RefusalReason.OUTCOME_UNKNOWN, Executed.UNKNOWN, detail)

    async def _token_status(self, row: ClaimRow) -> ClaimStatus:
        if row.daemon == self._daemon:
            return self.status(row.token)
        return await self._lookup(row.daemon, row.token)

    async def _replay(self, row: ClaimRow) -> Replay | Refusal:
        """Return the recorded response of an executed call, or refuse the call."""
        found = await read_response(self._store, row.response)
        if isinstance(found, RecordedResponse):
            metrics.CLAIMS.labels("replayed").inc()
            return Replay(response=found)
        reason = RefusalReason.OUTCOME_UNKNOWN
        retry_after = None
        if found is ReplayFailure.UNREADABLE:
            reason, retry_after = RefusalReason.STORE_UNAVAILABLE, 1.0
        # Not Executed.NO: this attempt ran nothing, but an earlier one was executed.
        return _refusal(reason, Executed.UNKNOWN, found.value, retry_after=retry_after)

    async def _update_row(self, claim: HeldClaim, row: ClaimRow) -> bool:
        """Replace the row of a held claim; return whether the store confirmed it."""
        result = await self._write(claim, row, claim.revision, add_age_row=False)
        if isinstance(result, Committed):
            written = True
        elif isinstance(result, Conflict):
            found = result.rows_by_key.get(claim.row_key)
            present = None if found is None else parse_row(found.value)
            # Equal if an earlier write took effect and only its response was lost.
            written = present == row
        else:
            written = False
        outcome = row.state.value if written else f"{row.state.value}_unconfirmed"
        metrics.CLAIMS.labels(outcome).inc()
        return written

    async def _write(
        self, claim: HeldClaim, row: ClaimRow, revision: int, *, add_age_row: bool
    ) -> Committed | Conflict | StoreFailure:
        """Send one conditional write, with retries until the store decides on it.

        ``add_age_row`` is true when the key is claimed and false when the row of a
        held claim is replaced.
        """
        conditions = [Condition(key=claim.row_key, revision=revision)]
        writes = [Put(key=claim.row_key, value=row.fields())]
        if add_age_row:
            writes.append(Put(key=row.age_key, value={"row": claim.row_key}))
        result: Committed | Conflict | StoreFailure
        for attempt in range(WRITE_ATTEMPTS):
            await sleep_before_retry(self._clock, attempt)
            result = await self._store.transact(conditions, writes)
            if not isinstance(result, StoreFailure):
                return result
            # A claim that is written after the deadline is of no use to the caller.
            if add_age_row and self._clock.now() >= claim.deadline:
                break
        return result

    def _close(self, claim: HeldClaim, *, never_run: bool) -> None:
        claim.close()
        self._running_tokens.discard(claim.token)
        if not never_run:
            return
        self._never_run_tokens[claim.token] = None
        while len(self._never_run_tokens) > MAX_NEVER_RUN_TOKENS:
            self._never_run_tokens.popitem(last=False)


def _executed_without_claim(claim: HeldClaim) -> Executed:
    """Return ``executed`` for a refusal of a call that did not get the claim.

    NO for the first attempt of the caller, UNKNOWN for later ones, because an earlier
    attempt may have been executed.
    """
    return Executed.NO if claim.row.caller_attempt <= 1 else Executed.UNKNOWN


def _revision_to_overwrite(
    claim: HeldClaim, row: ClaimRow, revision: int
) -> int | Refusal:
    """Return ``revision``, or a refusal if the row is of a later caller attempt.

    The caller was informed that nothing ran up to the later attempt, so an earlier
    attempt, which may have been delayed for long, must not run after it.
    """
    if row.caller_attempt <= claim.row.caller_attempt:
        return revision
    detail = "a later attempt with the same key was already handled"
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
