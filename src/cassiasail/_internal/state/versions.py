"""The configuration version in force on one daemon.

Versions only increase. A delta or snapshot is checked completely on a copy, which then
replaces the lists in force with one assignment. If it is refused, the version in force
does not change.
"""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from .. import invariants, metrics
from ..ids import NO_VERSION, Version
from .lists import Delta, Lists, Snapshot, apply_changes, diff, lists_from_rows
from .routes import RouteTable, RowFault, compile_routes, patch_customers

# Peers on an older version get the deltas since it; a larger gap needs a snapshot.
MAX_KEPT_DELTAS = 64


class VersionRefusal(Enum):
    """Why a delta or snapshot was not applied.

    ``STALE``: not newer than the version in force. ``GAP``: the delta does not start at
    the version in force. ``DIGEST``: the digest does not match. ``CONTENT``: the rows
    are empty or don't compile to a route table. ``MALFORMED`` and ``MISSING``: a row or
    object of the version in the store cannot be decoded or does not exist.
    """

    STALE = "stale"
    GAP = "gap"
    DIGEST = "digest"
    CONTENT = "content"
    MALFORMED = "malformed"
    MISSING = "missing"


# Reasons that mean that the version is bad, not that it arrived out of order.
_BAD_VERSION_REASONS = frozenset(
    (
        VersionRefusal.DIGEST,
        VersionRefusal.CONTENT,
        VersionRefusal.MALFORMED,
        VersionRefusal.MISSING,
    )
)


@dataclass(frozen=True, slots=True, kw_only=True)
class RefusedVersion:
    """A version that was not applied, with its reason."""

    version: Version
    reason: VersionRefusal
    detail: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class AppliedVersion:
    """A version that is now in force."""

    version: Version


