"""Runs requests on the target beside this daemon.

The daemon is the only way to its target. It hands over no more requests than the
target has slots, keeps the others in order of urgency, and tells for each request
whether the target may have run it. An unsafe request is known by the id of its client
attempt: a second copy that arrives here joins the first one and is never run again.
"""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, replace

from ... import metrics
from ...events import EventLog
from ...ids import TargetId
from ...protocol.exchanges import (
    Address,
    ExchangeFailed,
    Exchanger,
    FailureReason,
    parse_address,
)
from ...protocol.http1 import HttpRequest, HttpResponse
from ...state.calls import (
    HostedCall,
    HostLoad,
    HostOutcome,
    HostReason,
    HostReply,
    MeshCall,
    TargetAnswer,
)
from ...state.hosts import TargetDeath
from .admission import Admission, RunningMean
from .crashes import CrashEvidence, CrashHistory
from .registration import TargetHeartbeat

# The target answers by itself at its deadline; the connection is cut a little later.
ANSWER_MARGIN_SECONDS = 0.1
# Outcomes of unsafe requests are kept while the entry daemon may still ask again.
KEEP_OUTCOME_SECONDS = 10.0
# An unsafe request that waits for a slot is withdrawn this long after its entry daemon
# has left; a lost connection is replaced sooner.
REJOIN_SECONDS = 0.3
# A target may drop an idle connection without notice, at times after 0.2 s, and an
# unsafe request that was sent on it cannot be repeated.
UNSAFE_IDLE_SECONDS = 0.15
FAILING_WEIGHT = 0.1
# Routes whose service times are remembered; a configuration has about 1,000, and few
# of them lead to one service.
MAX_ROUTES = 256
# The share of failures halves in this time without requests; then it is tried again.
FAILING_HALF_LIFE_SECONDS = 3.0

