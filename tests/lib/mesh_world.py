"""Daemons that share the tables of a store, in virtual time and without sockets.

The store speaks the wire of the platform, so its restores are seen as in operation.
"""

import asyncio
import base64
import json
from dataclasses import dataclass, replace
from random import Random
from typing import Any
from urllib.parse import parse_qs

from cassiasail._internal.coordination.mesh.balancing import Fleet
from cassiasail._internal.coordination.mesh.crashes import CrashHistory
from cassiasail._internal.coordination.mesh.publishing import RecordPublisher
from cassiasail._internal.ids import DataCentre, Region, ServiceName, TargetId
from cassiasail._internal.protocol import table_sync
from cassiasail._internal.protocol.exchanges import (
    Address,
    ExchangeFailed,
    FailureReason,
)
from cassiasail._internal.protocol.http1 import HttpRequest, HttpResponse
from cassiasail._internal.sidecar.store_view import HOSTS_TABLE, StoreView
from cassiasail._internal.state.hosts import HostRecord, TargetState, encode_record
from cassiasail.platform.table_store import TableStore
from devtools.platform_stand_in import configuration, route
from devtools.virtual_loop import VirtualLoop
from tests.lib.events import null_event_log

STORE_ADDRESS = Address("10.9.0.1", 80)
CONFIG_APPLY_SECONDS = 2.0
TRIP_SECONDS = 0.002
FEED_POLL_SECONDS = 0.01
LOST = ExchangeFailed(reason=FailureReason.TIMED_OUT, sent=True)
UNREACHABLE = ExchangeFailed(reason=FailureReason.CONNECT_FAILED, sent=False)

# Longer than the resolution of the loop's clock, below which a timer fires early.
PASS_SECONDS = 1e-8

RowId = tuple[str, str]


class WorldLoop(VirtualLoop):
    """A virtual loop whose passes take time.

    Otherwise code that waits for the rest of its timeout, a part of a nanosecond, would
    wait in a loop that never ends.
    """

    def _run_once(self) -> None:
        self._virtual_selector.now += PASS_SECONDS
        super()._run_once()  # type: ignore[misc]


@dataclass(frozen=True, slots=True, kw_only=True)
class Backup:
    """State of the store at ``time``, a loop time in seconds."""

    time: float
    version: int
    row_by_id: dict[RowId, dict[str, Any]]


class WireStore:
    """The platform's store. Faults are switched with its attributes.

    It refuses the VMs in ``refused``, loses the responses to their writes for those in
    ``loses_writes_of``, and delays responses to writes by ``write_delay`` seconds. With
    ``refuses_reads`` it serves only writes.
    """

    def __init__(self) -> None:
        self.row_by_id: dict[RowId, dict[str, Any]] = {}
        self.version, self.era = 0, 1
        self.down = self.refuses_reads = False
        self.refused: set[str] = set()
        self.loses_writes_of: set[str] = set()
        self.write_delay = 0.0
        self._loop = asyncio.get_running_loop()
        self._backups: list[Backup] = []
        self._back_up()

    def put(self, table: str, key: str, value: bytes) -> None:
        self.version += 1
        self.row_by_id[table, key] = {
            "table": table,
            "part": "",
            "key": key,
            "value": base64.b64encode(value).decode(),
            "ver": self.version,
        }
        self._back_up()

    def value(self, table: str, key: str) -> bytes | None:
        row = self.row_by_id.get((table, key))
        return None if row is None else base64.b64decode(row["value"])

    def restore(self, moment: float) -> None:
        """Return to the state at loop time ``moment``, in a new era."""
        while len(self._backups) > 1 and self._backups[-1].time > moment:
            self._backups.pop()
        backup = self._backups[-1]
        self.version, self.row_by_id = backup.version, dict(backup.row_by_id)
        self.era += 1

    def _back_up(self) -> None:
        now = self._loop.time()
        self._backups.append(
            Backup(time=now, version=self.version, row_by_id=dict(self.row_by_id))
        )

    async def respond(
        self, host: str, request: HttpRequest, timeout: float
    ) -> HttpResponse | ExchangeFailed:
        path, _, query_text = request.target.decode().partition("?")
        query = {name: values[0] for name, values in parse_qs(query_text).items()}
        is_write = path == "/v1/rows-tx"
        if self.down or host in self.refused or (self.refuses_reads and not is_write):
            return self._reply({}, 503)
        if is_write:
            return await self._transact(host, json.loads(request.body), timeout)
        if path == "/v1/rows-get":
            return self._page(query["table"], 0)
        return await self._feed(query)

    async def _transact(
        self, host: str, body: dict[str, Any], timeout: float
    ) -> HttpResponse | ExchangeFailed:
        conditions = {
            (each["table"], each["key"]): each["ver"] for each in body["precondition"]
        }
        rows = {row_id: self.row_by_id.get(row_id) for row_id in conditions}
        if any((rows[each] or {"ver": 0})["ver"] != conditions[each] for each in rows):
            current = [row for row in rows.values() if row is not None]
            return self._reply({"rows": current, "ver": self.version}, 412)
        for each in body["writes"]:
            self.put(each["table"], each["key"], base64.b64decode(each["value"]))
        reply = self._reply({"ver": self.version, "nowMs": 1})
        await asyncio.sleep(min(self.write_delay, timeout))
        is_lost = host in self.loses_writes_of or self.write_delay > timeout
        return LOST if is_lost else reply

    async def _feed(self, query: dict[str, str]) -> HttpResponse | ExchangeFailed:
        after = int(query["after"])
        deadline = self._loop.time() + int(query["watchWaitMs"]) / 1000
        while True:
            if self.down or self.refuses_reads:
                return UNREACHABLE
            if after > self.version:
                return self._reply({}, 410)
            reply = self._page(query["table"], after)
            if json.loads(reply.body)["rows"] or self._loop.time() >= deadline:
                return reply
            await asyncio.sleep(FEED_POLL_SECONDS)

    def _page(self, table: str, after: int) -> HttpResponse:
        rows = [
            row
            for row in self.row_by_id.values()
            if row["table"] == table and row["ver"] > after
        ]
        return self._reply({"rows": rows, "hasMore": False, "ver": self.version})

    def _reply(self, document: dict[str, Any], status: int = 200) -> HttpResponse:
        era = (b"store-era", str(self.era).encode())
        body = json.dumps(document).encode()
        return HttpResponse(status=status, headers=(era,), body=body)