class VersionedLists:
    """The version in force, its route table and the deltas that led to it."""

    def __init__(self) -> None:
        self.version = NO_VERSION
        self.lists = Lists()
        self.table = RouteTable(version=NO_VERSION)
        self.delta_by_base: OrderedDict[Version, Delta] = OrderedDict()
        # The last refusal of a bad version, shown in the status until that version or a
        # newer one is in force.
        self.last_refusal: RefusedVersion | None = None

    def apply_delta(self, delta: Delta) -> AppliedVersion | RefusedVersion:
        """Apply ``delta`` if it starts at the version in force and is valid."""
        if delta.version <= self.version:
            return self._refuse(delta.version, VersionRefusal.STALE)
        if delta.base != self.version or delta.version <= delta.base:
            return self._refuse(delta.version, VersionRefusal.GAP)
        lists = apply_changes(self.lists, delta.changed_by_key, delta.removed)
        outcome = self._apply(delta.version, delta.digest, lists, delta=delta)
        if isinstance(outcome, AppliedVersion):
            self._keep_delta(delta)
        return outcome

    def apply_deltas(self, deltas: Sequence[Delta]) -> AppliedVersion | RefusedVersion:
        """Apply consecutive deltas; return the outcome of the last one.

        A later version may correct refused content, so a delta refused for its content
        is joined with the next one and both are applied as one change. After any other
        refusal the remaining deltas are skipped.
        """
        outcome: AppliedVersion | RefusedVersion = AppliedVersion(version=self.version)
        refused: Delta | None = None
        for delta in deltas:
            if delta.version <= self.version:
                continue
            if refused is not None and delta.base == refused.version:
                delta = join_deltas(refused, delta)
            outcome = self.apply_delta(delta)
            if isinstance(outcome, AppliedVersion):
                refused = None
            elif outcome.reason is VersionRefusal.CONTENT:
                refused = delta
            else:
                return outcome
        return outcome

    def apply_snapshot(self, snapshot: Snapshot) -> AppliedVersion | RefusedVersion:
        """Replace all lists by ``snapshot`` if it is newer and valid."""
        if snapshot.version <= self.version:
            return self._refuse(snapshot.version, VersionRefusal.STALE)
        old_lists, base = self.lists, self.version
        lists = lists_from_rows(snapshot.rows_by_key)
        outcome = self._apply(snapshot.version, snapshot.digest, lists)
        if isinstance(outcome, AppliedVersion) and base != NO_VERSION:
            # Peers on the old version get this delta instead of the whole snapshot.
            self._keep_delta(
                diff(old_lists, lists, base=base, version=snapshot.version)
            )
        return outcome

    def refuse_unreadable(
        self, version: Version, reason: VersionRefusal
    ) -> RefusedVersion:
        """Record that ``version`` exists but could not be read."""
        return self._refuse(version, reason)

    def deltas_since(self, version: Version) -> list[Delta] | None:
        """Return the deltas from ``version`` to the version in force.

        Returns None if one of them is no longer kept.
        """
        deltas: list[Delta] = []
        while version != self.version:
            delta = self.delta_by_base.get(version)
            if delta is None:
                return None
            deltas.append(delta)
            version = delta.version
        return deltas

    def snapshot(self) -> Snapshot:
        """Return the version in force as a snapshot."""
        return Snapshot(
            version=self.version,
            digest=self.lists.digest,
            rows_by_key=self.lists.rows_by_key,
        )

    def _apply(
        self,
        version: Version,
        digest: int,
        lists: Lists,
        *,
        delta: Delta | None = None,
    ) -> AppliedVersion | RefusedVersion:
        """Check ``lists`` and put them in force, or refuse the version."""
        if lists.digest != digest:
            return self._refuse(version, VersionRefusal.DIGEST)
        if not lists.rows_by_key:
            # With empty lists, the whole fleet would refuse every call.
            return self._refuse(version, VersionRefusal.CONTENT, "no rows")
        table = self._compile(lists, version, delta)
        if isinstance(table, list):
            detail = "; ".join(f"{fault.key}: {fault.problem}" for fault in table[:5])
            return self._refuse(version, VersionRefusal.CONTENT, detail)
        invariants.check(
            "version_rises", version > self.version, f"{self.version} -> {version}"
        )
        self.version, self.lists, self.table = version, lists, table
        invariants.check(
            "table_matches_version",
            self.table.version == self.version and self.lists.digest == digest,
        )
        if self.last_refusal and self.last_refusal.version <= version:
            self.last_refusal = None
        metrics.VERSION.set(version)
        return AppliedVersion(version=version)

    def _compile(
        self, lists: Lists, version: Version, delta: Delta | None
    ) -> RouteTable | list[RowFault]:
        """Return the route table of ``lists``, or the faults in their rows.

        A delta that only changes customers is applied to the table in force.
        """
        if delta is not None and self.version != NO_VERSION:
            table = patch_customers(
                self.table,
                lists,
                changed=delta.changed_by_key.keys(),
                removed=delta.removed,
                version=version,
            )
            if table is not None:
                return table
        return compile_routes(lists, version=version)

    def _refuse(
        self, version: Version, reason: VersionRefusal, detail: str = ""
    ) -> RefusedVersion:
        metrics.VERSIONS_REFUSED.labels(reason.value).inc()
        refused = RefusedVersion(version=version, reason=reason, detail=detail)
        if reason in _BAD_VERSION_REASONS:
            self.last_refusal = refused
        return refused

    def _keep_delta(self, delta: Delta) -> None:
        self.delta_by_base[delta.base] = delta
        while len(self.delta_by_base) > MAX_KEPT_DELTAS:
            self.delta_by_base.popitem(last=False)


def join_deltas(first: Delta, second: Delta) -> Delta:
    """Return one delta with the effect of ``first`` and then ``second``."""
    changed = {
        key: fields
        for key, fields in first.changed_by_key.items()
        if key not in second.removed
    }
    changed.update(second.changed_by_key)
    removed = {*first.removed, *second.removed} - changed.keys()
    return Delta(
        version=second.version,
        base=first.base,
        digest=second.digest,
        changed_by_key=changed,
        removed=tuple(sorted(removed)),
    )
