"""Dispatches calls to the targets beside this daemon.

Connects the admission decisions of ``TargetHost`` with the HTTP client: a call holds
its slot until the whole response has been forwarded, and each call ends with one
outcome, which is reported to its ``TargetHost``.
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
from ..coordination.retries import mark_retried
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

# A port on the local VM accepts or refuses a connection within microseconds. On a busy
# VM it can take longer until the daemon and the target are scheduled.
PROBE_TIMEOUT_SECONDS = 0.25
# The system may reset the connections of a process that ends before it closes the
# listener, which accepts connections until then. On a machine with twice as many busy
# processes as cores, it reset those of seven such probes after 10 ms at most.
PROBE_HOLD_SECONDS = 0.05
# Pause before the next probe of a port that accepted a connection and closed it.
PROBE_PAUSE_SECONDS = 0.005
# Number of targets that one daemon accepts. A VM runs one target, or two during a
# rollout.
MAX_TARGETS = 8
_OUTCOME_BY_END = {
    BodyEnd.TRUNCATED: CallOutcome.RESET,
    BodyEnd.ABANDONED: CallOutcome.CANCELLED,
}


class _LocalTarget:
    """The admission control of a target and the address from its last heartbeat."""

    def __init__(self, *, host: TargetHost, address: str) -> None:
        self.host = host
        self.address = address


class HostedCalls:
    """All targets beside this daemon.

    ``publish_endpoint`` applies changes to the member record of this daemon;
    ``queue_capacity`` is the number of calls that may wait for a slot of one target.
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
        self._probe_task_by_target: dict[TargetId, asyncio.Task[None]] = {}
        self._draining = False

    def apply_heartbeat(self, target: str, body: dict[str, Any]) -> Refusal | None:
        """Apply a heartbeat of a target, or return why it is refused."""
        parsed = _parse_heartbeat(body)
        if isinstance(parsed, Refusal):
            return parsed
        heartbeat, port = parsed
        target_id = TargetId(target)
        local = self._local_by_id.get(target_id)
        if local is None:
            self._drop_removed_targets()
            if len(self._local_by_id) >= MAX_TARGETS:
                return _malformed(f"this daemon already serves {MAX_TARGETS} targets")
            local = self._add_target(target_id)
        local.address = f"{self._ip}:{port}"
        local.host.apply_heartbeat(heartbeat)
        return None

    async def serve(self, head: CallHead, body: Body) -> CallResponse | Refusal:
        """Wait for a slot of the target, dispatch the call and return the response."""
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
            result = await self._dispatch(local, permit, head, body, deadline)
        except BaseException:
            # Cancellation included. Closing the connection to the target ends the call
            # there, so its slot is free.
            if not permit.is_finished:
                permit.finish(CallOutcome.CANCELLED)
            raise
        return result

    def load_report_for(self, head: CallHead) -> LoadReport | None:
        """Return the load report of the target that a call names."""
        local = self._local_by_id.get(TargetId(head.target))
        return None if local is None else local.host.load_report()

    def drain(self) -> None:
        """Drain all targets; each refuses new calls from now on."""
        self._draining = True
        for local in self._local_by_id.values():
            local.host.drain()

    async def wait_idle(self) -> None:
        """Wait until no call holds a slot."""
        for local in list(self._local_by_id.values()):
            await local.host.wait_idle()

    def status(self) -> Iterator[dict[str, Any]]:
        """Yield one JSON-encodable row per target."""
        for target_id, local in self._local_by_id.items():
            report = local.host.load_report()
            yield {
                "target": target_id,
                "address": local.address,
                "state": local.host.state.value,
                "slots": report.slots,
                "in_flight": report.in_flight,
                "queued": report.queued,
            }

    def _add_target(self, target_id: TargetId) -> _LocalTarget:
        host = TargetHost(
            target=target_id,
            clock=self._clock,
            quarantine=self._quarantine,
            publish_endpoint=self._publish_endpoint,
            probe_port=lambda: self._start_probe(target_id),
            call_later=lambda delay, callback: asyncio.get_running_loop().call_later(
                delay, callback
            ),
            queue_capacity=self._queue_capacity,
        )
        local = _LocalTarget(host=host, address="")
        self._local_by_id[target_id] = local
        if self._draining:
            host.drain()
        return local

    def _drop_removed_targets(self) -> None:
        for target_id, local in list(self._local_by_id.items()):
            if local.host.state is TargetState.REMOVED:
                del self._local_by_id[target_id]

    def _start_probe(self, target_id: TargetId) -> None:
        if target_id in self._probe_task_by_target:
            return
        task = asyncio.create_task(self._probe_port(target_id))
        self._probe_task_by_target[target_id] = task
        task.add_done_callback(
            lambda _: self._probe_task_by_target.pop(target_id, None)
        )

    async def _wait_for_probe(self, target_id: TargetId) -> None:
        """Wait for a running probe of a target, at most ``PROBE_TIMEOUT_SECONDS``."""
        probe = self._probe_task_by_target.get(target_id)
        if probe is not None:
            await asyncio.wait({probe}, timeout=PROBE_TIMEOUT_SECONDS)

    async def _probe_port(self, target_id: TargetId) -> None:
        """Connect to the target's port; report a refusal to its ``TargetHost``.

        Repeated while the port accepts the connection and closes it soon afterwards.
        """
        local = self._local_by_id.get(target_id)
        if local is None:
            return
        host, _, port = local.address.partition(":")
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                while not await _connection_stays_open(host, int(port)):
                    await asyncio.sleep(PROBE_PAUSE_SECONDS)
        except ConnectionRefusedError:
            local.host.on_port_refused()
        except OSError as error:
            logging.debug("port probe of target %s failed: %r", target_id, error)

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
        result = await self._client.dispatch(local.address, head, body, remaining)
        if isinstance(result, TargetFailure):
            permit.finish(result.outcome)
            # A probe decides whether the target crashed. Without the wait, the entry
            # daemon could forward the call to another target before the crash is
            # recorded for the fingerprint of the call.
            await self._wait_for_probe(TargetId(head.target))
            if self._quarantine.check(head.fingerprint) is not None:
                # The entry daemon may get this refusal before the crash notice.
                return mark_retried(result.refusal)
            return result.refusal
        outcome, retry_after = _outcome_of(result)

        def finish_permit(end: BodyEnd) -> None:
            if not permit.is_finished:
                final_outcome = (
                    outcome if end is BodyEnd.COMPLETE else _OUTCOME_BY_END[end]
                )
                permit.finish(final_outcome, retry_after=retry_after)

        return observe_body_end(result, finish_permit)