class Vm:
    """One daemon, as far as it shares tables, and its network."""

    def __init__(self, world: "MeshWorld", number: int) -> None:
        self.host = f"vm-{number}"
        self.address = Address(f"10.0.0.{number}", 80)
        self.world = world
        # False if other daemons see a build that knows no eras.
        self.knows_eras = True
        self.record = HostRecord(
            host=self.host,
            address=str(self.address),
            data_centre=DataCentre(f"dc-{number % 2}"),
            region=Region("region"),
            service=ServiceName("one"),
            target=TargetId(f"i-{number}"),
            start_time_ms=1,
            slots=4,
            state=TargetState.READY,
            link_mbps=100,
        )
        self.start()

    def start(self) -> None:
        """Start the daemon, with nothing in memory."""
        events, random = null_event_log(), Random(self.host)
        self.fleet = Fleet(
            data_centre=self.record.data_centre,
            region=self.record.region,
            own_host=self.host,
            own_address=self.record.address,
            own_link_mbps=100,
            random=random,
        )
        tables = TableStore(address=STORE_ADDRESS, pool=self)
        self.publisher = RecordPublisher(
            tables=tables,
            table=HOSTS_TABLE,
            key=self.host,
            events=events,
            random=random,
        )
        self.view = StoreView(
            host=self.host,
            config_apply_seconds=CONFIG_APPLY_SECONDS,
            first_start=False,
            tables=tables,
            pool=self,
            fleet=self.fleet,
            crashes=CrashHistory(events=events),
            own_row_changed=self.publisher.observe,
            records_restored=self.publisher.observe_restore,
            previous_record_found=lambda record: None,
            peer_unreachable=lambda address: None,
            events=events,
            random=random,
        )
        self.publisher.set_wanted(encode_record(self.record))
        self._tasks = [
            asyncio.create_task(self.view.run()),
            asyncio.create_task(self.publisher.run()),
        ]

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()

    def publish(self, **changes: Any) -> None:
        """Publish the record of this VM with ``changes``."""
        self.record = replace(self.record, **changes)
        self.publisher.set_wanted(encode_record(self.record))

    async def exchange(
        self,
        address: Address,
        request: HttpRequest,
        *,
        timeout: float,
        grace: float = 0.0,
    ) -> HttpResponse | ExchangeFailed:
        await asyncio.sleep(TRIP_SECONDS)
        store = self.world.store
        if address == STORE_ADDRESS:
            reply = await store.respond(self.host, request, timeout)
        else:
            reply = await self.world.vm_by_address[address].serve(request)
        await asyncio.sleep(TRIP_SECONDS)
        return reply

    async def serve(self, request: HttpRequest) -> HttpResponse:
        query = table_sync.decode_query(request)
        assert query is not None
        if self.knows_eras:
            return await self.view.serve_sync(query)
        response = await self.view.serve_sync(replace(query, era=None))
        return replace(response, headers=())

    @property
    def config_version(self) -> int:
        return 0 if self.view.config is None else self.view.config.version

    def knows(self, other: "Vm") -> bool:
        """Whether this daemon has the current record of ``other``."""
        view = self.fleet.view_by_host.get(other.host)
        return view is not None and view.record == other.record


class MeshWorld:
    """A store, its operator and some VMs in two data centres."""

    def __init__(self, vms: int) -> None:
        self.store = WireStore()
        self.version = 0
        self.write_configuration(1)
        self.vms: list[Vm] = []
        self.vm_by_address: dict[Address, Vm] = {}
        for number in range(1, vms + 1):
            vm = Vm(self, number)
            self.vms.append(vm)
            self.vm_by_address[vm.address] = vm

    def write_configuration(self, version: int) -> None:
        """Write ``version``, also one that the operator has written before."""
        self.version = max(self.version, version)
        self.store.put("op", "config", configuration(version, {"one": route("one")}))

    def stop(self) -> None:
        for vm in self.vms:
            vm.stop()

    @property
    def is_consistent(self) -> bool:
        """Whether every daemon has the newest configuration and all records."""
        return all(
            vm.config_version == self.version
            and self.store.value(HOSTS_TABLE, vm.host) == encode_record(vm.record)
            and all(vm.knows(other) for other in self.vms if other is not vm)
            for vm in self.vms
        )

    async def until_consistent(self, seconds: float) -> None:
        """Wait until ``is_consistent``; TimeoutError after ``seconds``."""
        async with asyncio.timeout(seconds):
            while not self.is_consistent:
                await asyncio.sleep(0.02)
