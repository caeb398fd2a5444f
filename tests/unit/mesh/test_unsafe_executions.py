"""Copies of unsafe requests that reach their host daemon late, or after a restart."""

import asyncio
import gc
import sys
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest

from cassiasail._internal.awake_clock import AwakeClock
from cassiasail._internal.coordination.mesh import unsafe_executions
from cassiasail._internal.coordination.mesh.unsafe_executions import (
    DroppedNumbers,
    UnsafeExecution,
    UnsafeExecutions,
)
from cassiasail._internal.ids import DaemonStart
from cassiasail._internal.protocol import peer_calls
from cassiasail._internal.state.calls import (
    HostedRequest,
    HostOutcome,
    HostReply,
    RequestNumber,
)
from cassiasail._internal.state.kept_results import KEEP_RESULT_SECONDS
from devtools.virtual_loop import VirtualLoop
from tests.lib.events import null_event_log
from tests.unit.mesh.test_hosting import REQUEST, UNSAFE

FORMER, STARTED = DaemonStart("former"), DaemonStart("started")
ENTRY, OTHER_ENTRY = DaemonStart("entry"), DaemonStart("other")


class Host:
    """The executions of one start of a host daemon, with a list of what it ran."""

    def __init__(self, start: DaemonStart = STARTED) -> None:
        self.ran: list[str] = []
        self.awake = AwakeClock()
        self.executions = UnsafeExecutions(
            daemon_start=start,
            execute=self._execute,
            awake=self.awake,
            events=null_event_log(),
        )

    async def _execute(
        self, hosted: HostedRequest, execution: UnsafeExecution
    ) -> HostReply:
        self.ran.append(hosted.request.attempt_id)
        await asyncio.sleep(0.1)
        return HostReply(outcome=HostOutcome.ANSWERED)


def first_copy(number: int = 1) -> HostedRequest:
    request = replace(REQUEST, attempt_id=f"order-{number}")
    return replace(UNSAFE, request=request, number=RequestNumber(ENTRY, number))


def second_copy(
    number: int = 1, *, sent_to: DaemonStart | None, resent_after: float = 1.0
) -> HostedRequest:
    return replace(first_copy(number), resent_after=resent_after, first_sent_to=sent_to)


def run(main: Callable[[], Awaitable[None]]) -> None:
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main())  # type: ignore[arg-type]


@pytest.mark.parametrize("uptime", [0.0, 1.0, 4.0, 60.0])
@pytest.mark.parametrize("resent_after", [0.0, 1.0, 5.0, KEEP_RESULT_SECONDS])
@pytest.mark.parametrize("sent_to", [FORMER, None])
def test_second_copy_of_a_request_sent_to_another_start_never_runs(
    uptime: float, resent_after: float, sent_to: DaemonStart | None
) -> None:
    """Guards against an order that a former start of the daemon has run.

    The second copy may have waited unread for any time, so neither its age nor the
    uptime shows whether the first was sent before this start.
    """

    async def main() -> None:
        host = Host()
        await asyncio.sleep(uptime)
        copy = second_copy(sent_to=sent_to, resent_after=resent_after)
        reply = await host.executions.execute(copy)
        assert reply.outcome is HostOutcome.FAILED
        assert host.ran == []

    run(main)


@pytest.mark.parametrize("uptime", [0.0, 1.0, 60.0])
@pytest.mark.parametrize("resent_after", [0.0, 5.0, 30.0])
def test_second_copy_runs_if_the_first_never_arrived(
    uptime: float, resent_after: float
) -> None:
    """Guards against orders whose outcome is called unknown without need.

    After a loss of power connections to the former start remain. The first copy that is
    sent on one of them is lost, but its entry daemon knew of the new start.
    """

    async def main() -> None:
        host = Host()
        await asyncio.sleep(uptime)
        copy = second_copy(sent_to=STARTED, resent_after=resent_after)
        assert (await host.executions.execute(copy)).outcome is HostOutcome.ANSWERED
        assert (await host.executions.execute(copy)).outcome is HostOutcome.ANSWERED
        assert host.ran == ["order-1"]

    run(main)


