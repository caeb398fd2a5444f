"""Tests of late, reordered and misdirected heartbeats of targets."""

from dataclasses import replace

from cassiasail._internal.coordination.mesh.registration import (
    HeartbeatVerdict,
    TargetHeartbeat,
    TargetRegistration,
)
from cassiasail._internal.ids import DataCentre, Region, ServiceName, TargetId
from cassiasail._internal.state.addresses import Address
from cassiasail._internal.state.hosts import HostRecord, TargetState

ADDRESS = "10.1.0.8:8301"
HEARTBEAT = TargetHeartbeat(
    target=TargetId("i-1"),
    start_time_ms=1000,
    sequence=5,
    service=ServiceName("outlook"),
    address=ADDRESS,
    slots=9,
    leaving=False,
    cold_seconds=0.0,
)


def new_registration(*, may_get_old_heartbeats: bool = False) -> TargetRegistration:
    return TargetRegistration(
        address=ADDRESS,
        changed=lambda heartbeat: None,
        may_get_old_heartbeats=lambda: may_get_old_heartbeats,
    )


def record_of(state: TargetState) -> HostRecord:
    return HostRecord(
        host="vm-1",
        address=Address("10.1.0.8", 8300),
        data_centre=DataCentre("dc"),
        region=Region("region"),
        service=HEARTBEAT.service,
        target=HEARTBEAT.target,
        start_time_ms=HEARTBEAT.start_time_ms,
        slots=9,
        state=state,
        link_mbps=1000,
    )


def test_late_heartbeat_is_stale() -> None:
    """Guards against a late ready heartbeat that reverts the leaving state."""
    registration = new_registration()
    registration.receive(replace(HEARTBEAT, sequence=7, leaving=True))
    assert (
        registration.receive(replace(HEARTBEAT, sequence=6)) is HeartbeatVerdict.STALE
    )
    assert registration.state is TargetState.LEAVING


def test_leaving_target_stays_leaving_in_its_incarnation() -> None:
    """Guards against a ready state after the leaving state was acknowledged."""
    registration = new_registration()
    registration.receive(replace(HEARTBEAT, leaving=True))
    assert (
        registration.receive(replace(HEARTBEAT, sequence=9)) is HeartbeatVerdict.STALE
    )


def test_heartbeat_of_an_earlier_incarnation_is_stale() -> None:
    """Guards against a heartbeat delayed by a partition until the target restarted."""
    registration = new_registration()
    registration.receive(replace(HEARTBEAT, start_time_ms=2000, sequence=1))
    assert (
        registration.receive(replace(HEARTBEAT, sequence=99)) is HeartbeatVerdict.STALE
    )
    assert registration.current is not None
    assert registration.current.start_time_ms == 2000


def test_new_incarnation_starts_a_new_sequence() -> None:
    """Guards against rejecting a restarted target for its low sequence number."""
    registration = new_registration()
    registration.receive(replace(HEARTBEAT, sequence=50))
    verdict = registration.receive(replace(HEARTBEAT, start_time_ms=3000, sequence=1))
    assert verdict is HeartbeatVerdict.APPLIED


def test_heartbeat_after_removal_is_stale() -> None:
    """Guards against a heartbeat that arrives after the removal of its target."""
    registration = new_registration()
    registration.receive(HEARTBEAT)
    assert registration.remove(HEARTBEAT.target, None) is HeartbeatVerdict.APPLIED
    assert (
        registration.receive(replace(HEARTBEAT, sequence=9)) is HeartbeatVerdict.STALE
    )
    assert registration.state is TargetState.ABSENT


def test_removal_of_an_earlier_incarnation_is_stale() -> None:
    """Guards against a late removal that takes the next incarnation out of service."""
    registration = new_registration()
    registration.receive(replace(HEARTBEAT, start_time_ms=2000))
    assert registration.remove(HEARTBEAT.target, 1000) is HeartbeatVerdict.STALE
    assert registration.state is TargetState.READY


