"""Malformed and oversized input from callers, targets and peers."""

import asyncio
import json
from typing import Any

import cbor2
import pytest
from pytest_bdd import parsers, scenarios, then, when
from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import ConnectionClosed

from cassiasail._internal.protocol.frames import FrameType
from devtools.layouts import Vm

from .fleet import WAIT_TIMEOUT_SECONDS, Fleet

scenarios("malformed.feature")

FRAGMENT_BYTES = 1_000_000  # length of one fragment of a message

LOOKUP = (
    b"GET /outlook-svc/outlooks/x HTTP/1.1\r\nHost: x\r\nCassiasail-Customer: desk\r\n"
)
ORDER = b"POST /array-ctl/orders/x HTTP/1.1\r\nHost: x\r\nCassiasail-Customer: desk\r\n"
REQUESTS = {
    "no HTTP at all": b"\x16\x03\x01\x02\x00\x01\x00\x01\r\n\r\n",
    "a header line without colon": LOOKUP + b"nothing\r\n\r\n",
    "a header of 100 KB": LOOKUP + b"A: " + b"a" * 100_000 + b"\r\n\r\n",
    "a path that is not UTF-8": LOOKUP.replace(b"/x", b"/\xff\xfe") + b"\r\n",
    "a customer that is not UTF-8": LOOKUP.replace(b"desk", b"\xff\xfe") + b"\r\n",
    "a key that is not UTF-8": ORDER
    + b"Idempotency-Key: \xff\xfe\r\nContent-Length: 0\r\n\r\n",
    "two lengths": ORDER + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    "a body above its limit": ORDER
    + b"Idempotency-Key: a\r\nContent-Length: 3000000\r\n\r\n",
    "a truncated body": ORDER + b"Idempotency-Key: a\r\nContent-Length: 9\r\n\r\nab",
}
VALID_HEARTBEAT = {
    "service": "s",
    "port": 1,
    "slots": 1,
    "state": "ready",
    "started": 1.0,
}
HEARTBEATS = {
    "no JSON": b"slots=9",
    "a JSON list": b"[1]",
    "a port that is text": json.dumps({**VALID_HEARTBEAT, "port": "x"}).encode(),
    "infinite slots": json.dumps({**VALID_HEARTBEAT, "slots": 1e999}).encode(),
    "a body of 4 MB": b" " * 4_000_000,
    "deeply nested JSON": b"[" * 100_000,
}


def head_frame(**changes: Any) -> bytes:
    """Return a HEAD frame for a target that is not on the receiver's VM."""
    fields = {
        "target": "none",
        "service": "s",
        "route": "/",
        "customer": "c",
        "call_class": "lookup",
        "method": "GET",
        "path": "/",
        "headers": [],
        "remaining": 1.0,
        "attempt": 1,
        "depth": 0,
        "fingerprint": b"",
        "idempotent": True,
        "body_length": 0,
    }
    unknown = changes.keys() - fields.keys()
    assert not unknown, unknown
    return cbor2.dumps([FrameType.HEAD, 1, list((fields | changes).values()), b""])


MESSAGES: dict[str, bytes | str] = {
    "random bytes": bytes(range(255, 155, -1)),
    "text": "text",
    "deeply nested CBOR": b"\x81" * 200_000,
    "an unknown frame type": cbor2.dumps([99, 1]),
    "a frame of 2 MB": cbor2.dumps([FrameType.DATA, 1, bytes(2_000_000)]),
    "a fingerprint of 8 EB": head_frame(fingerprint=2**63 - 1),
    "an unknown call class": head_frame(call_class="urgent"),
    "an infinite attempt": head_frame(attempt=float("inf")),
    "a line break in a header": head_frame(headers=[["A", "b\r\nC: d"]]),
    "a message of 65 MB": bytes(65 * 1024 * 1024),
    "anything": b"x",
}


@pytest.fixture
def vm(fleet: Fleet) -> Vm:
    return next(vm for vm in fleet.vms if vm.service == "outlook-svc")


async def send_raw(vm: Vm, request: bytes, *, half_close: bool = False) -> int | None:
    """Send raw bytes; return the status, or None if the connection was closed.

    ``half_close`` ends the sending direction after the bytes.
    """
    host, _, port = vm.http.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request)
        if half_close:
            writer.write_eof()
        line = await asyncio.wait_for(reader.readline(), WAIT_TIMEOUT_SECONDS)
    except ConnectionError:
        return None
    finally:
        writer.close()
    return int(line.split()[1]) if line else None


