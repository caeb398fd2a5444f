"""Late, crossed and foreign reports of targets."""

from dataclasses import replace

from cassiasail._internal.coordination.mesh.registration import (
    ReportVerdict,
    TargetRegistration,
    TargetReport,
)
from cassiasail._internal.ids import DataCentre, Region, ServiceName, TargetId
from cassiasail._internal.state.hosts import HostRecord, TargetState

ADDRESS = "10.1.0.8:8301"
REPORT = TargetReport(
    target=TargetId("i-1"),
    born=1000,
    sequence=5,
    service=ServiceName("outlook"),
    address=ADDRESS,
    slots=9,
    leaving=False,
    cold_seconds=0.0,
)


def registration(*, cautious: bool = False) -> TargetRegistration:
    return TargetRegistration(
        address=ADDRESS, changed=lambda report: None, cautious=lambda: cautious
    )


def record_of(state: TargetState) -> HostRecord:
    return HostRecord(
        host="vm-1",
        address="10.1.0.8:8300",
        data_centre=DataCentre("dc"),
        region=Region("region"),
        service=REPORT.service,
        target=REPORT.target,
        born=REPORT.born,
        slots=9,
        state=state,
        link_mbps=1000,
    )


def test_a_late_report_changes_nothing() -> None:
    """Guards against a delayed ready report that revives a leaving target."""
    known = registration()
    known.report(replace(REPORT, sequence=7, leaving=True))
    assert known.report(replace(REPORT, sequence=6)) is ReportVerdict.STALE
    assert known.state is TargetState.LEAVING


def test_a_leaving_target_stays_so_in_its_life() -> None:
    """Guards against a target that flips back to ready after it was acknowledged."""
    known = registration()
    known.report(replace(REPORT, leaving=True))
    assert known.report(replace(REPORT, sequence=9)) is ReportVerdict.STALE


def test_a_report_of_a_former_life_is_ignored() -> None:
    """Guards against a heartbeat that a partition held back until a new start."""
    known = registration()
    known.report(replace(REPORT, born=2000, sequence=1))
    assert known.report(replace(REPORT, sequence=99)) is ReportVerdict.STALE
    assert known.current is not None
    assert known.current.born == 2000


def test_a_new_life_under_the_same_name_counts_anew() -> None:
    """Guards against a restarted target that is refused for its low sequence."""
    known = registration()
    known.report(replace(REPORT, sequence=50))
    verdict = known.report(replace(REPORT, born=3000, sequence=1))
    assert verdict is ReportVerdict.TAKEN


def test_a_removed_target_does_not_return() -> None:
    """Guards against a report that arrives behind the notice of the end."""
    known = registration()
    known.report(REPORT)
    assert known.remove(REPORT.target, None) is ReportVerdict.TAKEN
    assert known.report(replace(REPORT, sequence=9)) is ReportVerdict.STALE
    assert known.state is TargetState.ABSENT


def test_the_end_of_a_former_life_is_ignored() -> None:
    """Guards against a late removal that takes the next life out of service."""
    known = registration()
    known.report(replace(REPORT, born=2000))
    assert known.remove(REPORT.target, 1000) is ReportVerdict.STALE
    assert known.state is TargetState.READY


def test_a_report_of_another_address_names_no_target() -> None:
    """Guards against a foreign report that replaces the target of this VM."""
    known = registration()
    verdict = known.report(replace(REPORT, address="10.1.0.9:8301"))
    assert verdict is ReportVerdict.OTHER_ADDRESS
    assert known.current is None


def test_a_silent_target_may_report_again() -> None:
    """Guards against a paused target that is lost for the rest of its life."""
    known = registration()
    known.report(REPORT)
    known.lose()
    assert known.state is TargetState.SUSPENDED
    assert known.report(replace(REPORT, sequence=9)) is ReportVerdict.TAKEN


def test_a_restarted_daemon_serves_its_target_again() -> None:
    """Guards against a daemon restart that retires the target beside it.

    Seen on ettpu-forecast scale-1: after a rolling restart two of four targets of a
    service got no request for the rest of the day.
    """
    known = registration()
    known.recall(record_of(TargetState.SUSPENDED))
    assert known.report(REPORT) is ReportVerdict.TAKEN


def test_a_restarted_daemon_remembers_a_leaving_target() -> None:
    """Guards against a late ready report after the restart of the daemon."""
    known = registration()
    known.recall(record_of(TargetState.LEAVING))
    assert known.report(REPORT) is ReportVerdict.STALE


def test_the_store_may_answer_after_the_first_report() -> None:
    """Guards against a late report that came before the store was read."""
    known = registration()
    known.report(REPORT)
    known.recall(record_of(TargetState.LEAVING))
    assert known.current is None


def test_a_daemon_that_just_started_does_not_believe_a_single_report() -> None:
    """Guards against a late report that undoes a leaving acknowledged before a restart.

    Seen in a hunt on ettpu-forecast (trouble-3, seed 1007227029150: DRAIN, twice): the
    store was down, so only the former life of the daemon knew.
    """
    known = registration(cautious=True)
    assert known.report(REPORT) is ReportVerdict.UNCONFIRMED
    assert known.state is TargetState.ABSENT
    assert known.report(REPORT) is ReportVerdict.UNCONFIRMED


def test_a_newer_report_confirms_a_target() -> None:
    """Guards against a target whose health check fails falsely."""
    known = registration(cautious=True)
    known.report(REPORT)
    assert known.report(replace(REPORT, sequence=6)) is ReportVerdict.TAKEN


def test_a_health_check_confirms_only_the_report_it_was_made_for() -> None:
    """Guards against a check that confirms a target that is leaving by now."""
    known = registration(cautious=True)
    known.report(REPORT)
    known.remove(REPORT.target, None)
    known.confirm(REPORT)
    assert known.state is TargetState.ABSENT
    again = registration(cautious=True)
    again.report(REPORT)
    again.confirm(REPORT)
    assert again.state is TargetState.READY


def test_a_stored_record_is_confirmed_by_a_health_check() -> None:
    """Guards against a target that waits for its next report after a restart."""
    known = registration(cautious=True)
    recalled = known.recall(record_of(TargetState.READY))
    assert recalled is not None
    assert known.state is TargetState.ABSENT
    known.confirm(recalled)
    assert known.state is TargetState.READY
    assert known.report(REPORT) is ReportVerdict.TAKEN


def test_a_stored_record_confirms_no_report() -> None:
    """Guards against a late report that the record of a former life makes believed."""
    known = registration(cautious=True)
    known.recall(record_of(TargetState.READY))
    assert known.report(REPORT) is ReportVerdict.UNCONFIRMED
