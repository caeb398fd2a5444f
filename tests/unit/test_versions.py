"""Versions rise, and a refused one leaves the version in force untouched."""

from typing import Any

from cassiasail._internal.ids import Version
from cassiasail._internal.state.lists import Delta, Lists, diff, lists_from_rows
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
