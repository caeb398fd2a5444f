"""Routes a call from the entry daemon to a target.

The steps are, in this order: look up customer, route and allowance in the
configuration; check the quarantine; acquire tokens of the allowance; claim the
idempotency key if the call needs a claim; make attempts until one gets a response or a
retry is denied. Each step may refuse the call. A call that is refused before the first
attempt was not executed by this daemon. The claim step may still refuse it as
``executed: "unknown"``, if its key may have been executed earlier.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from random import Random

from .. import invariants, metrics
from ..clock import Clock
from ..ids import DaemonId, TargetId
from ..protocol import headers as names
from ..protocol.frames import CallHead
from ..protocol.responses import (
    Body,
    BodyEnd,
    CallResponse,
    close_body,
    observe_body_end,
    read_body_up_to,
)
from ..state.refusals import Executed, Refusal, RefusalReason
from ..state.targets import AttemptOutcome, LoadReport, TargetView
from ..state.token_cache import CallGrant
from ..state.versions import VersionedLists
from .balancer import Balancer
from .calls import Call, RoutedCall, build_call_head, match_call, refuse
from .claimed import HeldClaim
from .claimrows import MAX_RECORDED_RESPONSE, ClaimKey, RecordedResponse
from .claims import Claims, Replay
from .quarantine import Quarantine
from .quota_exchange import QuotaClient
from .retries import (
    MAX_TARGET_FAILURES,
    RetryBudget,
    RetryCase,
    RetryDenied,
    count_first_attempt,
    full_jitter_backoff,
    make_retry_decider,
    mark_retried,
)

# Forwards a call to a host daemon. Returns the result and, if the host daemon sent one,
# the load report of its target.
ForwardCall = Callable[
    [DaemonId, CallHead, Body],
    Awaitable[tuple[CallResponse | Refusal, LoadReport | None]],
]

# Responses to idempotent calls up to this size are read whole before their head is
# sent to the caller, so that the call can be retried on another target if the response
# is truncated.
MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024
# Memory of one daemon for such responses; when it is full, responses are streamed.
RESPONSE_BUFFER_BYTES = 8 * 1024 * 1024
# Response size that is assumed when a call is charged to the budget of the link between
# regions, because the size of the response is not known in advance.
EXPECTED_RESPONSE_BYTES = 4096


@dataclass(slots=True, kw_only=True)
class Attempts:
    """State of the attempts of one call.

    ``excluded`` are the targets that the next attempt avoids: those of earlier attempts
    and those that crashed while they ran the same call. ``count`` is the number of
    attempts, ``target_failures`` the number of those that ended with TARGET_FAILED,
    counting a target that an earlier call with the same request crashed.
    ``may_have_run`` is set once an attempt was refused without the certainty that the
    call was not executed.
    """

    routed: RoutedCall
    claim: HeldClaim | None
    excluded: frozenset[TargetId] = frozenset()
    count: int = 0
    target_failures: int = 0
    may_have_run: bool = False

    def record_refusal(self, refusal: Refusal) -> None:
        """Update the state with the refusal that ended an attempt."""
        self.target_failures += refusal.reason is RefusalReason.TARGET_FAILED
        self.may_have_run |= refusal.executed is not Executed.NO

    def refusal_for_caller(self, refusal: Refusal) -> Refusal:
        """Return the last refusal in the form that the caller gets.

        It has ``executed: "no"`` only if no attempt may have executed the call.
        """
        executed = Executed.UNKNOWN if self.may_have_run else refusal.executed
        return replace(mark_retried(refusal), executed=executed)


class CallRouter:
    """Routes the calls that callers send to this daemon.

    ``max_deadline`` is the longest deadline in seconds that a call may have;
    ``max_calls`` is the number of calls that may be in flight at the same time.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: Random,
        versions: VersionedLists,
        quotas: QuotaClient,
        quarantine: Quarantine,
        claims: Claims,
        balancer: Balancer,
        forward: ForwardCall,
        max_deadline: float,
        max_calls: int,
    ) -> None:
        self._clock = clock
        self._versions = versions
        self._quotas = quotas
        self._quarantine = quarantine
        self._claims = claims
        self._balancer = balancer
        self._forward_call = forward
        self._max_deadline = max_deadline
        self._max_calls = max_calls
        self._retry_budget = RetryBudget(clock=clock)
        self._decide_retry = make_retry_decider(
            clock=clock, budget=self._retry_budget, backoff=full_jitter_backoff(rng)
        )
        self._buffered_bytes = 0
        self._claim_call_tasks: set[asyncio.Task[CallResponse | Refusal]] = set()
        self._recording_tasks: set[asyncio.Task[bool]] = set()
        self.in_flight = 0

    @property
    def is_idle(self) -> bool:
        """Whether no call is in flight and no response is being recorded."""
        return not (self.in_flight or self._claim_call_tasks or self._recording_tasks)

    async def handle(self, call: Call) -> CallResponse | Refusal:
        """Return the response of a target to the call, or why it is refused."""
        if self.in_flight >= self._max_calls:
            return refuse(
                RefusalReason.QUEUE_FULL,
                "this daemon has too many calls in flight",
                retry_after=1.0,
            )
        routed = match_call(
            call,
            self._versions.table,
            now=self._clock.now(),
            max_deadline=self._max_deadline,
        )
        if isinstance(routed, Refusal):
            return routed
        refusal = self._quarantine.check(routed.fingerprint)
        if refusal is not None:
            return refusal
        if not routed.needs_claim:
            return await self._handle_within_allowance(routed)
        # Runs in a task of its own, so that the call completes even if the caller
        # disconnects: the claim permits one execution, and a caller that sends the
        # call again gets the recorded response.
        task = asyncio.create_task(self._handle_within_allowance(routed))
        self._claim_call_tasks.add(task)
        task.add_done_callback(self._claim_call_tasks.discard)
        return await asyncio.shield(task)

    async def _handle_within_allowance(
        self, routed: RoutedCall
    ) -> CallResponse | Refusal:
        """Acquire a grant of the allowance, then make the attempts of the call."""
        grant = await self._acquire_grant(routed)
        if isinstance(grant, Refusal):
            return grant
        self.in_flight += 1
        started_at = self._clock.now()

        def on_call_end(end: BodyEnd) -> None:
            self.in_flight -= 1
            self._quotas.release_permit(grant)
            metrics.CALL_SECONDS.labels(routed.route.service).observe(
                self._clock.now() - started_at
            )

        try:
            if routed.needs_claim:
                result = await self._handle_under_claim(routed)
            else:
                result = await self._attempt_with_retries(
                    Attempts(routed=routed, claim=None)
                )
        except BaseException:
            on_call_end(BodyEnd.ABANDONED)
            raise
        return observe_body_end(result, on_call_end)

    async def _acquire_grant(self, routed: RoutedCall) -> CallGrant | Refusal:
        """Return a grant of the customer's allowance, waiting for one if necessary."""
        allowance, customer = routed.allowance, routed.customer
        grant = self._quotas.try_acquire(
            customer, allowance.service, allowance.path, allowance, routed.deadline
        )
        if grant is not None:
            return grant
        return await self._quotas.acquire(
            customer, allowance.service, allowance.path, allowance, routed.deadline
        )

    async def _handle_under_claim(self, routed: RoutedCall) -> CallResponse | Refusal:
        """Claim the idempotency key, make the attempts and settle the claim.

        If the key was executed before, returns the recorded response instead.
        """
        call = routed.call
        if call.body_digest is None or call.idempotency_key is None:
            return refuse(
                RefusalReason.BODY_TOO_LARGE,
                "a call with an idempotency key must fit in the daemon's body buffer",
            )
        claim = await self._claims.acquire(
            ClaimKey(
                customer=routed.customer,
                service=routed.route.service,
                key=call.idempotency_key,
            ),
            call.body_digest,
            deadline=routed.deadline,
            caller_attempt=routed.limits.caller_attempt,
        )
        if isinstance(claim, Replay):
            return _replayed_response(claim.response)
        if isinstance(claim, Refusal):
            return claim
        try:
            result = await self._attempt_with_retries(
                Attempts(routed=routed, claim=claim)
            )
            return await self._settle_claim(claim, result)
        except BaseException:
            self._claims.abandon(claim)
            raise

    async def _settle_claim(
        self, claim: HeldClaim, result: CallResponse | Refusal
    ) -> CallResponse | Refusal:
        """Record the response, release the claim, or leave the outcome as unknown.

        The claim is released only if the call was certainly not executed.
        """
        if isinstance(result, Refusal):
            if result.executed is Executed.NO:
                await self._claims.release(claim)
            else:
                self._claims.abandon(claim)
            return result
        response = await read_body_up_to(result, MAX_RECORDED_RESPONSE)
        if isinstance(response, Refusal):
            self._claims.abandon(claim)
            return response
        if not isinstance(response.body, bytes):
            # The response is too large to be recorded. A body one byte above the limit
            # makes the claim record only that the call was executed.
            self._start_recording(claim, response, b"\0" * (MAX_RECORDED_RESPONSE + 1))
        else:
            self._start_recording(claim, response, response.body)
        return response

    def _start_recording(
        self, claim: HeldClaim, response: CallResponse, body: bytes
    ) -> None:
        recorded = RecordedResponse(
            status=response.status, headers=tuple(response.headers), body=body
        )
        # Recorded in the background, so that the caller does not wait for the store.
        # If the same key arrives meanwhile, it is refused as in progress.
        task = asyncio.create_task(self._claims.record(claim, recorded))
        self._recording_tasks.add(task)
        task.add_done_callback(self._recording_tasks.discard)

    async def _attempt_with_retries(self, attempts: Attempts) -> CallResponse | Refusal:
        """Make attempts until one gets a response or the next one is denied."""
        routed = attempts.routed
        crashed = self._quarantine.targets_crashed_with(routed.fingerprint)
        attempts.excluded = crashed
        # The next failed target is the last one: the notice of its crash may arrive
        # only after the call was sent on.
        attempts.target_failures = min(len(crashed), MAX_TARGET_FAILURES - 1)
        count_first_attempt(self._retry_budget, routed.route.service, routed.customer)
        while True:
            result = await self._attempt_once(attempts)
            if isinstance(result, CallResponse):
                return result
            attempts.record_refusal(result)
            decision = self._decide_retry(
                RetryCase(
                    refusal=result,
                    service=routed.route.service,
                    customer=routed.customer,
                    attempts=max(1, attempts.count),
                    target_failures=attempts.target_failures,
                    deadline=routed.deadline,
                    idempotent=routed.is_idempotent,
                    body_streamed=not isinstance(routed.call.body, bytes),
                )
            )
            if isinstance(decision, RetryDenied):
                return attempts.refusal_for_caller(result)
            await self._clock.sleep(decision.seconds)
            # If this call crashed its target, it may have been quarantined since.
            if self._quarantine.check(routed.fingerprint) is not None:
                return attempts.refusal_for_caller(result)

    async def _attempt_once(self, attempts: Attempts) -> CallResponse | Refusal:
        """Choose a target and forward the call to its host daemon.

        A refusal before the call is forwarded is not counted as an attempt.
        """
        routed = attempts.routed
        body_length = routed.call.body_length or 0
        target = self._balancer.choose(
            routed.route.service,
            exclude=attempts.excluded,
            expected_bytes=body_length + EXPECTED_RESPONSE_BYTES,
        )
        if isinstance(target, Refusal) and attempts.excluded:
            # No target is left besides the excluded ones. Allows all of them again,
            # because one that failed or crashed earlier may have recovered.
            attempts.excluded = frozenset()
            target = self._balancer.choose(
                routed.route.service,
                exclude=attempts.excluded,
                expected_bytes=body_length + EXPECTED_RESPONSE_BYTES,
            )
        if isinstance(target, Refusal):
            return target
        if attempts.claim is not None and not attempts.claim.may_dispatch():
            return refuse(
                RefusalReason.DEADLINE_EXCEEDED, "the claim is no longer valid"
            )
        attempts.count += 1
        attempts.excluded |= {target.target_id}
        return await self._forward(attempts, target)

    async def _forward(
        self, attempts: Attempts, target: TargetView
    ) -> CallResponse | Refusal:
        """Forward the call to the target's host daemon; report the end to the balancer.

        The attempt ends when its response is read whole, truncated or abandoned.
        """
        routed, claim = attempts.routed, attempts.claim
        head = build_call_head(
            routed,
            target=target.target_id,
            now=self._clock.now(),
            attempt=attempts.count,
        )
        invariants.check(
            "second_dispatch_only_if_safe",
            routed.is_idempotent or not attempts.may_have_run,
        )
        if claim is not None:
            claim.mark_dispatched()
        started_at = self._clock.now()
        self._balancer.attempt_started(target)
        ended = False

        def end_attempt(outcome: AttemptOutcome, report: LoadReport | None) -> None:
            nonlocal ended
            if not ended:
                ended = True
                seconds = self._clock.now() - started_at
                self._balancer.attempt_ended(target, outcome, seconds, report)

        try:
            result, report = await self._forward_call(
                target.daemon_id, head, routed.call.body
            )
            if isinstance(result, CallResponse) and routed.is_idempotent:
                result = await self._buffer_response(result)
        except BaseException:
            end_attempt(AttemptOutcome.CANCELLED, None)
            raise
        if isinstance(result, Refusal):
            if claim is not None and result.executed is Executed.NO:
                claim.mark_not_executed()
            end_attempt(_outcome_of(result), report)
            return result
        response_report = report
        return observe_body_end(
            result, lambda end: end_attempt(_OUTCOME_BY_END[end], response_report)
        )

    async def _buffer_response(self, response: CallResponse) -> CallResponse | Refusal:
        """Read a short response whole if the buffer has room for it.

        Returns a refusal if the response is truncated, so that the call can be retried.
        Responses that are long, or of unknown length, are returned as they are.
        """
        length = response.body_length
        if isinstance(response.body, bytes) or length is None:
            return response
        if (
            length > MAX_BUFFERED_RESPONSE_BYTES
            or self._buffered_bytes + length > RESPONSE_BUFFER_BYTES
        ):
            return response
        self._buffered_bytes += length
        try:
            return await read_body_up_to(response, length)
        except BaseException:
            close_body(response.body)
            raise
        finally:
            self._buffered_bytes -= length


_OUTCOME_BY_END = {
    BodyEnd.COMPLETE: AttemptOutcome.ANSWERED,
    BodyEnd.TRUNCATED: AttemptOutcome.FAILED,
    BodyEnd.ABANDONED: AttemptOutcome.CANCELLED,
}


def _outcome_of(refusal: Refusal) -> AttemptOutcome:
    # A failed connection counts against the target although nothing was executed.
    if refusal.reason is RefusalReason.CONNECT_FAILED:
        return AttemptOutcome.FAILED
    return (
        AttemptOutcome.REFUSED
        if refusal.executed is Executed.NO
        else AttemptOutcome.FAILED
    )


def _replayed_response(recorded: RecordedResponse) -> CallResponse:
    return CallResponse(
        status=recorded.status,
        headers=[*recorded.headers, (names.REPLAYED, "true")],
        body_length=len(recorded.body),
        body=recorded.body,
    )
