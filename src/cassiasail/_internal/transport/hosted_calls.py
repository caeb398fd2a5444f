"""Runs calls on the targets beside this daemon.

Joins the decisions of ``TargetHost`` with the HTTP client: a slot is held until the
whole answer has been passed on, and each end of a call is reported as an outcome.
"""

import asyncio
from collections.abc import Callable, Iterator
from typing import Any

from absl import logging

from ..clock import Clock
from ..coordination.hosting import TargetHost
from ..coordination.permits import (
    DEFAULT_RETRY_AFTER_SECONDS,
    CallOutcome,
    EndpointChange,
    HostedCall,
    SlotPermit,
    TargetHeartbeat,
    TargetState,
)
from ..coordination.quarantine import Quarantine
from ..ids import CustomerId, RoutePath, ServiceName, TargetId
from ..protocol.frames import CallHead
from ..protocol.responses import (
    Body,
    BodyEnd,
    CallResponse,
    close_body,
    observe_body_end,
)
from ..state.lists import CallClass
from ..state.refusals import Executed, Refusal, RefusalReason
from ..state.targets import LoadReport
from .target_http import TargetClient, TargetFailure

# A port on the own VM accepts or refuses a connection within microseconds; a busy VM
# may take longer to run the daemon and the target.
PROBE_SECONDS = 0.25
# Targets that one daemon accepts; one VM runs one target, or two during a rollout.
MAX_TARGETS = 8
_OUTCOME_BY_END = {
    BodyEnd.TRUNCATED: CallOutcome.RESET,
    BodyEnd.ABANDONED: CallOutcome.CANCELLED,
}


class _LocalTarget:
    """A target with its decisions and the address that it announced."""

    def __init__(self, *, host: TargetHost, address: str) -> None:
        self.host = host
        self.address = address


