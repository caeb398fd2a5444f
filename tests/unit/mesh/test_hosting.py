"""Requests at the daemon beside the target."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from cassiasail._internal.coordination.mesh.crashes import CrashHistory, fingerprint
from cassiasail._internal.coordination.mesh.hosting import Host
from cassiasail._internal.coordination.mesh.registration import TargetHeartbeat
from cassiasail._internal.ids import ServiceName, TargetId
from cassiasail._internal.protocol import peer_calls
from cassiasail._internal.protocol.exchanges import (
    Address,
    ExchangeFailed,
    FailureReason,
)
from cassiasail._internal.protocol.http1 import HttpRequest, HttpResponse
from cassiasail._internal.state.calls import (
    HostedCall,
    HostOutcome,
    HostReason,
    HostReply,
    MeshCall,
)
from cassiasail._internal.state.hosts import TargetDeath
from cassiasail.platform.requests import TARGET_CODEC
from tests.lib.events import null_event_log

SERVICE = ServiceName("one")
REPORT = TargetHeartbeat(
    target=TargetId("i-1"),
    start_time_ms=1,
    sequence=1,
    service=SERVICE,
    address="10.0.0.1:80",
    slots=1,
    leaving=False,
    cold_seconds=0,
)
CALL = MeshCall(
    attempt="id-1",
    method=b"POST",
    host="h",
    target=b"/x",
    headers=((b"accept", b"*/*"),),
    body=b"order",
    caller=ServiceName("caller"),
    arrived=0.0,
    time_left=2.0,
)
UNSAFE = HostedCall(
    call=CALL,
    service=SERVICE,
    rank=1,
    route="r,1",
    safe=False,
    late=False,
    time_left=2.0,
    max_wait=1.0,
)
SAFE = replace(UNSAFE, safe=True)
OK = HttpResponse(status=200, body=b"done")


@dataclass
class FakeTargetPool:
    """Answers each request after ``seconds``."""

    answer: HttpResponse | ExchangeFailed = OK
    seconds: float = 0.05
    requests: list[HttpRequest] = field(default_factory=list)

    async def exchange(
        self,
        address: Address,
        request: HttpRequest,
        *,
        timeout: float,
        accept: Callable[[HttpResponse], bool],
        max_idle: float | None,
    ) -> HttpResponse | ExchangeFailed:
        self.requests.append(request)
        await asyncio.sleep(self.seconds)
        return self.answer

    def close_idle(self, address: Address) -> None:
        pass


def host_of(pool: FakeTargetPool, deaths: list[TargetDeath] | None = None) -> Host:
    host = Host(
        pool=pool,  # type: ignore[arg-type]
        codec=TARGET_CODEC,
        crashes=CrashHistory(events=null_event_log()),
        died=deaths.append if deaths is not None else lambda death: None,
        events=null_event_log(),
    )
    host.set_target(REPORT)
    return host


def test_two_copies_of_an_unsafe_request_run_once() -> None:
    """Guards against an order that runs twice after a lost connection."""

    async def main() -> None:
        pool = FakeTargetPool()
        host = host_of(pool)
        first = asyncio.create_task(host.run(UNSAFE))
        await asyncio.sleep(0.01)
        first.cancel()
        second = await host.run(UNSAFE)
        third = await host.run(UNSAFE)
        assert second.outcome is third.outcome is HostOutcome.ANSWERED
        assert len(pool.requests) == 1

    asyncio.run(main())


def test_an_unsafe_request_in_progress_is_not_broken_off() -> None:
    """Guards against an order that ends halfway because its client left."""

    async def main() -> None:
        pool = FakeTargetPool(seconds=0.5)
        host = host_of(pool)
        task = asyncio.create_task(host.run(UNSAFE))
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.sleep(0.4)
        assert host.load().running == 1

    asyncio.run(main())


def test_an_unsafe_request_that_waits_is_withdrawn() -> None:
    """Guards against an order that reaches its target after its client left."""

    async def main() -> None:
        pool = FakeTargetPool(seconds=0.6)
        host = host_of(pool)
        running = asyncio.create_task(host.run(SAFE))
        await asyncio.sleep(0.01)
        waiting = asyncio.create_task(host.run(UNSAFE))
        await asyncio.sleep(0.01)
        waiting.cancel()
        await running
        await asyncio.sleep(0.1)
        assert len(pool.requests) == 1
        again = await host.run(UNSAFE)
        assert again.outcome is HostOutcome.REFUSED

    asyncio.run(main())


def test_a_leaving_target_gets_nothing_that_waits() -> None:
    """Guards against a queued request that reaches a leaving target."""

    async def main() -> None:
        pool = FakeTargetPool(seconds=0.1)
        host = host_of(pool)
        running = asyncio.create_task(host.run(SAFE))
        await asyncio.sleep(0.01)
        waiting = asyncio.create_task(host.run(SAFE))
        await asyncio.sleep(0.01)
        host.set_target(replace(REPORT, sequence=2, leaving=True))
        refused = await waiting
        assert (await running).outcome is HostOutcome.ANSWERED
        assert refused.reason is HostReason.LEAVING
        assert len(pool.requests) == 1

    asyncio.run(main())


def test_a_target_of_another_service_gets_nothing() -> None:
    """Guards against a request at a service that its route does not name."""

    async def main() -> None:
        pool = FakeTargetPool()
        reply = await host_of(pool).run(replace(SAFE, service=ServiceName("two")))
        assert reply.reason is HostReason.OTHER_TARGET
        assert pool.requests == []

    asyncio.run(main())


def test_what_never_left_is_refused_and_what_left_is_not() -> None:
    """Guards against a refusal of a request that may have run."""

    async def outcome_of(sent: bool, reason: FailureReason) -> HostReply:
        pool = FakeTargetPool(answer=ExchangeFailed(reason=reason, sent=sent))
        return await host_of(pool).run(SAFE)

    unsent = asyncio.run(outcome_of(False, FailureReason.CONNECT_FAILED))
    assert unsent.outcome is HostOutcome.REFUSED
    reset = asyncio.run(outcome_of(True, FailureReason.RESET))
    assert reset.outcome is HostOutcome.FAILED


def test_failures_show_in_the_load_and_fade() -> None:
    """Guards against a failing target that looks idle and attractive."""

    async def main() -> None:
        pool = FakeTargetPool(answer=HttpResponse(status=500), seconds=0)
        host = host_of(pool)
        for _ in range(30):
            await host.run(SAFE)
        assert host.load().failing > 0.9

    asyncio.run(main())


def test_a_call_and_its_reply_travel_whole() -> None:
    """Guards the messages between two daemons."""
    sent = peer_calls.encode_call(UNSAFE)
    received = peer_calls.decode_call(replace(sent, arrived=5.0))
    assert received is not None
    assert replace(received.call, arrived=0.0) == CALL
    assert replace(received, call=CALL) == UNSAFE

    async def main() -> None:
        reply = await host_of(FakeTargetPool()).run(SAFE)
        decoded = peer_calls.decode_reply(peer_calls.encode_reply(reply))
        assert decoded is not None
        assert decoded.answer is not None
        assert decoded.answer.body == b"done"
        assert decoded.outcome is HostOutcome.ANSWERED

    asyncio.run(main())


def test_malformed_messages_between_daemons_are_none() -> None:
    """Guards against bytes of a foreign sender that end the daemon."""
    plain = HttpRequest(method=b"GET", target=b"/", headers=())
    odd = replace(plain, headers=((b"cs-call", b"a,b"),))
    assert peer_calls.decode_call(plain) is None
    assert peer_calls.decode_call(odd) is None
    assert peer_calls.decode_reply(HttpResponse(status=200)) is None
    strange = HttpResponse(status=200, headers=((b"cs-reply", b"x,y,z"),))
    assert peer_calls.decode_reply(strange) is None


LOST = ExchangeFailed(reason=FailureReason.RESET, sent=True)
REFUSED = ExchangeFailed(reason=FailureReason.CONNECT_FAILED, sent=False)


def test_a_target_that_dies_names_what_it_ran() -> None:
    """Guards against a request that crashes targets and stays unknown."""

    async def main() -> None:
        pool, deaths = FakeTargetPool(answer=LOST, seconds=0), []
        host = host_of(pool, deaths)
        await host.run(SAFE)
        assert deaths == []
        pool.answer = REFUSED
        await host.run(SAFE)
        assert [death.target for death in deaths] == [REPORT.target]
        assert deaths[0].fingerprints == (fingerprint(CALL),)

    asyncio.run(main())


def test_a_restarted_target_names_what_the_former_life_ran() -> None:
    """Guards against a crash that nobody sees because no request came after it."""

    async def main() -> None:
        deaths: list[TargetDeath] = []
        host = host_of(FakeTargetPool(answer=LOST, seconds=0), deaths)
        await host.run(SAFE)
        host.set_target(None)
        host.set_target(replace(REPORT, start_time_ms=2))
        assert [death.start_time_ms for death in deaths] == [REPORT.start_time_ms]

    asyncio.run(main())


def test_a_target_that_answers_after_a_lost_connection_has_not_died() -> None:
    """Guards against a request blamed for a death although its target went on."""

    async def main() -> None:
        pool, deaths = FakeTargetPool(answer=LOST, seconds=0.01), []
        host = host_of(pool, deaths)
        await host.run(SAFE)
        pool.answer = OK
        await host.run(SAFE)
        host.set_target(replace(REPORT, start_time_ms=2))
        assert deaths == []

    asyncio.run(main())


def test_a_target_that_was_silent_and_goes_on_has_not_died() -> None:
    """Guards against deaths of targets that only stood still for some seconds."""

    async def main() -> None:
        deaths: list[TargetDeath] = []
        host = host_of(FakeTargetPool(answer=LOST, seconds=0), deaths)
        await host.run(SAFE)
        host.set_target(None)
        host.set_target(replace(REPORT, sequence=9))
        assert deaths == []

    asyncio.run(main())


def test_a_request_that_killed_three_targets_is_refused() -> None:
    """Guards against a request that kills one target after the other."""

    async def main() -> None:
        pool = FakeTargetPool()
        host = host_of(pool)
        for number in range(3):
            host._crashes.record(
                TargetDeath(
                    target=TargetId(f"i-{number}"),
                    start_time_ms=1,
                    fingerprints=(fingerprint(CALL),),
                )
            )
        reply = await host.run(SAFE)
        assert reply.outcome is HostOutcome.REFUSED
        assert reply.reason is HostReason.QUARANTINED
        assert pool.requests == []

    asyncio.run(main())
