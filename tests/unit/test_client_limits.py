"""Decisions on which clients wait, give way or come back, without sockets."""

import asyncio
from collections.abc import Callable

import pytest

from cassiasail._internal.state.return_schedule import (
    MAX_RETURN_SECONDS,
    MIN_RATE,
    ReturnSchedule,
)
from cassiasail._internal.transport.connection_table import (
    Activity,
    ConnectionState,
    ConnectionTable,
)
from cassiasail._internal.transport.descriptors import shares_of
from cassiasail._internal.transport.http1.memory import BodyMemory, UnsentResponses
from cassiasail._internal.transport.http1.pipelining import PipelinedRequests
from cassiasail._internal.transport.listener import ACCEPTS_PER_ITERATION
from cassiasail._internal.transport.rationed_page import RationedPage
from cassiasail._internal.transport.reading_turns import PacedReader, ReadingTurns
from devtools.virtual_loop import VirtualLoop


class FakeConnection:
    """A connection in a given state."""

    def __init__(self, activity: Activity, since: float) -> None:
        self._state = ConnectionState(activity=activity, since=since)
        self.aborted = False

    def state(self) -> ConnectionState:
        return self._state

    def has_unreceived_response(self) -> bool:
        return False

    def abort(self) -> None:
        self.aborted = True


def test_connections_in_use_are_not_closed_for_new_ones() -> None:
    """Guards against ordinary clients that lose to those that only hold connections."""

    async def main() -> None:
        now = asyncio.get_running_loop().time()
        served = FakeConnection(Activity.SERVED, now - 100)
        reading = FakeConnection(Activity.BLOCKED, now)
        in_order = [
            FakeConnection(Activity.RECEIVING_HEAD, now - 9),
            FakeConnection(Activity.RECEIVING_BODY, now - 8),
            FakeConnection(Activity.IDLE, now - 20),
            FakeConnection(Activity.IDLE, now - 1),
            FakeConnection(Activity.BLOCKED, now - 30),
            FakeConnection(Activity.RECEIVING_HEAD, now),
        ]
        table = ConnectionTable[FakeConnection](limit=len(in_order) + 2)
        for each in (reading, *reversed(in_order), served):
            table.add(each)
        for position in range(len(in_order)):
            assert table.make_room()
            assert [each.aborted for each in in_order].count(True) == position + 1
            assert in_order[position].aborted
            table.add(FakeConnection(Activity.SERVED, now))
        assert not table.make_room()
        assert not served.aborted and not reading.aborted

    asyncio.run(main())


@pytest.mark.parametrize("descriptors", [1000, 3900])
def test_uses_leave_descriptors_for_the_store(descriptors: int) -> None:
    """Guards against a daemon at all its limits that can't reach the store."""
    shares = shares_of(descriptors)
    listeners = 5
    used = (
        shares.clients
        + shares.peers
        + shares.hosts
        + shares.target
        + 3 * shares.service
        + listeners * shares.refused
    )
    # A listener accepts some connections before those that it closes are gone.
    assert used + listeners + 2 * ACCEPTS_PER_ITERATION <= 0.99 * descriptors


class SlowProtocol(asyncio.Protocol):
    """Counts what it gets; each byte takes a time of the given clock."""

    def __init__(self, clock: list[float], seconds_per_byte: float) -> None:
        self._clock = clock
        self._seconds_per_byte = seconds_per_byte
        self.received = 0

    def data_received(self, data: bytes) -> None:
        self.received += len(data)
        self._clock[0] += self._seconds_per_byte * len(data)


class FakeTransport(asyncio.Transport):
    """Reads as fast as its protocol allows."""

    def __init__(self) -> None:
        super().__init__()
        self.reading = True

    def is_reading(self) -> bool:
        return self.reading

    def is_closing(self) -> bool:
        return False

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True


