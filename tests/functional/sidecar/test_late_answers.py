"""Servers that send a second copy of an answer on a connection that is used again."""

import asyncio
from collections import Counter
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
    status_of,
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


EXTRA_BYTES = {
    "success": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "refusal": (
        b"HTTP/1.1 503 Service Unavailable\r\nX-Cassiasail-Not-Run: 1\r\n"
        b"Content-Length: 0\r\n\r\n"
    ),
    "misdirected": b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
}


class ExtraBytes:
    """Sends a response without an id before each answer but the first of a connection.

    ``runs_by_attempt_id`` counts how often each request ran.
    """

    def __init__(self, extra: bytes) -> None:
        self._extra = extra
        self._seen: set[asyncio.StreamWriter] = set()
        self.sent = 0
        self.runs_by_attempt_id: Counter[str] = Counter()

    async def handle(self, request: RawRequest, writer: asyncio.StreamWriter) -> None:
        if writer in self._seen:
            writer.write(self._extra)
            self.sent += 1
        self._seen.add(writer)
        self.runs_by_attempt_id[request.attempt_id] += 1
        await asyncio.sleep(0.02)
        writer.write(answer_of_target(request, echo=True))


@pytest.mark.parametrize("kind", EXTRA_BYTES)
def test_additional_bytes_without_an_id_are_no_answer(
    tmp_path: Path, kind: str
) -> None:
    """Guards against a success that no target sent, and an order that runs twice.

    The bytes belong to an earlier answer and come when the next request is there. The
    own answer of that request follows them and is waited for.
    """
    servers = [ExtraBytes(EXTRA_BYTES[kind]) for _ in range(2)]
    sidecars = raw_target_sidecars(*(server.handle for server in servers))

    async def main() -> None:
        async with sidecar_mesh(tmp_path, sidecars) as (_, vms):
            for vm in vms:
                await assert_own_answers(vm)
            assert sum(server.sent for server in servers) >= REQUESTS
            runs = servers[0].runs_by_attempt_id + servers[1].runs_by_attempt_id
            del runs[""]
            assert set(runs.values()) == {1}
            metrics = "".join([await vm.metrics() for vm in vms])
            assert 'mesh_responses_dropped_total{reason="unnamed"}' in metrics

    run(main)


@pytest.mark.parametrize("kind", EXTRA_BYTES)
def test_answer_without_an_id_of_a_target_that_sends_ids_is_not_believed(
    tmp_path: Path, kind: str
) -> None:
    """Guards against a refusal of an order that has run.

    The bytes come in place of the answer, on a new connection. Only another target,
    which may have the address by now, need not name the request that it refuses.
    """
    runs: Counter[str] = Counter()

    async def handle(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        runs[request.attempt_id] += 1
        if request.attempt_id.startswith("odd"):
            writer.write(EXTRA_BYTES[kind])
        else:
            writer.write(answer_of_target(request, echo=True))

    async def main() -> None:
        sidecars = raw_target_sidecars(handle)
        async with sidecar_mesh(tmp_path, sidecars) as (_, (vm,)):
            result = await vm.get("/orders/a", attempt="named", method="POST")
            assert status_of(result) == 200
            # Idle connections are not used for orders after this time.
            await asyncio.sleep(0.3)
            result = await vm.get("/orders/a", attempt="odd", method="POST")
            assert status_of(result) == (503 if kind == "misdirected" else 502)

    run(main)


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_success_without_the_stamp_of_a_target_is_no_answer(
    tmp_path: Path, method: str
) -> None:
    """Guards against bytes that are no answer and reach a client as a success."""

    async def handle(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        answer = answer_of_target(request, echo=True)
        writer.write(answer.replace(b"x-cassiasail-server-stamp", b"x-other"))

    async def main() -> None:
        sidecars = raw_target_sidecars(handle)
        async with sidecar_mesh(tmp_path, sidecars) as (_, (vm,)):
            path = "/one/a" if method == "GET" else "/orders/a"
            result = await vm.get(path, attempt="a", method=method)
            assert status_of(result) == 502

    run(main)
