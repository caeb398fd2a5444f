"""Requests and answers as they look on the platform's connections."""

import pytest

from cassiasail._internal.coordination.mesh.entry import NoRoute, NotRun, OutcomeUnknown
from cassiasail._internal.ids import ServiceName, TargetId
from cassiasail._internal.protocol.http1 import HttpRequest, HttpResponse
from cassiasail._internal.state.calls import HostReason, TargetResponse
from cassiasail.platform.readiness import answer_readiness
from cassiasail.platform.requests import (
    TARGET_CODEC,
    decode_request,
    encode_answer,
)

CALLER = ServiceName("caller")
REQUEST = HttpRequest(
    method=b"GET",
    target=b"/a/b?c=d",
    headers=(
        (b"host", b"Jepu9.example:80"),
        (b"x-cassiasail-attempt-id", b"id-1"),
        (b"x-cassiasail-deadline-ms", b"1500"),
        (b"x-cassiasail-caller-service", b"forged"),
        (b"x-cassiasail-target-instance", b"forged"),
        (b"connection", b"keep-alive, x-private"),
        (b"x-private", b"1"),
        (b"accept", b"*/*"),
    ),
)


def test_a_request_of_a_client_is_decoded() -> None:
    """Guards against forged callers and headers of one connection."""
    call = decode_request(REQUEST, caller=CALLER)
    assert (call.attempt_id, call.host, call.remaining_time) == (
        "id-1",
        "jepu9.example",
        1.5,
    )
    assert call.client_service == CALLER
    assert call.headers == ((b"accept", b"*/*"),)


@pytest.mark.parametrize("value", [b"soon", b"", b"nan"])
def test_a_deadline_that_is_no_number_is_none(value: bytes) -> None:
    """Guards against a header that ends the daemon."""
    request = HttpRequest(
        method=b"GET",
        target=b"/",
        headers=((b"x-cassiasail-deadline-ms", value),),
    )
    assert decode_request(request, caller=CALLER).remaining_time is None


def test_a_request_to_a_target_carries_what_is_left() -> None:
    """Guards the headers that the system sets at the target."""
    call = decode_request(REQUEST, caller=CALLER)
    sent = TARGET_CODEC.encode(call, TargetId("i-1"), 0.75)
    assert sent.header(b"x-cassiasail-deadline-ms") == b"750"
    assert sent.header(b"x-cassiasail-target-instance") == b"i-1"
    assert sent.header(b"x-cassiasail-caller-service") == b"caller"
    assert sent.header(b"x-cassiasail-attempt-id") == b"id-1"
    assert (sent.method, sent.target) == (b"GET", b"/a/b?c=d")


@pytest.mark.parametrize(
    ("status", "header", "ran", "other"),
    [
        (200, (b"x", b"1"), True, False),
        (500, (b"x", b"1"), True, False),
        (503, (b"x", b"1"), True, False),
        (503, (b"x-cassiasail-not-run", b"1"), False, False),
        (400, (b"x-cassiasail-not-run", b"1"), False, False),
        (421, (b"x-cassiasail-instance-id", b"i-2"), False, True),
    ],
)
def test_only_the_target_says_that_a_request_has_not_run(
    status: int, header: tuple[bytes, bytes], ran: bool, other: bool
) -> None:
    """Guards against a refusal of a request that ran."""
    verdict = TARGET_CODEC.decode(HttpResponse(status=status, headers=(header,)))
    assert (verdict.ran, verdict.misdirected) == (ran, other)


def test_an_answer_keeps_its_stamp_and_loses_the_load() -> None:
    """Guards against answers that are changed on their way."""
    headers = (
        (b"x-cassiasail-server-stamp", b"s"),
        (b"x-cassiasail-server-load", b"1,2,3"),
        (b"keep-alive", b"timeout=5"),
    )
    response = HttpResponse(status=404, headers=headers, body=b"b", reason=b"No")
    answer = TARGET_CODEC.decode(response).response
    assert encode_answer(answer, "id-1") == HttpResponse(
        status=404,
        reason=b"No",
        headers=((b"x-cassiasail-server-stamp", b"s"),),
        body=b"b",
    )


def test_own_answers_promise_only_what_is_known() -> None:
    """Guards against a 503 for a request that may have run."""
    refused = encode_answer(NotRun(reason=HostReason.BUSY, retry_after=0.25), "a")
    assert (refused.status, refused.header(b"retry-after")) == (503, b"0.25")
    assert encode_answer(NoRoute(), "a").status == 404
    lost = OutcomeUnknown(reason=HostReason.PEER_LOST)
    late = OutcomeUnknown(reason=HostReason.TIMED_OUT)
    assert encode_answer(lost, "a").status == 502
    assert encode_answer(late, "").status == 504
    answer = TargetResponse(status=201, reason=b"", headers=(), body=b"")
    assert encode_answer(answer, "a").status == 201


def test_readiness_has_one_path() -> None:
    """Guards the question that takes a daemon out of service."""
    asked = HttpRequest(method=b"GET", target=b"/v1/ready", headers=())
    other = HttpRequest(method=b"GET", target=b"/", headers=())
    assert answer_readiness(asked, ready=True).status == 200
    assert answer_readiness(asked, ready=False).status == 503
    assert answer_readiness(other, ready=True).status == 404
