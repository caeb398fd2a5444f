"""The target beside this daemon: its reports, its health and its published record."""

import asyncio
import logging
import sys
from collections.abc import Callable

from ...platform import health, reports
from ...platform.settings import SidecarSettings
from ..background import BackgroundTasks
from ..coordination.mesh.balancing import Fleet
from ..coordination.mesh.hosting import TargetDispatcher
from ..coordination.mesh.publishing import RecordPublisher
from ..coordination.mesh.registration import (
    HeartbeatVerdict,
    TargetHeartbeat,
    TargetRegistration,
)
from ..events import EventLog
from ..protocol.exchanges import ExchangeFailed, Exchanger
from ..protocol.http1 import HttpRequest, HttpResponse
from ..state.hosts import (
    HostRecord,
    Incarnation,
    TargetCrash,
    TargetState,
    encode_record,
)
from ..state.mesh_config import MeshConfig, MeshService

logger = logging.getLogger(__name__)

# A report may arrive seconds late; a daemon that runs for longer knows its target.
OLD_REPORTS_SECONDS = 15.0
# A health check waits for a slot like any request.
HEALTH_SECONDS = 1.0
# After a restart of everything the first report often comes before the configuration.
CONFIG_POLL_SECONDS = 0.05
# How long the acknowledgement of a leaving target waits for the store, well inside the
# second that a target allows. A daemon that is killed behind it then still knows.
ACKNOWLEDGE_SECONDS = 0.6
# Deaths of targets kept in the record; others learn of each one within seconds, and a
# daemon that starts needs the last ones only.
MAX_DEATHS = 2
# A target that misses this many reports in a row is taken for dead.
MISSED_REPORTS = 4


class OwnTarget:
    """Takes reports of the target, and keeps ``host`` and the own record in line."""

    def __init__(
        self,
        *,
        settings: SidecarSettings,
        config: Callable[[], MeshConfig | None],
        host: TargetDispatcher,
        fleet: Fleet,
        publisher: RecordPublisher,
        pool: Exchanger,
        events: EventLog,
    ) -> None:
        self._settings = settings
        self._config = config
        self._host = host
        self._fleet = fleet
        self._publisher = publisher
        self._pool = pool
        self._events = events
        self._loop = asyncio.get_running_loop()
        self._started_at = self._last_report = self._loop.time()
        self._background = BackgroundTasks(failed=self._background_failed)
        # The target that was reported last, also after it is gone.
        self._named: TargetHeartbeat | None = None
        self._published: tuple[Incarnation, TargetState] | None = None
        self._stopping = False
        self._deaths: tuple[TargetCrash, ...] = ()
        self._registration = TargetRegistration(
            address=str(settings.target),
            changed=self._target_changed,
            may_get_old_heartbeats=self._may_get_old_reports,
        )

    async def serve_report(self, request: HttpRequest) -> HttpResponse:
        """Take a report or the notice of the end of a target."""
        report = reports.decode_report(request)
        if isinstance(report, reports.MalformedReport):
            self._events.write("report_malformed", reason=report.reason)
            return HttpResponse(status=report.status)
        if isinstance(report, reports.TargetRemoved):
            verdict = self._registration.remove(report.target, report.born)
        else:
            verdict = self._registration.receive(report)
            if report.address == str(self._settings.target):
                self._last_report = self._loop.time()
        if (
            isinstance(report, TargetHeartbeat)
            and verdict is HeartbeatVerdict.UNCONFIRMED
        ):
            self._background.start(self._ask_target(report))
        elif verdict is HeartbeatVerdict.APPLIED:
            if self._registration.state is not TargetState.READY:
                await self._publisher.wait_until_stored(ACKNOWLEDGE_SECONDS)
        else:
            self._events.write(
                "report_ignored", target=report.target, verdict=verdict.value
            )
        return reports.ACKNOWLEDGED

    def recall(self, record: HostRecord) -> None:
        """Take over what a former life of this daemon has published."""
        known = dict.fromkeys((*record.crashes, *self._deaths))
        self._deaths = tuple(known)[-MAX_DEATHS:]
        report = self._registration.restore(record)
        if report is not None:
            self._background.start(self._ask_target(report))

    def target_died(self, death: TargetCrash) -> None:
        """Tell the others what a target of this VM ran when it died."""
        self._deaths = (*self._deaths, death)[-MAX_DEATHS:]
        current = self._registration.current
        if current is not None and current.incarnation == death.incarnation:
            self._registration.suspend()
        # Otherwise a new life is being taken, whose record is published next.

    def suspend(self) -> None:
        """Tell the others not to use the target while this daemon is away."""
        self._stopping = True
        if self._registration.state is TargetState.READY:
            self._publish(TargetState.SUSPENDED)

    async def watch(self) -> None:
        """Take a target that stopped reporting out of service, until cancelled."""
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
                self._registration.suspend()

    def _may_get_old_reports(self) -> bool:
        uptime = self._loop.time() - self._started_at
        return not self._settings.first_start and uptime < OLD_REPORTS_SECONDS

    async def _ask_target(self, report: TargetHeartbeat) -> None:
        """Take the target of ``report`` into service if it is not leaving."""
        service = await self._service_of(report)
        if service is None:
            return
        result = await self._pool.exchange(
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

    async def _service_of(self, report: TargetHeartbeat) -> MeshService | None:
        """Return the service of ``report`` once a configuration is known."""
        ends = self._loop.time() + OLD_REPORTS_SECONDS
        while self._loop.time() < ends:
            config = self._config()
            if config is not None:
                return config.service_by_name.get(report.service)
            await asyncio.sleep(CONFIG_POLL_SECONDS)
        return None

    def _background_failed(self, error: BaseException) -> None:
        logger.error("a question to the target failed", exc_info=error)
        self._events.write("background_failed", work="ask_target")

    def _target_changed(self, report: TargetHeartbeat | None) -> None:
        self._host.set_target(report)
        state = self._registration.state
        named = report if report is not None else self._named
        if named is None or (named.incarnation, state) == self._published:
            return
        self._named = named
        self._published = (named.incarnation, state)
        self._events.write("target_state", target=named.target, state=state.value)
        if not self._stopping:
            self._publish(state)

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
            start_time_ms=named.start_time_ms,
            slots=named.slots,
            state=state,
            link_mbps=int(settings.link_mbps),
            crashes=self._deaths,
        )
        # Newer than all that is stored: this daemon is the only writer of the record.
        self._fleet.update(record, sys.maxsize)
        self._publisher.set_wanted(encode_record(record))
