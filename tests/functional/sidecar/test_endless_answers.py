"""Targets and daemons that send a head or a body without end to real daemons."""

import asyncio
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

from cassiasail._internal.protocol.http1 import HttpResponse
from devtools.platform_stand_in import PlatformStore, Sidecar
from tests.lib.endless import ENDLESS_BODIES, ENDLESS_HEADS, OK_HEAD
from tests.lib.sidecar_mesh import (
    RawPeer,
    RawRequest,
    RawTargetSidecar,
    answer_of_target,
    memory_kb,
    plain_sidecars,
    run,
    sidecar_mesh,
    status_of,
    until,
)

# Answers without end at the same time.
ENDLESS = 20
# Memory that one answer without end may take in a head, and of the smallest VM.
HEAD_KB = 1 << 10
VM_KB = 200 << 10
# Below the limit of one answer, 16 MB.
LARGE_ANSWER_BYTES = 12 << 20
# The daemon closes the connection when it stops reading, which leaves this long for the
# close to be seen on a busy machine.
CLOSE_SECONDS = 2.0


class EndlessAnswers:
    """A raw handler that answers paths with a number in their end without end.

    The number selects one of ``kinds``; all other paths get a sound answer. ``open`` is
    the number of answers that are being sent, ``by_kind`` counts those begun.
    """

    def __init__(self, kinds: dict[str, tuple[bytes, bytes]]) -> None:
        self._kinds = list(kinds.items())
        self.open = 0
        self.by_kind: Counter[str] = Counter()

    async def handle(self, request: RawRequest, writer: asyncio.StreamWriter) -> None:
        number = request.path.rpartition("/")[2]
        if not number.isdigit():
            writer.write(answer_of_target(request, echo=True))
            return
        name, (start, part) = self._kinds[int(number) % len(self._kinds)]
        self.by_kind[name] += 1
        self.open += 1
        try:
            writer.write(start)
            while True:
                writer.write(part)
                await writer.drain()
        finally:
            self.open -= 1


async def assert_bounded(
    vm: Sidecar,
    answers: EndlessAnswers,
    daemon: Sidecar,
    other_paths: Sequence[str],
) -> None:
    """Send requests with answers without end at once, and others beside them.

    ``daemon`` is the one that reads the answers. Each request gets the status of an
    unknown outcome, never that of a refusal or a time-out, and the connection of its
    answer is closed. The requests for ``other_paths`` are served meanwhile.
    """
    endless = [
        asyncio.create_task(
            vm.get(
                f"/orders/{number}", attempt=f"{id(answers)}-{number}", method="POST"
            )
        )
        for number in range(ENDLESS)
    ]
    others = 0
    while others < 10 or not all(each.done() for each in endless):
        for path in other_paths:
            assert status_of(await vm.get(path, attempt=f"{path}{others}")) == 200
        others += 1
    assert Counter(status_of(each.result()) for each in endless) == {502: ENDLESS}
    await until(lambda: answers.open == 0, CLOSE_SECONDS)
    assert memory_kb(daemon, "VmHWM") < VM_KB


def test_endless_answers_of_a_target_are_bounded(tmp_path: Path) -> None:
    """Guards against a target whose answers without end end its daemon.

    A VM has 200 MB; one answer took up to 244 MB in 3 s. The daemon beside the target
    reads twenty of them at once, and serves other requests to the same target.
    """
    heads, bodies = EndlessAnswers(ENDLESS_HEADS), EndlessAnswers(ENDLESS_BODIES)
    answers = heads

    async def handle(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        await answers.handle(request, writer)

    def sidecars(store: PlatformStore) -> list[Sidecar]:
        one = RawTargetSidecar(store=store, name="vm-1", service="one", handle=handle)
        one.slots = ENDLESS + 4
        return [one, Sidecar(store=store, name="vm-2", service="two")]

    async def main() -> None:
        nonlocal answers
        async with sidecar_mesh(tmp_path, sidecars) as (_, (one, two)):
            paths = ("/one/sound", "/two/sound")
            assert status_of(await two.get(paths[0])) == 200
            before = memory_kb(one, "VmHWM")
            await assert_bounded(two, heads, one, paths)
            assert memory_kb(one, "VmHWM") - before < ENDLESS * HEAD_KB
            answers = bodies
            await assert_bounded(two, bodies, one, paths)
            assert set(heads.by_kind) == set(ENDLESS_HEADS)
            assert set(bodies.by_kind) == set(ENDLESS_BODIES)

    run(main)


def test_endless_answers_of_daemons_are_bounded(tmp_path: Path) -> None:
    """Guards against daemons whose answers without end end another daemon."""
    heads, bodies = EndlessAnswers(ENDLESS_HEADS), EndlessAnswers(ENDLESS_BODIES)
    answers = heads

    async def handle(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        await answers.handle(request, writer)

    async def main() -> None:
        nonlocal answers
        peers = [
            RawPeer(name=f"peer-{number}", service="one", handle=handle)
            for number in range(ENDLESS)
        ]

        def sidecars(store: PlatformStore) -> list[Sidecar]:
            for peer in peers:
                peer.publish(store)
            return plain_sidecars("two")(store)

        for peer in peers:
            await peer.server.start()
        try:
            async with sidecar_mesh(tmp_path, sidecars, ready_targets=ENDLESS + 1) as (
                _,
                (vm,),
            ):
                before = memory_kb(vm, "VmHWM")
                await assert_bounded(vm, heads, vm, ("/two/sound",))
                assert memory_kb(vm, "VmHWM") - before < ENDLESS * HEAD_KB
                answers = bodies
                await assert_bounded(vm, bodies, vm, ("/two/sound",))
                assert set(heads.by_kind) == set(ENDLESS_HEADS)
                assert set(bodies.by_kind) == set(ENDLESS_BODIES)
        finally:
            for peer in peers:
                await peer.server.stop()

    run(main)


def test_large_answers_to_orders_are_not_all_kept(tmp_path: Path) -> None:
    """Guards against a daemon that ends by the results it keeps for second copies.

    Each answer is whole and below the limit of one; a daemon keeps results for 10 s.
    """
    filler = b"x" * LARGE_ANSWER_BYTES

    async def handle(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        head = f"{OK_HEAD.decode()}x-cassiasail-attempt-id: {request.attempt_id}\r\n"
        head += "x-cassiasail-server-stamp: stamp\r\n"
        writer.write(f"{head}content-length: {len(filler)}\r\n\r\n".encode() + filler)
        await writer.drain()

    def sidecars(store: PlatformStore) -> list[Sidecar]:
        one = RawTargetSidecar(store=store, name="vm-1", service="one", handle=handle)
        return [one, Sidecar(store=store, name="vm-2", service="two")]

    async def main() -> None:
        async with sidecar_mesh(tmp_path, sidecars) as (_, vms):
            for number in range(ENDLESS):
                result = await vms[1].get(
                    "/orders/large", attempt=f"large-{number}", method="POST"
                )
                assert isinstance(result, HttpResponse)
                assert (result.status, len(result.body)) == (200, LARGE_ANSWER_BYTES)
            for vm in vms:
                assert memory_kb(vm, "VmHWM") < VM_KB

    run(main)
