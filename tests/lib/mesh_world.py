"""Daemons that share the tables of a store, in virtual time and without sockets.

The store speaks the wire of the platform, so its restores are seen as in operation.
"""

import asyncio
import base64
import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from random import Random
from typing import Any
from urllib.parse import parse_qs

from cassiasail._internal.awake_clock import AwakeClock
from cassiasail._internal.coordination.mesh.balancing import Fleet
from cassiasail._internal.coordination.mesh.crashes import CrashHistory
from cassiasail._internal.coordination.mesh.probing import SuspectProber
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
from cassiasail._internal.state.table_mirror import StoredRow
from cassiasail.platform.table_store import TableStore
from devtools.platform_stand_in import configuration, route
from devtools.virtual_loop import VirtualLoop
from tests.lib.events import null_event_log

STORE_ADDRESS = Address("10.9.0.1", 80)
CONFIG_APPLY_SECONDS = 2.0
TRIP_SECONDS = 0.002
FEED_POLL_SECONDS = 0.01
# How long a connection attempt to a VM or store that is silent takes to fail.
CONNECT_TIMEOUT_SECONDS = 0.4
LOST = ExchangeFailed(reason=FailureReason.TIMED_OUT, sent=True)
RESET = ExchangeFailed(reason=FailureReason.RESET, sent=True)
UNREACHABLE = ExchangeFailed(reason=FailureReason.CONNECT_FAILED, sent=False)

# Longer than the resolution of the loop's clock, below which a timer fires early.
PASS_SECONDS = 1e-8

RowId = tuple[str, str]


@dataclass(frozen=True, slots=True, kw_only=True)
class Place:
    """Where a VM stands."""

    data_centre: DataCentre
    region: Region


def places(regions: int, centres: int) -> tuple[Place, ...]:
    """Return the data centres of ``regions`` with ``centres`` each."""
    return tuple(
        Place(
            data_centre=DataCentre(f"dc-{region}-{centre}"),
            region=Region(f"region-{region}"),
        )
        for region in range(regions)
        for centre in range(centres)
    )


TWO_DATA_CENTRES = places(1, 2)


@dataclass(frozen=True, slots=True, kw_only=True)
class LargeConfig:
    """What a large configuration costs, in seconds of each resource that it uses.

    ``region_link`` and ``vm_link`` (of 100 Mbit/s) are for its row as the store sends
    it; a daemon sends the ``peer_share`` of that. ``decode`` is the processor time for
    applying it and ``encode`` that for sending it to one follower, on a VM that is not
    slowed down.
    """

    region_link: float
    vm_link: float
    peer_share: float
    decode: float
    encode: float


class Resource:
    """A link or a processor that serves one user after the other."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._free_at = 0.0

    def reserve(self, seconds: float) -> tuple[float, float]:
        """Return the loop times at which the use of ``seconds`` starts and ends."""
        start = max(self._loop.time(), self._free_at)
        self._free_at = start + seconds
        return start, self._free_at


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
    ``loses_writes_of``, and delays responses to writes by ``write_delay`` seconds and
    those to reads by ``read_delay``. With ``refuses_reads`` it serves only writes. With
    ``silent`` it accepts no connection and sends no response.
    """

    def __init__(self) -> None:
        self.row_by_id: dict[RowId, dict[str, Any]] = {}
        self.version, self.era = 0, 1
        self.down = self.refuses_reads = self.silent = False
        self.refused: set[str] = set()
        self.loses_writes_of: set[str] = set()
        self.write_delay = self.read_delay = 0.0
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
        if self.silent:
            await asyncio.sleep(CONNECT_TIMEOUT_SECONDS)
            return UNREACHABLE
        path, _, query_text = request.target.decode().partition("?")
        query = {name: values[0] for name, values in parse_qs(query_text).items()}
        is_write = path == "/v1/rows-tx"
        if self.down or host in self.refused or (self.refuses_reads and not is_write):
            return self._reply({}, 503)
        if is_write:
            return await self._transact(host, json.loads(request.body), timeout)
        if self.read_delay > timeout:
            await asyncio.sleep(timeout)
            return LOST
        await asyncio.sleep(self.read_delay)
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
            if self.silent:
                await asyncio.sleep(max(0.0, deadline - self._loop.time()))
                return LOST
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


