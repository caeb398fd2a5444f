"""Clients that keep to no limit, beside the faults of a soak.

They are drawn from a generator of their own, so that the faults of a seed stay as they
were without them. A connection that a daemon closes, or that can't be opened because
its daemon is down, is not replaced.
"""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from cassiasail._internal.protocol.exchanges import Address

from ..reservations import HOST
from .world import SoakVm, SoakWorld

# Groups of clients in a run, and connections of one group.
MAX_GROUPS = 4
CONNECTIONS = (8, 80)
REQUESTS = 20
# Longest time for which one group stays.
MAX_SECONDS = 4.0
PIECE_SECONDS = 0.05


def _requests_never_read(path: str) -> bytes:
    head = f"GET {path} HTTP/1.1\r\nhost: h\r\n\r\n"
    return head.encode() * REQUESTS


def _endless_head(path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nhost: h\r\n".encode() + b"a: b\r\n" * 500


def _empty_lines(path: str) -> bytes:
    return b"\r\n" * 1000


def _nothing(path: str) -> bytes:
    return b""


def _unfinished_head(path: str) -> bytes:
    return b"G"


def _chunks_of_one_byte(path: str) -> bytes:
    head = f"POST {path} HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
    return head.encode() + b"1\r\nx\r\n" * 5000 + b"0\r\n\r\n"


def _unfinished_bodies(path: str) -> bytes:
    head = f"POST {path} HTTP/1.1\r\nhost: h\r\ncontent-length: 900001\r\n\r\n"
    return head.encode() + bytes(900_000)


def _scrapes_never_read(path: str) -> bytes:
    return b"GET /metrics HTTP/1.1\r\nhost: h\r\n\r\n" * REQUESTS


# What the clients of a group send without reading: these again and again, those once.
REPEATED: tuple[Callable[[str], bytes], ...] = (
    _requests_never_read,
    _endless_head,
    _empty_lines,
    _nothing,
    _chunks_of_one_byte,
    _scrapes_never_read,
)
SENT_ONCE: tuple[Callable[[str], bytes], ...] = (_unfinished_head, _unfinished_bodies)
BEHAVIOURS = REPEATED + SENT_ONCE


@dataclass(frozen=True, slots=True, kw_only=True)
class HostileGroup:
    """Clients of one VM that come ``start`` seconds after the first fault may start."""

    start: float
    seconds: float
    vm: int
    connections: int
    behaviour: Callable[[str], bytes]

    def __str__(self) -> str:
        behaviour = self.behaviour.__name__.strip("_")
        name = f"hostile_clients vm-{self.vm} {self.connections}"
        return f"{self.start:.1f} {name} {self.seconds:.1f} {behaviour}"


def draw_groups(seed: int, *, seconds: float, vms: int) -> list[HostileGroup]:
    """Return the groups that come within ``seconds``, in any order."""
    random = Random(f"hostile {seed}")
    return [
        HostileGroup(
            start=random.uniform(0, seconds),
            seconds=random.uniform(0.5, MAX_SECONDS),
            vm=random.randrange(vms),
            connections=random.choice(CONNECTIONS),
            behaviour=random.choice(BEHAVIOURS),
        )
        for _ in range(random.randint(1, MAX_GROUPS))
    ]


async def run_groups(world: SoakWorld, groups: Sequence[HostileGroup]) -> None:
    """Let all groups come at their times, and wait until they have left."""
    await asyncio.gather(*(_run_group(world.vms[each.vm], each) for each in groups))


async def _run_group(vm: SoakVm, group: HostileGroup) -> None:
    await asyncio.sleep(group.start)
    address = vm.sidecar.address_by_use["outbound"]
    if group.behaviour is _scrapes_never_read:
        address = Address(HOST, vm.sidecar.metrics_port)
    # A path without a route costs no target a request.
    data = group.behaviour("/hostile/")
    is_repeated = group.behaviour in REPEATED
    await asyncio.gather(
        *(
            _run_client(address, data, group.seconds, is_repeated=is_repeated)
            for _ in range(group.connections)
        )
    )


async def _run_client(
    address: Address, data: bytes, seconds: float, *, is_repeated: bool
) -> None:
    try:
        async with asyncio.timeout(seconds):
            _, writer = await asyncio.open_connection(*address)
            try:
                while True:
                    writer.write(data)
                    await writer.drain()
                    await asyncio.sleep(PIECE_SECONDS if is_repeated else seconds)
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError):
        pass  # The daemon is down or has closed the connection, or the time is over.
