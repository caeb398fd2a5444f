"""One daemon: its parts, their wiring, and the order of start and stop."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from absl import logging
from websockets.asyncio.server import Server

from ..exceptions import ProtocolError
from . import metrics
from .clock import Clock, SystemClock
from .coordination.control import ControlPlane
from .coordination.deathnotices import KIND, decode_notice, encode_notice
from .coordination.links import ControlOptions
from .coordination.owner_link import OwnerLink
from .coordination.permits import EndpointChange, TargetState
from .coordination.quarantine import Notice, Quarantine
from .coordination.quota_exchange import QuotaExchange
from .coordination.quota_service import QuotaService
from .coordination.router import CallRouter, Choice
from .coordination.shard_leases import ShardLeases
from .coordination.strikes import QUARANTINE_SECONDS
from .ids import DaemonId, DataCentre, Region, ServiceName, TargetId
from .protocol import messages
from .protocol.quotas import (
    QuotaAsk,
    QuotaMessage,
    QuotaReturn,
    quota_message_from_wire,
)
from .settings import Settings
from .state import listcodec
from .state.lists import Allowance, Delta, Snapshot
from .state.members import Endpoint, EndpointState, MemberRecord, MemberTable
from .state.quotas import QuotaKey, ShardId
from .state.versions import VersionedLists
from .status import explain_page, status_page
from .transport.admin_http import AdminServer
from .transport.dispatch import Dispatcher
from .transport.entry_http import EntryServer
from .transport.hosted_calls import HostedCalls
from .transport.peers import (
    CallPool,
    ControlLinks,
    LinkId,
    LocalPeer,
    start_listener,
)
from .transport.shaping import RegionLink
from .transport.store_http import HttpStore
from .transport.target_http import TargetClient

TICK = 0.05  # seconds
POLL_INTERVAL = 0.5  # seconds
DIRECTORY_INTERVAL = 1.0  # seconds
QUOTA_INTERVAL = 0.1  # seconds
KEPT_VERSION_TIMES = 100
ASK_TIMEOUT = 0.2  # seconds; a call waits no longer for its tokens
# Time in which callers are asked to connect elsewhere while the daemon leaves.
HAND_OVER = 2.0  # seconds


class Runtime:
    """All parts of one daemon."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.clock: Clock = SystemClock()
        self.rng = random.Random()
        self.versions = VersionedLists()
        self.applied_at_by_version: dict[int, float] = {}
        self.me = DaemonId(settings.peer_address)
        incarnation = int(self.clock.wall() * 1000)
        self.members = MemberTable(own=_own_record(settings, self.me, incarnation))
        self.region_link = RegionLink(
            delay=settings.emulation_region_delay_ms / 1000,
            rate=settings.emulation_region_mbit * 1e6 / 8,
        )
        self.store = self._build_store(settings.store_rate)
        self._build_transport()
        self._build_control()
        self._build_quotas(incarnation)
        self._build_calls()
        self._endpoint_by_target: dict[TargetId, Endpoint] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._listener: Server | None = None
        self._receiving_notice = False
        self.stopping = asyncio.Event()

    async def start(self) -> None:
        """Open the listeners, then join the fleet."""
        settings = self.settings
        self._listener = await start_listener(
            settings.peer_address, local=self.local, control=self.links, calls=self.pool
        )
        await self.admin.start(settings.admin_address)
        await self.entry.start(settings.http_address)
        self._every(TICK, self._tick)
        self._every(POLL_INTERVAL, self._poll_store)
        self._every(DIRECTORY_INTERVAL, self.control.maintain_directory_once)
        self._every(QUOTA_INTERVAL, self._run_quotas)
        logging.info("daemon %s started", self.me)

    async def drain(self) -> None:
        """Leave the fleet without cutting a call; returns when none is left."""
        logging.info("daemon %s leaves", self.me)
        self.control.leave()
        self.entry.closing = True
        self.hosted.leave()
        await asyncio.sleep(HAND_OVER)
        await self.leases.release()
        limit = self.settings.limits_max_deadline + HAND_OVER
        try:
            async with asyncio.timeout(limit):
                await self.hosted.wait_idle()
                while self.router.in_flight:
                    await asyncio.sleep(TICK)
        except TimeoutError:
            logging.warning("calls are still in flight after %.1f s", limit)

    async def stop(self) -> None:
        """Close everything."""
        for task in self._tasks:
            task.cancel()
        await self.entry.close()
        await self.pool.close()
        await self.links.close()
        if self._listener is not None:
            self._listener.close()
        await self.admin.close()
        await self.client.close()
        await self.store.close()
        logging.info("daemon %s stopped", self.me)

    def _build_store(self, rate: float) -> HttpStore:
        settings = self.settings
        remote = settings.region != settings.store_region
        return HttpStore(
            address=settings.store_address,
            clock=self.clock,
            timeout=settings.store_timeout,
            rate=rate,
            is_cut=lambda: remote and self.region_link.is_cut,
        )

    def _build_transport(self) -> None:
        settings = self.settings
        self.local = LocalPeer(
            daemon=self.me, region=settings.region, link=self.region_link
        )
        self.links = ControlLinks(
            local=self.local,
            on_open=lambda link, address: self.control.link_opened(link, address),
            on_message=self._receive_control,
            on_close=lambda link: self.control.link_closed(link),
            on_dial_failed=lambda address: self.control.dial_failed(address),
        )
        self.client = TargetClient()
        self.pool = CallPool(
            local=self.local,
            serve_call=lambda head, body: self.hosted.serve(head, body),
            serve_request=self._serve_request,
            report_for=lambda head: self.hosted.report_for(head),
        )

    def _build_control(self) -> None:
        self.control = ControlPlane(
            table=self.members,
            lists=self.versions,
            clock=self.clock,
            rng=self.rng,
            options=ControlOptions(fan_out=self.settings.fleet_fan_out),
            seeds=self.settings.fleet_seeds,
            store_region=Region(self.settings.store_region),
            store=self.store,
            send=lambda link, message: self.links.send(link, messages.encode(message)),
            dial=self.links.dial,
            hang_up=self.links.hang_up,
            on_notice=self._receive_notice,
        )
        self.quarantine = Quarantine(clock=self.clock, publish=self._publish_notice)

    def _build_quotas(self, incarnation: int) -> None:
        settings = self.settings
        centre = DataCentre(settings.data_centre)
        shards = [
            ShardId(DataCentre(name), number)
            for name in settings.fleet_data_centres
            for number in range(settings.quota_shards_per_data_centre)
        ]
        self.leases = ShardLeases(
            me=self.me,
            incarnation=incarnation,
            data_centre=centre,
            shards=shards,
            members=self._members_here,
            store=self.store,
            clock=self.clock,
            term=settings.quota_term,
            max_deadline=settings.limits_max_deadline,
            rng=self.rng,
        )
        self.quota_service = QuotaService(
            me=self.me,
            shards=shards,
            leases=self.leases,
            ask=self._ask,
            allowance_of=self._allowance_of,
            distance=self._distance,
            clock=self.clock,
            rng=self.rng,
        )
        self.quotas = QuotaExchange(
            me=self.me,
            incarnation=incarnation,
            data_centre=centre,
            link=OwnerLink(
                me=self.me,
                data_centre=centre,
                shards=shards,
                members=self._members_here,
                leases=self.leases,
                service=self.quota_service,
                ask=self._ask,
                clock=self.clock,
            ),
            max_deadline=settings.limits_max_deadline,
            clock=self.clock,
            rng=self.rng,
        )

    def _build_calls(self) -> None:
        settings = self.settings
        self.hosted = HostedCalls(
            clock=self.clock,
            client=self.client,
            quarantine=self.quarantine,
            publish_endpoint=self._publish_endpoint,
            ip=settings.http_address.partition(":")[0],
            queue_capacity=settings.limits_queue,
        )
        self.router = CallRouter(
            clock=self.clock,
            versions=self.versions,
            quotas=self.quotas,
            quarantine=self.quarantine,
            choose=self._choose,
            send=Dispatcher(me=self.me, pool=self.pool, hosted=self.hosted).send,
            max_deadline=settings.limits_max_deadline,
            max_calls=settings.limits_max_calls,
        )
        self.entry = EntryServer(
            handle_call=self.router.handle,
            announce=self.hosted.announce,
            max_body=settings.limits_max_body,
        )
        self.admin = AdminServer(
            status=self._status,
            explain=lambda customer, service: explain_page(
                customer, service, versions=self.versions, members=self.members
            ),
            offer=self._offer,
            is_ready=lambda: self.versions.version > 0 and not self.entry.closing,
            json_pages={"/versions": self._applied_versions},
            cut_link=self.region_link.set_cut if self.region_link.active else None,
        )

    def _every(self, interval: float, work: Callable[[], Awaitable[None]]) -> None:
        async def repeat() -> None:
            while True:
                await work()
                await asyncio.sleep(interval * self.rng.uniform(0.9, 1.1))

        task = asyncio.create_task(repeat())
        self._tasks.add(task)
        task.add_done_callback(self._on_task_end)

    def _on_task_end(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            # A daemon without one of its loops would decay silently; a restart is
            # the safe state.
            logging.error("background task failed", exc_info=task.exception())
            self.stopping.set()

    async def _tick(self) -> None:
        self.control.tick()
        self._note_version()

    def _note_version(self) -> None:
        version = self.versions.version
        if version == 0 or version in self.applied_at_by_version:
            return
        self.applied_at_by_version[version] = self.clock.wall()
        while len(self.applied_at_by_version) > KEPT_VERSION_TIMES:
            del self.applied_at_by_version[min(self.applied_at_by_version)]

    def _applied_versions(self) -> dict[str, Any]:
        times = self.applied_at_by_version.items()
        return {str(version): at for version, at in times}

    async def _poll_store(self) -> None:
        await self.control.poll_store_once()
        self._note_version()

    async def _run_quotas(self) -> None:
        await self.leases.run_once()
        await self.quota_service.run_once()
        await self.quotas.run_once()

    def _receive_control(self, link: LinkId, data: bytes) -> None:
        try:
            message = messages.decode(data)
        except ProtocolError as error:
            metrics.MESSAGES_REFUSED.labels("malformed_control").inc()
            logging.warning("closing control link %s: %s", link, error)
            self.links.hang_up(link)
            return
        if message is not None:
            self.control.receive(link, message)
            self._note_version()

    def _receive_notice(self, kind: str, payload: bytes, seconds_left: float) -> None:
        if kind != KIND:
            return
        try:
            notice = decode_notice(payload, age=QUARANTINE_SECONDS - seconds_left)
        except ProtocolError as error:
            metrics.MESSAGES_REFUSED.labels("malformed_notice").inc()
            logging.warning("%s", error)
            return
        # The control plane floods notices; the quarantine must not do so again.
        self._receiving_notice = True
        try:
            self.quarantine.receive(notice)
        finally:
            self._receiving_notice = False

    def _publish_notice(self, notice: Notice) -> None:
        if not self._receiving_notice:
            self.control.publish_notice(
                kind=KIND, payload=encode_notice(notice), ttl=QUARANTINE_SECONDS
            )

    def _publish_endpoint(self, change: EndpointChange) -> None:
        if change.state is TargetState.GONE:
            self._endpoint_by_target.pop(change.target, None)
        else:
            self._endpoint_by_target[change.target] = Endpoint(
                service=change.service,
                target_id=change.target,
                state=EndpointState(change.state.value),
                slots=change.slots,
                started=int(change.started * 1000),
            )
        self.control.set_endpoints(tuple(self._endpoint_by_target.values()))

    def _members_here(self) -> list[DaemonId]:
        centre = DataCentre(self.settings.data_centre)
        return [record.id for record in self.members.living(centre)]

    def _distance(self, centre: DataCentre) -> float:
        if centre == self.settings.data_centre:
            return 0.0
        here = any(
            record.region == self.settings.region
            for record in self.members.living(centre)
        )
        return 1.0 if here else 2.0

    def _allowance_of(self, key: QuotaKey) -> Allowance | None:
        customer_id, service, path = key
        customer = self.versions.table.customer_by_id.get(customer_id)
        if customer is None:
            return None
        return self.versions.table.allowance_by_route.get(
            (customer.plan, service, path)
        )

    async def _ask(self, owner: DaemonId, message: QuotaMessage) -> QuotaMessage | None:
        connection = await self.pool.connection_to(owner)
        if connection is None:
            return None
        reply = await connection.request(message.to_wire(), ASK_TIMEOUT)
        if reply is None:
            return None
        try:
            return quota_message_from_wire(reply)
        except ProtocolError:
            metrics.MESSAGES_REFUSED.labels("malformed_quota").inc()
            return None

    async def _serve_request(self, payload: Any) -> Any:
        try:
            message = quota_message_from_wire(payload)
        except ProtocolError:
            metrics.MESSAGES_REFUSED.labels("malformed_quota").inc()
            return None
        if not isinstance(message, QuotaAsk | QuotaReturn):
            return None
        return (await self.quota_service.handle(message)).to_wire()

    def _choose(self, service: ServiceName) -> Choice | None:
        ready = [
            Choice(target=endpoint.target_id, host=record.id)
            for record, endpoint in self.members.endpoints_of(service)
            if endpoint.state is EndpointState.READY
        ]
        return self.rng.choice(ready) if ready else None

    def _offer(self, data: bytes) -> None:
        item: Delta | Snapshot
        try:
            item = listcodec.decode_delta(data)
        except ProtocolError:
            item = listcodec.decode_snapshot(data)
        self.control.offer(item)
        self._note_version()

    def _status(self) -> dict[str, Any]:
        return status_page(
            clock=self.clock,
            control=self.control,
            versions=self.versions,
            members=self.members,
            hosted=self.hosted,
            store=self.store,
            in_flight=self.router.in_flight,
        )


def _own_record(settings: Settings, me: DaemonId, incarnation: int) -> MemberRecord:
    return MemberRecord(
        id=me,
        incarnation=incarnation,
        sequence=0,
        region=settings.region,
        data_centre=settings.data_centre,
        peer_addr=settings.peer_address,
        http_addr=settings.http_address,
        admin_addr=settings.admin_address,
    )
