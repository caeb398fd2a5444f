"""Commits under outages, and damaged rows and objects."""

import asyncio
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import aiohttp
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from cassiasail._internal.coordination.store import Committed, Condition, Put
from cassiasail._internal.ids import EditId, Version
from cassiasail._internal.state import listcodec
from cassiasail._internal.state.listcodec import HEAD_KEY, HeadRow, VersionRow
from cassiasail._internal.state.lists import Lists, Snapshot, diff, lists_from_rows
from devtools.quickstart import run_cli_checked

from .fleet import Fleet

scenarios("versions.feature")


class VersionRecorder:
    """Records the versions that each daemon shows, in order, without repeats."""

    def __init__(self, fleet: Fleet) -> None:
        self.shown_by_name: dict[str, list[int]] = {vm.name: [0] for vm in fleet.vms}
        self._fleet = fleet
        self._task = asyncio.create_task(self._poll())

    async def stop(self) -> None:
        """Stop recording."""
        self._task.cancel()
        await asyncio.wait([self._task])

    async def _poll(self) -> None:
        while True:
            for vm in self._fleet.vms:
                try:
                    page = await self._fleet.status(vm)
                except (aiohttp.ClientError, TimeoutError):
                    continue
                shown = self.shown_by_name[vm.name]
                if shown[-1] != page["version"]:
                    shown.append(page["version"])
            await asyncio.sleep(0.02)


@pytest.fixture
def recorder(fleet: Fleet) -> Iterator[VersionRecorder]:
    async def start() -> VersionRecorder:
        return VersionRecorder(fleet)

    recorder = fleet.run(start())
    yield recorder
    fleet.run(recorder.stop())


@given("every version in force is recorded")
def versions_recorded(recorder: VersionRecorder) -> None:
    """The fixture has started the recorder."""


@when("a version is committed and the store goes down")
def commit_then_outage(fleet: Fleet) -> None:
    async def work() -> None:
        await fleet.commit()
        await fleet.processes.set_faults(down=True)

    fleet.run(work())


async def put_version(fleet: Fleet, damage: str) -> None:
    """Write the next version with the given damage."""
    found = await fleet.store.read([HEAD_KEY])
    assert isinstance(found, dict)
    stored = found[HEAD_KEY]
    old = listcodec.decode_head(stored.value)
    data = await fleet.store.get_object(old.snapshot)
    assert isinstance(data, bytes)
    rows = dict(listcodec.decode_snapshot(data).rows_by_key)
    base = lists_from_rows(rows)
    rows["customer/desk"] = {**rows["customer/desk"], "contact": damage}
    if damage == "lists that fail the check":
        rows["customer/desk"]["plan"] = "nobody-defines-it"
    new = lists_from_rows(rows)
    version, edit = Version(old.version + 1), EditId(fleet.new_key())
    head = HeadRow(
        version=version,
        digest=new.digest,
        edit_id=edit,
        snapshot=listcodec.snapshot_name(edit),
        delta=listcodec.delta_name(edit),
    )
    await put_objects(fleet, head, base, new, damage)
    row = VersionRow(head=head, author="test", time=0.0, comment=damage)
    value: Any = listcodec.encode_head(head)
    if damage == "a malformed head row":
        value = {**value, "digest": "not a digest"}
    result = await fleet.store.transact(
        [Condition(key=HEAD_KEY, revision=stored.revision)],
        [
            Put(key=HEAD_KEY, value=value),
            Put(
                key=listcodec.version_key(version),
                value=value
                if damage == "a malformed head row"
                else listcodec.encode_version(row),
            ),
        ],
    )
    assert isinstance(result, Committed)


async def put_objects(
    fleet: Fleet, head: HeadRow, base: Lists, new: Lists, damage: str
) -> None:
    """Write the objects of a version, unless the damage is that they are missing."""
    if damage == "no objects":
        return
    if damage == "an object of other lists":
        rows = dict(new.rows_by_key)
        del rows["customer/small"]
        new = replace(lists_from_rows(rows), digest=new.digest)
    delta = diff(base, new, base=Version(head.version - 1), version=head.version)
    snapshot = Snapshot(
        version=head.version, digest=head.digest, rows_by_key=new.rows_by_key
    )
    data_by_name = {
        head.delta: listcodec.encode_delta(replace(delta, digest=head.digest)),
        head.snapshot: listcodec.encode_snapshot(snapshot),
    }
    for name, data in data_by_name.items():
        if damage == "a malformed object":
            data = data[: len(data) // 2]
        assert await fleet.store.put_object(name, data) is None


@when(parsers.parse("the newest version in the store has {damage}"))
def damage_version(fleet: Fleet, damage: str, context: dict[str, Any]) -> None:
    async def work() -> None:
        found = await fleet.store.read([HEAD_KEY])
        assert isinstance(found, dict)
        context["good"] = found[HEAD_KEY].value
        await put_version(fleet, damage)

    fleet.run(work())


@when(parsers.parse("the operator replaces {damage} and commits a good version"))
def repair(fleet: Fleet, context: dict[str, Any], damage: str) -> None:
    async def work() -> None:
        if damage == "a malformed head row":
            # The command line can't edit without a head row; it is restored by hand.
            await fleet.store.transact([], [Put(key=HEAD_KEY, value=context["good"])])
        else:
            await run_cli_checked(fleet.layout, "undo", str(fleet.version + 1))
        await fleet.commit()

    fleet.run(work())


@then("the status of the relays shows the version as refused")
def shown_refused(fleet: Fleet) -> None:
    async def shown() -> bool:
        pages = [await fleet.status(vm) for vm in fleet.vms]
        refused = [row["version"] for page in pages for row in page["refused"]]
        return fleet.version + 1 in refused

    fleet.run(fleet.wait_until(shown))


@then("every daemon keeps the last good version and answers calls")
def last_good_version_kept(fleet: Fleet) -> None:
    async def work() -> None:
        for vm in fleet.vms:
            assert (await fleet.status(vm))["version"] == fleet.version
            assert (await fleet.lookup(vm)).outcome == "answered"
            assert (await fleet.order(vm)).outcome == "answered"

    fleet.run(work())


@then("no status shows a refused version")
def none_refused(fleet: Fleet) -> None:
    async def none() -> bool:
        return not any([(await fleet.status(vm))["refused"] for vm in fleet.vms])

    fleet.run(fleet.wait_until(none))


@then("no daemon has shown a lower version than before")
def versions_never_fall(fleet: Fleet, recorder: VersionRecorder) -> None:
    for name, shown in recorder.shown_by_name.items():
        assert shown == sorted(shown), name
        assert shown[-1] == fleet.version, name
