"""Targets that name the rate of requests that they take, or that they leave."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from random import Random

import pytest

from cassiasail._internal.coordination.mesh.hosting import TargetDispatcher
from cassiasail._internal.coordination.mesh.registration import TargetRegistration
from cassiasail._internal.ids import TargetId
from cassiasail._internal.protocol import peer_calls
from cassiasail._internal.protocol.http1 import HttpResponse
from cassiasail._internal.state.calls import (
    HostedRequest,
    HostLoad,
    HostOutcome,
    HostReason,
    HostReply,
    TargetResponse,
)
from cassiasail._internal.state.hosts import TargetState
from devtools.virtual_loop import VirtualLoop
from tests.lib.store_versions import at
from tests.unit.mesh.test_entry import ONE, fleet_of, record
from tests.unit.mesh.test_hosting import (
    HEARTBEAT,
    SAFE,
    STAMP,
    FakeTargetPool,
    dispatcher_for,
)

WINDOW_SECONDS = 4.0
# Time after a limit was first named from which it is enforced by the users.
CONTACT_SECONDS = 3.0


def most_in_window(times: list[float]) -> int:
    """Return the largest number of ``times`` within ``WINDOW_SECONDS``."""
    return max(
        (
            sum(start <= each < start + WINDOW_SECONDS for each in times)
            for start in times
        ),
        default=0,
    )


def allowed(limit: float) -> float:
    return 1.5 * limit * WINDOW_SECONDS + 5


@dataclass
class LimitedTarget(FakeTargetPool):
    """A target whose responses name ``limit`` as long as it is not None."""

    seconds: float = 0.03
    limit: str | None = None
    leaving: bool = False
    arrivals: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.on_request = lambda: self.arrivals.append(loop.time())

    def respond(self) -> HttpResponse:
        headers: tuple[tuple[bytes, bytes], ...] = (STAMP,)
        if self.limit is not None:
            headers += ((b"server-limit", self.limit.encode()),)
        if self.leaving:
            headers += ((b"server-leaving", b"1"),)
        return HttpResponse(status=200, headers=headers, body=b"done")


def hosted(number: int, **changes: object) -> HostedRequest:
    """Return request ``number`` with a path of its own."""
    path = b"/%d" % number
    request = replace(SAFE.request, attempt_id=f"id-{number}", request_target=path)
    return replace(SAFE, request=request, **changes)  # type: ignore[arg-type]


class Load:
    """Sends requests at a constant rate to ``dispatcher`` and keeps the replies."""

    def __init__(self, dispatcher: TargetDispatcher) -> None:
        self.dispatcher = dispatcher
        self.replies: list[tuple[int, HostReply, float]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._number = 0

    async def run(
        self,
        rate: float,
        seconds: float,
        priorities: tuple[int, ...] = (1,),
        **more: object,
    ) -> None:
        loop = asyncio.get_running_loop()
        random, end = Random(1), loop.time() + seconds
        while loop.time() < end:
            self._number += 1
            priority = priorities[self._number % len(priorities)]
            request = hosted(self._number, priority=priority, **more)
            task = asyncio.create_task(self._send(request))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(random.expovariate(rate))

    async def _send(self, request: HostedRequest) -> None:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        reply = await self.dispatcher.execute(request)
        self.replies.append((request.priority, reply, loop.time() - sent_at))

    async def finish(self) -> None:
        await asyncio.gather(*self._tasks)


def play(script: Callable[[], Awaitable[None]]) -> None:
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(script())  # type: ignore[arg-type]


def start(target: LimitedTarget) -> TargetDispatcher:
    dispatcher = dispatcher_for(target)
    dispatcher.set_target(replace(HEARTBEAT, slots=18))
    return dispatcher


@pytest.mark.parametrize("limit", ["73.5", "20", "2.5", "0"])
def test_target_gets_no_more_requests_than_it_named(limit: str) -> None:
    """Guards against a target in need that gets several times its limit."""

    async def script() -> None:
        target = LimitedTarget(limit=limit)
        load = Load(start(target))
        await load.run(200, 12.0)
        loop = asyncio.get_running_loop()
        late = [
            at for at in target.arrivals if at > loop.time() - 12.0 + CONTACT_SECONDS
        ]
        assert most_in_window(late) <= allowed(float(limit))
        # What the target takes is used.
        assert len(late) >= 0.9 * float(limit) * 9.0
        await load.finish()

    play(script)


def test_limit_ends_when_responses_stop_naming_it() -> None:
    """Guards against a target that stays limited after its need is over."""

    async def script() -> None:
        target = LimitedTarget(limit="5")
        load = Load(start(target))
        await load.run(100, 6.0)
        target.limit = None
        await load.run(100, 3.0)
        loop = asyncio.get_running_loop()
        assert sum(at > loop.time() - 2.0 for at in target.arrivals) > 150
        await load.finish()

    play(script)


def test_late_response_without_a_limit_does_not_end_it() -> None:
    """Guards against a limit lifted by a response from before it was named."""

    async def script() -> None:
        target = LimitedTarget(seconds=1.0)
        dispatcher = start(target)
        slow = asyncio.create_task(dispatcher.execute(hosted(1)))
        await asyncio.sleep(0.5)
        target.limit, target.seconds = "3", 0.01
        await dispatcher.execute(hosted(2))
        target.limit = None
        # Its request was dispatched before the limit was named.
        await slow
        assert dispatcher.load().rate_limit == 3.0
        await asyncio.sleep(1)
        await dispatcher.execute(hosted(3))
        assert dispatcher.load().rate_limit is None

    play(script)


def test_requests_beyond_the_limit_are_refused_by_rank_and_at_once() -> None:
    """Guards against urgent requests refused beside others, and late refusals."""

    async def script() -> None:
        target = LimitedTarget(limit="40")
        load = Load(start(target))
        await load.run(100, 10.0, priorities=(0, 2, 2, 2), max_wait=0.5)
        await load.finish()
        served = {
            priority: [
                reply.outcome is HostOutcome.ANSWERED
                for each, reply, _ in load.replies
                if each == priority
            ]
            for priority in (0, 2)
        }
        assert sum(served[0]) > 0.97 * len(served[0])
        assert sum(served[2]) < 0.5 * len(served[2])
        refused = [
            (reply.reason, seconds)
            for _, reply, seconds in load.replies
            if reply.outcome is HostOutcome.REFUSED
        ]
        at_once = sum(seconds == 0.0 for _, seconds in refused)
        # One that was queued is refused when those before it take the time that it had,
        # and few wait for all of it.
        expired = sum(reason is HostReason.EXPIRED for reason, _ in refused)
        assert at_once > 0.5 * len(refused), (at_once, expired, len(refused))
        assert expired < 0.05 * len(refused), (at_once, expired, len(refused))

    play(script)


def test_restarted_daemon_keeps_the_limit_that_others_know() -> None:
    """Guards against a flood when the daemon beside the target forgot a limit."""

    async def script() -> None:
        target = LimitedTarget(limit="10", seconds=2.0)
        first = start(target)
        await first.execute(hosted(0))
        known = first.load().rate_limit
        assert known == 10.0
        restarted = start(target)
        load = Load(restarted)
        target.arrivals.clear()
        await load.run(100, 4.0, known_limit=known)
        assert most_in_window(target.arrivals) <= allowed(10)
        await load.finish()

    play(script)


def test_new_incarnation_has_no_limit() -> None:
    """Guards against a limit that outlives the target that named it."""

    async def script() -> None:
        target = LimitedTarget(limit="1")
        dispatcher = start(target)
        await dispatcher.execute(hosted(1))
        assert dispatcher.load().rate_limit == 1.0
        dispatcher.set_target(replace(HEARTBEAT, start_time_ms=2))
        assert dispatcher.load().rate_limit is None

    play(script)


@pytest.mark.parametrize("named", ["", "many", "nan", "inf", "-3"])
def test_malformed_limit_is_none(named: str) -> None:
    """Guards against a target that is cut off by a limit that can't be read."""

    async def script() -> None:
        target = LimitedTarget(limit=named)
        dispatcher = start(target)
        await dispatcher.execute(hosted(1))
        assert dispatcher.load().rate_limit is None

    play(script)


