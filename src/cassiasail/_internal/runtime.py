"""Creates, connects, starts and stops the components of a ``cassiasaild`` daemon."""

import asyncio
import random
from typing import Any

from absl import logging
from websockets.asyncio.server import Server

from ..exceptions import ProtocolError
from . import metrics
from .background import BackgroundTasks
from .clock import Clock, SystemClock
from .coordination.claims import Claims
from .coordination.control import ControlPlane
from .coordination.links import ControlOptions
from .coordination.owner_link import OwnerLink
from .coordination.permits import EndpointChange, TargetState
from .coordination.quarantine import Quarantine
from .coordination.quarantine_notices import QuarantineFlood
from .coordination.quota_exchange import QuotaClient
from .coordination.quota_service import QuotaService
from .coordination.router import CallRouter
from .coordination.shard_leases import ShardLeases
from .coordination.store import StoreFailure
from .coordination.target_feed import TargetFeed
from .ids import DaemonId, DataCentre, Region, TargetId
from .protocol import messages
from .settings import Settings
from .state import listcodec
from .state.lists import Allowance, Delta, Snapshot
from .state.members import Endpoint, EndpointState, MemberRecord, MemberTable
from .state.quotas import QuotaKey, ShardId
from .state.versions import VersionedLists
from .status import VersionTimes, explain_page, status_page
from .transport.admin_http import AdminServer
from .transport.descriptors import shares_of
from .transport.entry_http import EntryServer
from .transport.forwarding import CallForwarder
from .transport.hosted_calls import HostedCalls
from .transport.http1.memory import MAX_REQUEST_BODIES_BYTES, BodyMemory
from .transport.peer_listener import start_listener
from .transport.peer_requests import PeerRequests
from .transport.peers import (
    CallPool,
    ControlLinks,
    LinkId,
    LocalPeer,
)
from .transport.reading_turns import ReadingTurns
from .transport.shaping import RegionLink
from .transport.store_http import HttpStore
from .transport.target_http import TargetClient

TICK_SECONDS = 0.1
# Intervals in ticks: the store is polled every 0.5 s, leases and the directory are
# maintained every second.
STORE_POLL_TICKS = 5
MAINTENANCE_TICKS = 10
# Delay until the next attempt to sweep claims if this daemon is not the head of its
# data centre or the store failed.
SWEEP_RETRY_SECONDS = 60.0
# Descriptors used at most, if the process may open as many.
MAX_DESCRIPTORS = 20_000
# Operators' command lines and the tools that they use have several connections each.
MIN_ADMIN_CONNECTIONS = 16
# Time between the start of draining and the end of listening. Meanwhile responses close
# their connections, so that callers connect to other daemons.
DRAIN_NOTICE_SECONDS = 2.0


