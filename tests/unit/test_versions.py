"""Versions rise, and a refused one leaves the version in force untouched."""

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


def delta_to(rows: dict[str, Any], held: VersionedLists, version: int) -> Delta:
    new: Lists = lists_from_rows(rows)
    return diff(held.lists, new, base=held.version, version=Version(version))


def test_delta_with_wrong_digest_changes_nothing() -> None:
    """Guards against a damaged delta that is applied in part."""
    held = VersionedLists()
    assert held.apply_delta(delta_to(ROWS, held, 1)) == AppliedVersion(
        version=Version(1)
    )
    good = delta_to({**ROWS, "plan/gold": {}}, held, 2)
    bad = Delta(
        version=good.version,
        base=good.base,
        digest=good.digest + 1,
        changed_by_key=good.changed_by_key,
        removed=good.removed,
    )
    refused = held.apply_delta(bad)
    assert isinstance(refused, RefusedVersion)
    assert refused.reason is VersionRefusal.DIGEST
    assert held.version == 1
    assert set(held.lists.rows_by_key) == set(ROWS)
    assert held.table.version == 1


def test_older_snapshot_is_dropped() -> None:
    """Guards against a stale peer that takes a daemon back."""
    held = VersionedLists()
    held.apply_delta(delta_to(ROWS, held, 1))
    old = held.snapshot()
    held.apply_delta(delta_to({**ROWS, "plan/gold": {}}, held, 2))
    refused = held.apply_snapshot(old)
    assert isinstance(refused, RefusedVersion)
    assert refused.reason is VersionRefusal.STALE
    assert held.version == 2


def test_customer_with_undefined_plan_refuses_the_version() -> None:
    """Guards against a route table that points at a missing plan."""
    held = VersionedLists()
    refused = held.apply_delta(
        delta_to({"customer/desk": {"plan": "none", "contact": ""}}, held, 1)
    )
    assert isinstance(refused, RefusedVersion)
    assert refused.reason is VersionRefusal.CONTENT
    assert held.version == 0
    assert held.last_refusal == refused


PLANS = st.sampled_from(("basic", "gold", "undefined"))
CUSTOMERS = st.dictionaries(
    st.sampled_from(("customer/a", "customer/b", "customer/a b", "customer/")),
    st.fixed_dictionaries({"plan": PLANS}, optional={"contact": st.text(max_size=2)}),
)


@given(st.lists(CUSTOMERS, max_size=6))
def test_deltas_of_customers_equal_a_full_compilation(
    edits: list[dict[str, dict[str, str]]],
) -> None:
    """Guards against a shortcut that accepts or builds something else."""
    held = VersionedLists()
    plans: dict[str, Any] = {"plan/basic": {}, "plan/gold": {}}
    held.apply_delta(delta_to(plans, held, 1))
    for version, customers in enumerate(edits, start=2):
        delta = delta_to({**plans, **customers}, held, version)
        full = compile_routes(
            lists_from_rows({**plans, **customers}), version=Version(version)
        )
        outcome = held.apply_delta(delta)
        if isinstance(full, list):
            assert isinstance(outcome, RefusedVersion)
            assert outcome.reason is VersionRefusal.CONTENT
        else:
            assert held.table == full


def test_version_with_refused_content_is_joined_with_the_next() -> None:
    """Guards against a daemon that stays behind a version its checks refuse."""
    held, writer = VersionedLists(), VersionedLists()
    for one in (held, writer):
        one.apply_delta(delta_to(ROWS, one, 1))
    bad = lists_from_rows({**ROWS, "customer/x": {"plan": "none", "contact": ""}})
    good = lists_from_rows({**ROWS, "plan/gold": {}})
    deltas = [
        diff(held.lists, bad, base=Version(1), version=Version(2)),
        diff(bad, good, base=Version(2), version=Version(3)),
    ]
    assert held.apply_deltas(deltas) == AppliedVersion(version=Version(3))
    assert held.lists == good
    behind = held.deltas_since(Version(1))
    assert behind is not None and writer.apply_deltas(behind).version == 3
    assert writer.lists == good


def test_empty_lists_are_refused_and_snapshots_keep_a_delta() -> None:
    """Guards against an empty configuration, and against snapshots for every peer."""
    held, peer = VersionedLists(), VersionedLists()
    for one in (held, peer):
        one.apply_delta(delta_to(ROWS, one, 1))
    empty = Snapshot(version=Version(9), digest=0, rows_by_key={})
    assert isinstance(held.apply_snapshot(empty), RefusedVersion)
    new = lists_from_rows({**ROWS, "plan/gold": {}})
    snapshot = Snapshot(
        version=Version(5), digest=new.digest, rows_by_key=new.rows_by_key
    )
    assert held.apply_snapshot(snapshot) == AppliedVersion(version=Version(5))
    deltas = held.deltas_since(Version(1))
    assert deltas is not None and len(deltas) == 1
    assert peer.apply_deltas(deltas) == AppliedVersion(version=Version(5))
