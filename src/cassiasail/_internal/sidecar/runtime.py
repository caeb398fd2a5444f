"""Parts of one sidecar daemon and how they are connected."""

import asyncio
import sys
from collections import Counter
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from ...exceptions import SettingsError
from ...platform import configuration, health, readiness, reports, requests
from ...platform.settings import SidecarSettings
from ...platform.table_store import TableStore
from .. import metrics
from ..coordination.mesh import peers
from ..coordination.mesh.balancing import Fleet, HostView
from ..coordination.mesh.budget import RetryBudget
from ..coordination.mesh.entry import Entry
from ..coordination.mesh.following import FollowTimes, TableFollower
from ..coordination.mesh.hosting import Host
from ..coordination.mesh.probing import SuspectProber
from ..coordination.mesh.publishing import RecordPublisher
from ..coordination.mesh.registration import (
    ReportVerdict,
    TargetRegistration,
    TargetReport,
)
from ..events import EventLog
from ..ids import TargetId
from ..protocol import peer_calls, table_sync
from ..protocol.exchanges import Address, ExchangeFailed
from ..protocol.http1 import HttpRequest, HttpResponse
from ..state.calls import HostedCall, HostReply
from ..state.hosts import HostRecord, TargetState, decode_record, encode_record
from ..state.mesh_config import ConfigRejected, MeshConfig
from ..state.table_mirror import StoredRow
from ..transport.http1.pool import ConnectionPool
from ..transport.http1.server import ConnectionLimits, HttpServer

# The table in which the daemons publish their records.
HOSTS_TABLE = "hosts"
METRICS_PATH = b"/metrics"

# Opening a connection takes one round trip, 24 ms between regions; the rest is for a
# lost packet or a busy machine.
PEER_CONNECT_SECONDS = 0.4
# A peer that acknowledges nothing for this long is taken for lost; several lost
# packets in a row stay below it.
PEER_SILENCE_SECONDS = 1.2
PEER_IDLE_SECONDS = 20.0
# The listener of the peers keeps connections longer than the peers do.
PEER_SERVER_IDLE_SECONDS = 30.0
TARGET_CONNECT_SECONDS = 0.5
TARGET_SILENCE_SECONDS = 1.0
TARGET_IDLE_SECONDS = 60.0
STORE_CONNECT_SECONDS = 0.5
STORE_SILENCE_SECONDS = 1.0
STORE_IDLE_SECONDS = 5.0
# Parts of the time within which a configuration must be in force. One call waits for
# changes this long, so an answer that is lost on its way is noticed soon enough; older
# knowledge of a relay is not relied on.
CONFIG_WAIT_SHARE = 0.5
CONFIG_AGE_SHARE = 0.75
# Targets tell by themselves that they leave; the table brings new ones.
HOSTS_WAIT_SECONDS = 3.0
HOSTS_AGE_SECONDS = 4.0
# A report may arrive seconds late; a daemon that runs for longer knows its target.
OLD_REPORTS_SECONDS = 15.0
# A health check waits for a slot like any request.
HEALTH_SECONDS = 1.0
# A target that misses this many reports in a row is taken for dead.
MISSED_REPORTS = 4
# The daemon exits this long before it would be killed, even with requests in flight.
KILL_MARGIN_SECONDS = 0.25
# Clients learn of the end from two missed questions, one a second; until then they may
# still connect. Whoever comes later could not be served to the end.
LINGER_SECONDS = 2.6
POLL_SECONDS = 0.05