class Runtime:
    """The components of one daemon."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.clock: Clock = SystemClock()
        self.rng = random.Random()
        self.versions = VersionedLists()
        self.version_times = VersionTimes(versions=self.versions, clock=self.clock)
        self.me = DaemonId(settings.peer_address)
        incarnation = int(self.clock.wall() * 1000)
        self.members = MemberTable(
            own_record=_own_record(settings, self.me, incarnation)
        )
        self.descriptors = shares_of(MAX_DESCRIPTORS)
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
        self._background = BackgroundTasks(failed=self._on_background_failure)
        self._ticks = 0
        self._stopped = False
        self._listener: Server | None = None
        self.stopping = asyncio.Event()
        # Set when the daemon stops because of an internal error.
        self.failed = False

    async def start(self) -> None:
        """Open the listeners, then start the periodic work, which joins the fleet."""
        settings = self.settings
        self._listener = await start_listener(
            settings.peer_address,
            local=self.local_peer,
            control=self.control_links,
            calls=self.call_pool,
            max_connections=self.descriptors.peers,
        )
        await self.admin.start(settings.admin_address)
        await self.entry.start(settings.http_address)
        asyncio.get_running_loop().call_later(TICK_SECONDS, self._tick)
        self._background.start(self._sweep_claims())
        logging.info("daemon %s started", self.me)

    async def drain(self) -> None:
        """Leave the fleet and return when no call is in flight.

        After the daemon has stopped listening, waits for calls at most the maximum
        deadline plus ``DRAIN_NOTICE_SECONDS``.
        """
        logging.info("daemon %s is draining", self.me)
        self.control.leave()
        self.entry.closing = True
        self.hosted.drain()
        await asyncio.sleep(DRAIN_NOTICE_SECONDS)
        await self.entry.stop_listening()
        await self.leases.release()
        timeout = self.settings.limits_max_deadline + DRAIN_NOTICE_SECONDS
        try:
            async with asyncio.timeout(timeout):
                await self.hosted.wait_idle()
                while not self.router.is_idle:
                    await asyncio.sleep(TICK_SECONDS)
        except TimeoutError:
            logging.warning(
                "calls are still in flight after draining for %.1f s", timeout
            )

    async def stop(self) -> None:
        """Cancel background tasks and close all listeners and connections."""
        self._stopped = True
        self._background.cancel()
        await self.entry.close()
        await self.call_pool.close()
        await self.control_links.close()
        if self._listener is not None:
            self._listener.close()
        await self.admin.close()
        await self.target_client.close()
        await self.store.close()
        await self.claim_store.close()
        logging.info("daemon %s stopped", self.me)

    def _build_store(self, rate: float) -> HttpStore:
        settings = self.settings
        is_remote = settings.region != settings.store_region
        return HttpStore(
            address=settings.store_address,
            clock=self.clock,
            timeout=settings.store_timeout,
            rate=rate,
            is_cut=lambda: is_remote and self.region_link.is_cut,
        )

    def _build_transport(self) -> None:
        settings = self.settings
        self.local_peer = LocalPeer(
            daemon=self.me, region=settings.region, link=self.region_link
        )
        self.control_links = ControlLinks(
            local=self.local_peer,
            on_open=lambda link, address: self.control.link_opened(link, address),
            on_message=self._receive_control,
            on_close=lambda link: self.control.link_closed(link),
            on_dial_failed=lambda address: self.control.dial_failed(address),
        )
        self.target_client = TargetClient()
        self.call_pool = CallPool(
            local=self.local_peer,
            serve_call=lambda head, body: self.hosted.serve(head, body),
            serve_request=lambda payload: self.peer_requests.serve(payload),
            load_report_for=lambda head: self.hosted.load_report_for(head),
        )
        self.peer_requests = PeerRequests(
            pool=self.call_pool,
            serve_quota=lambda message: self.quota_service.handle(message),
            claim_status=lambda token: self.claims.status(token),
        )

    def _build_control(self) -> None:
        self.control = ControlPlane(
            table=self.members,
            versions=self.versions,
            clock=self.clock,
            rng=self.rng,
            options=ControlOptions(fan_out=self.settings.fleet_fan_out),
            seeds=self.settings.fleet_seeds,
            store_region=Region(self.settings.store_region),
            store=self.store,
            send=lambda link, message: self.control_links.send(
                link, messages.encode(message)
            ),
            dial=self.control_links.dial,
            close_connection=self.control_links.close_link,
            on_notice=lambda *notice: self.quarantine_flood.receive(*notice),
        )
        self.quarantine_flood = QuarantineFlood(
            publish=lambda **notice: self.control.publish_notice(**notice)
        )
        self.quarantine = Quarantine(
            clock=self.clock, publish=self.quarantine_flood.publish
        )
        self.quarantine_flood.quarantine = self.quarantine

    def _build_quotas(self, incarnation: int) -> None:
        settings = self.settings
        data_centre = DataCentre(settings.data_centre)
        shards = [
            ShardId(DataCentre(name), number)
            for name in settings.fleet_data_centres
            for number in range(settings.quota_shards_per_data_centre)
        ]
        self.leases = ShardLeases(
            me=self.me,
            incarnation=incarnation,
            data_centre=data_centre,
            shards=shards,
            members=self._local_members,
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
            send_to_peer=self.peer_requests.send_quota_message,
            allowance_of=self._allowance_of,
            distance=self._distance_to,
            clock=self.clock,
            rng=self.rng,
        )
        self.quota_client = QuotaClient(
            me=self.me,
            incarnation=incarnation,
            data_centre=data_centre,
            link=OwnerLink(
                me=self.me,
                data_centre=data_centre,
                shards=shards,
                members=self._local_members,
                leases=self.leases,
                service=self.quota_service,
                send_to_peer=self.peer_requests.send_quota_message,
                clock=self.clock,
            ),
            max_deadline=settings.limits_max_deadline,
            clock=self.clock,
            rng=self.rng,
        )

    def _build_calls(self) -> None:
        settings = self.settings
        descriptors, turns = self.descriptors, ReadingTurns()
        self.hosted = HostedCalls(
            clock=self.clock,
            client=self.target_client,
            quarantine=self.quarantine,
            publish_endpoint=self._publish_endpoint,
            ip=settings.http_address.partition(":")[0],
            queue_capacity=settings.limits_queue,
        )
        self.claim_store = self._build_store(settings.store_claim_rate)
        self.claims = Claims(
            daemon=self.me,
            store=self.claim_store,
            clock=self.clock,
            lookup=self.peer_requests.look_up_claim,
        )
        self.target_feed = TargetFeed(
            members=self.members,
            clock=self.clock,
            rng=self.rng,
            region_link_rate=settings.link_budget_mbit * 1e6 / 8,
        )
        self.router = CallRouter(
            clock=self.clock,
            rng=self.rng,
            versions=self.versions,
            quotas=self.quota_client,
            quarantine=self.quarantine,
            claims=self.claims,
            balancer=self.target_feed.balancer,
            forward=CallForwarder(
                me=self.me, pool=self.call_pool, hosted=self.hosted
            ).forward,
            max_deadline=settings.limits_max_deadline,
            max_calls=settings.limits_max_calls,
        )
        self.entry = EntryServer(
            handle_call=self.router.handle,
            apply_heartbeat=self.hosted.apply_heartbeat,
            max_body=settings.limits_max_body,
            body_seconds=settings.limits_max_deadline,
            memory=BodyMemory(limit=MAX_REQUEST_BODIES_BYTES),
            max_connections=descriptors.clients,
            max_refused=descriptors.refused,
            turns=turns,
        )
        self.admin = AdminServer(
            status=self._status_page,
            explain=lambda customer, service: explain_page(
                customer, service, versions=self.versions, members=self.members
            ),
            offer=self._offer_config,
            is_ready=lambda: self.versions.version > 0 and not self.entry.closing,
            json_pages={"/versions": self.version_times.page},
            cut_link=self.region_link.set_cut if self.region_link.active else None,
            max_connections=max(MIN_ADMIN_CONNECTIONS, descriptors.service),
            max_refused=descriptors.refused,
            turns=turns,
        )

    def _on_background_failure(self, error: BaseException) -> None:
        # Without this task the state of the daemon would become stale unnoticed, so it
        # stops and is restarted.
        logging.error("background task failed", exc_info=error)
        self._stop_after_failure()

    def _stop_after_failure(self) -> None:
        self.failed = True
        self.stopping.set()

    def _tick(self) -> None:
        """Do all periodic work and schedule the next tick.

        One timer is used instead of several sleeping tasks: each wake-up of the event
        loop costs about 0.1 ms of processor time, and a task needs two.
        """
        if self._stopped:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(TICK_SECONDS * self.rng.uniform(0.9, 1.1), self._tick)
        try:
            self.control.tick()
            self.target_feed.tick()
            self.quota_service.tick()
            self.quota_client.tick()
        except Exception:
            # Without the periodic work the state of the daemon would become stale
            # unnoticed, so it stops and is restarted.
            logging.exception("periodic work failed")
            self._stop_after_failure()
        self.version_times.record_version()
        self._ticks += 1
        if self._ticks % STORE_POLL_TICKS == 0 and self.control.attachment.is_poller:
            self._background.start_once("poll", self._poll_store)
        if self._ticks % MAINTENANCE_TICKS == 0:
            start_once = self._background.start_once
            start_once("directory", self.control.maintain_directory_once)
            start_once("leases", self.leases.run_once)

    async def _poll_store(self) -> None:
        await self.control.poll_store_once()
        self.version_times.record_version()

    async def _sweep_claims(self) -> None:
        """Remove old claims while this daemon is the head of its data centre."""
        while True:
            delay = SWEEP_RETRY_SECONDS
            if self.control.attachment.is_head:
                swept = await self.claims.sweep()
                if not isinstance(swept, StoreFailure):
                    delay = swept.pause
            await asyncio.sleep(delay * self.rng.uniform(0.9, 1.1))

    def _receive_control(self, link: LinkId, data: bytes) -> None:
        """Handle a control message; close the link if the message is malformed.

        A message of an unknown type is ignored: it comes from newer software.
        """
        try:
            message = messages.decode(data)
        except ProtocolError as error:
            metrics.MESSAGES_REFUSED.labels("malformed_control").inc()
            logging.warning(
                "closing control link %s after a malformed message: %s", link, error
            )
            self.control_links.close_link(link)
            return
        if message is not None:
            self.control.receive(link, message)
            self.version_times.record_version()

    def _publish_endpoint(self, change: EndpointChange) -> None:
        """Add, change or remove a target in this daemon's member record."""
        if change.state is TargetState.REMOVED:
            self._endpoint_by_target.pop(change.target, None)
        else:
            self._endpoint_by_target[change.target] = Endpoint(
                service=change.service,
                target_id=change.target,
                state=EndpointState(change.state.value),
                slots=change.slots,
                start_time_ms=int(change.start_time * 1000),
            )
        self.control.set_endpoints(tuple(self._endpoint_by_target.values()))

    def _local_members(self) -> list[DaemonId]:
        """Return the living members of the local data centre."""
        data_centre = DataCentre(self.settings.data_centre)
        return [record.id for record in self.members.living(data_centre)]

    def _distance_to(self, data_centre: DataCentre) -> float:
        """Return 0 for the local data centre, 1 for others in this region, else 2."""
        if data_centre == self.settings.data_centre:
            return 0.0
        in_this_region = any(
            record.region == self.settings.region
            for record in self.members.living(data_centre)
        )
        return 1.0 if in_this_region else 2.0

    def _allowance_of(self, key: QuotaKey) -> Allowance | None:
        """Return the allowance that the customer's plan has for a route, or None."""
        customer_id, service, path = key
        customer = self.versions.table.customer_by_id.get(customer_id)
        if customer is None:
            return None
        return self.versions.table.allowance_by_route.get(
            (customer.plan, service, path)
        )

    def _offer_config(self, data: bytes) -> None:
        """Offer the delta or snapshot in ``data`` to the control plane.

        Raises ``ProtocolError`` if it is neither.
        """
        change: Delta | Snapshot
        try:
            change = listcodec.decode_delta(data)
        except ProtocolError:
            change = listcodec.decode_snapshot(data)
        self.control.apply_offered_version(change)
        self.version_times.record_version()

    def _status_page(self) -> dict[str, Any]:
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
