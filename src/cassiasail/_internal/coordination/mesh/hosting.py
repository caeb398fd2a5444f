"""Execution of requests on the local target, by its host daemon.

All requests to a target pass its host daemon. It dispatches no more requests at a time
than the target has slots, queues the others by priority, and reports for each request
whether the target may have executed it.
"""

import asyncio
import math
from collections.abc import Callable
from dataclasses import replace

from ... import metrics
from ...awake_clock import AwakeClock
from ...events import EventLog
from ...ids import DaemonStart, ServiceName
from ...protocol.exchanges import (
    NEW_CONNECTION,
    Address,
    ExchangeFailed,
    Exchanger,
    ResponseMatch,
    match_attempt,
)
from ...protocol.http1 import HttpResponse
from ...state.calls import (
    ClientRequest,
    HostedRequest,
    HostLoad,
    HostOutcome,
    HostReason,
    HostReply,
)
from ...state.hosts import Incarnation, TargetCrash
from .admission import Admission
from .crashes import CrashEvidence, CrashHistory
from .link_room import Link, LinkRoom
from .registration import TargetHeartbeat
from .route_measures import MeasuresByRoute
from .target_responses import (
    DecodedTargetResponse,
    TargetCodec,
    refused,
    reply_of_failure,
    reply_of_response,
)
from .unsafe_executions import UnsafeExecution, UnsafeExecutions

# A target responds by itself when the deadline passes; the host daemon closes the
# connection this much later.
RESPONSE_MARGIN_SECONDS = 0.1
# Unsafe requests use only connections idle for less than this. A target may close an
# idle connection without notice, seen after as little as 0.2 s, and an unsafe request
# that was sent on it cannot be retried.
UNSAFE_MAX_IDLE_SECONDS = 0.15
# Weight of one request in the share of failed requests.
FAILURE_WEIGHT = 0.1
# Without requests the share of failures halves in this time, so that entry daemons try
# the target again.
FAILURE_HALF_LIFE_SECONDS = 3.0

# Reasons that may be the sign of a crash, which resets the connections of the target.
_LOST_CONNECTION_REASONS = frozenset(
    (HostReason.TARGET_RESET, HostReason.TARGET_RESPONSE_TRUNCATED)
)


class FailureShare:
    """Moving average of the share of failed requests.

    It decays while there are no requests. Times are loop times in seconds.
    """

    def __init__(self) -> None:
        self._share = 0.0
        self._updated_at = 0.0

    def at(self, now: float) -> float:
        """Return the share at ``now``, between 0 and 1."""
        halvings = (now - self._updated_at) / FAILURE_HALF_LIFE_SECONDS
        return self._share * math.pow(0.5, max(0.0, halvings))

    def record(self, failed: bool, now: float) -> None:
        """Record the end of one request at ``now``."""
        share = self.at(now)
        self._share = share + FAILURE_WEIGHT * (float(failed) - share)
        self._updated_at = now


