"""Tests of removing the records of VMs that no longer exist."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace
from typing import Any

from cassiasail._internal.coordination.mesh.balancing import Fleet
from cassiasail._internal.coordination.mesh.pruning import (
    REMOVE_AFTER_SECONDS,
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
from tests.lib.events import null_event_log
from tests.lib.store_versions import at
from tests.unit.mesh.test_entry import fleet_of, record

UNREACHABLE = ExchangeFailed(reason=FailureReason.CONNECT_FAILED, sent=False)


class Network:
    """A fake network and store.

    VMs with an address in ``unreachable`` don't respond; ``removed`` are the rows that
    were removed from the store, with their expected versions.
    """

    def __init__(self, *unreachable: str) -> None:
        self.unreachable = set(unreachable)
        self.removed: list[tuple[str, int]] = []

    async def exchange(
        self, address: Address, request: HttpRequest, **more: Any
    ) -> HttpResponse | ExchangeFailed:
        return (
            UNREACHABLE
            if address.host in self.unreachable
            else HttpResponse(status=404)
        )

    async def write(self, table: str, writes: Sequence[ConditionalWrite]) -> WriteDone:
        self.removed += [
            (each.key, each.expected.number) for each in writes if each.expected
        ]
        assert all(each.value is None for each in writes)
        return WriteDone(version=at(99))


def records_removed_after_timeout(
    fleet: Fleet,
    network: Network,
    between: Callable[[RecordPruner], Awaitable[None]] | None = None,
) -> list[tuple[str, int]]:
    """Return the records removed by two checks, ``REMOVE_AFTER_SECONDS`` apart.

    ``between`` runs after the first check.
    """

    async def main() -> None:
        pruner = RecordPruner(
            fleet=fleet,
            tables=network,  # type: ignore[arg-type]
            table="hosts",
            pool=network,  # type: ignore[arg-type]
            events=null_event_log(),
        )
        await pruner.check_once()
        assert network.removed == []
        if between is not None:
            await between(pruner)
        await asyncio.sleep(REMOVE_AFTER_SECONDS)
        await pruner.check_once()

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main())
    return network.removed


def record_without_target(host: str) -> Any:
    return replace(record(host), state=TargetState.ABSENT)


def test_record_of_an_unreachable_vm_is_removed() -> None:
    """Guards against a table that grows with each replaced VM."""
    fleet = fleet_of(record_without_target("a"), record("bb"))
    assert records_removed_after_timeout(fleet, Network("10.0.0.1")) == [("a", 1)]


def test_record_of_a_reachable_vm_is_kept() -> None:
    """Guards against the removal of a VM while its target is being replaced."""
    assert (
        records_removed_after_timeout(
            fleet_of(record_without_target("a"), record("bb")), Network()
        )
        == []
    )


def test_record_of_a_vm_that_was_reachable_meanwhile_is_kept() -> None:
    """Guards against adding up the times of two separate outages."""
    network = Network("10.0.0.1")

    async def reconnect_once(pruner: RecordPruner) -> None:
        network.unreachable.clear()
        await pruner.check_once()
        network.unreachable.add("10.0.0.1")

    assert (
        records_removed_after_timeout(
            fleet_of(record_without_target("a"), record("bb")), network, reconnect_once
        )
        == []
    )


def test_daemon_that_reaches_no_other_vm_removes_nothing() -> None:
    """Guards against a disconnected daemon that removes all other VMs."""
    fleet = fleet_of(record_without_target("a"), record_without_target("bb"))
    assert records_removed_after_timeout(fleet, Network("10.0.0.1", "10.0.0.2")) == []


def test_records_of_other_data_centres_are_not_removed() -> None:
    """Guards against a lost link between regions that removes the VMs beyond it."""
    fleet = fleet_of(
        replace(record_without_target("a"), data_centre="dc2"), record("bb")
    )
    assert records_removed_after_timeout(fleet, Network("10.0.0.1")) == []