def test_target_that_says_it_leaves_gets_no_further_request() -> None:
    """Guards against requests to a target that is about to end."""

    async def script() -> None:
        target = LimitedTarget(leaving=True)
        registration = TargetRegistration(
            address=HEARTBEAT.address,
            changed=lambda heartbeat: dispatcher.set_target(heartbeat),
            may_get_old_heartbeats=lambda: False,
        )
        dispatcher = dispatcher_for(target, leaving=registration.leave)
        registration.receive(HEARTBEAT)
        reply = await dispatcher.execute(hosted(1))
        assert reply.outcome is HostOutcome.ANSWERED
        assert reply.leaving_target == HEARTBEAT.incarnation
        assert registration.state is TargetState.LEAVING
        # A later heartbeat may have been sent before.
        registration.receive(replace(HEARTBEAT, sequence=2))
        refused = await dispatcher.execute(hosted(2))
        assert refused.reason is HostReason.LEAVING
        assert len(target.arrivals) == 1

    play(script)


def test_entry_daemon_remembers_that_a_target_leaves() -> None:
    """Guards against requests to a leaving target whose daemon has restarted."""

    async def script() -> None:
        first, second = record("v"), record("vv")
        fleet = fleet_of(first, second)
        view = fleet.view_by_host["v"]
        fleet.mark_leaving(view, first.incarnation)
        # Its restarted daemon has stored the record of before once more.
        fleet.update(first, at(9))
        assert [each.record.host for each in fleet.ready_hosts(ONE)] == ["vv"]
        fleet.update(replace(first, start_time_ms=2), at(10))
        assert len([*fleet.ready_hosts(ONE)]) == 2

    play(script)


def test_limit_and_leaving_target_pass_between_daemons() -> None:
    """Guards against entry daemons that learn neither from a reply."""
    load = HostLoad(
        running=1,
        waiting=2,
        slots=3,
        service_seconds=0.5,
        failure_share=0.0,
        rate_limit=73.5,
    )
    reply = HostReply(
        outcome=HostOutcome.ANSWERED,
        response=TargetResponse(status=200, reason=b"OK", headers=(), body=b"x"),
        load=load,
        leaving_target=(TargetId("i,1"), 7),
    )
    encoded = peer_calls.encode_reply(reply, attempt_id="id")
    decoded = peer_calls.decode_reply(encoded)
    assert decoded == replace(reply, response=decoded.response)  # type: ignore[union-attr]
    assert decoded is not None and decoded.response is not None
    assert not any(name.startswith(b"cs-l") for name, _ in decoded.response.headers)
    request = peer_calls.encode_request(hosted(1, known_limit=73.5))
    received = peer_calls.decode_request(request)
    assert received is not None
    assert received.known_limit == 73.5
    assert not any(name.startswith(b"cs-l") for name, _ in received.request.headers)