class TargetDispatcher:
    """Admits requests for the local target and dispatches them to it.

    ``on_crash`` is called for each crash of a target with requests in flight, and
    ``on_leaving`` with the incarnation of a target that states that it is leaving.
    ``daemon_start`` identifies this start of the daemon. ``link`` is the one over which
    responses leave, None if that is not limited.
    """

    def __init__(
        self,
        *,
        pool: Exchanger,
        codec: TargetCodec,
        crashes: CrashHistory,
        on_crash: Callable[[TargetCrash], None],
        on_leaving: Callable[[Incarnation], None],
        daemon_start: DaemonStart,
        awake: AwakeClock,
        events: EventLog,
        link: Link | None = None,
    ) -> None:
        self._pool = pool
        self._codec = codec
        self._crashes = crashes
        self._on_crash = on_crash
        self._on_leaving = on_leaving
        self._crash_evidence = CrashEvidence()
        self._events = events
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        self._heartbeat: TargetHeartbeat | None = None
        # Latest heartbeat received, kept while there is no target.
        self._last_heartbeat: TargetHeartbeat | None = None
        self._address: Address | None = None
        self._admission = Admission(slots=1)
        # Whether the incarnation in service has responded to this daemon.
        self._has_responded = False
        # Whether it has named a request in a response. Its later ones do so as well.
        self._names_requests = False
        self._failure_share = FailureShare()
        self._measures = MeasuresByRoute()
        self._link_room = LinkRoom(link=link)
        self._unsafe_executions = UnsafeExecutions(
            daemon_start=daemon_start,
            execute=self._execute,
            awake=awake,
            events=events,
        )
        # Requests at the target now, and those of them that are retries.
        self._dispatched = 0
        self._dispatched_retries = 0
        self.stopping = False

    def set_target(self, heartbeat: TargetHeartbeat | None) -> None:
        """Serve the target that sent ``heartbeat``, None if there is none.

        Later requests get a new queue and new measurements, unless the incarnation of
        ``heartbeat`` was the last one in service.
        """
        current = self._heartbeat
        same_incarnation = (
            current and heartbeat and current.incarnation == heartbeat.incarnation
        )
        self._heartbeat = heartbeat
        if heartbeat is None or heartbeat.leaving:
            if heartbeat is not None:
                self._last_heartbeat = heartbeat
            self._admission.close(
                HostReason.LEAVING if heartbeat else HostReason.NO_TARGET
            )
            return
        if same_incarnation:
            self._last_heartbeat = heartbeat
            self._admission.resize(heartbeat.slots)
            return
        former = self._last_heartbeat
        if former is not None and former.incarnation == heartbeat.incarnation:
            # The target only missed heartbeats: the same incarnation sends them again,
            # so it has not crashed and its lost connections are no sign of a crash. The
            # requests that it still runs keep their slots.
            self._crash_evidence.clear()
            self._last_heartbeat = heartbeat
            self._admission.reopen(heartbeat.slots)
            return
        self._record_crash(former)
        self._last_heartbeat = heartbeat
        # All slots of a new incarnation are free, and nothing measured on the former
        # one applies to it.
        if self._address is not None:
            self._pool.close_idle(self._address)
        self._address = heartbeat.address
        self._admission = Admission(slots=heartbeat.slots)
        self._has_responded = self._names_requests = False
        self._failure_share = FailureShare()
        self._measures.clear()

    def stop_admitting(self) -> None:
        """Refuse queued and new requests; those already dispatched are finished."""
        self.stopping = True
        self._admission.close(HostReason.LEAVING)

    def load(self, route: str | None = None) -> HostLoad:
        """Return the load report, with the service time of the target on ``route``."""
        admission = self._admission
        measures = self._measures.known(route)
        return HostLoad(
            running=admission.running,
            waiting=admission.waiting,
            slots=admission.slots,
            service_seconds=admission.service_time.value,
            failure_share=self._failure_share.at(self._loop.time()),
            route_service_seconds=(
                measures.service_seconds.value if measures is not None else 0.0
            ),
            rate_limit=admission.rate_limit,
            link_seconds=self._link_room.busy_seconds(),
        )

    @property
    def retry_share(self) -> float:
        """Share of retries among the requests that the target runs now."""
        return self._dispatched_retries / max(1, self._dispatched)

    async def execute(self, hosted: HostedRequest) -> HostReply:
        """Execute one request on the target, or return why it is refused.

        The reply of either kind carries a load report.
        """
        if hosted.safe or not hosted.request.attempt_id:
            reply = await self._execute(hosted, None)
        else:
            reply = await self._unsafe_executions.execute(hosted)
        return replace(
            reply,
            load=self.load(hosted.route),
            leaving_target=self._leaving_target(hosted.service),
        )

    def _leaving_target(self, service: ServiceName) -> Incarnation | None:
        """Return the target of ``service`` if it is leaving."""
        heartbeat = self._heartbeat
        if heartbeat is None or heartbeat.service != service:
            return None
        return heartbeat.incarnation if heartbeat.leaving else None

    async def _execute(
        self, hosted: HostedRequest, execution: UnsafeExecution | None
    ) -> HostReply:
        """Wait for a slot and dispatch the request, or refuse it."""
        refusal = self._refusal_reason(hosted)
        if refusal is None and self._crashes.is_quarantined(hosted.request):
            refusal = HostReason.QUARANTINED
        if refusal is not None:
            return refused(refusal)
        admission = self._admission
        if not self._has_responded and hosted.known_limit is not None:
            # This daemon has restarted and others know the limit from before.
            self._apply_rate_limit(admission, hosted.known_limit, self._started_at)
        queued_at = self._loop.time()
        measures = self._measures.of(hosted.route)
        service_seconds = measures.service_seconds.value
        response_bytes = measures.response_bytes.value if hosted.over_link else 0.0
        link_wait = self._link_room.added_wait(response_bytes, service_seconds)
        if link_wait > hosted.max_wait:
            metrics.MESH_LINK_REFUSALS.inc()
            return refused(HostReason.BUSY)
        self._link_room.reserve(response_bytes)
        try:
            refusal = await admission.acquire(
                priority=hosted.priority,
                late=hosted.late,
                max_wait=hosted.max_wait - link_wait,
                service_seconds=service_seconds,
                account=hosted.request.account,
            )
            if refusal is not None:
                return refused(refusal)
            return await self._dispatch_admitted(
                hosted, execution, admission, queued_at
            )
        finally:
            self._link_room.release(response_bytes)

    async def _dispatch_admitted(
        self,
        hosted: HostedRequest,
        execution: UnsafeExecution | None,
        admission: Admission,
        queued_at: float,
    ) -> HostReply:
        """Dispatch a request that holds a slot since it was queued at ``queued_at``."""
        try:
            # The target may have changed while the request was queued.
            refusal = self._refusal_reason(hosted)
            remaining_time = hosted.remaining_time - (self._loop.time() - queued_at)
            if refusal is None and remaining_time <= 0:
                refusal = HostReason.EXPIRED
            if refusal is not None or admission is not self._admission:
                return refused(refusal or HostReason.NO_TARGET)
            if execution is not None:
                execution.dispatched = True
            self._count_dispatched(hosted, 1)
            try:
                return await self._dispatch(hosted, admission, remaining_time)
            finally:
                self._count_dispatched(hosted, -1)
        finally:
            admission.release()

    def _count_dispatched(self, hosted: HostedRequest, change: int) -> None:
        self._dispatched += change
        self._dispatched_retries += change * hosted.retry

    def _refusal_reason(self, hosted: HostedRequest) -> HostReason | None:
        """Return why the target cannot execute the request, None if it can."""
        heartbeat = self._heartbeat
        if self.stopping:
            return HostReason.LEAVING
        if heartbeat is None:
            return HostReason.NO_TARGET
        if heartbeat.service != hosted.service:
            return HostReason.OTHER_SERVICE
        return HostReason.LEAVING if heartbeat.leaving else None

    async def _dispatch(
        self, hosted: HostedRequest, admission: Admission, remaining_time: float
    ) -> HostReply:
        """Send the request to the target, and record its service time or failure."""
        heartbeat, address = self._heartbeat, self._address
        assert heartbeat is not None and address is not None
        request = hosted.request
        dispatched_at = self._loop.time()

        def match(response: HttpResponse) -> ResponseMatch:
            echoed = self._codec.attempt_id_of(response)
            matched = match_attempt(echoed, request.attempt_id)
            if matched is ResponseMatch.OWN and not self._codec.has_run(response):
                # A retry has the same attempt id.
                return ResponseMatch.OWN_LAST
            return matched

        try:
            result = await self._pool.exchange(
                address,
                self._codec.encode(request, heartbeat.target, remaining_time),
                timeout=remaining_time + RESPONSE_MARGIN_SECONDS,
                match=match,
                max_idle=_max_idle(hosted),
            )
        except asyncio.CancelledError:
            # Clients often cancel requests that take too long. Without their times the
            # mean service time would be too low.
            cancelled_after = self._loop.time() - dispatched_at
            admission.service_time.add_if_longer(cancelled_after)
            self._measures.of(hosted.route).service_seconds.add_if_longer(
                cancelled_after
            )
            raise
        run_seconds = self._loop.time() - dispatched_at
        metrics.MESH_TRY_SECONDS.labels(hosted.service).observe(run_seconds)
        if isinstance(result, ExchangeFailed):
            reply = reply_of_failure(result, run_seconds)
        else:
            decoded = self._decode(result, request)
            if decoded.valid and admission is self._admission:
                self._apply_notices(heartbeat, decoded, dispatched_at)
            reply = reply_of_response(decoded, run_seconds)
        failed = reply.outcome is not HostOutcome.ANSWERED or (
            reply.response is not None and reply.response.status >= 500
        )
        self._failure_share.record(failed, self._loop.time())
        if reply.outcome is HostOutcome.ANSWERED:
            admission.service_time.add(run_seconds)
            measures = self._measures.of(hosted.route)
            measures.service_seconds.add(run_seconds)
            if reply.response is not None:
                measures.response_bytes.add(len(reply.response.body))
            self._crashes.record_response(request)
        if isinstance(result, HttpResponse) and decoded.valid:
            self._crash_evidence.record_response(dispatched_at)
        elif self._is_current(heartbeat):
            self._check_for_crash(request, heartbeat, reply.reason)
        if failed:
            self._events.write(
                "target_failed",
                attempt=request.attempt_id,
                target=heartbeat.target,
                outcome=reply.outcome.value,
                reason=reply.reason.value,
                status=reply.response.status if reply.response else 0,
                ran_ms=int(run_seconds * 1000),
                left_ms=int(remaining_time * 1000),
            )
        return reply

    def _decode(
        self, response: HttpResponse, request: ClientRequest
    ) -> DecodedTargetResponse:
        """Decode a response; one that names no request may not be of the target.

        Another target, which responds at a reused address, need not name the request.
        """
        decoded = self._codec.decode(response)
        if self._codec.attempt_id_of(response):
            self._names_requests = True
        elif self._names_requests and request.attempt_id and not decoded.misdirected:
            return replace(decoded, valid=False)
        return decoded

    def _apply_notices(
        self,
        heartbeat: TargetHeartbeat,
        decoded: DecodedTargetResponse,
        dispatched_at: float,
    ) -> None:
        """Apply what a response says about the target itself."""
        if decoded.misdirected:
            return
        self._has_responded = True
        self._apply_rate_limit(self._admission, decoded.rate_limit, dispatched_at)
        if decoded.leaving and not heartbeat.leaving:
            self._on_leaving(heartbeat.incarnation)

    def _apply_rate_limit(
        self, admission: Admission, rate: float | None, dispatched_at: float
    ) -> None:
        if admission.set_rate_limit(rate, dispatched_at=dispatched_at):
            heartbeat = self._heartbeat
            self._events.write(
                "target_limit",
                target=heartbeat.target if heartbeat is not None else "",
                per_second=rate,
            )

    def _is_current(self, heartbeat: TargetHeartbeat) -> bool:
        """Return whether ``heartbeat`` is of the incarnation in service now."""
        return (
            self._heartbeat is not None
            and self._heartbeat.incarnation == heartbeat.incarnation
        )

    def _check_for_crash(
        self, request: ClientRequest, heartbeat: TargetHeartbeat, reason: HostReason
    ) -> None:
        """Record what a failed dispatch shows about a crash of the target."""
        if reason in _LOST_CONNECTION_REASONS:
            self._crash_evidence.record_lost_connection(request, self._loop.time())
        elif reason is HostReason.TARGET_DOWN:
            self._record_crash(heartbeat)

    def _record_crash(self, heartbeat: TargetHeartbeat | None) -> None:
        """Record a crash of the target if connections of requests were lost with it.

        A target that announced that it is leaving has not crashed.
        """
        fingerprints = self._crash_evidence.take_fingerprints()
        if heartbeat is None or heartbeat.leaving or not fingerprints:
            return
        crash = TargetCrash(
            target=heartbeat.target,
            start_time_ms=heartbeat.start_time_ms,
            fingerprints=fingerprints,
        )
        self._events.write(
            "target_died", target=heartbeat.target, running=len(fingerprints)
        )
        self._crashes.record(crash)
        self._on_crash(crash)


def _max_idle(hosted: HostedRequest) -> float | None:
    """Return how long a connection may have been idle that carries the request."""
    if not hosted.request.attempt_id:
        return NEW_CONNECTION
    return None if hosted.safe else UNSAFE_MAX_IDLE_SECONDS