class SidecarRuntime:
    """One daemon: its listeners, beliefs and background tasks."""

    def __init__(self, *, settings: SidecarSettings, events: EventLog) -> None:
        self._settings = settings
        self._events = events
        self._loop = asyncio.get_running_loop()
        self._random = Random()
        self._config: MeshConfig | None = None
        self._limits = ConnectionLimits()
        self._stopping = False
        self._refusing = False
        self._started_at = self._last_report = self._loop.time()
        self._background_tasks: set[asyncio.Task[None]] = set()
        # The target that was reported last, also after it is gone.
        self._named: TargetReport | None = None
        self._published: tuple[TargetId, int, TargetState] | None = None
        self._build_pools()
        self._tables = TableStore(address=settings.store, pool=self._store_pool)
        self._host = Host(
            pool=self._target_pool, codec=requests.TARGET_CODEC, events=events
        )
        self._registration = TargetRegistration(
            address=str(settings.target),
            changed=self._target_changed,
            cautious=self._may_get_old_reports,
        )
        self._fleet = Fleet(
            data_centre=settings.data_centre,
            region=settings.region,
            own_address=str(settings.peers),
            random=self._random,
        )
        self._prober = SuspectProber(
            pool=self._peer_pool, events=events, random=self._random
        )
        self._budget = RetryBudget(
            ratio=settings.retry_ratio,
            slack=settings.retry_slack,
            window=settings.retry_window,
        )
        self._entry = Entry(
            config=lambda: self._config,
            fleet=self._fleet,
            budget=self._budget,
            ask=self._ask,
            suspect=self._prober.suspect,
            events=events,
            random=self._random,
        )
        self._build_store_tasks()
        self._build_servers()
        self._tasks: list[asyncio.Task[None]] = []

    def _build_pools(self) -> None:
        self._peer_pool = ConnectionPool(
            connect_timeout=PEER_CONNECT_SECONDS,
            silence=PEER_SILENCE_SECONDS,
            idle=PEER_IDLE_SECONDS,
        )
        self._target_pool = ConnectionPool(
            connect_timeout=TARGET_CONNECT_SECONDS,
            silence=TARGET_SILENCE_SECONDS,
            idle=TARGET_IDLE_SECONDS,
        )
        self._store_pool = ConnectionPool(
            connect_timeout=STORE_CONNECT_SECONDS,
            silence=STORE_SILENCE_SECONDS,
            idle=STORE_IDLE_SECONDS,
        )

    def _build_store_tasks(self) -> None:
        self._publisher = RecordPublisher(
            tables=self._tables,
            table=HOSTS_TABLE,
            key=self._settings.host,
            events=self._events,
            random=self._random,
        )
        apply = self._settings.config_apply
        self._hosts_follower = self._follower(
            HOSTS_TABLE,
            FollowTimes(wait=HOSTS_WAIT_SECONDS, max_age=HOSTS_AGE_SECONDS),
            self._host_row_changed,
        )
        self._config_follower = self._follower(
            configuration.TABLE,
            FollowTimes(
                wait=CONFIG_WAIT_SHARE * apply, max_age=CONFIG_AGE_SHARE * apply
            ),
            self._config_row_changed,
            starts_after=self._hosts_follower.read_once,
        )
        self._follower_by_table = {
            configuration.TABLE: self._config_follower,
            HOSTS_TABLE: self._hosts_follower,
        }

    def _follower(
        self,
        table: str,
        times: FollowTimes,
        changed: Callable[[StoredRow], None],
        starts_after: asyncio.Event | None = None,
    ) -> TableFollower:
        return TableFollower(
            tables=self._tables,
            table=table,
            pool=self._peer_pool,
            times=times,
            peers=lambda: self._fleet.relay_order(self._settings.host),
            changed=changed,
            unreachable=self._peer_unreachable,
            events=self._events,
            random=self._random,
            starts_after=starts_after,
        )

    def _build_servers(self) -> None:
        peer_limits = ConnectionLimits(idle_seconds=PEER_SERVER_IDLE_SECONDS)
        self._clients_server = HttpServer(
            handler=self._serve_client, limits=lambda: self._limits
        )
        self._peers_server = HttpServer(
            handler=self._serve_peer, limits=lambda: peer_limits
        )
        self._reports_server = HttpServer(
            handler=self._serve_report, limits=lambda: peer_limits
        )
        self._metrics_server = HttpServer(
            handler=self._serve_metrics, limits=lambda: peer_limits
        )
        self._readiness_server = HttpServer(
            handler=self._serve_readiness, limits=lambda: peer_limits
        )

    @property
    def ready(self) -> bool:
        """Whether clients should come to this daemon."""
        return (
            not self._stopping
            and self._config is not None
            and self._hosts_follower.read_once.is_set()
        )

    async def start(self, metrics_port: int | None) -> None:
        """Open the listeners and follow the store."""
        settings = self._settings
        if metrics_port is not None:
            await self._metrics_server.start(settings.address, metrics_port)
        for server, address in (
            (self._readiness_server, settings.readiness),
            (self._reports_server, settings.reports),
            (self._peers_server, settings.peers),
            (self._clients_server, settings.clients),
        ):
            await server.start(address.host, address.port)
        self._tasks = [
            asyncio.create_task(self._config_follower.run()),
            asyncio.create_task(self._hosts_follower.run()),
            asyncio.create_task(self._publisher.run()),
            asyncio.create_task(self._watch_reports()),
        ]
        self._events.write(
            "started",
            host=settings.host,
            data_centre=settings.data_centre,
            service=settings.service,
        )

    async def stop(self) -> None:
        """Take nothing new, finish what is in flight, and close everything."""
        started = self._loop.time()
        self._stopping = True
        self._events.write("stopping", in_flight=self._in_flight())
        self._host.stop_admitting()
        if self._registration.state is TargetState.READY:
            self._publish(TargetState.SUSPENDED)
        for follower in self._follower_by_table.values():
            follower.stop()
        self._clients_server.drain()
        self._peers_server.drain()
        ends = started + self._settings.grace - KILL_MARGIN_SECONDS
        await asyncio.sleep(min(LINGER_SECONDS, ends - started))
        self._refusing = True
        self._clients_server.close_listener()
        while self._in_flight() and self._loop.time() < ends:
            await asyncio.sleep(POLL_SECONDS)
        self._events.write(
            "stopped",
            in_flight=self._in_flight(),
            took_ms=int((self._loop.time() - started) * 1000),
        )
        for server in (self._clients_server, self._peers_server):
            await server.stop()
        for task in self._tasks:
            task.cancel()
        self._prober.stop()
        # What was written last needs a moment to leave.
        await asyncio.sleep(POLL_SECONDS)

    def reload(self, settings: SidecarSettings) -> None:
        """Take over changed settings as far as a running daemon can."""
        if settings.clients != self._settings.clients:
            raise SettingsError(["the listening addresses changed; restart the daemon"])
        self._settings = settings
        self._budget.configure(
            ratio=settings.retry_ratio,
            slack=settings.retry_slack,
            window=settings.retry_window,
        )
        self._events.write("reloaded", service=settings.service)

    def _in_flight(self) -> int:
        return self._clients_server.active + self._peers_server.active

    # Requests.

    async def _serve_client(self, request: HttpRequest) -> HttpResponse:
        call = requests.decode_request(request, caller=self._settings.service)
        if self._refusing:
            return requests.encode_answer(self._entry.refuse(call), call.attempt)
        return requests.encode_answer(await self._entry.serve(call), call.attempt)

    async def _serve_peer(self, request: HttpRequest) -> HttpResponse:
        query = table_sync.decode_query(request)
        if query is not None:
            return await self._serve_table(query)
        hosted = peer_calls.decode_call(request)
        if hosted is None:
            return HttpResponse(status=400)
        return peer_calls.encode_reply(await self._host.run(hosted))

    async def _serve_table(self, query: table_sync.SyncQuery) -> HttpResponse:
        follower = self._follower_by_table.get(query.table)
        if follower is None:
            return HttpResponse(status=404)
        return table_sync.encode_reply(await follower.serve(query))

    async def _ask(self, view: HostView, hosted: HostedCall) -> HostReply:
        if view.record.host == self._settings.host:
            return await self._host.run(hosted)
        return await peers.ask(self._peer_pool, view.address, hosted)

    def _peer_unreachable(self, address: Address) -> None:
        for view in self._fleet.view_by_host.values():
            if view.address == address:
                self._prober.suspect(view, "peer_unreachable")

    async def _serve_readiness(self, request: HttpRequest) -> HttpResponse:
        return readiness.answer_readiness(request, ready=self.ready)

    async def _serve_metrics(self, request: HttpRequest) -> HttpResponse:
        if request.target.partition(b"?")[0] != METRICS_PATH:
            return HttpResponse(status=404)
        self._set_gauges()
        content_type = (b"content-type", CONTENT_TYPE_LATEST.encode())
        body = generate_latest(metrics.REGISTRY)
        return HttpResponse(status=200, headers=(content_type,), body=body)

    def _set_gauges(self) -> None:
        if self._config is not None:
            metrics.VERSION.set(self._config.version)
            for service in self._config.service_by_name:
                left = self._budget.left(service, len(self._fleet.view_by_host))
                metrics.MESH_RETRY_BUDGET.labels(service).set(left)
        load = self._host.load()
        for use in ("running", "waiting", "slots"):
            metrics.MESH_TARGET_SLOTS.labels(use).set(getattr(load, use))
        for table, follower in self._follower_by_table.items():
            metrics.MESH_TABLE_AGE.labels(table).set(follower.age)
        states = Counter(
            view.record.state for view in self._fleet.view_by_host.values()
        )
        for state in TargetState:
            metrics.MESH_HOSTS.labels(state.value).set(states[state])

    # The target beside this daemon.

    async def _serve_report(self, request: HttpRequest) -> HttpResponse:
        report = reports.decode_report(request)
        if isinstance(report, reports.MalformedReport):
            self._events.write("report_malformed", reason=report.reason)
            return HttpResponse(status=report.status)
        if isinstance(report, reports.TargetRemoved):
            verdict = self._registration.remove(report.target, report.born)
        else:
            verdict = self._registration.report(report)
            if report.address == str(self._settings.target):
                self._last_report = self._loop.time()
        if isinstance(report, TargetReport) and verdict is ReportVerdict.UNCONFIRMED:
            self._background(self._ask_target(report))
        elif verdict is not ReportVerdict.TAKEN:
            self._events.write(
                "report_ignored", target=report.target, verdict=verdict.value
            )
        return reports.ACKNOWLEDGED

    def _may_get_old_reports(self) -> bool:
        uptime = self._loop.time() - self._started_at
        return not self._settings.first_start and uptime < OLD_REPORTS_SECONDS

    async def _ask_target(self, report: TargetReport) -> None:
        """Take the target of ``report`` into service if it is not leaving."""
        config = self._config
        service = config.service_by_name.get(report.service) if config else None
        if service is None:
            return
        result = await self._target_pool.exchange(
            self._settings.target,
            health.encode_question(service.health_path, report.address),
            timeout=HEALTH_SECONDS,
        )
        if isinstance(result, ExchangeFailed):
            said = result.reason.value
        else:
            answer = health.decode_health(result)
            said = "fit" if answer.fit else "unfit"
            if answer.fit and answer.target == report.target:
                self._registration.confirm(report)
        self._events.write("target_asked", target=report.target, said=said)

    def _background(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        # The loop itself keeps only a weak reference.
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    def _target_changed(self, report: TargetReport | None) -> None:
        self._host.set_target(report)
        state = self._registration.state
        named = report if report is not None else self._named
        if named is None or (named.target, named.born, state) == self._published:
            return
        self._named = named
        self._published = (named.target, named.born, state)
        self._events.write("target_state", target=named.target, state=state.value)
        if not self._stopping:
            self._publish(state)

    async def _watch_reports(self) -> None:
        interval = self._settings.report_interval
        while True:
            await asyncio.sleep(interval)
            silent = self._loop.time() - self._last_report
            known = self._registration.current
            if known is None or known.leaving:
                continue
            if silent > MISSED_REPORTS * interval:
                self._events.write(
                    "target_silent", target=known.target, silent_ms=int(silent * 1000)
                )
                self._registration.lose()

    def _publish(self, state: TargetState) -> None:
        settings, named = self._settings, self._named
        if named is None:
            return
        record = HostRecord(
            host=settings.host,
            address=str(settings.peers),
            data_centre=settings.data_centre,
            region=settings.region,
            service=named.service,
            target=named.target,
            born=named.born,
            slots=named.slots,
            state=state,
            link_mbps=int(settings.link_mbps),
        )
        # Newer than all that is stored: this daemon is the only writer of the record.
        self._fleet.update(record, sys.maxsize)
        self._publisher.want(encode_record(record))

    # What the store says.

    def _config_row_changed(self, row: StoredRow) -> None:
        if row.key != configuration.KEY or row.deleted:
            return
        config = configuration.decode_configuration(row.value)
        if isinstance(config, ConfigRejected):
            self._events.write("config_rejected", faults=config.faults[:5])
            return
        if self._config is not None and config.version <= self._config.version:
            if config.version < self._config.version:
                self._events.write(
                    "config_older",
                    version=config.version,
                    in_force=self._config.version,
                )
            return
        self._config = config
        limits = config.limits
        self._limits = ConnectionLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_seconds=limits.header_seconds,
            idle_seconds=limits.idle_seconds,
        )
        self._events.write(
            "config_taken", version=config.version, routes=len(config.routes)
        )

    def _host_row_changed(self, row: StoredRow) -> None:
        if row.key == self._settings.host:
            self._own_row_changed(row)
            return
        record = None if row.deleted else decode_record(row.key, row.value)
        if record is None:
            self._fleet.remove(row.key)
            if not row.deleted:
                self._events.write("record_malformed", host=row.key)
            return
        self._fleet.update(record, row.version)
        self._events.write(
            "host_learnt",
            host=row.key,
            service=record.service,
            target=record.target,
            state=record.state.value,
        )

    def _own_row_changed(self, row: StoredRow) -> None:
        self._publisher.observe(row)
        record = None if row.deleted else decode_record(row.key, row.value)
        if record is None or record.host in self._fleet.view_by_host:
            return
        # Written by a former life of this daemon.
        self._registration.recall(record)