def test_second_copy_of_a_request_whose_execution_was_dropped_never_runs() -> None:
    """Guards against an order that ran at this start of the daemon long ago."""

    async def main() -> None:
        host = Host()
        await host.executions.execute(first_copy(7))
        await asyncio.sleep(KEEP_RESULT_SECONDS + 1)
        for resent_after in (0.5, 60.0):
            copy = second_copy(7, sent_to=STARTED, resent_after=resent_after)
            reply = await host.executions.execute(copy)
            assert reply.outcome is HostOutcome.FAILED
        later = await host.executions.execute(second_copy(8, sent_to=STARTED))
        assert later.outcome is HostOutcome.ANSWERED
        assert host.ran == ["order-7", "order-8"]

    run(main)


def test_result_is_kept_while_the_process_stands_still() -> None:
    """Guards against a result that is dropped while its second copy waits unread."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        host = Host()
        ticking = asyncio.create_task(host.awake.run())
        await host.executions.execute(first_copy())
        await asyncio.sleep(1)
        loop.advance(KEEP_RESULT_SECONDS * 2)
        # The timers that became due meanwhile run before the copy is read.
        await asyncio.sleep(0.01)
        copy = second_copy(sent_to=STARTED)
        assert (await host.executions.execute(copy)).outcome is HostOutcome.ANSWERED
        assert host.ran == ["order-1"]
        await asyncio.sleep(KEEP_RESULT_SECONDS)
        reply = await host.executions.execute(copy)
        assert reply.outcome is HostOutcome.FAILED
        ticking.cancel()

    run(main)


def test_dropped_numbers_are_those_up_to_the_highest_of_each_entry_daemon() -> None:
    """Guards against an order that is forgotten because another one has a number."""
    dropped = DroppedNumbers()
    dropped.add(RequestNumber(ENTRY, 5))
    dropped.add(RequestNumber(ENTRY, 3))
    assert dropped.may_include(RequestNumber(ENTRY, 3))
    assert dropped.may_include(RequestNumber(ENTRY, 5))
    assert not dropped.may_include(RequestNumber(ENTRY, 6))
    assert not dropped.may_include(RequestNumber(OTHER_ENTRY, 1))


def test_dropped_number_of_a_forgotten_entry_daemon_counts_as_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a bound of memory that makes an order run again."""
    monkeypatch.setattr(unsafe_executions, "MAX_ENTRY_STARTS", 2)
    dropped = DroppedNumbers()
    for entry in ("a", "b", "c"):
        dropped.add(RequestNumber(DaemonStart(entry), 9))
    assert dropped.may_include(RequestNumber(DaemonStart("a"), 9))
    assert not dropped.may_include(RequestNumber(DaemonStart("c"), 10))


def test_second_copy_names_the_start_that_was_known_and_the_number() -> None:
    """Guards against copies from which the host daemon can't tell a former start."""
    copy = second_copy(3, sent_to=FORMER)
    decoded = peer_calls.decode_request(peer_calls.encode_request(copy))
    assert decoded is not None
    assert decoded.first_sent_to == FORMER
    assert decoded.number == RequestNumber(ENTRY, 3)
    plain = peer_calls.decode_request(peer_calls.encode_request(UNSAFE))
    assert plain is not None
    assert plain.first_sent_to is plain.number is None
    # Targets get none of these headers.
    assert decoded.request.headers == REQUEST.headers


def test_body_of_a_request_is_not_held_with_its_result() -> None:
    """Guards against uploads that fill the memory while their results are kept."""

    async def main() -> None:
        host = Host()
        body = bytes(1000)
        before = sys.getrefcount(body)
        copy = first_copy()
        copy = replace(copy, request=replace(copy.request, body=body))
        await host.executions.execute(copy)
        del copy
        await asyncio.sleep(1)
        gc.collect()
        assert sys.getrefcount(body) == before

    run(main)