def test_costly_connections_read_in_turn_and_others_at_once() -> None:
    """Guards against one client that keeps the loop from all others by its parsing."""

    async def main() -> None:
        clock = [0.0]
        turns = ReadingTurns()

        def reader(seconds_per_byte: float) -> tuple[PacedReader, FakeTransport]:
            protocol = SlowProtocol(clock, seconds_per_byte)
            made = PacedReader(protocol=protocol, turns=turns, clock=lambda: clock[0])
            transport = FakeTransport()
            made.connection_made(transport)
            return made, transport

        costly = [reader(2e-6) for _ in range(3)]
        cheap, cheap_transport = reader(1e-9)
        for _ in range(50):
            cheap.buffer_updated(len(cheap.get_buffer(-1)))
            assert cheap_transport.reading
            for each, transport in costly:
                if transport.reading:
                    each.buffer_updated(len(each.get_buffer(-1)))
            await asyncio.sleep(0)
            # In each iteration of the loop it is the turn of one of them.
            assert sum(transport.reading for _, transport in costly) <= 1
        # A piece of a costly connection takes about a millisecond.
        assert all(len(each.get_buffer(-1)) <= 512 for each, _ in costly)
        assert len(cheap.get_buffer(-1)) == len(turns.buffer)

    asyncio.run(main())


@pytest.mark.parametrize("rate", [0.0, 50.0])
def test_refused_clients_return_one_after_the_other(rate: float) -> None:
    """Guards against refused clients that all come back at the same time."""
    schedule, now = ReturnSchedule(), 0.0
    while rate and now < 10:
        now += 1 / rate
        schedule.record_free(now)
    now = max(now, 10.0)
    times = [schedule.retry_after(now) for _ in range(8)]
    gaps = [after - before for before, after in zip(times, times[1:], strict=False)]
    assert gaps == pytest.approx([1 / max(rate, MIN_RATE)] * 7, rel=0.2)
    assert max(schedule.retry_after(now) for _ in range(500)) <= MAX_RETURN_SECONDS


def test_page_is_made_no_more_often_than_its_share_allows() -> None:
    """Guards against scrapes that keep the daemon busy, and against a page for ever."""
    now, made = [0.0], [0]

    def render() -> int:
        now[0] += 0.01
        made[0] += 1
        return made[0]

    page = RationedPage(render=render, share=0.05, clock=lambda: now[0])
    for _ in range(1000):
        page.get()
    assert made[0] <= 25
    now[0] += 10
    assert page.get() == made[0] > 20


def test_incomplete_request_gives_way_to_a_new_one() -> None:
    """Guards against bodies that are never finished and keep all others out."""
    now, dropped = [0.0], []
    memory = BodyMemory(limit=100, clock=lambda: now[0])

    def begin(name: str, size: int) -> bool:
        def drop() -> None:
            dropped.append(name)
            memory.release(name)

        memory.begin(name, drop)
        return memory.try_hold(name, size)

    assert begin("slow", 60) and begin("complete", 30)
    memory.complete("complete")
    assert not begin("early", 50) and dropped == []
    now[0] = 5.0
    assert begin("ordinary", 50)
    assert dropped == ["slow"]
    assert memory.held == 80


def run_virtually(main: Callable[[], object]) -> None:
    loop = VirtualLoop()
    try:
        loop.run_until_complete(main())  # type: ignore[arg-type]
    finally:
        loop.close()


def test_answers_behind_a_slow_one_are_dropped_without_their_connection() -> None:
    """Guards against the loss of a connection whose client takes all it can."""

    async def main() -> None:
        unsent = UnsentResponses(limit=100)
        ended: list[str] = []

        def hold(name: str, size: int, *, is_waiting: bool) -> None:
            def end(how: str) -> None:
                ended.append(f"{name} {how}")
                unsent.release_all(name)

            unsent.hold(
                name,
                size,
                lambda: end("dropped"),
                is_waiting=lambda: is_waiting,
                shed=lambda: end("shed"),
            )

        hold("behind an order", 60, is_waiting=True)
        await asyncio.sleep(3)
        hold("not reading", 30, is_waiting=False)
        await asyncio.sleep(1)
        hold("ordinary", 50, is_waiting=False)
        hold("also ordinary", 50, is_waiting=False)
        assert ended == ["behind an order shed", "not reading dropped"]

    run_virtually(main)


def test_requests_behind_others_run_within_memory() -> None:
    """Guards against more answers behind slow requests than memory can hold."""

    async def main() -> None:
        unsent = UnsentResponses(limit=24 << 20)
        pipelined = PipelinedRequests(limit=100, unsent=unsent)
        for _ in range(100):
            pipelined.record_size(540_000)
        started = 0
        while pipelined.try_start():
            started += 1
        assert started * 540_000 <= unsent.limit / 2
        assert started >= 20
        pipelined.end()
        assert pipelined.try_start()
        # Small answers leave room for as many as there are connections.
        for _ in range(100):
            pipelined.record_size(100)
        while pipelined.try_start():
            started += 1
        assert started == 100

    run_virtually(main)
