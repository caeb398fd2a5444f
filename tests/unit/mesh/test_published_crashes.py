"""Crashes that a daemon publishes, and what a daemon that starts learns from them."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import replace

import pytest

from cassiasail._internal.coordination.mesh.crashes import (
    QUARANTINE_CRASHES,
    QUARANTINE_SECONDS,
    CrashHistory,
    request_fingerprint,
)
from cassiasail._internal.coordination.mesh.published_crashes import (
    MAX_PUBLISHED_CRASHES,
    PublishedCrashes,
)
from cassiasail._internal.ids import TargetId
from cassiasail._internal.state.calls import ClientRequest
from cassiasail._internal.state.hosts import TargetCrash
from tests.lib.events import null_event_log
from tests.unit.mesh.test_hosting import REQUEST

VMS = 3


def request(path: str) -> ClientRequest:
    return replace(REQUEST, request_target=path.encode())


def crash(target: str, *requests: ClientRequest, start: int = 1) -> TargetCrash:
    return TargetCrash(
        target=TargetId(target),
        start_time_ms=start,
        fingerprints=tuple(request_fingerprint(each) for each in requests),
    )


POPULAR, RARE, CULPRIT = request("/popular"), request("/rare"), request("/culprit")


class Daemon:
    """One start of the daemon of a VM, with the crashes in the records of all."""

    def __init__(self, records: Sequence[PublishedCrashes], number: int) -> None:
        self.published = records[number]
        self.history = CrashHistory(
            events=null_event_log(), answered=self.published.acquit
        )
        for record in records:
            self.learn(record.crashes)

    def learn(self, crashes: Sequence[TargetCrash]) -> None:
        for each in crashes:
            self.history.record(each)


def run(main: Callable[[], None]) -> None:
    async def in_loop() -> None:
        main()

    asyncio.run(in_loop())


def published() -> list[PublishedCrashes]:
    return [PublishedCrashes(now=lambda: 0.0) for _ in range(VMS)]


def test_popular_request_is_served_after_a_restart_of_all_daemons() -> None:
    """Guards against a quarantine of a request that was answered after each crash.

    It was in flight at a crash on each VM, and the daemons that saw its answers end.
    """

    def main() -> None:
        records = published()
        daemons = [Daemon(records, number) for number in range(VMS)]
        for number in range(VMS):
            at_crash = crash(f"i-{number}", POPULAR, CULPRIT)
            records[number].add(at_crash)
            for daemon in daemons:
                daemon.learn([at_crash])
            for daemon in daemons:
                daemon.history.record_response(POPULAR)
        restarted = [Daemon(records, number) for number in range(VMS)]
        for daemon in restarted:
            assert not daemon.history.is_quarantined(POPULAR)
            assert daemon.history.is_quarantined(CULPRIT)

    run(main)


@pytest.mark.parametrize("culprits", [1, 4, 10])
@pytest.mark.parametrize("vms", [2, 3])
def test_crashing_requests_stay_quarantined_over_rolls(culprits: int, vms: int) -> None:
    """Guards against requests that crash targets again after each roll of the daemons.

    Each crashes ``QUARANTINE_CRASHES`` targets, and ordinary requests that are answered
    later run beside it.
    """

    def main() -> None:
        records = published()[:vms]
        daemons = [Daemon(records, number) for number in range(vms)]
        requests = [request(f"/culprit/{each}") for each in range(culprits)]
        for number in range(culprits * QUARANTINE_CRASHES):
            vm = number % vms
            culprit = requests[number // QUARANTINE_CRASHES]
            at_crash = crash(f"i-{vm}", culprit, POPULAR, RARE, start=number)
            records[vm].add(at_crash)
            for daemon in daemons:
                daemon.learn([at_crash])
                daemon.history.record_response(POPULAR)
        for _ in range(3):
            daemons = [Daemon(records, number) for number in range(vms)]
            for daemon in daemons:
                assert all(map(daemon.history.is_quarantined, requests))
                daemon.history.record_response(RARE)
        assert all(
            set(each.fingerprints) <= set(map(request_fingerprint, requests))
            for record in records
            for each in record.crashes
        )

    run(main)


def test_published_crashes_are_bounded_in_number_and_age() -> None:
    """Guards against records that grow without end."""
    now = 0.0
    crashes = PublishedCrashes(now=lambda: now)
    for number in range(MAX_PUBLISHED_CRASHES + 5):
        crashes.add(crash("i", CULPRIT, start=number))
    assert len(crashes.crashes) == MAX_PUBLISHED_CRASHES
    assert crashes.crashes[-1].start_time_ms == MAX_PUBLISHED_CRASHES + 4
    now = QUARANTINE_SECONDS / 2
    crashes.add(crash("i", RARE, start=1000))
    assert not crashes.expire()
    now = QUARANTINE_SECONDS + 1
    assert crashes.expire()
    assert [each.start_time_ms for each in crashes.crashes] == [1000]
    assert crashes.acquit(request_fingerprint(RARE))
    assert crashes.crashes == ()
    assert not crashes.acquit(request_fingerprint(RARE))


def test_crashes_of_a_former_start_come_before_those_of_this_one() -> None:
    """Guards against crashes that are lost when a daemon reads its former record."""
    crashes = PublishedCrashes(now=lambda: 0.0)
    own = crash("i", RARE, start=5)
    crashes.add(own)
    crashes.restore([crash("i", CULPRIT, start=3), own])
    assert [each.start_time_ms for each in crashes.crashes] == [3, 5]
