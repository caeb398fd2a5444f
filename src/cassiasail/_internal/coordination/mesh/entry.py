"""Routing of client requests to host daemons, and their retries.

The entry daemon chooses the route, the service of a traffic split and the VM, and it
decides about retries. The response to a client depends on the outcome that the host
daemon reports. A 503 of the daemon itself guarantees that no target executed the
request and none will; 502 and 504 do not. A 503 sent by a target is passed on as its
response.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from random import Random

from ... import metrics
from ...awake_clock import AwakeClock
from ...events import EventLog
from ...ids import ServiceName
from ...state.calls import (
    ClientRequest,
    HostedRequest,
    HostOutcome,
    HostReason,
    HostReply,
    TargetResponse,
)
from ...state.client_accounts import ClientAccount, KeyFault
from ...state.hosts import HostId
from ...state.mesh_config import MeshConfig, MeshRoute, RetrySafety, SplitState
from .access import account_of, combined_priority
from .balancing import Choice, Fleet, HostView
from .budget import RetryBudget
from .copies import RequestCopies
from .crashes import CrashHistory
from .final_responses import (
    FinalResponse,
    KeyRefused,
    NoRoute,
    NotRun,
    OutcomeUnknown,
    OverQuota,
    kept_bytes,
)
from .quotas.exchange import AccountQuotas

# Maximum number of attempts for one request. Those that a host daemon refuses count as
# well, because each costs a round trip.
MAX_PLACEMENT_ATTEMPTS = 8
# In the first round over the VMs a request may wait for a slot for this share of the
# time until its latency objective, less its expected service time. A host daemon that
# expects a longer wait refuses it.
OBJECTIVE_WAIT_SHARE = 0.5
# In the second round, in which the request will be late, it may wait for a slot for
# this share of its remaining time. After that it is refused, while there is still time
# for another attempt.
LATE_WAIT_SHARE = 0.4
# A request with less remaining time than this is not forwarded: it would occupy a slot
# and not finish in time.
MIN_START_SECONDS = 0.005
# If a service has no target, a request waits for one for this share of the latency
# objective. A longer wait is worse for the client than a refusal and its own retry.
NO_TARGET_WAIT_SHARE = 0.12
NO_TARGET_POLL_SECONDS = 0.02
# Bounds of the retry-after time sent with a refusal.
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 2.0

# Reasons for which a host daemon refuses a request because it has no usable target for
# the service. Its VM is then avoided for a short time.
_NO_USABLE_TARGET_REASONS = frozenset(
    (
        HostReason.LEAVING,
        HostReason.NO_TARGET,
        HostReason.OTHER_SERVICE,
        HostReason.TARGET_DOWN,
    )
)

ForwardToHost = Callable[[HostView, HostedRequest], Awaitable[HostReply]]


@dataclass(slots=True, kw_only=True)
class _RequestState:
    """State of one request in the entry daemon; times are loop times in seconds."""

    route: MeshRoute
    service: ServiceName
    arrived_at: float
    deadline: float
    body_kb: float
    # Priority of the account and the route; 0 is the most urgent.
    rank: int

    @property
    def objective_deadline(self) -> float:
        """Time until which a response meets the latency objective."""
        return self.arrived_at + self.route.latency_objective

    # Attempts that the host daemon did not refuse: a target may have received them.
    dispatches: int = 0
    # All attempts, those refused by the host daemon included.
    placement_attempts: int = 0
    # Set in the second round, which accepts targets that miss the latency objective.
    late: bool = False
    # VMs that are not to be chosen again.
    excluded: set[HostId] = field(default_factory=set)
    # VMs that refused only because the request would have waited too long for a slot.
    busy: set[HostId] = field(default_factory=set)
    # Host and result of each attempt, for the log.
    attempt_results: list[str] = field(default_factory=list)
    # Reason of the last attempt that may have been executed but got no usable response.
    failure: HostReason | None = None
    # The last response with a status of 500 or more.
    failed_response: TargetResponse | None = None
    # Why the request was not executed, as of the last refusal.
    refusal: HostReason = HostReason.NO_TARGET
    # Estimated wait in seconds at the last VM that refused with a load report.
    expected_wait: float = 0.0


class RequestRouter:
    """Routes the requests of the clients of this VM to targets.

    ``config`` returns the configuration in force, None before the first one.
    ``forward`` sends a request to a host daemon and returns its reply. ``suspect``
    marks a VM as unreachable, with a reason for the log. ``target_retry_share`` returns
    the share of retries among the requests that the target of this VM runs. ``quotas``
    admits requests within the quotas of their accounts; without it there are none.
    """

    def __init__(
        self,
        *,
        config: Callable[[], MeshConfig | None],
        fleet: Fleet,
        budget: RetryBudget,
        forward: ForwardToHost,
        suspect: Callable[[HostView, str], None],
        target_retry_share: Callable[[], float],
        crashes: CrashHistory,
        awake: AwakeClock,
        events: EventLog,
        random: Random,
        quotas: AccountQuotas | None = None,
    ) -> None:
        self._config = config
        self._fleet = fleet
        self._budget = budget
        self._forward = forward
        self._suspect = suspect
        self._target_retry_share = target_retry_share
        self._crashes = crashes
        self._quotas = quotas
        self._events = events
        self._random = random
        self._split = SplitState()
        self._copies = RequestCopies[FinalResponse](
            unknown=OutcomeUnknown(reason=HostReason.PEER_LOST),
            body_bytes=kept_bytes,
            awake=awake,
        )
        self._loop = asyncio.get_running_loop()

    async def serve(self, request: ClientRequest) -> FinalResponse:
        """Route ``request`` and return the response for the client."""
        config = self._config()
        if config is None:
            return self._not_run(HostReason.NO_TARGET, 0.0)
        route = _match(config, request)
        if route is None:
            self._events.write(
                "no_route",
                attempt=request.attempt_id,
                host=request.host,
                path=_path_of(request),
                version=config.version,
            )
            return NoRoute()
        account = account_of(config, route, request)
        if isinstance(account, KeyFault):
            return self._refuse_key(request, route, config, account)
        if account is not None:
            request = replace(request, account=account.name)
        if route.retry_safety is RetrySafety.SAFE or not request.attempt_id:
            return await self._serve_account(request, route, config, account)
        return await self._copies.serve(
            (
                request.account,
                request.attempt_id,
                request.method,
                request.host,
                request.request_target,
            ),
            lambda: self._serve_account(request, route, config, account),
        )

    def _refuse_key(
        self,
        request: ClientRequest,
        route: MeshRoute,
        config: MeshConfig,
        fault: KeyFault,
    ) -> KeyRefused:
        metrics.MESH_KEYS_REFUSED.labels(fault.value).inc()
        self._events.write(
            "key_refused",
            attempt=request.attempt_id,
            route=route.name,
            reason=fault.value,
            version=config.version,
        )
        return KeyRefused()

    async def _serve_account(
        self,
        request: ClientRequest,
        route: MeshRoute,
        config: MeshConfig,
        account: ClientAccount | None,
    ) -> FinalResponse:
        """Serve the request within the quota of its account.

        A request that no target has run does not count against the quota.
        """
        if account is None or account.quota is None or self._quotas is None:
            return await self._serve_route(request, route, config, account)
        retry_after = await self._quotas.acquire(account)
        if retry_after is not None:
            self._events.write(
                "quota_refused",
                attempt=request.attempt_id,
                account=account.name,
                route=route.name,
                retry_after_ms=int(retry_after * 1000),
                version=config.version,
            )
            return OverQuota(retry_after=retry_after)
        response = await self._serve_route(request, route, config, account)
        if isinstance(response, NotRun):
            self._quotas.give_back(account.name)
        return response

    async def _serve_route(
        self,
        request: ClientRequest,
        route: MeshRoute,
        config: MeshConfig,
        account: ClientAccount | None,
    ) -> FinalResponse:
        state = self._create_state(request, route, config, account)
        response = await self._forward_until_final(request, state)
        self._record_end(request, state, config, response)
        return response

    def time_limit(self, request: ClientRequest) -> float | None:
        """Return the seconds from the arrival of ``request`` to its deadline.

        None if no route of a configuration matches. The body may be missing.
        """
        config = self._config()
        route = None if config is None else _match(config, request)
        return None if route is None else _time_limit(request, route)

    def refuse(self, request: ClientRequest) -> NotRun:
        """Refuse ``request`` because this daemon is stopping."""
        self._events.write(
            "request_refused", attempt=request.attempt_id, reason="stopping"
        )
        return self._not_run(HostReason.LEAVING, 0.0)

    def _create_state(
        self,
        request: ClientRequest,
        route: MeshRoute,
        config: MeshConfig,
        account: ClientAccount | None,
    ) -> _RequestState:
        """Choose the service and count the request in the retry budget."""
        service = self._split.choose(route, config.version)
        self._budget.record_request(service, self._target_retry_share())
        return _RequestState(
            route=route,
            service=service,
            arrived_at=request.arrived_at,
            deadline=request.arrived_at + _time_limit(request, route),
            body_kb=len(request.body) / 1000,
            rank=combined_priority(account, route),
        )

    async def _forward_until_final(
        self, request: ClientRequest, state: _RequestState
    ) -> FinalResponse:
        """Forward the request to one VM after the other until a response is final."""
        while True:
            remaining_time = state.deadline - self._loop.time()
            if (
                remaining_time < MIN_START_SECONDS
                or state.placement_attempts >= MAX_PLACEMENT_ATTEMPTS
            ):
                return self._final_response(state)
            if self._crashes.is_quarantined(request):
                state.refusal = HostReason.QUARANTINED
                return self._final_response(state)
            choice = self._choose(state)
            if choice is None:
                if await self._wait_for_target(state):
                    continue
                return self._final_response(state)
            reply = await self._attempt(request, state, choice, remaining_time)
            response = self._evaluate(state, choice.view, reply)
            if response is not None:
                if reply.outcome is HostOutcome.ANSWERED:
                    self._crashes.record_response(request)
                return response

    def _choose(self, state: _RequestState) -> Choice | None:
        """Return the VM for the next attempt, None if there is none.

        When all VMs have been tried, a second round starts with those that refused the
        request because they were busy. It accepts a longer wait for a slot.
        """
        now = self._loop.time()
        for _ in range(2):
            choice = self._fleet.choose(
                state.service,
                route=state.route.name,
                time_to_objective=state.objective_deadline - now,
                remaining_time=state.deadline - now,
                request_kb=state.body_kb,
                excluded=state.excluded,
            )
            if choice is not None or state.late:
                return choice
            if not state.busy:
                return None
            state.late = True
            state.excluded -= state.busy
        return None

    async def _wait_for_target(self, state: _RequestState) -> bool:
        """Wait until the service has a target; return false if it gets none in time.

        Returns false without a wait if VMs were already tried and excluded.
        """
        if state.excluded:
            return False
        max_wait = NO_TARGET_WAIT_SHARE * state.route.latency_objective
        while self._loop.time() < state.arrived_at + max_wait:
            await asyncio.sleep(NO_TARGET_POLL_SECONDS)
            if any(self._fleet.ready_hosts(state.service)):
                return True
        return False

    async def _attempt(
        self,
        request: ClientRequest,
        state: _RequestState,
        choice: Choice,
        remaining_time: float,
    ) -> HostReply:
        """Forward the request to the chosen VM and record the load report."""
        view, route = choice.view, state.route
        max_wait = remaining_time - choice.service_seconds
        if state.late:
            max_wait = min(max_wait, remaining_time * LATE_WAIT_SHARE)
        else:
            objective_wait = (
                state.objective_deadline - self._loop.time() - choice.service_seconds
            )
            max_wait = min(max_wait, objective_wait * OBJECTIVE_WAIT_SHARE)
        hosted = HostedRequest(
            request=request,
            service=state.service,
            priority=state.rank,
            route=route.name,
            safe=route.retry_safety is RetrySafety.SAFE,
            late=state.late,
            retry=state.dispatches > 0,
            remaining_time=remaining_time,
            max_wait=max(0.0, max_wait),
            known_limit=view.load.rate_limit if view.load is not None else None,
        )
        state.placement_attempts += 1
        view.in_flight += 1
        view.forwarded_since_load += 1
        try:
            reply = await self._forward(view, hosted)
        finally:
            view.in_flight -= 1
        if reply.load is not None:
            self._fleet.apply_load_report(view, route.name, reply.load)
        if reply.leaving_target is not None:
            self._fleet.mark_leaving(view, reply.leaving_target)
        metrics.MESH_TRIES.labels(
            state.service, reply.outcome.value, reply.reason.value
        ).inc()
        state.attempt_results.append(f"{view.record.host}:{_log_result(reply)}")
        return reply

    def _evaluate(
        self, state: _RequestState, view: HostView, reply: HostReply
    ) -> FinalResponse | None:
        """Return the response for the client, None if another attempt is to be made.

        After a refusal, another VM is tried without use of the retry budget. After a
        dispatch, a retry must be allowed by the route and by the budget.
        """
        host = view.record.host
        if reply.outcome is HostOutcome.REFUSED:
            state.excluded.add(host)
            state.refusal = reply.reason
            if reply.reason is HostReason.BUSY:
                state.busy.add(host)
            if reply.load is not None:
                state.expected_wait = reply.load.queue_seconds
            if reply.reason is HostReason.PEER_UNREACHABLE:
                self._suspect(view, reply.reason.value)
            elif reply.reason in _NO_USABLE_TARGET_REASONS:
                self._fleet.avoid(view)
            return None
        state.dispatches += 1
        if reply.outcome is HostOutcome.ANSWERED and reply.response is not None:
            self._fleet.record_response(
                view,
                state.route.name,
                service_seconds=reply.run_seconds,
                response_kb=len(reply.response.body) / 1000,
            )
            if reply.response.status < 500:
                return reply.response
            state.failed_response = reply.response
        elif reply.outcome is HostOutcome.SHED:
            state.refusal = reply.reason
        else:
            state.failure = reply.reason
            if reply.reason is HostReason.PEER_LOST:
                self._suspect(view, reply.reason.value)
        state.excluded.add(host)
        if not self._try_spend_retry(state):
            return self._final_response(state)
        return None

    def _try_spend_retry(self, state: _RequestState) -> bool:
        """Spend one retry; false if the route or the budget does not allow one."""
        may_have_run = state.failure is not None or state.failed_response is not None
        if may_have_run and state.route.retry_safety is RetrySafety.UNSAFE:
            return False
        if state.dispatches >= state.route.max_attempts:
            return False
        expected_seconds = self._fleet.mean_service_seconds(state.route.name)
        if state.deadline - self._loop.time() < expected_seconds / 2:
            return False
        ready_hosts = self._fleet.ready_hosts(state.service)
        if all(view.record.host in state.excluded for view in ready_hosts):
            # All targets were tried, perhaps the only one of the service. Allow retries
            # to the same targets.
            state.excluded.clear()
        return self._budget.spend_retry(state.service, len(self._fleet.view_by_host))

    def _final_response(self, state: _RequestState) -> FinalResponse:
        """Return the response that follows from the attempts so far.

        It is a refusal only if no target may have executed the request.
        """
        if state.failed_response is not None:
            return state.failed_response
        if state.failure is not None:
            return OutcomeUnknown(reason=state.failure)
        return self._not_run(state.refusal, state.expected_wait)

    def _not_run(self, reason: HostReason, expected_wait: float) -> NotRun:
        seconds = MIN_RETRY_AFTER_SECONDS + expected_wait
        # Jitter: clients refused at the same time must not retry at the same time.
        seconds *= self._random.uniform(1.0, 2.0)
        return NotRun(reason=reason, retry_after=min(MAX_RETRY_AFTER_SECONDS, seconds))

    def _record_end(
        self,
        request: ClientRequest,
        state: _RequestState,
        config: MeshConfig,
        response: FinalResponse,
    ) -> None:
        """Record metrics, and log a request that failed or needed several attempts."""
        served = isinstance(response, TargetResponse) and response.status < 500
        status, reason = 0, ""
        if isinstance(response, TargetResponse):
            status = response.status
            outcome = "answered" if served else "target_error"
        elif isinstance(response, NotRun):
            outcome, reason = "not_run", response.reason.value
        elif isinstance(response, OutcomeUnknown):
            outcome, reason = "may_have_run", response.reason.value
        else:
            outcome = "no_route"
        now = self._loop.time()
        metrics.MESH_REQUESTS.labels(state.service, outcome, reason).inc()
        metrics.MESH_REQUEST_SECONDS.labels(state.service).observe(
            now - request.arrived_at
        )
        if served and len(state.attempt_results) == 1:
            return
        self._events.write(
            "request_served" if served else "request_failed",
            attempt=request.attempt_id,
            route=state.route.name,
            service=state.service,
            version=config.version,
            outcome=outcome,
            status=status,
            reason=reason,
            tries=state.attempt_results,
            offered=state.dispatches,
            took_ms=int((now - request.arrived_at) * 1000),
            left_ms=int((state.deadline - now) * 1000),
            budget_left=round(
                self._budget.remaining(state.service, len(self._fleet.view_by_host)), 1
            ),
        )


def _log_result(reply: HostReply) -> str:
    """Return the result of an attempt for the log: an HTTP status or a reason."""
    if reply.response is not None and reply.outcome is HostOutcome.ANSWERED:
        return str(reply.response.status)
    return reply.reason.value


def _path_of(request: ClientRequest) -> str:
    return request.request_target.partition(b"?")[0].decode("latin-1")


def _match(config: MeshConfig, request: ClientRequest) -> MeshRoute | None:
    return config.match(request.host, _path_of(request))


def _time_limit(request: ClientRequest, route: MeshRoute) -> float:
    """Return the seconds from the arrival of the request to its deadline."""
    if request.remaining_time is None:
        return route.timeout
    return min(route.timeout, request.remaining_time)
