"""Routes one call from the entry daemon to a target.

The order of steps is: lists, quarantine, allowance, claim, then attempts. Each step
may refuse, and a refusal before the first attempt certainly means "not executed".
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from random import Random

from .. import invariants, metrics
from ..clock import Clock
from ..ids import DaemonId, TargetId
from ..protocol import headers as names
from ..protocol.answers import (
    Answer,
    Body,
    BodyEnd,
    close_body,
    observe_end,
    read_up_to,
)
from ..protocol.frames import CallHead
from ..state.refusals import Executed, Refusal, RefusalReason
from ..state.targets import LoadReport, Outcome, TargetView
from ..state.token_cache import Grant
from ..state.versions import VersionedLists
from .balancer import Balancer
from .calls import Call, RoutedCall, head_for, match_call, refuse
from .claimed import Claimed
from .claimrows import MAX_RECORDED_ANSWER, ClaimKey, RecordedAnswer
from .claims import Claims, Replay
from .quarantine import Quarantine
from .quota_exchange import QuotaExchange
from .retries import (
    Denied,
    RetryBudget,
    RetryCase,
    count_call,
    final_refusal,
    full_jitter,
    make_decider,
)

Send = Callable[
    [DaemonId, CallHead, Body], Awaitable[tuple[Answer | Refusal, LoadReport | None]]
]

# Answers up to this size are read whole before their head is passed on, so that an
# answer that is cut on its way can be fetched again from another target.
BUFFERED_ANSWER = 256 * 1024
# Memory of one daemon for such answers; beyond it they are streamed.
BUFFER_MEMORY = 8 * 1024 * 1024
# Expected size of an answer of unknown length, for the budget of the region link.
TYPICAL_ANSWER = 4096


@dataclass(slots=True, kw_only=True)
class Attempts:
    """The attempts of one call so far.

    ``failures`` counts those on which the target failed. ``may_have_run`` once an
    attempt ended without saying that the call was not executed.
    """

    routed: RoutedCall
    claimed: Claimed | None
    tried: frozenset[TargetId] = frozenset()
    tries: int = 0
    failures: int = 0
    may_have_run: bool = False

    def note(self, refusal: Refusal) -> None:
        """Take the end of one attempt into account."""
        self.failures += refusal.reason is RefusalReason.TARGET_FAILED
        self.may_have_run |= refusal.executed is not Executed.NO

    def final(self, refusal: Refusal) -> Refusal:
        """Return the last refusal; it says "not executed" only for all attempts."""
        executed = Executed.UNKNOWN if self.may_have_run else refusal.executed
        return replace(final_refusal(refusal), executed=executed)


class CallRouter:
    """Decides on each call that enters at this daemon."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: Random,
        versions: VersionedLists,
        quotas: QuotaExchange,
        quarantine: Quarantine,
        claims: Claims,
        balancer: Balancer,
        send: Send,
        max_deadline: float,
        max_calls: int,
    ) -> None:
        self._clock = clock
        self._versions = versions
        self._quotas = quotas
        self._quarantine = quarantine
        self._claims = claims
        self._balancer = balancer
        self._send = send
        self._max_deadline = max_deadline
        self._max_calls = max_calls
        self._budget = RetryBudget(clock=clock)
        self._decide = make_decider(
            clock=clock, budget=self._budget, pause=full_jitter(rng)
        )
        self._buffered = 0
        self._keyed_calls: set[asyncio.Task[Answer | Refusal]] = set()
        self._recordings: set[asyncio.Task[bool]] = set()
        self.in_flight = 0

    @property
    def is_idle(self) -> bool:
        """Whether no call and no recording of an answer is under way."""
        return not (self.in_flight or self._keyed_calls or self._recordings)

    async def handle(self, call: Call) -> Answer | Refusal:
        """Return the answer of a target or the refusal of one call."""
        if self.in_flight >= self._max_calls:
            return refuse(
                RefusalReason.QUEUE_FULL,
                "this daemon holds too many calls",
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
        # The claim is taken for one execution: a caller that goes away must not cut
        # it, because a resend then gets the recorded answer.
        task = asyncio.create_task(self._handle_within_allowance(routed))
        self._keyed_calls.add(task)
        task.add_done_callback(self._keyed_calls.discard)
        return await asyncio.shield(task)

    async def _handle_within_allowance(self, routed: RoutedCall) -> Answer | Refusal:
        grant = await self._acquire(routed)
        if isinstance(grant, Refusal):
            return grant
        self.in_flight += 1
        started = self._clock.now()

        def finish(end: BodyEnd) -> None:
            self.in_flight -= 1
            self._quotas.finished(grant)
            metrics.CALL_SECONDS.labels(routed.route.service).observe(
                self._clock.now() - started
            )

        try:
            if routed.needs_claim:
                result = await self._handle_claimed(routed)
            else:
                result = await self._attempt_until_done(
                    Attempts(routed=routed, claimed=None)
                )
        except BaseException:
            finish(BodyEnd.ABANDONED)
            raise
        return observe_end(result, finish)

    async def _acquire(self, routed: RoutedCall) -> Grant | Refusal:
        allowance, customer = routed.allowance, routed.customer
        grant = self._quotas.try_acquire(
            customer, allowance.service, allowance.path, allowance, routed.deadline
        )
        if grant is not None:
            return grant
        return await self._quotas.acquire(
            customer, allowance.service, allowance.path, allowance, routed.deadline
        )

    async def _handle_claimed(self, routed: RoutedCall) -> Answer | Refusal:
        call = routed.call
        if call.body_digest is None or call.idempotency_key is None:
            return refuse(
                RefusalReason.BODY_TOO_LARGE,
                "a call with an idempotency key must fit the buffer of the daemon",
            )
        claimed = await self._claims.take(
            ClaimKey(
                customer=routed.customer,
                service=routed.route.service,
                key=call.idempotency_key,
            ),
            call.body_digest,
            deadline=routed.deadline,
            attempt=routed.limits.attempt,
        )
        if isinstance(claimed, Replay):
            return _replayed(claimed.answer)
        if isinstance(claimed, Refusal):
            return claimed
        try:
            result = await self._attempt_until_done(
                Attempts(routed=routed, claimed=claimed)
            )
            return await self._settle_claim(claimed, result)
        except BaseException:
            self._claims.forget(claimed)
            raise

    async def _settle_claim(
        self, claimed: Claimed, result: Answer | Refusal
    ) -> Answer | Refusal:
        if isinstance(result, Refusal):
            if result.executed is Executed.NO:
                await self._claims.release(claimed)
            else:
                self._claims.forget(claimed)
            return result
        whole = await read_up_to(result, MAX_RECORDED_ANSWER)
        if isinstance(whole, Refusal):
            self._claims.forget(claimed)
            return whole
        if not isinstance(whole.body, bytes):
            # Too long to be recorded; a resend will be told that it was executed.
            self._record(claimed, whole, b"\0" * (MAX_RECORDED_ANSWER + 1))
        else:
            self._record(claimed, whole, whole.body)
        return whole

    def _record(self, claimed: Claimed, answer: Answer, body: bytes) -> None:
        recorded = RecordedAnswer(
            status=answer.status, headers=tuple(answer.headers), body=body
        )
        # The caller does not wait for the store; a resend meanwhile is told that
        # the call is in progress.
        task = asyncio.create_task(self._claims.record(claimed, recorded))
        self._recordings.add(task)
        task.add_done_callback(self._recordings.discard)

    async def _attempt_until_done(self, attempts: Attempts) -> Answer | Refusal:
        routed = attempts.routed
        attempts.tried = self._quarantine.targets_crashed_with(routed.fingerprint)
        count_call(self._budget, routed.route.service, routed.customer)
        while True:
            result = await self._attempt(attempts)
            if isinstance(result, Answer):
                return result
            attempts.note(result)
            decision = self._decide(
                RetryCase(
                    refusal=result,
                    service=routed.route.service,
                    customer=routed.customer,
                    tries=max(1, attempts.tries),
                    failures=attempts.failures,
                    deadline=routed.deadline,
                    idempotent=routed.is_idempotent,
                    answer_started=not isinstance(routed.call.body, bytes),
                )
            )
            if isinstance(decision, Denied):
                return attempts.final(result)
            await self._clock.sleep(decision.seconds)
            # The target may have died of this call.
            if self._quarantine.check(routed.fingerprint) is not None:
                return attempts.final(result)

    async def _attempt(self, attempts: Attempts) -> Answer | Refusal:
        routed = attempts.routed
        length = routed.call.body_length or 0
        target = self._balancer.choose(
            routed.route.service,
            exclude=attempts.tried,
            expected_bytes=length + TYPICAL_ANSWER,
        )
        if isinstance(target, Refusal) and attempts.tried:
            # Every target was tried or avoided; the first one may have recovered.
            attempts.tried = frozenset()
            target = self._balancer.choose(
                routed.route.service,
                exclude=attempts.tried,
                expected_bytes=length + TYPICAL_ANSWER,
            )
        if isinstance(target, Refusal):
            return target
        if attempts.claimed is not None and not attempts.claimed.may_dispatch():
            return refuse(
                RefusalReason.DEADLINE_EXCEEDED, "the claim is no longer valid"
            )
        attempts.tries += 1
        attempts.tried |= {target.target_id}
        return await self._dispatch(attempts, target)

    async def _dispatch(
        self, attempts: Attempts, target: TargetView
    ) -> Answer | Refusal:
        routed, claimed = attempts.routed, attempts.claimed
        head = head_for(
            routed,
            target=target.target_id,
            now=self._clock.now(),
            attempt=attempts.tries,
        )
        invariants.check(
            "second_dispatch_only_if_safe",
            routed.is_idempotent or not attempts.may_have_run,
        )
        if claimed is not None:
            claimed.dispatched()
        started = self._clock.now()
        self._balancer.started(target)
        ended = False

        def finish(outcome: Outcome, report: LoadReport | None) -> None:
            nonlocal ended
            if not ended:
                ended = True
                seconds = self._clock.now() - started
                self._balancer.finished(target, outcome, seconds, report)

        try:
            result, report = await self._send(target.daemon_id, head, routed.call.body)
            if isinstance(result, Answer) and routed.is_idempotent:
                result = await self._buffer(result)
        except BaseException:
            finish(Outcome.CANCELLED, None)
            raise
        if isinstance(result, Refusal):
            if claimed is not None and result.executed is Executed.NO:
                claimed.not_executed()
            finish(_outcome_of(result), report)
            return result
        first_report = report
        return observe_end(
            result, lambda end: finish(_OUTCOME_BY_END[end], first_report)
        )

    async def _buffer(self, answer: Answer) -> Answer | Refusal:
        """Read a short answer whole, as long as memory for it is left."""
        length = answer.body_length
        if isinstance(answer.body, bytes) or length is None:
            return answer
        if length > BUFFERED_ANSWER or self._buffered + length > BUFFER_MEMORY:
            return answer
        self._buffered += length
        try:
            return await read_up_to(answer, length)
        except BaseException:
            close_body(answer.body)
            raise
        finally:
            self._buffered -= length


_OUTCOME_BY_END = {
    BodyEnd.COMPLETE: Outcome.ANSWERED,
    BodyEnd.CUT: Outcome.FAILED,
    BodyEnd.ABANDONED: Outcome.CANCELLED,
}


def _outcome_of(refusal: Refusal) -> Outcome:
    if refusal.reason is RefusalReason.CONNECT_FAILED:
        return Outcome.FAILED
    return Outcome.REFUSED if refusal.executed is Executed.NO else Outcome.FAILED


def _replayed(answer: RecordedAnswer) -> Answer:
    return Answer(
        status=answer.status,
        headers=[*answer.headers, (names.REPLAYED, "true")],
        body_length=len(answer.body),
        body=answer.body,
    )