class HostedCalls:
    """All targets beside this daemon.

    ``publish_endpoint`` takes changes for the daemon's own record; ``queue_capacity``
    is the number of calls that may wait for one target.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        client: TargetClient,
        quarantine: Quarantine,
        publish_endpoint: Callable[[EndpointChange], None],
        ip: str,
        queue_capacity: int,
    ) -> None:
        self._clock = clock
        self._client = client
        self._quarantine = quarantine
        self._publish_endpoint = publish_endpoint
        self._ip = ip
        self._queue_capacity = queue_capacity
        self._local_by_id: dict[TargetId, _LocalTarget] = {}
        self._probe_by_target: dict[TargetId, asyncio.Task[None]] = {}
        self._leaving = False

    def announce(self, target: str, body: dict[str, Any]) -> Refusal | None:
        """Take an announcement of a target beside this daemon."""
        parsed = _parse_announcement(body)
        if isinstance(parsed, Refusal):
            return parsed
        announcement, port = parsed
        name = TargetId(target)
        local = self._local_by_id.get(name)
        if local is None:
            self._forget_gone()
            if len(self._local_by_id) >= MAX_TARGETS:
                return _malformed(f"this daemon already serves {MAX_TARGETS} targets")
            local = self._add(name)
        local.address = f"{self._ip}:{port}"
        local.host.apply_heartbeat(announcement)
        return None

    async def serve(self, head: CallHead, body: Body) -> CallResponse | Refusal:
        """Wait for a slot of the target, run the call and return its answer."""
        local = self._local_by_id.get(TargetId(head.target))
        if local is None:
            close_body(body)
            return Refusal(
                reason=RefusalReason.TARGET_GONE,
                executed=Executed.NO,
                detail=f"no target {head.target} beside this daemon",
            )
        deadline = self._clock.now() + head.remaining
        permit = await local.host.admit(_hosted_call(head, deadline))
        if isinstance(permit, Refusal):
            close_body(body)
            return permit
        try:
            answer = await self._dispatch(local, permit, head, body, deadline)
        except BaseException:
            # Also cancellation: the slot is free again once the connection is closed.
            if not permit.is_finished:
                permit.finish(CallOutcome.CANCELLED)
            raise
        return answer

    def report_for(self, head: CallHead) -> LoadReport | None:
        """Return the load of the target that a call went to."""
        local = self._local_by_id.get(TargetId(head.target))
        return None if local is None else local.host.load_report()

    def leave(self) -> None:
        """Refuse new calls from now on."""
        self._leaving = True
        for local in self._local_by_id.values():
            local.host.drain()

    async def wait_idle(self) -> None:
        """Wait until no call holds a slot."""
        for local in list(self._local_by_id.values()):
            await local.host.wait_idle()

    def status(self) -> Iterator[dict[str, Any]]:
        """Yield one JSON-encodable row per target."""
        for name, local in self._local_by_id.items():
            report = local.host.load_report()
            yield {
                "target": name,
                "address": local.address,
                "state": local.host.state.value,
                "slots": report.slots,
                "in_flight": report.in_flight,
                "queued": report.queued,
            }

    def _add(self, name: TargetId) -> _LocalTarget:
        host = TargetHost(
            target=name,
            clock=self._clock,
            quarantine=self._quarantine,
            publish_endpoint=self._publish_endpoint,
            probe_port=lambda: self._start_probe(name),
            call_later=lambda delay, callback: asyncio.get_running_loop().call_later(
                delay, callback
            ),
            queue_capacity=self._queue_capacity,
        )
        local = _LocalTarget(host=host, address="")
        self._local_by_id[name] = local
        if self._leaving:
            host.drain()
        return local

    def _forget_gone(self) -> None:
        for name, local in list(self._local_by_id.items()):
            if local.host.state is TargetState.REMOVED:
                del self._local_by_id[name]

    def _start_probe(self, name: TargetId) -> None:
        if name in self._probe_by_target:
            return
        task = asyncio.create_task(self._probe(name))
        self._probe_by_target[name] = task
        task.add_done_callback(lambda _: self._probe_by_target.pop(name, None))

    async def _probed(self, name: TargetId) -> None:
        """Wait for a probe of a target that is in progress, a short time at most."""
        probe = self._probe_by_target.get(name)
        if probe is not None:
            await asyncio.wait({probe}, timeout=PROBE_SECONDS)

    async def _probe(self, name: TargetId) -> None:
        local = self._local_by_id.get(name)
        if local is None:
            return
        host, _, port = local.address.partition(":")
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            local.host.on_port_refused()
        except OSError as error:
            logging.debug("probe of target %s failed: %s", name, error)
        else:
            writer.close()

    async def _dispatch(
        self,
        local: _LocalTarget,
        permit: SlotPermit,
        head: CallHead,
        body: Body,
        deadline: float,
    ) -> CallResponse | Refusal:
        refusal = permit.begin_dispatch()
        if refusal is not None:
            close_body(body)
            return refusal
        remaining = deadline - self._clock.now()
        answer = await self._client.send(local.address, head, body, remaining)
        if isinstance(answer, TargetFailure):
            permit.finish(answer.outcome)
            # Otherwise the entry daemon sends the call to the next target before it
            # can hear that this one has died of it.
            await self._probed(TargetId(head.target))
            return answer.refusal
        outcome, retry_after = _outcome_of(answer)

        def finish(end: BodyEnd) -> None:
            if not permit.is_finished:
                final = outcome if end is BodyEnd.COMPLETE else _OUTCOME_BY_END[end]
                permit.finish(final, retry_after=retry_after)

        return observe_body_end(answer, finish)


def _hosted_call(head: CallHead, deadline: float) -> HostedCall:
    return HostedCall(
        customer=CustomerId(head.customer),
        route=RoutePath(head.route),
        call_class=CallClass(head.call_class),
        deadline=deadline,
        depth=head.depth,
        fingerprint=head.fingerprint,
    )


def _outcome_of(answer: CallResponse) -> tuple[CallOutcome, float]:
    if answer.status != 503:
        return CallOutcome.ANSWERED, DEFAULT_RETRY_AFTER_SECONDS
    for name, value in answer.headers:
        if name.lower() == "retry-after" and value.isdigit():
            return CallOutcome.SHED, float(value)
    return CallOutcome.ANSWERED, DEFAULT_RETRY_AFTER_SECONDS


def _parse_announcement(body: dict[str, Any]) -> tuple[TargetHeartbeat, int] | Refusal:
    """Return the announcement and its port, or what is wrong with it."""
    try:
        state = TargetState(body["state"])
        port, slots = _whole(body["port"]), _whole(body["slots"])
        connections = _whole(body.get("connections", slots))
        load = body.get("load")
        free_slots = None if load is None else max(0, slots - _whole(load))
        started = float(body["started"])
        service = str(body["service"])
    except KeyError as error:
        return _malformed(f"the announcement lacks {error}")
    except (TypeError, ValueError) as error:
        return _malformed(f"bad value in the announcement: {error}")
    if state is TargetState.REMOVED or not 0 < port < 65536 or not service:
        return _malformed("state, port or service of the announcement is not allowed")
    announcement = TargetHeartbeat(
        service=ServiceName(service),
        state=state,
        slots=slots,
        connections=connections,
        start_time=started,
        free_slots=free_slots,
    )
    return announcement, port


def _whole(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueError(f"{value!r} is not a whole number")
    return value


def _malformed(detail: str) -> Refusal:
    return Refusal(reason=RefusalReason.MALFORMED, executed=Executed.NO, detail=detail)
