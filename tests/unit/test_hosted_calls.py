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


class Crash:
    """How a target ends while it has a call: what its handler of a connection does."""

    def __init__(self, *, accepts_after_reset: int = 0, survives: bool = False) -> None:
        self.server: asyncio.Server | None = None
        self._accepts_after_reset = accepts_after_reset
        self._survives = survives
        self._connections = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Reset the call; close the listener after some more connections, or never."""
        assert self.server is not None
        self._connections += 1
        if self._connections == 1:
            await reader.readuntil(b"\r\n\r\n")
        elif self._survives:
            await reader.read()
        else:
            await asyncio.sleep(0.01)
        if self._connections > self._accepts_after_reset and not self._survives:
            self.server.close()
        writer.transport.abort()


def run_call(crash: Crash) -> tuple[Refusal, Quarantine]:
    """Run a call on a target with this behaviour; return the result and the records."""

    async def main() -> tuple[Refusal, Quarantine]:
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
        crash.server = await asyncio.start_server(crash.serve, "127.0.0.1", 0)
        heartbeat = {
            "service": "one",
            "port": crash.server.sockets[0].getsockname()[1],
            "slots": 4,
            "state": "ready",
            "started": 1.0,
        }
        assert calls.apply_heartbeat("t-1", heartbeat) is None
        result = await calls.serve(HEAD, b"")
        assert isinstance(result, Refusal)
        await client.close()
        crash.server.close()
        return result, quarantine

    return asyncio.run(main())


def test_crash_is_recorded_before_its_call_is_refused() -> None:
    """Guards against a call that crashes a second target before it is quarantined.

    Seen in test_crash.py under load: the entry daemon forwarded the call to another
    target while the host daemon of the first one was still probing its port.
    """
    _, quarantine = run_call(Crash())
    assert quarantine.check(FINGERPRINT) is not None


def test_refusal_after_a_crash_says_that_the_call_must_not_be_retried() -> None:
    """Guards against a second crash because the refusal overtakes the crash notice.

    Seen in test_crash.py under load: the entry daemon had the refusal of its call
    0.4 ms before the notice, which takes another way.
    """
    result, _ = run_call(Crash())
    assert result.retried


def test_crash_is_recorded_although_the_port_still_accepts() -> None:
    """Guards against a crash that is missed because its process has not quite ended.

    Seen in test_crash.py under load: the connection of the call was reset, and the
    listener accepted the probe and reset it up to 10 ms later.
    """
    _, quarantine = run_call(Crash(accepts_after_reset=1))
    assert quarantine.check(FINGERPRINT) is not None


def test_reset_by_a_target_that_lives_is_no_crash() -> None:
    """Guards against blocking a request because the target dropped its connection."""
    result, quarantine = run_call(Crash(survives=True))
    assert quarantine.check(FINGERPRINT) is None
    assert not result.retried
