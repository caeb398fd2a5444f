"""Execution of requests by the host daemon, and its messages to entry daemons."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import pytest

from cassiasail._internal.awake_clock import AwakeClock
from cassiasail._internal.coordination.mesh import peers
from cassiasail._internal.coordination.mesh.crashes import (
    CrashHistory,
    request_fingerprint,
)
from cassiasail._internal.coordination.mesh.hosting import TargetDispatcher
from cassiasail._internal.coordination.mesh.registration import TargetHeartbeat
from cassiasail._internal.ids import DaemonStart, ServiceName, TargetId
from cassiasail._internal.protocol import peer_calls
from cassiasail._internal.protocol.exchanges import (
    Address,
    ExchangeFailed,
    FailureReason,
    ResponseMatch,
)
from cassiasail._internal.protocol.http1 import HttpRequest, HttpResponse
from cassiasail._internal.state.calls import (
    ClientRequest,
    HostedRequest,
    HostOutcome,
    HostReason,
    HostReply,
    RequestNumber,
)
from cassiasail._internal.state.hosts import Incarnation, TargetCrash
from cassiasail._internal.state.kept_results import (
    KEEP_RESULT_SECONDS,
    MAX_KEPT_RESULT_BYTES,
)
from cassiasail.platform.requests import TARGET_CODEC
from devtools.virtual_loop import VirtualLoop
from tests.lib.clocks import VirtualClock
from tests.lib.events import null_event_log

SERVICE = ServiceName("one")
HEARTBEAT = TargetHeartbeat(
    target=TargetId("i-1"),
    start_time_ms=1,
    sequence=1,
    service=SERVICE,
    address=Address("10.0.0.1", 80),
    slots=1,
    leaving=False,
    cold_seconds=0,
)
REQUEST = ClientRequest(
    attempt_id="id-1",
    method=b"POST",
    host="h",
    request_target=b"/x",
    headers=((b"accept", b"*/*"),),
    body=b"order",
    client_service=ServiceName("client"),
    arrived_at=0.0,
    remaining_time=2.0,
)
UNSAFE = HostedRequest(
    request=REQUEST,
    service=SERVICE,
    priority=1,
    route="r,1",
    safe=False,
    late=False,
    remaining_time=2.0,
    max_wait=1.0,
)
SAFE = replace(UNSAFE, safe=True)
STAMP = (b"x-cassiasail-server-stamp", b"stamp")
OK = HttpResponse(status=200, headers=(STAMP,), body=b"done")
STARTED = DaemonStart("started")


@dataclass
class FakeTargetPool:
    """Returns ``result`` for each request after ``seconds``."""

    result: HttpResponse | ExchangeFailed = OK
    seconds: float = 0.05
    requests: list[HttpRequest] = field(default_factory=list)
    on_request: Callable[[], None] = lambda: None

    async def exchange(
        self,
        address: Address,
        request: HttpRequest,
        *,
        timeout: float,
        match: Callable[[HttpResponse], ResponseMatch] | None = None,
        max_idle: float | None = None,
    ) -> HttpResponse | ExchangeFailed:
        self.requests.append(request)
        self.on_request()
        await asyncio.sleep(self.seconds)
        return self.respond()

    def respond(self) -> HttpResponse | ExchangeFailed:
        return self.result

    def close_idle(self, address: Address) -> None:
        pass


def dispatcher_for(
    pool: FakeTargetPool,
    crashes: list[TargetCrash] | None = None,
    leaving: Callable[[Incarnation], None] = lambda incarnation: None,
) -> TargetDispatcher:
    dispatcher = TargetDispatcher(
        pool=pool,  # type: ignore[arg-type]
        codec=TARGET_CODEC,
        crashes=CrashHistory(events=null_event_log()),
        on_crash=crashes.append if crashes is not None else lambda crash: None,
        on_leaving=leaving,
        daemon_start=STARTED,
        awake=AwakeClock(),
        events=null_event_log(),
    )
    dispatcher.set_target(HEARTBEAT)
    return dispatcher


def test_copies_of_an_unsafe_request_are_executed_once() -> None:
    """Guards against a second execution when a copy is sent after a lost connection."""

    async def main() -> None:
        pool = FakeTargetPool()
        dispatcher = dispatcher_for(pool)
        first = asyncio.create_task(dispatcher.execute(UNSAFE))
        await asyncio.sleep(0.01)
        first.cancel()
        second = await dispatcher.execute(UNSAFE)
        third = await dispatcher.execute(UNSAFE)
        assert second.outcome is third.outcome is HostOutcome.ANSWERED
        assert len(pool.requests) == 1

    asyncio.run(main())


@pytest.mark.parametrize(("attempt_id", "copies"), [("id-1", 2), ("", 1)])
def test_lost_request_is_sent_again_with_the_time_since_the_first_copy(
    attempt_id: str, copies: int
) -> None:
    """Guards against copies that the host daemon can't tell from new requests.

    Without an attempt id it can't recognize them at all.
    """

    async def main() -> None:
        lost = ExchangeFailed(reason=FailureReason.RESET, sent=True)
        pool = FakeTargetPool(result=lost, seconds=0.4)
        clock = VirtualClock()
        pool.on_request = lambda: clock.advance(0.4)
        hosted = replace(UNSAFE, request=replace(REQUEST, attempt_id=attempt_id))
        reply = await peers.forward(
            pool,  # type: ignore[arg-type]
            Address("10.0.0.1", 80),
            hosted,
            host_start=STARTED,
            next_number=lambda: RequestNumber(DaemonStart("entry"), 1),
            clock=clock,
        )
        assert reply.outcome is HostOutcome.FAILED
        received = [peer_calls.decode_request(each) for each in pool.requests]
        assert len(received) == copies
        assert received[0] is not None and received[0].resent_after is None
        if copies == 2:
            assert received[1] is not None
            assert received[1].resent_after == pytest.approx(0.4, abs=0.01)
            assert received[1].first_sent_to == STARTED
            assert received[1].number == received[0].number is not None
            assert received[1].remaining_time == pytest.approx(1.6, abs=0.01)

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main())


def test_results_kept_for_second_copies_are_bounded() -> None:
    """Guards against large answers to orders that fill the memory of a daemon.

    A copy of a request whose result was not kept is not executed.
    """

    async def main() -> None:
        body = b"x" * (MAX_KEPT_RESULT_BYTES * 3 // 4)
        pool = FakeTargetPool(result=replace(OK, body=body))
        dispatcher = dispatcher_for(pool)

        async def execute(attempt_id: str) -> HostReply:
            request = replace(REQUEST, attempt_id=attempt_id)
            return await dispatcher.execute(replace(UNSAFE, request=request))

        for attempt_id in "ab":
            assert (await execute(attempt_id)).outcome is HostOutcome.ANSWERED
        assert (await execute("b")).outcome is HostOutcome.ANSWERED
        second = await execute("a")
        assert second.outcome is HostOutcome.FAILED
        assert len(pool.requests) == 2
        await asyncio.sleep(KEEP_RESULT_SECONDS + 1)
        for _ in range(2):
            assert (await execute("c")).outcome is HostOutcome.ANSWERED
        assert len(pool.requests) == 3

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main())


def test_dispatched_unsafe_request_is_not_cancelled() -> None:
    """Guards against an execution that stops halfway when the client disconnects."""

    async def main() -> None:
        pool = FakeTargetPool(seconds=0.5)
        dispatcher = dispatcher_for(pool)
        task = asyncio.create_task(dispatcher.execute(UNSAFE))
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.sleep(0.4)
        assert dispatcher.load().running == 1

    asyncio.run(main())


def test_queued_unsafe_request_is_cancelled_when_abandoned() -> None:
    """Guards against a dispatch after the client has disconnected."""

    async def main() -> None:
        pool = FakeTargetPool(seconds=0.6)
        dispatcher = dispatcher_for(pool)
        running = asyncio.create_task(dispatcher.execute(SAFE))
        await asyncio.sleep(0.01)
        waiting = asyncio.create_task(dispatcher.execute(UNSAFE))
        await asyncio.sleep(0.01)
        waiting.cancel()
        await running
        await asyncio.sleep(0.1)
        assert len(pool.requests) == 1
        retried = await dispatcher.execute(UNSAFE)
        assert retried.outcome is HostOutcome.REFUSED

    asyncio.run(main())


def test_queued_request_is_refused_when_the_target_is_leaving() -> None:
    """Guards against a queued request that is dispatched to a leaving target."""

    async def main() -> None:
        pool = FakeTargetPool(seconds=0.1)
        dispatcher = dispatcher_for(pool)
        running = asyncio.create_task(dispatcher.execute(SAFE))
        await asyncio.sleep(0.01)
        waiting = asyncio.create_task(dispatcher.execute(SAFE))
        await asyncio.sleep(0.01)
        dispatcher.set_target(replace(HEARTBEAT, sequence=2, leaving=True))
        refusal = await waiting
        assert (await running).outcome is HostOutcome.ANSWERED
        assert refusal.reason is HostReason.LEAVING
        assert len(pool.requests) == 1

    asyncio.run(main())


def test_request_for_another_service_is_refused() -> None:
    """Guards against a dispatch to a service that the route does not name."""

    async def main() -> None:
        pool = FakeTargetPool()
        reply = await dispatcher_for(pool).execute(
            replace(SAFE, service=ServiceName("two"))
        )
        assert reply.reason is HostReason.OTHER_SERVICE
        assert pool.requests == []

    asyncio.run(main())


def test_only_a_request_that_was_not_sent_is_refused() -> None:
    """Guards against a refusal of a request that the target may have executed."""

    async def outcome_of(sent: bool, reason: FailureReason) -> HostReply:
        pool = FakeTargetPool(result=ExchangeFailed(reason=reason, sent=sent))
        return await dispatcher_for(pool).execute(SAFE)

    unsent = asyncio.run(outcome_of(False, FailureReason.CONNECT_FAILED))
    assert unsent.outcome is HostOutcome.REFUSED
    reset = asyncio.run(outcome_of(True, FailureReason.RESET))
    assert reset.outcome is HostOutcome.FAILED


def test_failures_appear_in_the_load_report() -> None:
    """Guards against a fast failing target that is preferred because it is idle."""

    async def main() -> None:
        pool = FakeTargetPool(result=HttpResponse(status=500), seconds=0)
        dispatcher = dispatcher_for(pool)
        for _ in range(30):
            await dispatcher.execute(SAFE)
        assert dispatcher.load().failure_share > 0.9

    asyncio.run(main())


def test_request_and_reply_are_decoded_as_they_were_encoded() -> None:
    """Guards against fields lost in the messages between two daemons."""
    sent = peer_calls.encode_request(UNSAFE)
    received = peer_calls.decode_request(replace(sent, arrived=5.0))
    assert received is not None
    assert replace(received.request, arrived_at=0.0) == REQUEST
    assert replace(received, request=REQUEST) == UNSAFE

    async def main() -> None:
        reply = await dispatcher_for(FakeTargetPool()).execute(SAFE)
        message = peer_calls.encode_reply(reply, attempt_id="id-1")
        assert peer_calls.attempt_id_of(message) == "id-1"
        decoded = peer_calls.decode_reply(message)
        assert decoded is not None
        assert decoded.response is not None
        # Its client gets the headers of the target only.
        assert decoded.response.headers == OK.headers
        assert decoded.response.body == b"done"
        assert decoded.outcome is HostOutcome.ANSWERED

    asyncio.run(main())


def test_malformed_messages_are_decoded_as_none() -> None:
    """Guards against an exception for bytes that no daemon has sent."""
    no_message = HttpRequest(method=b"GET", target=b"/", headers=())
    malformed_request = replace(no_message, headers=((b"cs-call", b"a,b"),))
    assert peer_calls.decode_request(no_message) is None
    assert peer_calls.decode_request(malformed_request) is None
    assert peer_calls.decode_reply(HttpResponse(status=200)) is None
    malformed_reply = HttpResponse(status=200, headers=((b"cs-reply", b"x,y,z"),))
    assert peer_calls.decode_reply(malformed_reply) is None


CONNECTION_LOST = ExchangeFailed(reason=FailureReason.RESET, sent=True)
CONNECTION_REFUSED = ExchangeFailed(reason=FailureReason.CONNECT_FAILED, sent=False)


def test_crash_reports_the_requests_in_flight() -> None:
    """Guards against a request that crashes targets and is not recorded."""

    async def main() -> None:
        pool, crashes = FakeTargetPool(result=CONNECTION_LOST, seconds=0), []
        dispatcher = dispatcher_for(pool, crashes)
        await dispatcher.execute(SAFE)
        assert crashes == []
        pool.result = CONNECTION_REFUSED
        await dispatcher.execute(SAFE)
        assert [crash.target for crash in crashes] == [HEARTBEAT.target]
        assert crashes[0].fingerprints == (request_fingerprint(REQUEST),)

    asyncio.run(main())


def test_restart_reports_the_requests_of_the_former_incarnation() -> None:
    """Guards against a crash missed because no request was dispatched after it."""

    async def main() -> None:
        crashes: list[TargetCrash] = []
        dispatcher = dispatcher_for(
            FakeTargetPool(result=CONNECTION_LOST, seconds=0), crashes
        )
        await dispatcher.execute(SAFE)
        dispatcher.set_target(None)
        dispatcher.set_target(replace(HEARTBEAT, start_time_ms=2))
        assert [crash.start_time_ms for crash in crashes] == [HEARTBEAT.start_time_ms]

    asyncio.run(main())


def test_response_after_a_lost_connection_rules_out_a_crash() -> None:
    """Guards against a crash recorded for a request whose target kept running."""

    async def main() -> None:
        pool, crashes = FakeTargetPool(result=CONNECTION_LOST, seconds=0.01), []
        dispatcher = dispatcher_for(pool, crashes)
        await dispatcher.execute(SAFE)
        pool.result = OK
        await dispatcher.execute(SAFE)
        dispatcher.set_target(replace(HEARTBEAT, start_time_ms=2))
        assert crashes == []

    asyncio.run(main())


def test_missed_heartbeats_of_one_incarnation_are_no_crash() -> None:
    """Guards against crash records for targets that only paused for some seconds."""

    async def main() -> None:
        crashes: list[TargetCrash] = []
        dispatcher = dispatcher_for(
            FakeTargetPool(result=CONNECTION_LOST, seconds=0), crashes
        )
        await dispatcher.execute(SAFE)
        dispatcher.set_target(None)
        dispatcher.set_target(replace(HEARTBEAT, sequence=9))
        assert crashes == []

    asyncio.run(main())


def test_missed_heartbeats_free_no_slots() -> None:
    """Guards against more requests at a target than it has slots.

    A target that is silent for a while runs on, and so do its requests.
    """

    async def main() -> None:
        pool = FakeTargetPool(seconds=0.2)
        dispatcher = dispatcher_for(pool)
        running = [
            asyncio.create_task(dispatcher.execute(replace(SAFE, max_wait=0)))
            for _ in range(HEARTBEAT.slots)
        ]
        await asyncio.sleep(0.05)
        dispatcher.set_target(None)
        refused = await dispatcher.execute(SAFE)
        assert refused.reason is HostReason.NO_TARGET
        dispatcher.set_target(replace(HEARTBEAT, sequence=9))
        reply = await dispatcher.execute(replace(SAFE, max_wait=0))
        assert reply.reason is HostReason.BUSY
        assert len(pool.requests) == HEARTBEAT.slots
        for each in running:
            assert (await each).outcome is HostOutcome.ANSWERED
        assert (await dispatcher.execute(SAFE)).outcome is HostOutcome.ANSWERED

    asyncio.run(main())


def test_request_that_crashed_three_targets_is_refused() -> None:
    """Guards against a request that crashes one target after the other."""

    async def main() -> None:
        pool = FakeTargetPool()
        dispatcher = dispatcher_for(pool)
        for number in range(3):
            dispatcher._crashes.record(
                TargetCrash(
                    target=TargetId(f"i-{number}"),
                    start_time_ms=1,
                    fingerprints=(request_fingerprint(REQUEST),),
                )
            )
        reply = await dispatcher.execute(SAFE)
        assert reply.outcome is HostOutcome.REFUSED
        assert reply.reason is HostReason.QUARANTINED
        assert pool.requests == []

    asyncio.run(main())