# A target that dies takes the connections of its requests with it.
_LOST_CONNECTION = frozenset((HostReason.TARGET_RESET, HostReason.TARGET_BROKE_OFF))
_REASON_BY_FAILURE = {
    FailureReason.CONNECT_FAILED: HostReason.TARGET_DOWN,
    FailureReason.RESET: HostReason.TARGET_RESET,
    FailureReason.CUT_SHORT: HostReason.TARGET_BROKE_OFF,
    FailureReason.MALFORMED: HostReason.TARGET_SPOILED,
    FailureReason.TOO_LARGE: HostReason.TARGET_SPOILED,
    FailureReason.TIMED_OUT: HostReason.TIMED_OUT,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetVerdict:
    """An answer of a target as the adapter decoded it."""

    answer: TargetAnswer
    ran: bool
    other_target: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetCodec:
    """How requests and answers look on the connection to the target.

    ``attempt_of`` returns the attempt id that an answer echoes, None without one.
    """

    encode: Callable[[MeshCall, TargetId, float], HttpRequest]
    decode: Callable[[HttpResponse], TargetVerdict]
    attempt_of: Callable[[HttpResponse], str | None]


class FailingShare:
    """Recent share of requests that failed, decaying while there are none."""

    def __init__(self) -> None:
        self._share = 0.0
        self._updated = 0.0

    def at(self, now: float) -> float:
        """Return the share at ``now``, between 0 and 1."""
        halvings = (now - self._updated) / FAILING_HALF_LIFE_SECONDS
        return self._share * math.pow(0.5, max(0.0, halvings))

    def record(self, failed: bool, now: float) -> None:
        """Record the end of one request."""
        share = self.at(now)
        self._share = share + FAILING_WEIGHT * (float(failed) - share)
        self._updated = now


@dataclass(slots=True, kw_only=True)
class _UnsafeRun:
    task: "asyncio.Task[HostReply] | None" = None
    followers: int = 0
    handed_over: bool = False


class Host:
    """The requests that run on the target beside this daemon.

    ``died`` is told of each death of a target that ran requests.
    """

    def __init__(
        self,
        *,
        pool: Exchanger,
        codec: TargetCodec,
        crashes: CrashHistory,
        died: Callable[[TargetDeath], None],
        events: EventLog,
    ) -> None:
        self._pool = pool
        self._codec = codec
        self._crashes = crashes
        self._died = died
        self._evidence = CrashEvidence()
        self._events = events
        self._loop = asyncio.get_running_loop()
        self._target: TargetHeartbeat | None = None
        # The target that was served last, also after it fell silent.
        self._last_target: TargetHeartbeat | None = None
        self._address: Address | None = None
        self._admission = Admission(slots=1)
        self._failing = FailingShare()
        self._time_by_route: dict[str, RunningMean] = {}
        self._unsafe_by_attempt: dict[str, _UnsafeRun] = {}
        self.stopping = False

    def set_target(self, report: TargetHeartbeat | None) -> None:
        """Serve the target of ``report`` from now on; None if there is none."""
        known = self._target
        same_life = known and report and known.incarnation == report.incarnation
        self._target = report
        if report is None or report.leaving:
            if report is not None:
                self._last_target = report
            self._admission.close(
                HostReason.LEAVING if report else HostReason.NO_TARGET
            )
            return
        if same_life:
            self._last_target = report
            self._admission.resize(report.slots)
            return
        last = self._last_target
        if last is not None and last.incarnation == report.incarnation:
            # It was silent and goes on, so that nothing lost meanwhile was its death.
            self._evidence.clear()
        self._judge_death(last)
        self._last_target = report
        # A new life has free slots, and what was learnt of the former one is void.
        if self._address is not None:
            self._pool.close_idle(self._address)
        self._address = parse_address(report.address)
        self._admission = Admission(slots=report.slots)
        self._failing = FailingShare()
        self._time_by_route.clear()

    def stop_admitting(self) -> None:
        """Refuse new requests; those that run go on."""
        self.stopping = True
        self._admission.close(HostReason.LEAVING)

    def load(self, route: str | None = None) -> HostLoad:
        """Return the load that entry daemons choose by, for a request on ``route``."""
        admission = self._admission
        mean = self._time_by_route.get(route) if route is not None else None
        return HostLoad(
            running=admission.running,
            waiting=admission.waiting,
            slots=admission.slots,
            seconds=admission.service_time.seconds,
            failing=self._failing.at(self._loop.time()),
            route_seconds=mean.seconds if mean is not None else 0.0,
        )

    async def run(self, hosted: HostedCall) -> HostReply:
        """Run one request, or say why not."""
        if hosted.safe or not hosted.call.attempt:
            reply = await self._run(hosted, None)
        else:
            reply = await self._run_unsafe(hosted)
        return replace(reply, load=self.load(hosted.route))

    async def _run_unsafe(self, hosted: HostedCall) -> HostReply:
        attempt = hosted.call.attempt
        run = self._unsafe_by_attempt.get(attempt)
        if run is None:
            # The task must know its record before it starts, to mark the hand-over.
            run = _UnsafeRun()
            run.task = self._loop.create_task(self._run(hosted, run))
            self._unsafe_by_attempt[attempt] = run
            run.task.add_done_callback(lambda _: self._forget_later(attempt))
        task = run.task
        assert task is not None
        run.followers += 1
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if task.cancelled():
                return _refused(HostReason.EXPIRED)
            raise
        finally:
            run.followers -= 1
            if not run.followers and not task.done():
                self._loop.call_later(REJOIN_SECONDS, self._withdraw, run, task)

    @staticmethod
    def _withdraw(run: _UnsafeRun, task: "asyncio.Task[HostReply]") -> None:
        if not run.followers and not run.handed_over:
            task.cancel()

    def _forget_later(self, attempt: str) -> None:
        self._loop.call_later(
            KEEP_OUTCOME_SECONDS, self._unsafe_by_attempt.pop, attempt, None
        )

    async def _run(self, hosted: HostedCall, run: _UnsafeRun | None) -> HostReply:
        refusal = self._refusal_of(hosted)
        if refusal is None and self._crashes.blocks(hosted.call):
            refusal = HostReason.QUARANTINED
        if refusal is not None:
            return _refused(refusal)
        admission = self._admission
        arrived = self._loop.time()
        refusal = await admission.enter(
            rank=hosted.rank,
            late=hosted.late,
            max_wait=hosted.max_wait,
            seconds=self._time_of(hosted.route).seconds,
        )
        if refusal is not None:
            return _refused(refusal)
        try:
            refusal = self._refusal_of(hosted)
            left = hosted.time_left - (self._loop.time() - arrived)
            if refusal is None and left <= 0:
                refusal = HostReason.EXPIRED
            if refusal is not None or admission is not self._admission:
                return _refused(refusal or HostReason.NO_TARGET)
            if run is not None:
                run.handed_over = True
            return await self._hand_over(hosted, admission, left)
        finally:
            admission.leave()

    def _refusal_of(self, hosted: HostedCall) -> HostReason | None:
        target = self._target
        if self.stopping:
            return HostReason.LEAVING
        if target is None:
            return HostReason.NO_TARGET
        if target.service != hosted.service:
            return HostReason.OTHER_TARGET
        return HostReason.LEAVING if target.leaving else None

    async def _hand_over(
        self, hosted: HostedCall, admission: Admission, left: float
    ) -> HostReply:
        target, address = self._target, self._address
        assert target is not None and address is not None
        call = hosted.call
        started = self._loop.time()

        def is_own(response: HttpResponse) -> bool:
            echoed = self._codec.attempt_of(response)
            return echoed is None or not call.attempt or echoed == call.attempt

        try:
            result = await self._pool.exchange(
                address,
                self._codec.encode(call, target.target, left),
                timeout=left + ANSWER_MARGIN_SECONDS,
                accept=is_own,
                max_idle=None if hosted.safe else UNSAFE_IDLE_SECONDS,
            )
        except asyncio.CancelledError:
            # Clients often leave because it takes too long; without these requests
            # the target seems faster than it is.
            given_up = self._loop.time() - started
            admission.service_time.add_if_longer(given_up)
            self._time_of(hosted.route).add_if_longer(given_up)
            raise
        ran = self._loop.time() - started
        metrics.MESH_TRY_SECONDS.labels(hosted.service).observe(ran)
        reply = self._reply_of(result, ran)
        failed = reply.outcome is not HostOutcome.ANSWERED or (
            reply.answer is not None and reply.answer.status >= 500
        )
        self._failing.record(failed, self._loop.time())
        if reply.outcome is HostOutcome.ANSWERED:
            admission.service_time.add(ran)
            self._time_of(hosted.route).add(ran)
            self._crashes.answered(call)
        if isinstance(result, HttpResponse):
            self._evidence.answered(started)
        elif self._is_current(target):
            self._judge_loss(call, target, reply.reason)
        if failed:
            self._events.write(
                "target_failed",
                attempt=call.attempt,
                target=target.target,
                outcome=reply.outcome.value,
                reason=reply.reason.value,
                status=reply.answer.status if reply.answer else 0,
                ran_ms=int(ran * 1000),
                left_ms=int(left * 1000),
            )
        return reply

    def _time_of(self, route: str) -> RunningMean:
        """Return the mean service time of the target on ``route``."""
        mean = self._time_by_route.get(route)
        if mean is None:
            if len(self._time_by_route) >= MAX_ROUTES:
                del self._time_by_route[next(iter(self._time_by_route))]
            mean = self._time_by_route[route] = RunningMean()
        return mean

    def _is_current(self, target: TargetHeartbeat) -> bool:
        return (
            self._target is not None and self._target.incarnation == target.incarnation
        )

    def _judge_loss(
        self, call: MeshCall, target: TargetHeartbeat, reason: HostReason
    ) -> None:
        if reason in _LOST_CONNECTION:
            self._evidence.lost(call, self._loop.time())
        elif reason is HostReason.TARGET_DOWN:
            self._judge_death(target)

    def _judge_death(self, target: TargetHeartbeat | None) -> None:
        """Record that ``target`` died if requests were lost with it."""
        named = self._evidence.died()
        if target is None or target.leaving or not named:
            return
        death = TargetDeath(
            target=target.target, start_time_ms=target.start_time_ms, fingerprints=named
        )
        self._events.write("target_died", target=target.target, running=len(named))
        self._crashes.record(death)
        self._died(death)

    def _reply_of(self, result: HttpResponse | ExchangeFailed, ran: float) -> HostReply:
        if isinstance(result, ExchangeFailed):
            reason = _REASON_BY_FAILURE[result.reason]
            if not result.sent:
                return _refused(reason)
            return HostReply(outcome=HostOutcome.FAILED, reason=reason, ran=ran)
        verdict = self._codec.decode(result)
        if verdict.other_target:
            return HostReply(
                outcome=HostOutcome.SHED, reason=HostReason.MISDIRECTED, ran=ran
            )
        if not verdict.ran:
            return HostReply(
                outcome=HostOutcome.SHED,
                reason=HostReason.TARGET_FULL,
                answer=verdict.answer,
                ran=ran,
            )
        return HostReply(outcome=HostOutcome.ANSWERED, answer=verdict.answer, ran=ran)


def _refused(reason: HostReason) -> HostReply:
    return HostReply(outcome=HostOutcome.REFUSED, reason=reason)
