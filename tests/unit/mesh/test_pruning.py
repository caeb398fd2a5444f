"""Records of VMs that are gone for good."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace
from typing import Any

from cassiasail._internal.coordination.mesh.balancing import Fleet
from cassiasail._internal.coordination.mesh.pruning import (
    GONE_SECONDS,
    RecordPruner,
)
from cassiasail._internal.coordination.mesh.shared_tables import (
    ConditionalWrite,
    WriteDone,
)
from cassiasail._internal.protocol.exchanges import (
    Address,
    ExchangeFailed,
    FailureReason,
)
from cassiasail._internal.protocol.http1 import HttpRequest, HttpResponse
from cassiasail._internal.state.hosts import TargetState
from devtools.virtual_loop import VirtualLoop
from tests.lib.events import silent_events
from tests.unit.mesh.test_entry import fleet_of, record

SILENT = ExchangeFailed(reason=FailureReason.CONNECT_FAILED, sent=False)


class Network:
    """The VMs in ``silent`` answer nothing; also the store, which notes writes."""

    def __init__(self, *silent: str) -> None:
        self.silent = set(silent)
        self.removed: list[tuple[str, int]] = []

    async def exchange(
        self, address: Address, request: HttpRequest, **more: Any
    ) -> HttpResponse | ExchangeFailed:
        return SILENT if address.host in self.silent else HttpResponse(status=404)

    async def write(self, table: str, writes: Sequence[ConditionalWrite]) -> WriteDone:
        self.removed += [(each.key, each.expected) for each in writes]
        assert all(each.value is None for each in writes)
        return WriteDone(version=99)


def pruned(
    fleet: Fleet,
    network: Network,
    between: Callable[[RecordPruner], Awaitable[None]] | None = None,
) -> list[tuple[str, int]]:
    """Return what is removed by two checks, ``GONE_SECONDS`` apart."""

    async def main() -> None:
        pruner = RecordPruner(
            fleet=fleet,
            tables=network,  # type: ignore[arg-type]
            table="hosts",
            pool=network,  # type: ignore[arg-type]
            events=silent_events(),
        )
        await pruner.check()
        assert network.removed == []
        if between is not None:
            await between(pruner)
        await asyncio.sleep(GONE_SECONDS)
        await pruner.check()

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main())
    return network.removed


def absent(host: str) -> Any:
    return replace(record(host), state=TargetState.ABSENT)


def test_a_vm_that_is_gone_loses_its_record() -> None:
    """Guards against a table that grows with each VM that was ever replaced."""
    fleet = fleet_of(absent("a"), record("bb"))
    assert pruned(fleet, Network("10.0.0.1")) == [("a", 1)]


def test_a_vm_that_answers_keeps_its_record() -> None:
    """Guards against a VM that is forgotten while its target is replaced."""
    assert pruned(fleet_of(absent("a"), record("bb")), Network()) == []


def test_a_vm_that_came_back_meanwhile_keeps_its_record() -> None:
    """Guards against the times of two outages that add up."""
    network = Network("10.0.0.1")

    async def back(pruner: RecordPruner) -> None:
        network.silent.clear()
        await pruner.check()
        network.silent.add("10.0.0.1")

    assert pruned(fleet_of(absent("a"), record("bb")), network, back) == []


def test_a_daemon_that_reaches_nobody_removes_nothing() -> None:
    """Guards against a daemon that is cut off and takes all others for gone."""
    fleet = fleet_of(absent("a"), absent("bb"))
    assert pruned(fleet, Network("10.0.0.1", "10.0.0.2")) == []


def test_vms_of_other_data_centres_are_left_to_those() -> None:
    """Guards against a region link whose loss removes the other side."""
    fleet = fleet_of(replace(absent("a"), data_centre="dc2"), record("bb"))
    assert pruned(fleet, Network("10.0.0.1")) == []
