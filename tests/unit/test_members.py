"""Member tables converge to equal records and digests in any order of merging."""

import random
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from cassiasail._internal.coordination import topology
from cassiasail._internal.ids import DaemonId, DataCentre, Region
from cassiasail._internal.state.members import (
    TOMBSTONE_SECONDS,
    MemberRecord,
    MemberState,
    MemberTable,
    MergeOutcome,
)


def record(
    name: str, incarnation: int = 1, sequence: int = 0, *, dead: bool = False
) -> MemberRecord:
    return MemberRecord(
        id=DaemonId(name),
        incarnation=incarnation,
        sequence=sequence,
        region=Region("r"),
        data_centre=DataCentre("a"),
        peer_addr=name,
        http_addr="",
        admin_addr="",
        state=MemberState.DEAD if dead else MemberState.ALIVE,
    )


RECORDS = st.lists(
    st.builds(
        record,
        st.sampled_from("abcd"),
        st.integers(1, 3),
        st.integers(0, 3),
        dead=st.booleans(),
    ),
    max_size=30,
)


@given(RECORDS, st.randoms(use_true_random=False))
def test_merge_is_independent_of_order(
    records: list[MemberRecord], rng: random.Random
) -> None:
    """Guards against tables that stay different after the same records."""
    tables = [MemberTable(own_record=record(name)) for name in "xy"]
    shuffled = records + rng.sample(records, len(records))
    rng.shuffle(shuffled)
    for table, arrivals in zip(tables, (records, shuffled), strict=True):
        for item in arrivals:
            table.merge(item, now=0.0)
        table.merge(record("x"), now=0.0)
        table.merge(record("y"), now=0.0)
    left, right = tables
    assert {item.id: item for item in left.living()} == {
        item.id: item for item in right.living()
    }
    assert left.digests() == right.digests()
    for item in records:
        stored = left.get(item.id)
        assert stored is not None and not item.supersedes(stored)


def test_tombstone_of_this_daemon_and_earlier_incarnation_are_refuted() -> None:
    """Guards against a paused daemon that stays dead after a false suspicion, and
    against a new incarnation with a slower clock that the fleet ignores."""
    table = MemberTable(own_record=record("a", 5))
    assert table.merge(record("a", 5, 0, dead=True), now=0.0) is MergeOutcome.REFUTED
    assert (table.own_record.incarnation, table.own_record.sequence) == (5, 1)
    assert table.merge(record("a", 9, 3), now=0.0) is MergeOutcome.REFUTED
    assert table.own_record.incarnation == 10
    assert table.own_record.state is MemberState.ALIVE


def test_tombstone_rejects_older_records_for_ten_minutes() -> None:
    """Guards against a late record that makes a dead member alive again."""
    table = MemberTable(own_record=record("a"))
    table.merge(record("b"), now=0.0)
    table.declare_dead(DaemonId("b"), now=10.0)
    assert table.merge(record("b"), now=11.0) is MergeOutcome.STALE
    assert len(table) == 1
    table.expire(now=10.0 + TOMBSTONE_SECONDS - 1)
    assert table.get(DaemonId("b")) is not None
    table.expire(now=10.0 + TOMBSTONE_SECONDS)
    assert table.get(DaemonId("b")) is None


@given(st.integers(1, 300), st.integers(2, 24), st.integers(0, 99))
def test_tree_is_connected_and_few_children_move(
    size: int, fan_out: int, seed: int
) -> None:
    """Guards against cycles, too many relays, and a removal that moves most members."""
    rng = random.Random(seed)
    members = [
        replace(record(f"h{rng.random()}"), data_centre=DataCentre(f"dc{i % 3}"))
        for i in range(size)
    ]

    def first_parents(living: list[MemberRecord]) -> dict[DaemonId, DaemonId]:
        tree = topology.build_tree(living, store_region=Region("r"))
        found = {}
        for item in living:
            centre = item.data_centre
            ids = [other.id for other in living if other.data_centre == centre]
            head = tree.head_by_data_centre[centre]
            relays = topology.choose_relays(ids, head=head, fan_out=fan_out)
            assert len(relays) <= -(-len(ids) // fan_out)
            candidates = topology.parent_candidates(item, tree, relays)
            if candidates:
                found[item.id] = candidates[0]
        return found

    before = first_parents(members)
    for item in members:
        at, hops = item.id, 0
        while at in before:
            at, hops = before[at], hops + 1
            assert hops <= 4
    removed = rng.choice(members)
    after = first_parents([item for item in members if item.id != removed.id])
    moved = [
        d for d in after if d in before and before[d] not in (removed.id, after[d])
    ]
    # At most one relay changes its role, and only its children move.
    assert len(moved) <= 4 * fan_out
