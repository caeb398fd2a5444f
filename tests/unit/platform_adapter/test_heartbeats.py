"""Decoding of well-formed and malformed heartbeats and removals."""

import json
from typing import Any

import pytest

from cassiasail._internal.coordination.mesh.registration import TargetHeartbeat
from cassiasail._internal.protocol.http1 import HttpRequest
from cassiasail.platform.heartbeats import (
    MalformedHeartbeat,
    TargetRemoval,
    decode_heartbeat,
)

HEARTBEAT: dict[str, Any] = {
    "address": "10.128.0.9:8080",
    "born": 1764840000000,
    "details": {"service": "s", "version": "v1", "zone": "z", "capacity": 9},
    "status": {"state": "ready", "sequence": 4, "coldLeftMs": 1500},
}


def request(
    method: bytes = b"PUT", body: bytes = b"", path: bytes = b"/v1/instances/i-1"
) -> HttpRequest:
    return HttpRequest(method=method, target=path, headers=(), body=body)


def changed_heartbeat(path: str, value: Any) -> bytes:
    """Return the heartbeat with one field replaced; ``...`` removes the field."""
    document = json.loads(json.dumps(HEARTBEAT))
    *outer, name = path.split("/")
    table = document
    for table_name in outer:
        table = table[table_name]
    if value is ...:
        del table[name]
    else:
        table[name] = value
    return json.dumps(document).encode()


def test_heartbeat_is_decoded() -> None:
    """Guards the fields of a heartbeat and their units."""
    heartbeat = decode_heartbeat(request(body=json.dumps(HEARTBEAT).encode()))
    assert isinstance(heartbeat, TargetHeartbeat)
    assert (heartbeat.target, heartbeat.start_time_ms, heartbeat.sequence) == (
        "i-1",
        1764840000000,
        4,
    )
    assert (heartbeat.slots, heartbeat.leaving, heartbeat.cold_seconds) == (
        9,
        False,
        1.5,
    )


def test_draining_state_marks_target_as_leaving() -> None:
    """Guards against a draining target that stays in service."""
    heartbeat = decode_heartbeat(
        request(body=changed_heartbeat("status/state", "draining"))
    )
    assert isinstance(heartbeat, TargetHeartbeat)
    assert heartbeat.leaving


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
def test_malformed_heartbeat_is_rejected(path: str, value: Any) -> None:
    """Guards against registering a target from a malformed heartbeat."""
    result = decode_heartbeat(request(body=changed_heartbeat(path, value)))
    assert isinstance(result, MalformedHeartbeat)
    assert result.status == 400


@pytest.mark.parametrize("body", [b"", b"\xff", b"[]", b"{", b"[" * 5000, b"null"])
def test_undecodable_body_is_rejected(body: bytes) -> None:
    """Guards against a request body that crashes the daemon."""
    result = decode_heartbeat(request(body=body))
    assert isinstance(result, MalformedHeartbeat)


def test_removal_may_name_the_incarnation() -> None:
    """Guards against a late removal that removes the next incarnation."""
    without_start_time = decode_heartbeat(request(method=b"DELETE"))
    assert without_start_time == TargetRemoval(target="i-1", start_time_ms=None)  # type: ignore[arg-type]
    with_start_time = decode_heartbeat(request(method=b"DELETE", body=b'{"born": 5}'))
    assert with_start_time == TargetRemoval(target="i-1", start_time_ms=5)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        (b"PUT", b"/v1/instances/", 404),
        (b"PUT", b"/other", 404),
        (b"PUT", b"/v1/instances/a/b", 404),
        (b"POST", b"/v1/instances/i-1", 405),
    ],
)
def test_other_requests_are_rejected_with_their_status(
    method: bytes, path: bytes, status: int
) -> None:
    """Guards against other requests that are decoded as heartbeats."""
    result = decode_heartbeat(request(method=method, path=path))
    assert isinstance(result, MalformedHeartbeat)
    assert result.status == status
