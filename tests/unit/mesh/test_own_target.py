"""Heartbeats that reach a daemon some time after its start."""

import asyncio
import json
from pathlib import Path
from random import Random

from cassiasail._internal.awake_clock import AwakeClock
from cassiasail._internal.coordination.mesh.balancing import Fleet
from cassiasail._internal.coordination.mesh.publishing import RecordPublisher
from cassiasail._internal.ids import DaemonStart
from cassiasail._internal.protocol.exchanges import Address
from cassiasail._internal.protocol.http1 import HttpRequest, HttpResponse
from cassiasail._internal.sidecar.own_target import OLD_HEARTBEATS_SECONDS, OwnTarget
from cassiasail.platform import heartbeats
from cassiasail.platform.settings import decode_settings
from devtools.platform_stand_in import PlatformStore, Sidecar
from devtools.virtual_loop import VirtualLoop
from tests.lib.events import null_event_log
from tests.lib.meshes import ROUTE, config_of
from tests.unit.mesh.test_hosting import FakeTargetPool, dispatcher_for

HEARTBEAT_ADDRESS = "127.0.0.1:8080"


class OwnTargetRun:
    """One target of service one and its daemon, restarted at time 0."""

    def __init__(self, directory: Path, *, health_status: int) -> None:
        sidecar = Sidecar(store=PlatformStore(), name="vm", service="one")
        sidecar.address_by_use["target"] = Address("127.0.0.1", 8080)
        settings = decode_settings(sidecar.write_settings(directory).read_bytes())
        headers = ((b"x-cassiasail-instance-id", b"i-1"),)
        self.pool = FakeTargetPool(
            result=HttpResponse(status=health_status, headers=headers)
        )
        self.awake = AwakeClock()
        self.ticking = asyncio.create_task(self.awake.run())
        events = null_event_log()
        self.fleet = Fleet(
            data_centre=settings.data_centre,
            region=settings.region,
            own_host=settings.host,
            own_address=settings.peers_address,
            own_link_mbps=100,
            random=Random(1),
        )
        self.own_target = OwnTarget(
            settings=settings,
            config_once_loaded=lambda: config_of(ROUTE),
            dispatcher=dispatcher_for(self.pool),
            fleet=self.fleet,
            publisher=RecordPublisher(
                tables=None,  # type: ignore[arg-type]
                table="hosts",
                key=settings.host,
                events=events,
                random=Random(1),
            ),
            pool=self.pool,  # type: ignore[arg-type]
            daemon_start=DaemonStart("started"),
            awake=self.awake,
            events=events,
        )

    async def receive_heartbeat(self) -> HttpResponse:
        document = {
            "address": HEARTBEAT_ADDRESS,
            "born": 1,
            "details": {"service": "one", "capacity": 4},
            "status": {"state": "ready", "sequence": 1, "coldLeftMs": 0},
        }
        return await self.own_target.serve_heartbeat(
            HttpRequest(
                method=b"PUT",
                target=b"/v1/instances/i-1",
                headers=(),
                body=json.dumps(document).encode(),
            )
        )

    @property
    def in_service(self) -> bool:
        return "vm" in self.fleet.view_by_host


def play(
    directory: Path, *, uptime: float = 1, pause: float = 0, health_status: int
) -> bool:
    """Return whether a target is in service after its heartbeat.

    The daemon runs for ``uptime`` seconds and then stands still for ``pause`` seconds,
    in which the heartbeat waits unread.
    """

    async def main() -> bool:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        target = OwnTargetRun(directory, health_status=health_status)
        await asyncio.sleep(uptime)
        loop.advance(pause)
        response = await target.receive_heartbeat()
        assert response == heartbeats.ACKNOWLEDGED
        await asyncio.sleep(2)
        target.ticking.cancel()
        return target.in_service

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main())


def test_heartbeat_that_waited_while_a_daemon_stood_still_is_confirmed_first(
    tmp_path: Path,
) -> None:
    """Guards against a leaving target that an old heartbeat puts back into service.

    Its daemon restarts after it acknowledged that the target leaves, and then stands
    still for longer than heartbeats are late otherwise.
    """
    pause = OLD_HEARTBEATS_SECONDS + 5
    assert not play(tmp_path, pause=pause, health_status=503)
    assert play(tmp_path, pause=pause, health_status=200)


def test_heartbeat_long_after_a_start_needs_no_confirmation(tmp_path: Path) -> None:
    """Guards against targets that stay out of service while they are overloaded."""
    uptime = OLD_HEARTBEATS_SECONDS + 1
    assert play(tmp_path, uptime=uptime, health_status=503)