async def _connection_stays_open(host: str, port: int) -> bool:
    """Connect; return whether the connection is open after ``PROBE_HOLD_SECONDS``.

    Raises ``OSError`` if it cannot be opened.
    """
    reader, writer = await asyncio.open_connection(host, port)
    try:
        async with asyncio.timeout(PROBE_HOLD_SECONDS):
            return await reader.read(1) != b""
    except TimeoutError:
        return True
    except ConnectionError:
        return False
    finally:
        writer.close()


def _hosted_call(head: CallHead, deadline: float) -> HostedCall:
    return HostedCall(
        customer=CustomerId(head.customer),
        route=RoutePath(head.route),
        call_class=CallClass(head.call_class),
        deadline=deadline,
        depth=head.depth,
        fingerprint=head.fingerprint,
    )


def _outcome_of(response: CallResponse) -> tuple[CallOutcome, float]:
    """Return the outcome and, in seconds, when to retry a call that was shed.

    A 503 response with a whole number of seconds in ``Retry-After`` counts as shed,
    any other response as answered.
    """
    if response.status != 503:
        return CallOutcome.ANSWERED, DEFAULT_RETRY_AFTER_SECONDS
    for name, value in response.headers:
        if name.lower() == "retry-after" and value.isdigit():
            return CallOutcome.SHED, float(value)
    return CallOutcome.ANSWERED, DEFAULT_RETRY_AFTER_SECONDS


def _parse_heartbeat(body: dict[str, Any]) -> tuple[TargetHeartbeat, int] | Refusal:
    """Return the heartbeat and the target's port, or why it is refused."""
    try:
        state = TargetState(body["state"])
        port, slots = _non_negative_int(body["port"]), _non_negative_int(body["slots"])
        connections = _non_negative_int(body.get("connections", slots))
        load = body.get("load")
        free_slots = None if load is None else max(0, slots - _non_negative_int(load))
        started = float(body["started"])
        service = str(body["service"])
    except KeyError as error:
        return _malformed(f"the heartbeat lacks {error}")
    except (TypeError, ValueError) as error:
        return _malformed(f"bad value in the heartbeat: {error}")
    if state is TargetState.REMOVED or not 0 < port < 65536 or not service:
        return _malformed("state, port or service of the heartbeat is not allowed")
    heartbeat = TargetHeartbeat(
        service=ServiceName(service),
        state=state,
        slots=slots,
        connections=connections,
        start_time=started,
        free_slots=free_slots,
    )
    return heartbeat, port


def _non_negative_int(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueError(f"{value!r} is not a non-negative integer")
    return value


def _malformed(detail: str) -> Refusal:
    return Refusal(reason=RefusalReason.MALFORMED, executed=Executed.NO, detail=detail)