async def executed_calls(fleet: Fleet) -> list[int]:
    return [(await fleet.target_page(vm))["executed"] for vm in fleet.vms]


async def refusal_counters(fleet: Fleet, vm: Vm) -> dict[str, float]:
    names = ("cassiasail_calls_refused_total", "cassiasail_messages_refused_total")
    return {name: await fleet.metric(vm, name) for name in names}


@pytest.fixture
def counters_before(fleet: Fleet, vm: Vm) -> dict[str, float]:
    return fleet.run(refusal_counters(fleet, vm))


@when(parsers.parse("a caller sends {request}"))
def caller_sends(
    fleet: Fleet,
    vm: Vm,
    counters_before: dict[str, float],
    context: dict[str, Any],
    request: str,
) -> None:
    context["status"] = fleet.run(
        send_raw(vm, REQUESTS[request], half_close=request == "a truncated body")
    )


@when(parsers.parse("a target sends a heartbeat with {body}"))
def target_sends_heartbeat(
    fleet: Fleet,
    vm: Vm,
    counters_before: dict[str, float],
    context: dict[str, Any],
    body: str,
) -> None:
    data = HEARTBEATS[body]
    head = (
        f"PUT /_cassiasail/targets/t HTTP/1.1\r\nHost: x\r\nContent-Length: {len(data)}"
    )
    context["status"] = fleet.run(send_raw(vm, head.encode() + b"\r\n\r\n" + data))


@when(parsers.parse("a peer sends {message} on its {link} link"))
def peer_sends(
    fleet: Fleet,
    vm: Vm,
    counters_before: dict[str, float],
    context: dict[str, Any],
    message: str,
    link: str,
) -> None:
    async def work() -> bool:
        headers = {
            "Cassiasail-Daemon": "127.0.0.1:1",
            "Cassiasail-Region": vm.region,
        }
        url = f"ws://{vm.peer}/{link}"
        async with connect(
            url, additional_headers=headers, compression=None, proxy=None
        ) as connection:
            try:
                await send_in_parts(connection, MESSAGES[message])
                async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
                    while True:
                        await connection.recv()
            except ConnectionClosed:
                return True
            except TimeoutError:
                return False

    context["closed"] = fleet.run(work())


@when(parsers.parse("a call goes to {service} {path} as {customer}"))
def send_call(
    fleet: Fleet,
    vm: Vm,
    counters_before: dict[str, float],
    context: dict[str, Any],
    service: str,
    path: str,
    customer: str,
) -> None:
    async def work() -> None:
        context["executed"] = await executed_calls(fleet)
        url = f"/{service}{path}"
        context["result"] = await fleet.send(vm, "POST", url, customer=customer)

    fleet.run(work())


async def send_in_parts(connection: ClientConnection, data: bytes | str) -> None:
    """Send one message, a long one in fragments.

    The receiver may close the connection before it has read the whole message.
    """
    if len(data) <= FRAGMENT_BYTES:
        await connection.send(data)
        return
    await connection.send(
        [
            data[start : start + FRAGMENT_BYTES]
            for start in range(0, len(data), FRAGMENT_BYTES)
        ]
    )


@then(parsers.parse("it is refused with status {status}"))
def refused(context: dict[str, Any], status: str) -> None:
    assert str(context["status"]) == status


@then("the peer's connection is closed")
def closed(context: dict[str, Any]) -> None:
    assert context["closed"]


@then(parsers.parse('the refusal is counted in "{name}"'))
def counted(fleet: Fleet, vm: Vm, counters_before: dict[str, float], name: str) -> None:
    async def counter_rose() -> bool:
        return (await refusal_counters(fleet, vm))[name] > counters_before[name]

    fleet.run(fleet.wait_until(counter_rose, timeout=5.0))


@then(parsers.parse('it is refused as "{reason}", executed "{executed}", and counted'))
def refused_call(
    fleet: Fleet,
    vm: Vm,
    counters_before: dict[str, float],
    context: dict[str, Any],
    reason: str,
    executed: str,
) -> None:
    result = context["result"]
    assert (result.outcome, result.executed) == (reason, executed)
    counted(fleet, vm, counters_before, "cassiasail_calls_refused_total")


@then("no target has run it")
def not_run(fleet: Fleet, context: dict[str, Any]) -> None:
    assert fleet.run(executed_calls(fleet)) == context["executed"]
