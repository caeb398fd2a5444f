"""The target beside this daemon: heartbeats, health checks and published record."""

import asyncio
import logging
import sys
from collections.abc import Callable

from ...platform import health, heartbeats, requests
from ...platform.settings import SidecarSettings
from .. import metrics
from ..awake_clock import AwakeClock
from ..background import BackgroundTasks
from ..coordination.mesh.balancing import Fleet
from ..coordination.mesh.hosting import TargetDispatcher
from ..coordination.mesh.published_crashes import PublishedCrashes
from ..coordination.mesh.publishing import RecordPublisher
from ..coordination.mesh.registration import (
    HeartbeatVerdict,
    TargetHeartbeat,
    TargetRegistration,
)
from ..events import EventLog
from ..ids import DaemonStart
from ..protocol.exchanges import (
    NEW_CONNECTION,
    ExchangeFailed,
    Exchanger,
    ResponseMatch,
    match_attempt,
)
from ..protocol.http1 import HttpRequest, HttpResponse
from ..state.fingerprints import Fingerprint
from ..state.hosts import (
    HostRecord,
    Incarnation,
    TargetCrash,
    TargetState,
    encode_record,
)
from ..state.mesh_config import MeshConfig, MeshService
from ..state.table_mirror import StoreVersion

logger = logging.getLogger(__name__)

# Heartbeats may arrive seconds late. For this long after a restart, a daemon may
# receive some that were sent before the restart; later, it has the current state.
OLD_HEARTBEATS_SECONDS = 15.0
# A health check may wait for a slot in the target like any request.
HEALTH_CHECK_TIMEOUT_SECONDS = 1.0
# When all processes restart together, the first heartbeat often arrives before the
# configuration.
CONFIG_POLL_INTERVAL_SECONDS = 0.05
# How long the acknowledgement of a leaving target is delayed until the store holds the
# new state. It is well below the second that a target allows. If the daemon is killed
# after the acknowledgement, its next incarnation finds the state in the store.
ACKNOWLEDGE_TIMEOUT_SECONDS = 0.6
# Requests that are answered within this time of each other after a crash are taken out
# of the record in one write.
ACQUIT_BATCH_SECONDS = 1.0
# A target that misses this many heartbeats in a row is taken out of service.
MAX_MISSED_HEARTBEATS = 4
# Version of the record of this VM in the fleet of its own daemon. It is newer than
# every stored one, because only this daemon writes the record.
OWN_RECORD_VERSION = StoreVersion(era=sys.maxsize, number=sys.maxsize)


