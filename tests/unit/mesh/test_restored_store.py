"""Daemons beside a store that comes back from a backup, in virtual time."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from random import Random

import pytest

from cassiasail._internal.protocol import table_sync
from cassiasail._internal.sidecar.store_view import HOSTS_TABLE
from cassiasail._internal.state.hosts import TargetState, encode_record
from cassiasail._internal.state.table_mirror import StoredRow, TableDelta, TableMirror
from tests.lib.mesh_world import CONFIG_APPLY_SECONDS, MeshWorld, Vm, WorldLoop
from tests.lib.store_versions import at
from tests.unit.mesh.test_entry import fleet_of, record

SETTLE_SECONDS = 5.0
# Longest time until all daemons agree again: the longest retry delay, the maximum age
# of the table of VMs, and one poll of it.
RECOVER_SECONDS = 10.0


def play(vms: int, script: Callable[[MeshWorld], Awaitable[None]]) -> None:
    """Run ``script`` on a world of ``vms`` that has settled."""

    async def main() -> None:
        world = MeshWorld(vms)
        await world.until_consistent(SETTLE_SECONDS)
        await script(world)
        world.stop()

    with asyncio.Runner(loop_factory=WorldLoop) as runner:
        runner.run(main())


def now() -> float:
    return asyncio.get_running_loop().time()


async def restore(world: MeshWorld, moment: float, outage: float = 1.0) -> None:
    world.store.down = True
    await asyncio.sleep(outage)
    world.store.restore(moment)
    world.store.down = False


def test_change_with_a_version_that_was_given_out_before_is_applied() -> None:
    """Guards against a change that looks like one from before the restore."""

    async def script(world: MeshWorld) -> None:
        moment = now()
        for version in (2, 3):
            world.write_configuration(version)
            await asyncio.sleep(1)
        await restore(world, moment)
        world.write_configuration(3)
        # The number of this transaction is that of the lost configuration 3.
        world.write_configuration(4)
        await world.until_consistent(CONFIG_APPLY_SECONDS)

    play(5, script)


def test_acknowledged_record_that_no_copy_had_is_written_again() -> None:
    """Guards against a record that is lost because nobody had read it back."""

    async def script(world: MeshWorld) -> None:
        (vm,) = world.vms
        moment = now()
        world.store.row_by_id.pop((HOSTS_TABLE, vm.host))
        vm.stop()
        world.store.restore(moment - SETTLE_SECONDS)
        world.write_configuration(1)
        world.store.refuses_reads = False
        empty = now()
        vm.start()
        world.store.refuses_reads = True
        await asyncio.sleep(1)
        assert world.store.value(HOSTS_TABLE, vm.host) is not None
        world.store.restore(empty)
        world.store.refuses_reads = False
        await world.until_consistent(RECOVER_SECONDS)

    play(1, script)


def test_late_acknowledgement_from_before_a_restore_is_not_believed() -> None:
    """Guards against a record that is lost because its write was acknowledged."""

    async def script(world: MeshWorld) -> None:
        vm = world.vms[0]
        moment = now()
        await asyncio.sleep(0.1)
        world.store.write_delay = 0.9
        vm.publish(state=TargetState.LEAVING)
        await asyncio.sleep(0.2)
        assert world.store.value(HOSTS_TABLE, vm.host) == encode_record(vm.record)
        await restore(world, moment, outage=0.05)
        world.store.write_delay = 0.0
        await world.until_consistent(RECOVER_SECONDS)

    play(3, script)


def test_retry_of_a_write_without_answer_does_not_stop_after_a_restore() -> None:
    """Guards against a publisher whose condition names a version that is gone."""

    async def script(world: MeshWorld) -> None:
        vm = world.vms[0]
        moment = now()
        await asyncio.sleep(0.1)
        world.store.loses_writes_of.add(vm.host)
        for slots in (5, 6, 7):
            vm.publish(slots=slots)
            await asyncio.sleep(1.5)
        world.store.restore(moment)
        world.store.loses_writes_of.clear()
        await world.until_consistent(RECOVER_SECONDS)

    play(3, script)


def test_daemon_that_starts_after_a_restore_agrees_with_the_others() -> None:
    """Guards against a new daemon whose copy of the store differs for good."""

    async def script(world: MeshWorld) -> None:
        moment = now()
        world.write_configuration(2)
        for vm in world.vms:
            vm.publish(slots=9)
        await asyncio.sleep(3)
        world.vms[1].stop()
        await restore(world, moment)
        world.vms[1].start()
        await asyncio.sleep(0.3)
        world.write_configuration(2)
        await world.until_consistent(RECOVER_SECONDS)

    play(4, script)


def test_vm_that_the_store_refuses_learns_of_a_restore_from_others() -> None:
    """Guards against a daemon that keeps the copy of the former era."""

    async def script(world: MeshWorld) -> None:
        moment = now()
        world.write_configuration(2)
        await asyncio.sleep(2)
        world.store.refused = {vm.host for vm in world.vms[:2]}
        await restore(world, moment)
        await restore(world, moment, outage=0.3)
        world.write_configuration(3)
        async with asyncio.timeout(RECOVER_SECONDS):
            while any(vm.config_version != 3 for vm in world.vms):
                await asyncio.sleep(0.02)

    play(6, script)


async def disturb(world: MeshWorld, random: Random, seconds: float) -> None:
    """Restore the store, change rows and restart daemons at random."""
    end = now() + seconds
    while now() < end:
        await asyncio.sleep(random.uniform(0, 1.0))
        vm = random.choice(world.vms)
        match random.randrange(7):
            case 0:
                world.write_configuration(world.version + random.randint(1, 3))
            case 1:
                vm.publish(
                    state=random.choice((TargetState.READY, TargetState.SUSPENDED))
                )
            case 2:
                vm.publish(state=TargetState.LEAVING)
                await asyncio.sleep(random.uniform(0, 1))
                start_time_ms = vm.record.start_time_ms + 1
                vm.publish(state=TargetState.READY, start_time_ms=start_time_ms)
            case 3:
                await restore(world, now() - random.uniform(0, 9), random.uniform(0, 2))
                await asyncio.sleep(random.uniform(0, 1))
                world.write_configuration(world.version)
            case 4:
                vm.stop()
                vm.start()
            case 5:
                world.store.refused = {vm.host} if random.random() < 0.5 else set()
            case 6:
                world.store.loses_writes_of = (
                    set() if random.random() < 0.5 else {vm.host}
                )
                world.store.write_delay = random.choice((0.0, 0.0, 0.9, 1.5))


async def watch(vm: Vm) -> None:
    """Check that neither the configuration nor the copy of a daemon goes back."""
    while True:
        view, config_version, versions = vm.view, 0, vm.view.version_by_table()
        while vm.view is view:
            assert vm.config_version >= config_version
            config_version = vm.config_version
            current = view.version_by_table()
            assert all(current[table] >= versions[table] for table in versions)
            versions = current
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("seed", range(40))
def test_daemons_agree_after_random_restores(seed: int) -> None:
    """Guards against rows that a daemon misses in any order of restores and faults."""

    async def script(world: MeshWorld) -> None:
        watchers = [asyncio.create_task(watch(vm)) for vm in world.vms]
        await disturb(world, Random(seed), 30.0)
        world.store.refused, world.store.loses_writes_of = set(), set()
        world.store.write_delay = 0.0
        world.write_configuration(world.version + 1)
        await world.until_consistent(RECOVER_SECONDS)
        for each in watchers:
            each.cancel()
            assert not each.done() or each.exception() is None

    play(5, script)


# The copy of one table.


class Copy:
    """A mirror and what it reported."""

    def __init__(self) -> None:
        self.rows: list[StoredRow] = []
        self.restored: list[object] = []
        self.mirror = TableMirror(
            changed=self.rows.append, restored=lambda *both: self.restored.append(both)
        )


def row_at(key: str, number: int, era: int = 0) -> StoredRow:
    return StoredRow(key=key, value=b"", version=at(number, era))


def test_copy_of_a_later_era_replaces_all_rows() -> None:
    """Guards against rows of the former era that outlive a restore."""
    copy = Copy()
    old = (row_at("kept", 2), row_at("lost", 8), row_at("older", 9))
    copy.mirror.apply(TableDelta(rows=old, version=at(9), whole=True))
    copy.rows.clear()
    new = (row_at("kept", 2, 1), row_at("older", 3, 1))
    assert copy.mirror.apply(TableDelta(rows=new, version=at(4, 1), whole=True))
    assert copy.restored[-1] == (at(9), at(4, 1))
    assert {(each.key, each.deleted) for each in copy.rows} == {
        ("kept", False),
        ("lost", True),
        ("older", False),
    }
    assert copy.mirror.since(at(0)).rows == new


def test_copy_never_returns_to_an_earlier_era() -> None:
    """Guards against a daemon that follows a peer which still has the former era."""
    copy = Copy()
    new = (row_at("a", 3, 1),)
    copy.mirror.apply(TableDelta(rows=new, version=at(4, 1), whole=True))
    late = TableDelta(rows=(row_at("a", 50),), version=at(50), whole=True)
    assert not copy.mirror.apply(late)
    assert not copy.mirror.apply(replace(late, whole=False))
    assert copy.mirror.since(at(0, 1)).rows == new


def test_changes_of_a_later_era_are_not_added_to_an_earlier_copy() -> None:
    """Guards against a copy that mixes the rows of two eras."""
    copy = Copy()
    copy.mirror.apply(TableDelta(rows=(row_at("a", 3),), version=at(4), whole=True))
    assert not copy.mirror.apply(TableDelta(rows=(), version=at(6, 1)))
    assert copy.mirror.version == at(4)


def test_follower_of_an_earlier_era_gets_the_whole_copy() -> None:
    """Guards against a follower that continues a former era by changes."""
    copy = Copy()
    rows = (row_at("a", 3, 1),)
    copy.mirror.apply(TableDelta(rows=rows, version=at(4, 1), whole=True))
    assert copy.mirror.since(at(900)).whole
    # A row that was deleted in this era before the copy was read is not known.
    assert copy.mirror.since(at(2, 1)).whole
    assert not copy.mirror.since(at(4, 1)).whole


# The protocol between daemons.


def test_replies_carry_the_era_of_the_copy() -> None:
    """Guards against a copy whose era is lost between daemons."""
    delta = TableDelta(rows=(row_at("a", 3, 2),), version=at(4, 2), whole=True)
    reply = table_sync.SyncReply(delta=delta, age=0.0)
    response = table_sync.encode_reply(reply)
    assert table_sync.decode_reply(response, default_era=1) == reply


@pytest.mark.parametrize("knows_eras", [True, False])
def test_reply_without_a_known_era_is_of_the_default_era(knows_eras: bool) -> None:
    """Guards against an older build whose copy can't be used beside a newer one."""
    delta = TableDelta(rows=(row_at("a", 3),), version=at(4), whole=True)
    response = table_sync.encode_reply(table_sync.SyncReply(delta=delta, age=0.0))
    if not knows_eras:
        response = replace(response, headers=())
    reply = table_sync.decode_reply(response, default_era=3)
    assert reply is not None
    assert reply.delta.version == at(4, 3)
    assert reply.delta.rows[0].version == at(3, 3)


