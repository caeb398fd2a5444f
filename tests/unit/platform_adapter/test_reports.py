"""Heartbeats as targets and other writers send them."""

import json
from typing import Any

import pytest

from cassiasail._internal.coordination.mesh.registration import TargetHeartbeat
from cassiasail._internal.protocol.http1 import HttpRequest
from cassiasail.platform.reports import (
    MalformedReport,
    TargetRemoved,
    decode_report,
)

BEAT: dict[str, Any] = {
    "address": "10.128.0.9:8080",
    "born": 1764840000000,
    "details": {"service": "s", "version": "v1", "zone": "z", "capacity": 9},
    "status": {"state": "ready", "sequence": 4, "coldLeftMs": 1500},
}


def request(
    method: bytes = b"PUT", body: bytes = b"", path: bytes = b"/v1/instances/i-1"
) -> HttpRequest:
    return HttpRequest(method=method, target=path, headers=(), body=body)


def changed(path: str, value: Any) -> bytes:
    """Return the beat with one field replaced; ``...`` removes it."""
    document = json.loads(json.dumps(BEAT))
    *outer, name = path.split("/")
    table = document
    for each in outer:
        table = table[each]
    if value is ...:
        del table[name]
    else:
        table[name] = value
    return json.dumps(document).encode()


def test_a_beat_is_decoded() -> None:
    """Guards the fields of a heartbeat and their units."""
    report = decode_report(request(body=json.dumps(BEAT).encode()))
    assert isinstance(report, TargetHeartbeat)
    assert (report.target, report.start_time_ms, report.sequence) == (
        "i-1",
        1764840000000,
        4,
    )
    assert (report.slots, report.leaving, report.cold_seconds) == (9, False, 1.5)


def test_draining_is_leaving() -> None:
    """Guards against a target that is not taken out of service."""
    report = decode_report(request(body=changed("status/state", "draining")))
    assert isinstance(report, TargetHeartbeat)
    assert report.leaving


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("address", ...),
        ("address", 7),
        ("born", "yesterday"),
        ("born", 1.5),
        ("born", True),
        ("details", ...),
        ("details", []),
        ("details/service", ""),
        ("details/service", None),
        ("details/capacity", 0),
        ("details/capacity", "nine"),
        ("status", 1),
        ("status/state", "asleep"),
        ("status/state", ...),
        ("status/sequence", "4"),
        ("status/coldLeftMs", None),
    ],
)
def test_a_malformed_beat_names_no_target(path: str, value: Any) -> None:
    """Guards against beats of other writers that become targets."""
    report = decode_report(request(body=changed(path, value)))
    assert isinstance(report, MalformedReport)
    assert report.status == 400


@pytest.mark.parametrize("body", [b"", b"\xff", b"[]", b"{", b"[" * 5000, b"null"])
def test_unreadable_bytes_are_refused(body: bytes) -> None:
    """Guards against bytes that end the daemon."""
    report = decode_report(request(body=body))
    assert isinstance(report, MalformedReport)


def test_a_removal_may_say_of_which_life_it_is() -> None:
    """Guards against a late removal that hits the next life."""
    plain = decode_report(request(method=b"DELETE"))
    assert plain == TargetRemoved(target="i-1", born=None)  # type: ignore[arg-type]
    named = decode_report(request(method=b"DELETE", body=b'{"born": 5}'))
    assert named == TargetRemoved(target="i-1", born=5)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        (b"PUT", b"/v1/instances/", 404),
        (b"PUT", b"/other", 404),
        (b"PUT", b"/v1/instances/a/b", 404),
        (b"POST", b"/v1/instances/i-1", 405),
    ],
)
def test_other_calls_have_their_status(method: bytes, path: bytes, status: int) -> None:
    """Guards against calls that are taken for reports."""
    report = decode_report(request(method=method, path=path))
    assert isinstance(report, MalformedReport)
    assert report.status == status
