"""Takes a request of a client to a target and returns the final answer.

The entry daemon picks the route, the part of a split, and the VM; it decides whether a
request is sent again. Only the outcome that the daemon beside the target states makes
a refusal: 503 promises that no target ran the request, 502 and 504 promise nothing.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

from ... import metrics
from ...events import EventLog
from ...ids import ServiceName
from ...state.calls import (
    HostedCall,
    HostOutcome,
    HostReason,
    HostReply,
    MeshCall,
    TargetAnswer,
)
from ...state.hosts import HostId
from ...state.mesh_config import MeshConfig, MeshRoute, Repeatable, SplitState
from .balancing import Choice, Fleet, HostView
from .budget import RetryBudget
from .crashes import CrashHistory

# VMs asked for one request; each refusal costs a round trip.
MAX_ASKS = 8
# In the first round a target is asked to take the request only if it is then probably
# in time; part of the objective that may pass before it starts to run.
SOFT_WAIT_SHARE = 0.5
# A request that will be late waits at most for this part of its remaining time. Beyond
# that it is refused while there is time to ask again.
LATE_WAIT_SHARE = 0.4
# A request whose time is nearly over is not started: it would only take a slot.
MIN_START_SECONDS = 0.005
# How long a request waits for a target to appear when its service has none, as part of
# the latency objective; a longer wait is worse for the client than to ask again.
NO_TARGET_SHARE = 0.12
NO_TARGET_POLL_SECONDS = 0.02
# Bounds of the time after which a refused client is asked to come back.
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 2.0

_NOTHING_TO_OFFER = frozenset(
    (
        HostReason.LEAVING,
        HostReason.NO_TARGET,
        HostReason.OTHER_TARGET,
        HostReason.TARGET_DOWN,
    )
)

AskHost = Callable[[HostView, HostedCall], Awaitable[HostReply]]


@dataclass(frozen=True, slots=True, kw_only=True)
class NoRoute:
    """The configuration has no route for the request."""


@dataclass(frozen=True, slots=True, kw_only=True)
class NotRun:
    """No target ran the request and none will; come back after some seconds."""

    reason: HostReason
    retry_after: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Unknown:
    """A target may have run the request."""

    reason: HostReason

    @property
    def timed_out(self) -> bool:
        return self.reason is HostReason.TIMED_OUT


FinalAnswer = TargetAnswer | NoRoute | NotRun | Unknown


@dataclass(slots=True, kw_only=True)
class _Progress:
    """State of one request; times are loop times in seconds."""

    route: MeshRoute
    service: ServiceName
    arrived: float
    ends: float

    @property
    def objective_ends(self) -> float:
        return self.arrived + self.route.objective

    offered: int = 0
    asks: int = 0
    late: bool = False
    excluded: set[HostId] = field(default_factory=set)
    # Refused only because the wait would have been too long for a timely answer.
    busy: set[HostId] = field(default_factory=set)
    tries: list[str] = field(default_factory=list)
    failure: HostReason | None = None
    failed_answer: TargetAnswer | None = None
    refusal: HostReason = HostReason.NO_TARGET
    expected_wait: float = 0.0


class Entry:
    """Requests of the clients of this VM."""

    def __init__(
        self,
        *,
        config: Callable[[], MeshConfig | None],
        fleet: Fleet,
        budget: RetryBudget,
        ask: AskHost,
        suspect: Callable[[HostView, str], None],
        crashes: CrashHistory,
        events: EventLog,
        random: Random,
    ) -> None:
        self._config = config
        self._fleet = fleet
        self._budget = budget
        self._ask = ask
        self._suspect = suspect
        self._crashes = crashes
        self._events = events
        self._random = random
        self._split = SplitState()
        self._loop = asyncio.get_running_loop()

    async def serve(self, call: MeshCall) -> FinalAnswer:
        """Return the final answer to ``call``."""
        config = self._config()
        if config is None:
            return self._refused(HostReason.NO_TARGET, 0.0)
        path = call.target.partition(b"?")[0].decode("latin-1")
        route = config.match(call.host, path)
        if route is None:
            self._events.write(
                "no_route",
                attempt=call.attempt,
                host=call.host,
                path=path,
                version=config.version,
            )
            return NoRoute()
        progress = self._start(call, route, config)
        answer = await self._run(call, progress)
        self._log_end(call, progress, config, answer)
        return answer

    def refuse(self, call: MeshCall) -> NotRun:
        """Return the answer of a daemon that can no longer see ``call`` to its end."""
        self._events.write("request_refused", attempt=call.attempt, reason="stopping")
        return self._refused(HostReason.LEAVING, 0.0)

    def _start(self, call: MeshCall, route: MeshRoute, config: MeshConfig) -> _Progress:
        left = route.timeout
        if call.time_left is not None:
            left = min(left, call.time_left)
        service = self._split.choose(route, config.version)
        self._budget.requested(service)
        return _Progress(
            route=route,
            service=service,
            arrived=call.arrived,
            ends=call.arrived + left,
        )

    async def _run(self, call: MeshCall, progress: _Progress) -> FinalAnswer:
        while True:
            left = progress.ends - self._loop.time()
            if left < MIN_START_SECONDS or progress.asks >= MAX_ASKS:
                return self._give_up(progress)
            if self._crashes.blocks(call):
                progress.refusal = HostReason.QUARANTINED
                return self._give_up(progress)
            choice = self._choose(progress)
            if choice is None:
                if await self._wait_for_target(progress):
                    continue
                return self._give_up(progress)
            reply = await self._try(call, progress, choice, left)
            answer = self._judge(progress, choice.view, reply)
            if answer is not None:
                if reply.outcome is HostOutcome.ANSWERED:
                    self._crashes.answered(call)
                return answer

    def _choose(self, progress: _Progress) -> Choice | None:
        """Return the next VM to ask; a second round accepts any wait in time."""
        now = self._loop.time()
        for _ in range(2):
            choice = self._fleet.choose(
                progress.service,
                route=progress.route.name,
                objective=progress.objective_ends - now,
                left=progress.ends - now,
                excluded=progress.excluded,
            )
            if choice is not None or progress.late:
                return choice
            if not progress.busy:
                return None
            progress.late = True
            progress.excluded -= progress.busy
        return None

    async def _wait_for_target(self, progress: _Progress) -> bool:
        """Wait a little for a target to appear; false if none came."""
        if progress.excluded:
            return False
        allowed = NO_TARGET_SHARE * progress.route.objective
        while self._loop.time() < progress.arrived + allowed:
            await asyncio.sleep(NO_TARGET_POLL_SECONDS)
            if any(self._fleet.serving(progress.service)):
                return True
        return False

    async def _try(
        self, call: MeshCall, progress: _Progress, choice: Choice, left: float
    ) -> HostReply:
        view, route = choice.view, progress.route
        limit = left - choice.seconds
        if progress.late:
            limit = min(limit, left * LATE_WAIT_SHARE)
        else:
            soft = progress.objective_ends - self._loop.time() - choice.seconds
            limit = min(limit, soft * SOFT_WAIT_SHARE)
        hosted = HostedCall(
            call=call,
            service=progress.service,
            rank=route.rank,
            route=route.name,
            safe=route.repeatable is Repeatable.SAFE,
            late=progress.late,
            time_left=left,
            max_wait=max(0.0, limit),
        )
        progress.asks += 1
        view.in_flight += 1
        view.sent_since_load += 1
        try:
            reply = await self._ask(view, hosted)
        finally:
            view.in_flight -= 1
        if reply.load is not None:
            self._fleet.reported(view, route.name, reply.load)
        metrics.MESH_TRIES.labels(
            progress.service, reply.outcome.value, reply.reason.value
        ).inc()
        progress.tries.append(f"{view.record.host}:{_said(reply)}")
        return reply

    def _judge(
        self, progress: _Progress, view: HostView, reply: HostReply
    ) -> FinalAnswer | None:
        """Return the final answer, None if another VM is to be asked."""
        host = view.record.host
        if reply.outcome is HostOutcome.REFUSED:
            progress.excluded.add(host)
            progress.refusal = reply.reason
            if reply.reason is HostReason.BUSY:
                progress.busy.add(host)
            if reply.load is not None:
                load = reply.load
                progress.expected_wait = load.waiting * load.seconds / load.slots
            if reply.reason is HostReason.PEER_UNREACHABLE:
                self._suspect(view, reply.reason.value)
            elif reply.reason in _NOTHING_TO_OFFER:
                self._fleet.avoid(view)
            return None
        progress.offered += 1
        if reply.outcome is HostOutcome.ANSWERED and reply.answer is not None:
            self._fleet.answered(view, progress.route.name, reply.ran)
            if reply.answer.status < 500:
                return reply.answer
            progress.failed_answer = reply.answer
        elif reply.outcome is HostOutcome.SHED:
            progress.refusal = reply.reason
        else:
            progress.failure = reply.reason
            if reply.reason is HostReason.PEER_LOST:
                self._suspect(view, reply.reason.value)
        progress.excluded.add(host)
        if not self._may_repeat(progress):
            return self._give_up(progress)
        return None

    def _may_repeat(self, progress: _Progress) -> bool:
        ran = progress.failure is not None or progress.failed_answer is not None
        if ran and progress.route.repeatable is Repeatable.UNSAFE:
            return False
        if progress.offered >= progress.route.attempts:
            return False
        expected = self._fleet.expected_seconds(progress.route.name)
        if progress.ends - self._loop.time() < expected / 2:
            return False
        serving = self._fleet.serving(progress.service)
        if all(view.record.host in progress.excluded for view in serving):
            # The only target of the service is asked once more.
            progress.excluded.clear()
        return self._budget.take(progress.service, len(self._fleet.view_by_host))

    def _give_up(self, progress: _Progress) -> FinalAnswer:
        if progress.failed_answer is not None:
            return progress.failed_answer
        if progress.failure is not None:
            return Unknown(reason=progress.failure)
        return self._refused(progress.refusal, progress.expected_wait)

    def _refused(self, reason: HostReason, wait: float) -> NotRun:
        seconds = MIN_RETRY_AFTER_SECONDS + wait
        # Clients that were refused together must not come back together.
        seconds *= self._random.uniform(1.0, 2.0)
        return NotRun(reason=reason, retry_after=min(MAX_RETRY_AFTER_SECONDS, seconds))

    def _log_end(
        self,
        call: MeshCall,
        progress: _Progress,
        config: MeshConfig,
        answer: FinalAnswer,
    ) -> None:
        served = isinstance(answer, TargetAnswer) and answer.status < 500
        status, reason = 0, ""
        if isinstance(answer, TargetAnswer):
            status = answer.status
            outcome = "answered" if served else "target_error"
        elif isinstance(answer, NotRun):
            outcome, reason = "not_run", answer.reason.value
        elif isinstance(answer, Unknown):
            outcome, reason = "may_have_run", answer.reason.value
        else:
            outcome = "no_route"
        now = self._loop.time()
        metrics.MESH_REQUESTS.labels(progress.service, outcome, reason).inc()
        metrics.MESH_REQUEST_SECONDS.labels(progress.service).observe(
            now - call.arrived
        )
        if served and len(progress.tries) == 1:
            return
        self._events.write(
            "request_served" if served else "request_failed",
            attempt=call.attempt,
            route=progress.route.name,
            service=progress.service,
            version=config.version,
            outcome=outcome,
            status=status,
            reason=reason,
            tries=progress.tries,
            offered=progress.offered,
            took_ms=int((now - call.arrived) * 1000),
            left_ms=int((progress.ends - now) * 1000),
            budget_left=round(
                self._budget.left(progress.service, len(self._fleet.view_by_host)), 1
            ),
        )


def _said(reply: HostReply) -> str:
    """Return what a daemon said, for the log: a status or a reason."""
    if reply.answer is not None and reply.outcome is HostOutcome.ANSWERED:
        return str(reply.answer.status)
    return reply.reason.value