def test_older_builds_are_followed_until_the_store_is_restored() -> None:
    """Guards against older builds that are useless, or lead back to a former era."""

    async def script(world: MeshWorld) -> None:
        new, *others = world.vms
        for old in others:
            old.knows_eras = False
        world.store.refused = {new.host}
        await asyncio.sleep(RECOVER_SECONDS)
        moment = now()
        world.write_configuration(2)
        await world.until_consistent(CONFIG_APPLY_SECONDS)
        versions = new.view.version_by_table()
        assert all(version.era == 1 for version in versions.values())
        world.store.refused = set()
        await restore(world, moment)
        await asyncio.sleep(RECOVER_SECONDS)
        versions = new.view.version_by_table()
        assert all(version.era == 2 for version in versions.values())

    play(4, script)


def test_query_of_a_build_without_eras_is_one_of_the_present_era() -> None:
    """Guards against an older build that gets the whole table with each poll."""

    async def script(world: MeshWorld) -> None:
        await restore(world, now())
        await asyncio.sleep(RECOVER_SECONDS)
        vm = world.vms[0]
        version = vm.view.version_by_table()["op"]
        assert version.era == 2
        query = table_sync.SyncQuery(
            table="op", after=version.number, era=None, wait=0.1
        )
        response = await vm.serve(table_sync.encode_query(query))
        reply = table_sync.decode_reply(response, default_era=0)
        assert reply is not None
        assert reply.delta.rows == ()

    play(2, script)


