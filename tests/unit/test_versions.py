"""Versions only increase, and a refused one does not change the version in force."""

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from cassiasail._internal.ids import Version
from cassiasail._internal.state.lists import (
    Delta,
    Lists,
    Snapshot,
    diff,
    lists_from_rows,
)
from cassiasail._internal.state.routes import compile_routes
from cassiasail._internal.state.versions import (
    AppliedVersion,
    RefusedVersion,
    VersionedLists,
    VersionRefusal,
)

ROWS: dict[str, dict[str, Any]] = {
    "plan/basic": {},
    "customer/desk": {"plan": "basic", "contact": ""},
}


def delta_to(rows: dict[str, Any], daemon: VersionedLists, version: int) -> Delta:
    new: Lists = lists_from_rows(rows)
    return diff(daemon.lists, new, base=daemon.version, version=Version(version))


def test_delta_with_wrong_digest_changes_nothing() -> None:
    """Guards against a damaged delta that is partly applied."""
    daemon = VersionedLists()
    assert daemon.apply_delta(delta_to(ROWS, daemon, 1)) == AppliedVersion(
        version=Version(1)
    )
    good = delta_to({**ROWS, "plan/gold": {}}, daemon, 2)
    bad = Delta(
        version=good.version,
        base=good.base,
        digest=good.digest + 1,
        changed_by_key=good.changed_by_key,
        removed=good.removed,
    )
    refused = daemon.apply_delta(bad)
    assert isinstance(refused, RefusedVersion)
    assert refused.reason is VersionRefusal.DIGEST
    assert daemon.version == 1
    assert set(daemon.lists.rows_by_key) == set(ROWS)
    assert daemon.table.version == 1


def test_older_snapshot_is_refused() -> None:
    """Guards against a peer that returns a daemon to an older version."""
    daemon = VersionedLists()
    daemon.apply_delta(delta_to(ROWS, daemon, 1))
    old = daemon.snapshot()
    daemon.apply_delta(delta_to({**ROWS, "plan/gold": {}}, daemon, 2))
    refused = daemon.apply_snapshot(old)
    assert isinstance(refused, RefusedVersion)
    assert refused.reason is VersionRefusal.STALE
    assert daemon.version == 2


def test_version_with_undefined_plan_is_refused() -> None:
    """Guards against a route table with a customer whose plan is missing."""
    daemon = VersionedLists()
    refused = daemon.apply_delta(
        delta_to({"customer/desk": {"plan": "none", "contact": ""}}, daemon, 1)
    )
    assert isinstance(refused, RefusedVersion)
    assert refused.reason is VersionRefusal.CONTENT
    assert daemon.version == 0
    assert daemon.last_refusal == refused


PLANS = st.sampled_from(("basic", "gold", "undefined"))
CUSTOMERS = st.dictionaries(
    st.sampled_from(("customer/a", "customer/b", "customer/a b", "customer/")),
    st.fixed_dictionaries({"plan": PLANS}, optional={"contact": st.text(max_size=2)}),
)


@given(st.lists(CUSTOMERS, max_size=6))
def test_customer_deltas_give_the_same_table_as_full_compilation(
    edits: list[dict[str, dict[str, str]]],
) -> None:
    """Guards against an incremental update that gives another route table than a full
    compilation, or accepts rows that a full compilation refuses."""
    daemon = VersionedLists()
    plans: dict[str, Any] = {"plan/basic": {}, "plan/gold": {}}
    daemon.apply_delta(delta_to(plans, daemon, 1))
    for version, customers in enumerate(edits, start=2):
        delta = delta_to({**plans, **customers}, daemon, version)
        full = compile_routes(
            lists_from_rows({**plans, **customers}), version=Version(version)
        )
        outcome = daemon.apply_delta(delta)
        if isinstance(full, list):
            assert isinstance(outcome, RefusedVersion)
            assert outcome.reason is VersionRefusal.CONTENT
        else:
            assert daemon.table == full


def test_delta_with_refused_content_is_joined_with_the_next() -> None:
    """Guards against a daemon that stays on the version before a refused one."""
    daemon, second_daemon = VersionedLists(), VersionedLists()
    for each in (daemon, second_daemon):
        each.apply_delta(delta_to(ROWS, each, 1))
    bad = lists_from_rows({**ROWS, "customer/x": {"plan": "none", "contact": ""}})
    good = lists_from_rows({**ROWS, "plan/gold": {}})
    deltas = [
        diff(daemon.lists, bad, base=Version(1), version=Version(2)),
        diff(bad, good, base=Version(2), version=Version(3)),
    ]
    assert daemon.apply_deltas(deltas) == AppliedVersion(version=Version(3))
    assert daemon.lists == good
    deltas_for_peer = daemon.deltas_since(Version(1))
    assert (
        deltas_for_peer is not None
        and second_daemon.apply_deltas(deltas_for_peer).version == 3
    )
    assert second_daemon.lists == good


def test_empty_lists_are_refused_and_snapshot_keeps_a_delta() -> None:
    """Guards against an empty configuration in force, and against a daemon that has to
    send a snapshot to every peer after it applied one itself."""
    daemon, peer = VersionedLists(), VersionedLists()
    for each in (daemon, peer):
        each.apply_delta(delta_to(ROWS, each, 1))
    empty = Snapshot(version=Version(9), digest=0, rows_by_key={})
    assert isinstance(daemon.apply_snapshot(empty), RefusedVersion)
    new = lists_from_rows({**ROWS, "plan/gold": {}})
    snapshot = Snapshot(
        version=Version(5), digest=new.digest, rows_by_key=new.rows_by_key
    )
    assert daemon.apply_snapshot(snapshot) == AppliedVersion(version=Version(5))
    deltas = daemon.deltas_since(Version(1))
    assert deltas is not None and len(deltas) == 1
    assert peer.apply_deltas(deltas) == AppliedVersion(version=Version(5))
