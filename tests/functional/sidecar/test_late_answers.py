"""Servers that send a second copy of an answer on a connection that is used again."""

import asyncio
from pathlib import Path

import pytest

from cassiasail._internal.protocol.http1 import HttpResponse
from devtools.platform_stand_in import PlatformStore, Sidecar
from tests.lib.sidecar_mesh import (
    AnswerEncoder,
    RawPeer,
    RawRequest,
    answer_of_peer,
    answer_of_target,
    plain_sidecars,
    raw_target_sidecars,
    run,
    sidecar_mesh,
)

REQUESTS = 12


class RepeatingServer:
    """Sends a second copy of each answer later on the same connection.

    With ``together`` the copy comes in one write with the next answer, otherwise before
    it. Every third copy comes while the connection is idle.
    """

    def __init__(self, encode: AnswerEncoder, *, echo: bool, together: bool) -> None:
        self._encode = encode
        self._echo = echo
        self._together = together
        self._former_answer_by_writer: dict[asyncio.StreamWriter, bytes] = {}
        self.answers = 0

    async def handle(self, request: RawRequest, writer: asyncio.StreamWriter) -> None:
        copy = self._former_answer_by_writer.get(writer, b"")
        answer = self._encode(request, echo=self._echo)
        self._former_answer_by_writer[writer] = answer
        self.answers += 1
        if self._together:
            writer.write(copy + answer)
            return
        if copy:
            writer.write(copy)
            await asyncio.sleep(0.02)
        writer.write(answer)
        if self.answers % 3 == 0:
            await asyncio.sleep(0.02)
            writer.write(answer)


async def assert_own_answers(sidecar: Sidecar) -> None:
    """Check that each of some requests in a row gets the answer of its own path.

    Some have no attempt id. Most are sent within the idle time after which connections
    are not used again for unsafe requests.
    """
    for number in range(REQUESTS):
        for method, prefix in (("GET", "one"), ("POST", "orders")):
            path = f"/{prefix}/{number}"
            attempt = "" if number % 4 == 3 else f"{prefix}-{number}-{sidecar.name}"
            result = await sidecar.get(path, attempt=attempt, method=method)
            assert isinstance(result, HttpResponse), (path, result)
            assert (result.status, result.body.decode()) == (200, path)


@pytest.mark.parametrize("together", [False, True])
def test_second_answer_of_a_target_reaches_no_other_client(
    tmp_path: Path, together: bool
) -> None:
    """Guards against a client that gets the answer to another client's request.

    The two targets send each answer twice; one of them names its request in the answer.
    Clients of both VMs reach a target directly and through the other daemon.
    """
    servers = [
        RepeatingServer(answer_of_target, echo=echo, together=together)
        for echo in (True, False)
    ]

    sidecars = raw_target_sidecars(*(server.handle for server in servers))

    async def main() -> None:
        async with sidecar_mesh(tmp_path, sidecars) as (_, vms):
            for _ in range(2):
                for vm in vms:
                    await assert_own_answers(vm)
            assert all(server.answers > 0 for server in servers)

    run(main)


@pytest.mark.parametrize("together", [False, True])
def test_second_answer_of_a_daemon_reaches_no_other_client(
    tmp_path: Path, together: bool
) -> None:
    """Guards against the same between daemons, also of builds that name no request."""
    servers = [
        RepeatingServer(answer_of_peer, echo=echo, together=together)
        for echo in (True, False)
    ]

    async def main() -> None:
        peers = [
            RawPeer(name=f"peer-{number}", service="one", handle=server.handle)
            for number, server in enumerate(servers)
        ]

        def sidecars(store: PlatformStore) -> list[Sidecar]:
            for peer in peers:
                peer.publish(store)
            return plain_sidecars("two")(store)

        for peer in peers:
            await peer.server.start()
        try:
            async with sidecar_mesh(tmp_path, sidecars, ready_targets=3) as (_, (vm,)):
                for _ in range(2):
                    await assert_own_answers(vm)
                assert all(server.answers > 0 for server in servers)
        finally:
            for peer in peers:
                await peer.server.stop()

    run(main)
