"""Targets whose answers break off in the head, or that repeat an earlier refusal."""

import asyncio
from collections import Counter
from pathlib import Path

import pytest

from cassiasail._internal.protocol.http1 import HttpResponse
from devtools.platform_stand_in import PlatformStore, Sidecar
from tests.lib.sidecar_mesh import (
    RawPeer,
    RawRequest,
    RawTargetSidecar,
    answer_of_peer,
    answer_of_target,
    raw_target_sidecars,
    run,
    sidecar_mesh,
    status_of,
)

# Within the heads that the stand-ins send: in the status line, in the name and in the
# value of a header, and behind whole lines with and without the length.
CUTS = (1, 9, 12, 17, 20, 40, 60, 80, 100, -1, -2, -3)


def head_of(answer: bytes) -> bytes:
    return answer[: answer.index(b"\r\n\r\n") + 4]


class BrokenHeads:
    """Sends a part of the head of each answer and closes the connection."""

    def __init__(self, *, peer: bool) -> None:
        self._encode = answer_of_peer if peer else answer_of_target
        self.heads: Counter[bytes] = Counter()
        self.cut = 0

    async def handle(self, request: RawRequest, writer: asyncio.StreamWriter) -> None:
        head = head_of(self._encode(request, echo=True))[: self.cut]
        self.heads[head] += 1
        writer.write(head)
        await writer.drain()
        writer.close()


async def assert_no_success(sidecar: Sidecar, broken: BrokenHeads) -> None:
    """Check that no broken head becomes a success or a refusal of an order."""
    for cut in CUTS:
        broken.cut = cut
        for method, prefix in (("GET", "one"), ("POST", "orders")):
            path = f"/{prefix}/{cut}"
            attempt = f"{prefix}{cut}{sidecar.name}"
            result = await sidecar.get(path, attempt=attempt, method=method)
            assert status_of(result) in (502, 504), (cut, method, result)


def test_head_that_stops_midway_is_no_success(tmp_path: Path) -> None:
    """Guards against an empty or short body that looks whole to the client."""
    broken = BrokenHeads(peer=False)

    def sidecars(store: PlatformStore) -> list[Sidecar]:
        return [
            RawTargetSidecar(
                store=store, name="vm-1", service="one", handle=broken.handle
            ),
            Sidecar(store=store, name="vm-2", service="two"),
        ]

    async def main() -> None:
        async with sidecar_mesh(tmp_path, sidecars) as (_, vms):
            for vm in vms:
                await assert_no_success(vm, broken)
            assert len(broken.heads) >= len(CUTS)

    run(main)


def test_head_of_a_daemon_that_stops_midway_is_no_success(tmp_path: Path) -> None:
    """Guards against the same between daemons, for one that is killed as it answers."""
    broken = BrokenHeads(peer=True)
    peer = RawPeer(name="vm-9", service="one", handle=broken.handle)

    def sidecars(store: PlatformStore) -> list[Sidecar]:
        peer.publish(store)
        return [Sidecar(store=store, name="vm-1", service="two")]

    async def main() -> None:
        await peer.server.start()
        async with sidecar_mesh(tmp_path, sidecars, ready_targets=2) as (_, (vm,)):
            await assert_no_success(vm, broken)
            assert len(broken.heads) >= len(CUTS)
        await peer.server.stop()

    run(main)


class RepeatedRefusals:
    """Refuses the first request of a connection, and repeats that before the others.

    It runs all but the first; ``runs_by_attempt_id`` counts how often.
    """

    def __init__(self, *, status: int, echo: bool) -> None:
        self._status, self._echo = status, echo
        self._refusal_by_writer: dict[asyncio.StreamWriter, bytes] = {}
        self.runs_by_attempt_id: Counter[str] = Counter()
        self.refused: set[str] = set()

    async def handle(self, request: RawRequest, writer: asyncio.StreamWriter) -> None:
        refusal = self._refusal_by_writer.get(writer)
        if refusal is None:
            echo = f"X-Cassiasail-Attempt-Id: {request.attempt_id}\r\n" * self._echo
            refusal = (
                f"HTTP/1.1 {self._status} Refused\r\nX-Cassiasail-Not-Run: 1\r\n"
                f"{echo}content-length: 0\r\n\r\n"
            ).encode()
            self._refusal_by_writer[writer] = refusal
            self.refused.add(request.attempt_id)
            writer.write(refusal)
            return
        writer.write(refusal)
        self.runs_by_attempt_id[request.attempt_id] += 1
        await asyncio.sleep(0.02)
        writer.write(answer_of_target(request, echo=True))


@pytest.mark.parametrize("status", [503, 429, 421, 400])
@pytest.mark.parametrize("echo", [True, False])
def test_repeated_refusal_is_no_refusal_of_a_later_request(
    tmp_path: Path, status: int, echo: bool
) -> None:
    """Guards against 'not run' for a request that ran, and against a second run of it.

    Retries to the same target have the same attempt id as the request it refused.
    """
    servers = [RepeatedRefusals(status=status, echo=echo) for _ in range(2)]

    sidecars = raw_target_sidecars(*(server.handle for server in servers))

    async def main() -> None:
        async with sidecar_mesh(tmp_path, sidecars) as (_, vms):
            for number in range(24):
                vm = vms[number % 2]
                method, prefix = (("GET", "one"), ("POST", "orders"))[number // 2 % 2]
                attempt = f"{prefix}{number}"
                path = f"/{prefix}/{number}"
                result = await vm.get(path, attempt=attempt, method=method)
                runs = sum(each.runs_by_attempt_id[attempt] for each in servers)
                assert isinstance(result, HttpResponse)
                assert runs <= 1
                if result.status == 200:
                    assert (runs, result.body) == (1, path.encode())
                else:
                    assert result.status in (503, 429, 421, 400)
                    assert runs == 0, (attempt, result)
            assert any(server.refused for server in servers)

    run(main)


def test_repeated_refusal_of_the_same_attempt_is_not_believed(tmp_path: Path) -> None:
    """Guards against 'not run' for a retry that runs at the target that refused first.

    The retry has the attempt id of the refused request, and used its connection.
    """
    server = RepeatedRefusals(status=503, echo=True)

    async def handle(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        if "warm" in request.path:
            writer.write(answer_of_target(request, echo=True))
        else:
            await server.handle(request, writer)

    async def main() -> None:
        sidecars = raw_target_sidecars(handle)
        async with sidecar_mesh(tmp_path, sidecars) as (_, (vm,)):
            # Requests that earn the budget of some retries.
            for number in range(100):
                await vm.get(f"/one/warm/{number}", attempt=f"warm{number}")
            for number in range(6):
                attempt = f"safe{number}"
                result = await vm.get(f"/one/{number}", attempt=attempt)
                runs = server.runs_by_attempt_id[attempt]
                assert status_of(result) == (200 if runs else 503), (number, result)
            assert len(server.refused) == 6

    run(main)
