"""Odd entries of another writer among those of the daemons, seen by processes."""

import asyncio
import base64
import json
import signal
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import cbor2
import pytest

from cassiasail._internal.protocol.http1 import HttpRequest, HttpResponse
from devtools.platform_stand_in import PlatformStore, Sidecar, configuration, route
from tests.lib.sidecar_mesh import (
    ROUTES,
    plain_sidecars,
    run,
    sidecar_mesh,
    status_of,
    until,
)

REQUESTS = 60
# A daemon of the platform is ready within seconds of its start.
READY_SECONDS = 10.0
CONFIG_APPLY_SECONDS = 2.0
NESTING = 20_000
# Fields of a record, in their order in the store.
FIELDS: tuple[Any, ...] = (
    "127.0.0.1:9",
    "dc",
    "region",
    "one",
    "i-odd",
    1,
    4,
    "ready",
    1000,
    [],
)


def record(**changes: Any) -> bytes:
    """Return a record with the fields at the positions in ``changes`` replaced."""
    fields = list(FIELDS)
    for position, value in changes.items():
        fields[int(position.removeprefix("at_"))] = value
    return cbor2.dumps(fields)


VALUES: dict[str, bytes] = {
    "port": record(at_0="127.0.0.1:70000"),
    "host": record(at_0="999.0.0.1:80"),
    "digits": record(at_0="127.0.0.1:²"),
    "slots": record(at_6=10**400),
    "link": record(at_8=10**400),
    "start": record(at_5=10**400),
    "target": record(at_4="i\r\nx: y"),
    "crashes": record(at_9=[["i", 1, [b"f" * 100]]]),
    "nested": b"\x81" * NESTING + b"\x01",
    "bytes": b"\xff\x00garbage",
    "empty": b"",
}
ODD_ROWS: tuple[dict[str, Any], ...] = (
    {"key": "not-base64", "value": "***"},
    {"key": 7, "value": "YQ=="},
    {"key": "x" * 300, "value": "YQ=="},
    {"key": "no-value"},
)


def write_odd_entries(store: PlatformStore) -> None:
    """Write one entry of each kind into the table of VMs."""
    for name, value in VALUES.items():
        store.put("hosts", f"odd-{name}", value)
    for number, row in enumerate(ODD_ROWS):
        store.put("hosts", f"odd-{number}", b"")
        stored = store.row_by_id["hosts", f"odd-{number}"]
        del stored["value"]
        stored.update(row)