def test_heartbeat_with_another_address_is_rejected() -> None:
    """Guards against a heartbeat of another VM's target that replaces this VM's."""
    registration = new_registration()
    verdict = registration.receive(
        replace(HEARTBEAT, address=Address("10.1.0.9", 8301))
    )
    assert verdict is HeartbeatVerdict.OTHER_ADDRESS
    assert registration.current is None


def test_suspended_target_returns_with_its_next_heartbeat() -> None:
    """Guards against a paused target that stays out of service until its restart."""
    registration = new_registration()
    registration.receive(HEARTBEAT)
    registration.suspend()
    assert registration.state is TargetState.SUSPENDED
    assert (
        registration.receive(replace(HEARTBEAT, sequence=9)) is HeartbeatVerdict.APPLIED
    )


def test_late_heartbeat_does_not_return_a_suspended_target_that_was_removed() -> None:
    """Guards against a target in use again after its end was acknowledged."""
    registration = new_registration()
    registration.receive(replace(HEARTBEAT, sequence=7))
    registration.suspend()
    assert registration.remove(HEARTBEAT.target, 1000) is HeartbeatVerdict.APPLIED
    assert registration.state is TargetState.ABSENT
    assert (
        registration.receive(replace(HEARTBEAT, sequence=6)) is HeartbeatVerdict.STALE
    )
    assert registration.state is TargetState.ABSENT


def test_removal_of_another_incarnation_leaves_a_target_suspended() -> None:
    """Guards against a late removal that ends the next incarnation."""
    registration = new_registration()
    registration.receive(HEARTBEAT)
    registration.suspend()
    assert registration.remove(HEARTBEAT.target, 500) is HeartbeatVerdict.STALE
    assert registration.state is TargetState.SUSPENDED
    assert (
        registration.receive(replace(HEARTBEAT, sequence=9)) is HeartbeatVerdict.APPLIED
    )


def test_removed_target_is_not_restored_from_a_stored_record() -> None:
    """Guards against a target in use again that was removed before the store was read.

    The daemon had started shortly before the removal and knew no target.
    """
    registration = new_registration(may_get_old_heartbeats=True)
    registration.remove(HEARTBEAT.target, HEARTBEAT.start_time_ms)
    assert registration.restore(record_of(TargetState.READY)) is None
    assert registration.receive(HEARTBEAT) is HeartbeatVerdict.STALE


def test_restarted_daemon_serves_its_suspended_target_again() -> None:
    """Guards against a daemon restart that takes the target out of service.

    After a rolling restart of the daemons, two of four targets of a service received no
    requests for the rest of the day.
    """
    registration = new_registration()
    registration.restore(record_of(TargetState.SUSPENDED))
    assert registration.receive(HEARTBEAT) is HeartbeatVerdict.APPLIED


def test_restarted_daemon_restores_a_leaving_target() -> None:
    """Guards against a late ready heartbeat after the restart of the daemon."""
    registration = new_registration()
    registration.restore(record_of(TargetState.LEAVING))
    assert registration.receive(HEARTBEAT) is HeartbeatVerdict.STALE


def test_older_record_does_not_return_a_target_that_left() -> None:
    """Guards against a target that is ready again in a restored copy of the store."""
    registration = new_registration()
    registration.restore(record_of(TargetState.LEAVING))
    assert registration.restore(record_of(TargetState.READY)) is None


def test_stored_leaving_record_overrides_an_earlier_heartbeat() -> None:
    """Guards against a late heartbeat that arrived before the store was read."""
    registration = new_registration()
    registration.receive(HEARTBEAT)
    registration.restore(record_of(TargetState.LEAVING))
    assert registration.current is None


def test_restarted_daemon_does_not_apply_a_single_heartbeat() -> None:
    """Guards against a late heartbeat that reverts an acknowledged leaving state.

    In a run with random faults (seed 1007227029150, twice), a daemon acknowledged that
    its target was leaving and was restarted. The store was down, so the restarted
    daemon had no record of the state.
    """
    registration = new_registration(may_get_old_heartbeats=True)
    assert registration.receive(HEARTBEAT) is HeartbeatVerdict.UNCONFIRMED
    assert registration.state is TargetState.ABSENT
    assert registration.receive(HEARTBEAT) is HeartbeatVerdict.UNCONFIRMED


