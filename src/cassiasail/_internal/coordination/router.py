"""Routes one call from the entry daemon to a target."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from .. import metrics
from ..clock import Clock
from ..ids import DaemonId, ServiceName, TargetId
from ..protocol.answers import Answer, Body, BodyEnd, observe_end
from ..protocol.frames import CallHead, LoadReport
from ..state.refusals import Refusal, RefusalReason
from ..state.token_cache import Grant
from ..state.versions import VersionedLists
from .calls import Call, RoutedCall, head_for, match_call, refuse
from .quarantine import Quarantine
from .quota_exchange import QuotaExchange

Send = Callable[
    [DaemonId, CallHead, Body], Awaitable[tuple[Answer | Refusal, LoadReport | None]]
]


@dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """A target and the daemon beside it."""

    target: TargetId
    host: DaemonId


class CallRouter:
    """Decides on each call that enters at this daemon."""

    def __init__(
        self,
        *,
        clock: Clock,
        versions: VersionedLists,
        quotas: QuotaExchange,
        quarantine: Quarantine,
        choose: Callable[[ServiceName], Choice | None],
        send: Send,
        max_deadline: float,
        max_calls: int,
    ) -> None:
        self._clock = clock
        self._versions = versions
        self._quotas = quotas
        self._quarantine = quarantine
        self._choose = choose
        self._send = send
        self._max_deadline = max_deadline
        self._max_calls = max_calls
        self.in_flight = 0

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
            clock=self._clock,
            max_deadline=self._max_deadline,
        )
        if isinstance(routed, Refusal):
            return routed
        refusal = self._quarantine.check(routed.fingerprint)
        if refusal is not None:
            return refusal
        return await self._handle_within_allowance(routed)

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
            result = await self._attempt(routed)
        except BaseException:
            finish(BodyEnd.ABANDONED)
            raise
        return observe_end(result, finish)

    async def _acquire(self, routed: RoutedCall) -> Grant | Refusal:
        allowance = routed.allowance
        customer = routed.customer
        grant = self._quotas.try_acquire(
            customer, allowance.service, allowance.path, allowance, routed.deadline
        )
        if grant is not None:
            return grant
        return await self._quotas.acquire(
            customer, allowance.service, allowance.path, allowance, routed.deadline
        )

    async def _attempt(self, routed: RoutedCall) -> Answer | Refusal:
        choice = self._choose(routed.route.service)
        if choice is None:
            return refuse(RefusalReason.NO_TARGET, "no target is ready", retry_after=1)
        head = head_for(routed, target=choice.target, now=self._clock.now(), attempt=1)
        result, _ = await self._send(choice.host, head, routed.call.body)
        return result