class TimedStoreView(StoreView):
    """Calls ``applied`` with the version of each configuration that it decodes."""

    def __init__(self, *, applied: Callable[[int], None], **arguments: Any) -> None:
        super().__init__(**arguments)
        self._applied = applied

    def _apply_config(self, row: StoredRow) -> None:
        super()._apply_config(row)
        if self.config is not None:
            self._applied(self.config.version)


class Vm:
    """One daemon, as far as it shares tables, and its network."""

    def __init__(
        self, world: "MeshWorld", number: int, *, place: Place, link_mbps: int = 100
    ) -> None:
        self.host = f"vm-{number}"
        self.address = Address(f"10.0.0.{number}", 80)
        self.world = world
        self.place = place
        self._loop = asyncio.get_running_loop()
        self._exited = asyncio.Event()
        self.link, self.processor = Resource(), Resource()
        # How many times longer than usual its processor takes.
        self.slowdown = 1.0
        # False if other daemons see a build that knows no eras.
        self.knows_eras = True
        self.record = HostRecord(
            host=self.host,
            address=self.address,
            data_centre=place.data_centre,
            region=place.region,
            service=ServiceName("one"),
            target=TargetId(f"i-{number}"),
            start_time_ms=1,
            slots=4,
            state=TargetState.READY,
            link_mbps=link_mbps,
        )
        self.start()

    def start(self) -> None:
        """Start the daemon, with nothing in memory."""
        events, random = null_event_log(), Random(self.host)
        self.started_at, self.stopping = self._loop.time(), False
        self._exited.clear()
        self._prober = SuspectProber(pool=self, events=events, random=random)
        self.fleet = Fleet(
            data_centre=self.record.data_centre,
            region=self.record.region,
            own_host=self.host,
            own_address=self.record.address,
            own_link_mbps=self.record.link_mbps,
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
        # The versions in force, and when each was decoded.
        self._decoded: list[tuple[float, int]] = []
        self.view = TimedStoreView(
            applied=self._config_applied,
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
            peer_unreachable=self._suspect,
            awake=AwakeClock(),
            events=events,
            random=random,
        )
        self.publisher.set_wanted(encode_record(self.record))
        self._tasks = [
            asyncio.create_task(self.view.run()),
            asyncio.create_task(self.publisher.run()),
        ]

    def stop(self) -> None:
        """Stop the daemon at once; its VM refuses connections until ``start``."""
        self._exited.set()
        self._prober.stop()
        for task in self._tasks:
            task.cancel()

    async def terminate(self, seconds: float) -> None:
        """Stop the daemon as SIGTERM does, with a grace period of ``seconds``."""
        self.stopping = True
        self.publish(state=TargetState.SUSPENDED)
        self.view.stop_serving()
        await asyncio.sleep(seconds)
        self.stop()

    def _suspect(self, address: Address) -> None:
        for host_view in self.fleet.view_by_host.values():
            if host_view.address == address:
                self._prober.suspect(host_view, "peer_unreachable")

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
        sent_at = self._loop.time()
        await asyncio.sleep(TRIP_SECONDS)
        reply: HttpResponse | ExchangeFailed
        peer: Vm | None = None
        if address == STORE_ADDRESS:
            reply = await self.world.store.respond(self.host, request, timeout)
        elif address in self.world.vm_by_address:
            peer = self.world.vm_by_address[address]
            reply = await peer.respond(request, timeout)
        else:
            await asyncio.sleep(min(timeout, CONNECT_TIMEOUT_SECONDS))
            reply = UNREACHABLE
        if isinstance(reply, HttpResponse) and _carries_configuration(request, reply):
            first_byte_by = sent_at + timeout
            if not await self._receive_large(peer, first_byte_by, grace):
                return LOST
        await asyncio.sleep(TRIP_SECONDS)
        await self.use_processor(0.0)
        return reply

    async def _receive_large(
        self, peer: "Vm | None", first_byte_by: float, grace: float
    ) -> bool:
        """Use links and processors for a configuration; return false if it is late.

        A response that is given up has used the links all the same.
        """
        costs, world = self.world.large, self.world
        if costs is None:
            return True
        share = 1.0
        links = [(self.link, costs.vm_link * 100 / self.record.link_mbps)]
        if peer is not None:
            share = costs.peer_share
            _, encoded_at = peer.processor.reserve(costs.encode * peer.slowdown)
            wait = min(encoded_at, first_byte_by) - self._loop.time()
            await asyncio.sleep(max(0.0, wait))
            if encoded_at > first_byte_by:
                return False
            links.append((peer.link, costs.vm_link * 100 / peer.record.link_mbps))
        source = world.places[0] if peer is None else peer.place
        if source.region != self.place.region:
            links.append((world.link_by_region[self.place.region], costs.region_link))
        uses = [link.reserve(seconds * share) for link, seconds in links]
        starts_at, ends_at = (max(times) for times in zip(*uses, strict=True))
        is_late = starts_at > first_byte_by or ends_at > first_byte_by + grace
        now = self._loop.time()
        if is_late:
            deadline = first_byte_by + (0.0 if starts_at > first_byte_by else grace)
            await asyncio.sleep(max(0.0, deadline - now))
            return False
        await asyncio.sleep(ends_at - now)
        return True

    async def use_processor(self, seconds: float) -> None:
        """Wait until the processor has been used for ``seconds``."""
        _, ends_at = self.processor.reserve(seconds * self.slowdown)
        await asyncio.sleep(max(0.0, ends_at - self._loop.time()))

    async def respond(
        self, request: HttpRequest, timeout: float
    ) -> HttpResponse | ExchangeFailed:
        """Serve ``request`` as far as the daemon runs, within ``timeout`` seconds."""
        if self._exited.is_set():
            return UNREACHABLE
        response = asyncio.ensure_future(self.serve(request))
        exited = asyncio.ensure_future(self._exited.wait())
        done, pending = await asyncio.wait(
            (response, exited),
            timeout=timeout,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in pending:
            task.cancel()
        if response in done:
            return response.result()
        return RESET if exited in done else LOST

    async def serve(self, request: HttpRequest) -> HttpResponse:
        await self.use_processor(0.0)
        query = table_sync.decode_query(request)
        assert query is not None
        if self.knows_eras:
            return await self.view.serve_sync(query)
        response = await self.view.serve_sync(replace(query, era=None))
        return replace(response, headers=())

    @property
    def config_version(self) -> int:
        """The version in force."""
        now = self._loop.time()
        return max(
            (version for ends_at, version in self._decoded if ends_at <= now), default=0
        )

    def _config_applied(self, version: int) -> None:
        """Use the processor for decoding ``version``, which is then in force."""
        costs = self.world.large
        seconds = costs.decode * self.slowdown if costs is not None else 0.0
        _, ends_at = self.processor.reserve(seconds)
        self._decoded.append((ends_at, version))

    def knows(self, other: "Vm") -> bool:
        """Whether this daemon has the current record of ``other``."""
        view = self.fleet.view_by_host.get(other.host)
        return view is not None and view.record == other.record


def _carries_configuration(request: HttpRequest, response: HttpResponse) -> bool:
    """Return whether ``response`` has the row of the configuration."""
    query = table_sync.decode_query(request)
    if query is None:
        return b"table=op" in request.target and b'"key": "config"' in response.body
    if query.table != "op":
        return False
    reply = table_sync.decode_reply(response, default_era=1)
    return reply is not None and bool(reply.delta.rows)


class MeshWorld:
    """A store, its operator and some VMs, spread over ``places`` in turn."""

    def __init__(self, vms: int, *, places: Sequence[Place] = TWO_DATA_CENTRES) -> None:
        self.places = places
        self.link_by_region = {place.region: Resource() for place in places}
        # None if the configuration is small: then it costs nothing.
        self.large: LargeConfig | None = None
        self.store = WireStore()
        self.version = 0
        self.write_configuration(1)
        self.vms: list[Vm] = []
        self.vm_by_address: dict[Address, Vm] = {}
        for number in range(1, vms + 1):
            self.add(number, place=places[number % len(places)])

    def add(self, number: int, *, place: Place, link_mbps: int = 100) -> Vm:
        """Start a daemon on a new VM."""
        vm = Vm(self, number, place=place, link_mbps=link_mbps)
        self.vms.append(vm)
        self.vm_by_address[vm.address] = vm
        return vm

    def remove(self, vm: Vm) -> None:
        """Remove a VM; connection attempts to its address time out."""
        self.vms.remove(vm)
        del self.vm_by_address[vm.address]

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