async def check_service(store: PlatformStore, vms: Sequence[Sidecar]) -> None:
    """Check that each daemon serves requests and follows the configuration."""
    store.put(
        "op",
        "config",
        configuration(
            store.version + 2, {**ROUTES, "new": route("two", prefix="/new/")}
        ),
    )
    await asyncio.sleep(CONFIG_APPLY_SECONDS)
    for vm in vms:
        statuses = [
            status_of(await vm.get(path, attempt=f"{vm.name}{number}"))
            for number in range(REQUESTS // 3)
            for path in ("/one/a", "/two/a", "/new/a")
        ]
        assert statuses == [200] * REQUESTS, statuses
        assert vm.process is not None and vm.process.returncode is None


def logged(directory: Path, vm: Sidecar, text: str) -> bool:
    return text in (directory / f"{vm.name}.log").read_text()


@pytest.mark.parametrize("at_start", [True, False])
def test_odd_entries_of_the_table_of_vms_cost_nothing_else(
    tmp_path: Path, at_start: bool
) -> None:
    """Guards against daemons that fail, or stop following, because of an odd entry.

    The entries are there before the daemons start, or come later; one daemon restarts
    with them in either case.
    """

    def sidecars(store: PlatformStore) -> list[Sidecar]:
        if at_start:
            write_odd_entries(store)
        return plain_sidecars("one", "two")(store)

    async def main() -> None:
        async with sidecar_mesh(tmp_path, sidecars) as (store, vms):
            if not at_start:
                write_odd_entries(store)
            await check_service(store, vms)
            first = vms[0]
            assert first.process is not None
            first.signal(signal.SIGKILL)
            await first.process.wait()
            await first.start_daemon(tmp_path)
            await first.wait_until_ready(READY_SECONDS)
            await first.wait_for_ready_targets(len(vms))
            await check_service(store, vms)
            for vm in vms:
                assert not logged(tmp_path, vm, "Traceback")
                assert logged(tmp_path, vm, "record_malformed")
                metrics = await vm.metrics()
                assert 'entries_refused_total{source="host_record"}' in metrics

    run(main)


async def send_raw_heartbeat(vm: Sidecar, body: bytes) -> int:
    request = HttpRequest(
        method=b"PUT",
        target=f"/v1/instances/{vm.target_id}".encode(),
        headers=((b"host", b"h"),),
        body=body,
    )
    result = await vm.pool.exchange(vm.address_by_use["admin"], request, timeout=2)
    return status_of(result)


def odd_heartbeats(vm: Sidecar) -> dict[str, bytes]:
    """Return heartbeats in the name of the target of ``vm``."""
    document: dict[str, Any] = {
        "address": str(vm.address_by_use["target"]),
        "born": vm.start_time_ms,
        "details": {"service": vm.service, "capacity": 4},
        "status": {"state": "ready", "sequence": 10**6, "coldLeftMs": 0},
    }

    def changed(table: str, field: str, value: str) -> bytes:
        inner = {**document[table], field: "@odd@"}
        text = json.dumps({**document, table: inner})
        return text.replace('"@odd@"', value).encode()

    return {
        "cold": changed("status", "coldLeftMs", "9" * 400),
        "sequence": changed("status", "sequence", "9" * 400),
        "state": changed("status", "state", '"resting"'),
        "capacity": changed("details", "capacity", "9" * 400),
        "service": changed("details", "service", '"unheard-of"'),
        "nested": b"[" * NESTING,
        "port": json.dumps({**document, "address": "127.0.0.1:70000"}).encode(),
        "born": json.dumps({**document, "born": 10**300}).encode(),
        "bytes": b"\xff\x00",
    }


def test_odd_heartbeats_change_nothing(tmp_path: Path) -> None:
    """Guards against a target that an odd heartbeat takes out of service."""

    async def main() -> None:
        async with sidecar_mesh(tmp_path, plain_sidecars("one", "two")) as (store, vms):
            for vm in vms:
                for name, body in odd_heartbeats(vm).items():
                    assert await send_raw_heartbeat(vm, body) == 400, name
            await check_service(store, vms)
            for vm in vms:
                assert not logged(tmp_path, vm, "Traceback")
                metrics = await vm.metrics()
                assert 'entries_refused_total{source="heartbeat"} 9.0' in metrics

    run(main)


@pytest.mark.parametrize(
    "change",
    [
        lambda text: text.replace('"timeoutMs": 4000', f'"timeoutMs": {"9" * 400}'),
        lambda text: text.replace('"maxAttempts": 2', f'"maxAttempts": {"9" * 400}'),
        lambda text: "[" * NESTING,
        lambda text: text[:100],
    ],
)
def test_odd_configuration_leaves_the_one_in_force(
    tmp_path: Path, change: Callable[[str], str]
) -> None:
    """Guards against a daemon that takes no later configuration."""

    async def main() -> None:
        async with sidecar_mesh(tmp_path, plain_sidecars("one", "two")) as (store, vms):
            text = configuration(store.version + 2, ROUTES).decode()
            assert change(text) != text
            store.put("op", "config", change(text).encode())
            for vm in vms:
                await until(lambda vm=vm: logged(tmp_path, vm, "config_rejected"))
                assert isinstance(await vm.get("/one/a"), HttpResponse)
            await check_service(store, vms)
            assert not any(logged(tmp_path, vm, "Traceback") for vm in vms)

    run(main)


def test_stand_in_writes_the_odd_rows_as_they_are() -> None:
    """Guards against a test of odd rows that the stand-in has made proper."""
    store = PlatformStore()
    write_odd_entries(store)
    rows = list(store.row_by_id.values())
    assert [row["key"] for row in rows[-len(ODD_ROWS) :]] == [
        row["key"] for row in ODD_ROWS
    ]
    assert base64.b64decode(rows[0]["value"]) == VALUES["port"]