@pytest.mark.parametrize("era", [1, 3])
def test_poll_of_another_era_does_not_wait(era: int) -> None:
    """Guards against a long poll at a source whose copy can't be continued."""

    async def script(world: MeshWorld) -> None:
        await restore(world, now())
        await asyncio.sleep(RECOVER_SECONDS)
        vm = world.vms[0]
        query = table_sync.SyncQuery(table="op", after=900, era=era, wait=5.0)
        started = now()
        response = await vm.serve(table_sync.encode_query(query))
        reply = table_sync.decode_reply(response, default_era=0)
        assert now() - started < 0.1
        assert reply is not None
        assert reply.delta.version.era == 2
        assert reply.delta.whole is (era == 1)

    play(2, script)


# Records of VMs.


@pytest.mark.parametrize("state", [TargetState.LEAVING, TargetState.ABSENT])
def test_target_that_left_is_not_ready_again(state: TargetState) -> None:
    """Guards against requests to a target whose record is older than its end."""
    one = record("one")
    fleet = fleet_of(one)
    fleet.update(replace(one, state=state), at(8))
    fleet.remove("one")
    fleet.update(one, at(3, era=1))
    assert fleet.view_by_host["one"].record.state is state
    fleet.update(replace(one, start_time_ms=2), at(9, era=1))
    assert fleet.view_by_host["one"].record.state is TargetState.READY