class OwnTarget:
    """Applies heartbeats of the target to ``dispatcher`` and the record of this VM.

    Serves the heartbeat address, checks the health of targets whose heartbeat needs
    confirmation, and publishes each change of the state of the target.
    """

    def __init__(
        self,
        *,
        settings: SidecarSettings,
        config_once_loaded: Callable[[], MeshConfig | None],
        dispatcher: TargetDispatcher,
        fleet: Fleet,
        publisher: RecordPublisher,
        pool: Exchanger,
        daemon_start: DaemonStart,
        awake: AwakeClock,
        events: EventLog,
    ) -> None:
        self._settings = settings
        self._daemon_start = daemon_start
        self._awake = awake
        self._config_once_loaded = config_once_loaded
        self._dispatcher = dispatcher
        self._fleet = fleet
        self._publisher = publisher
        self._pool = pool
        self._events = events
        self._loop = asyncio.get_running_loop()
        self._started_at = awake.now()
        self._last_heartbeat_at = self._loop.time()
        self._background = BackgroundTasks(failed=self._health_check_failed)
        # Last heartbeat that was applied; kept after its target has ended.
        self._last_applied: TargetHeartbeat | None = None
        self._published_state: tuple[Incarnation, TargetState] | None = None
        self._stopping = False
        self._crashes = PublishedCrashes(now=self._loop.time)
        self._acquit_timer: asyncio.TimerHandle | None = None
        self._registration = TargetRegistration(
            address=settings.target_address,
            changed=self._target_changed,
            may_get_old_heartbeats=self._may_get_old_heartbeats,
        )

    async def serve_heartbeat(self, request: HttpRequest) -> HttpResponse:
        """Apply a heartbeat or the removal of a target and return the acknowledgement.

        If the target accepts no new requests afterwards, the acknowledgement waits
        until the store holds its new state, for at most
        ``ACKNOWLEDGE_TIMEOUT_SECONDS``.
        """
        message = heartbeats.decode_heartbeat(request)
        if isinstance(message, TargetHeartbeat) and not self._is_known_service(message):
            message = heartbeats.MalformedHeartbeat(
                status=400, reason="service is not configured"
            )
        if isinstance(message, heartbeats.MalformedHeartbeat):
            metrics.MESH_ENTRIES_REFUSED.labels("heartbeat").inc()
            self._events.write("report_malformed", reason=message.reason)
            return HttpResponse(status=message.status)
        if isinstance(message, heartbeats.TargetRemoval):
            verdict = self._registration.remove(message.target, message.start_time_ms)
        else:
            verdict = self._registration.receive(message)
            if message.address == self._settings.target_address:
                self._last_heartbeat_at = self._loop.time()
        if (
            isinstance(message, TargetHeartbeat)
            and verdict is HeartbeatVerdict.UNCONFIRMED
        ):
            self._background.start(self._check_health(message))
        elif verdict is HeartbeatVerdict.APPLIED:
            if self._registration.state is not TargetState.READY:
                await self._publisher.wait_until_stored(ACKNOWLEDGE_TIMEOUT_SECONDS)
        else:
            self._events.write(
                "report_ignored", target=message.target, verdict=verdict.value
            )
        return heartbeats.ACKNOWLEDGED

    def _is_known_service(self, heartbeat: TargetHeartbeat) -> bool:
        """Return whether the configuration in force names the service.

        A target that leaves is believed in any case: its service may be removed first.
        """
        config = self._config_once_loaded()
        if config is None or heartbeat.leaving:
            return True
        return heartbeat.service in config.service_by_name

    def apply_stored_record(self, record: HostRecord) -> None:
        """Apply the record that an earlier incarnation of this daemon published.

        Keeps the crashes in it. If its target may be used again, a health check
        confirms that, so that the target is in service before its next heartbeat.
        """
        self._crashes.restore(record.crashes)
        heartbeat = self._registration.restore(record)
        if heartbeat is not None:
            self._background.start(self._check_health(heartbeat))

    def record_crash(self, crash: TargetCrash) -> None:
        """Add ``crash`` to the published record; take the target out of service."""
        self._crashes.add(crash)
        current = self._registration.current
        if current is not None and current.incarnation == crash.incarnation:
            self._registration.suspend()
        # Otherwise a new incarnation is being registered; the record that is published
        # for it includes this crash.

    def acquit(self, fingerprint: Fingerprint) -> None:
        """Take an answered request out of the published crashes."""
        if self._crashes.acquit(fingerprint) and self._acquit_timer is None:
            self._acquit_timer = self._loop.call_later(
                ACQUIT_BATCH_SECONDS, self._publish_crashes
            )

    def _publish_crashes(self) -> None:
        """Publish the record again because its crashes have changed."""
        self._acquit_timer = None
        if not self._stopping:
            self._publish(self._registration.state)

    def mark_leaving(self, incarnation: Incarnation) -> None:
        """Take a target out of service whose response states that it is leaving."""
        self._registration.leave(incarnation)

    def publish_suspended(self) -> None:
        """Publish a ready target as suspended because this daemon stops.

        Later state changes are not published.
        """
        self._stopping = True
        if self._registration.state is TargetState.READY:
            self._publish(TargetState.SUSPENDED)

    async def monitor_heartbeats(self) -> None:
        """Take targets that missed heartbeats out of service; run until cancelled."""
        interval = self._settings.heartbeat_interval_seconds
        checked_at = self._loop.time()
        while True:
            await asyncio.sleep(interval)
            now = self._loop.time()
            # While this process did not run, it read no heartbeats. They are waiting.
            paused = now - checked_at - interval
            checked_at = now
            self._last_heartbeat_at = min(now, self._last_heartbeat_at + paused)
            if self._crashes.expire():
                self._publish_crashes()
            elapsed = now - self._last_heartbeat_at
            current = self._registration.current
            if current is None or current.leaving:
                continue
            if elapsed > MAX_MISSED_HEARTBEATS * interval:
                self._events.write(
                    "target_silent",
                    target=current.target,
                    silent_ms=int(elapsed * 1000),
                )
                self._registration.suspend()

    def _may_get_old_heartbeats(self) -> bool:
        """Whether heartbeats from before a restart of this daemon may still arrive.

        While this process stands still, a heartbeat waits unread and grows older.
        """
        uptime = self._awake.now() - self._started_at
        return not self._settings.first_start and uptime < OLD_HEARTBEATS_SECONDS

    async def _check_health(self, heartbeat: TargetHeartbeat) -> None:
        """Check the health of the target and confirm ``heartbeat`` if it is healthy.

        It stays unconfirmed if another target responds at the address.
        """
        service = await self._wait_for_service(heartbeat)
        if service is None:
            return
        result = await self._pool.exchange(
            self._settings.target_address,
            health.encode_health_check(service.health_path, str(heartbeat.address)),
            timeout=HEALTH_CHECK_TIMEOUT_SECONDS,
            match=_match_health_check,
            max_idle=NEW_CONNECTION,
        )
        if isinstance(result, ExchangeFailed):
            outcome = result.reason.value
        else:
            status = health.decode_health(result)
            outcome = "fit" if status.healthy else "unfit"
            if status.healthy and status.target == heartbeat.target:
                self._registration.confirm(heartbeat)
        self._events.write("target_asked", target=heartbeat.target, said=outcome)

    async def _wait_for_service(self, heartbeat: TargetHeartbeat) -> MeshService | None:
        """Wait for a configuration and return the service of ``heartbeat`` in it.

        Also waits for the record that this daemon stored before a restart, because a
        target may pass its health check while it is leaving. Returns None if the
        service is not configured or no configuration arrives.
        """
        deadline = self._loop.time() + OLD_HEARTBEATS_SECONDS
        while self._loop.time() < deadline:
            config = self._config_once_loaded()
            if config is not None:
                return config.service_by_name.get(heartbeat.service)
            await asyncio.sleep(CONFIG_POLL_INTERVAL_SECONDS)
        return None

    def _health_check_failed(self, error: BaseException) -> None:
        logger.error(
            "the health check of the target failed unexpectedly", exc_info=error
        )
        self._events.write("background_failed", work="ask_target")

    def _target_changed(self, heartbeat: TargetHeartbeat | None) -> None:
        """Pass the target to the dispatcher; publish its state if it changed."""
        self._dispatcher.set_target(heartbeat)
        state = self._registration.state
        applied = heartbeat if heartbeat is not None else self._last_applied
        if applied is None or (applied.incarnation, state) == self._published_state:
            return
        self._last_applied = applied
        self._published_state = (applied.incarnation, state)
        self._events.write("target_state", target=applied.target, state=state.value)
        if not self._stopping:
            self._publish(state)

    def _publish(self, state: TargetState) -> None:
        """Publish the record of this VM, with the last applied target in ``state``."""
        settings, applied = self._settings, self._last_applied
        if applied is None:
            return
        record = HostRecord(
            host=settings.host,
            address=settings.peers_address,
            data_centre=settings.data_centre,
            region=settings.region,
            service=applied.service,
            target=applied.target,
            start_time_ms=applied.start_time_ms,
            slots=applied.slots,
            state=state,
            link_mbps=int(settings.link_mbps),
            crashes=self._crashes.crashes,
            daemon_start=self._daemon_start,
        )
        self._fleet.update(record, OWN_RECORD_VERSION)
        self._publisher.set_wanted(encode_record(record))


def _match_health_check(response: HttpResponse) -> ResponseMatch:
    """Return whether ``response`` may belong to a health check, which has no id."""
    return match_attempt(requests.TARGET_CODEC.attempt_id_of(response), "")
