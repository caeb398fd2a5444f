"""The host daemon of a target that crashes, with real connections."""

import asyncio

from cassiasail._internal.clock import SystemClock
from cassiasail._internal.coordination.quarantine import Quarantine
from cassiasail._internal.protocol.frames import CallHead
from cassiasail._internal.state.refusals import Refusal
from cassiasail._internal.transport.hosted_calls import HostedCalls
from cassiasail._internal.transport.target_http import TargetClient

FINGERPRINT = b"0123456789abcdef"
HEAD = CallHead(
    target="t-1",
    service="one",
    route="/x",
    customer="c",
    call_class="lookup",
    method="GET",
    path="/x",
    headers=[],
    remaining=2.0,
    attempt=1,
    depth=0,
    fingerprint=FINGERPRINT,
    idempotent=True,
    body_length=0,
)


def test_crash_is_recorded_before_its_call_is_refused() -> None:
    """Guards against a call that crashes a second target before it is quarantined.

    Seen in test_crash.py under load: the entry daemon forwarded the call to another
    target while the host daemon of the first one was still probing its port.
    """

    async def main() -> None:
        clock = SystemClock()
        quarantine = Quarantine(clock=clock, publish=lambda notice: None)
        client = TargetClient()
        calls = HostedCalls(
            clock=clock,
            client=client,
            quarantine=quarantine,
            publish_endpoint=lambda change: None,
            ip="127.0.0.1",
            queue_capacity=10,
        )

        async def crash(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            server.close()
            writer.transport.abort()

        server = await asyncio.start_server(crash, "127.0.0.1", 0)
        heartbeat = {
            "service": "one",
            "port": server.sockets[0].getsockname()[1],
            "slots": 4,
            "state": "ready",
            "started": 1.0,
        }
        assert calls.apply_heartbeat("t-1", heartbeat) is None
        result = await calls.serve(HEAD, b"")
        assert isinstance(result, Refusal)
        assert quarantine.check(FINGERPRINT) is not None
        await client.close()

    asyncio.run(main())