def test_newer_heartbeat_does_not_confirm_a_target() -> None:
    """Guards against a target that left and is in use again by two late heartbeats."""
    registration = new_registration(may_get_old_heartbeats=True)
    registration.receive(HEARTBEAT)
    newer = replace(HEARTBEAT, sequence=6)
    assert registration.receive(newer) is HeartbeatVerdict.UNCONFIRMED
    assert registration.state is TargetState.ABSENT


def test_health_check_confirms_the_newest_heartbeat() -> None:
    """Guards against a target kept out of service by slow or wrongly failed checks.

    Each heartbeat starts a check. One that ends behind the next heartbeat counts too.
    """
    registration = new_registration(may_get_old_heartbeats=True)
    newer = replace(HEARTBEAT, sequence=6)
    registration.receive(HEARTBEAT)
    registration.receive(newer)
    registration.confirm(HEARTBEAT)
    assert registration.current == newer


def test_late_heartbeat_of_a_former_target_does_not_stop_a_health_check() -> None:
    """Guards against a target left unused because its predecessor is heard again."""
    registration = new_registration(may_get_old_heartbeats=True)
    former = replace(HEARTBEAT, target=TargetId("i-0"), start_time_ms=500)
    registration.receive(HEARTBEAT)
    assert registration.receive(former) is HeartbeatVerdict.STALE
    registration.confirm(HEARTBEAT)
    assert registration.current == HEARTBEAT


def test_stored_record_replaces_a_late_heartbeat_of_a_former_target() -> None:
    """Guards against the same if the late heartbeat comes before the stored record."""
    registration = new_registration(may_get_old_heartbeats=True)
    registration.receive(replace(HEARTBEAT, target=TargetId("i-0"), start_time_ms=500))
    restored = registration.restore(record_of(TargetState.READY))
    assert restored is not None
    registration.confirm(restored)
    assert registration.current == restored


def test_health_check_does_not_confirm_another_incarnation() -> None:
    """Guards against a target in use whose own health was not checked."""
    registration = new_registration(may_get_old_heartbeats=True)
    registration.receive(HEARTBEAT)
    registration.receive(replace(HEARTBEAT, target=TargetId("i-2"), start_time_ms=2000))
    registration.confirm(HEARTBEAT)
    assert registration.state is TargetState.ABSENT


def test_health_check_confirms_only_its_own_heartbeat() -> None:
    """Guards against a health check that confirms a target removed meanwhile."""
    registration = new_registration(may_get_old_heartbeats=True)
    registration.receive(HEARTBEAT)
    registration.remove(HEARTBEAT.target, None)
    registration.confirm(HEARTBEAT)
    assert registration.state is TargetState.ABSENT
    other = new_registration(may_get_old_heartbeats=True)
    other.receive(HEARTBEAT)
    other.confirm(HEARTBEAT)
    assert other.state is TargetState.READY


def test_stored_record_is_confirmed_by_a_health_check() -> None:
    """Guards against a target unused until its next heartbeat after a restart."""
    registration = new_registration(may_get_old_heartbeats=True)
    restored = registration.restore(record_of(TargetState.READY))
    assert restored is not None
    assert registration.state is TargetState.ABSENT
    registration.confirm(restored)
    assert registration.state is TargetState.READY
    assert registration.receive(HEARTBEAT) is HeartbeatVerdict.APPLIED


def test_stored_record_does_not_confirm_a_heartbeat() -> None:
    """Guards against a late heartbeat that is confirmed by the stored record alone."""
    registration = new_registration(may_get_old_heartbeats=True)
    registration.restore(record_of(TargetState.READY))
    assert registration.receive(HEARTBEAT) is HeartbeatVerdict.UNCONFIRMED
