"""The configuration version in force on one daemon.

Versions only rise. A delta or snapshot is checked in full on a copy, then swapped
in with one assignment; a refused one leaves the version in force untouched.
"""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from .. import invariants, metrics
from ..ids import NO_VERSION, Version
from .lists import Delta, Lists, Snapshot, apply_changes, lists_from_rows
from .routes import RouteTable, compile_routes

# Deltas kept to resume peers that are behind; a larger gap needs a snapshot.
KEPT_DELTAS = 64


class VersionRefusal(Enum):
    """Why a delta or snapshot was not applied."""

    STALE = "stale"
    GAP = "gap"
    DIGEST = "digest"
    CONTENT = "content"


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
        # The last refusal that still matters, shown in the status.
        self.last_refusal: RefusedVersion | None = None

    def apply_delta(self, delta: Delta) -> AppliedVersion | RefusedVersion:
        """Apply ``delta`` if it starts at the version in force and is sound."""
        if delta.version <= self.version:
            return self._refuse(delta.version, VersionRefusal.STALE)
        if delta.base != self.version or delta.version <= delta.base:
            return self._refuse(delta.version, VersionRefusal.GAP)
        lists = apply_changes(self.lists, delta.changed_by_key, delta.removed)
        outcome = self._adopt(delta.version, delta.digest, lists)
        if isinstance(outcome, AppliedVersion):
            self.delta_by_base[delta.base] = delta
            while len(self.delta_by_base) > KEPT_DELTAS:
                self.delta_by_base.popitem(last=False)
        return outcome

    def apply_snapshot(self, snapshot: Snapshot) -> AppliedVersion | RefusedVersion:
        """Replace everything by ``snapshot`` if it is newer and sound."""
        if snapshot.version <= self.version:
            return self._refuse(snapshot.version, VersionRefusal.STALE)
        lists = lists_from_rows(snapshot.rows_by_key)
        outcome = self._adopt(snapshot.version, snapshot.digest, lists)
        if isinstance(outcome, AppliedVersion):
            # Deltas before a snapshot do not connect to it.
            self.delta_by_base.clear()
        return outcome

    def deltas_since(self, version: Version) -> list[Delta] | None:
        """Return the deltas from ``version`` to the one in force, None if unknown."""
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

    def _adopt(
        self, version: Version, digest: int, lists: Lists
    ) -> AppliedVersion | RefusedVersion:
        if lists.digest != digest:
            return self._refuse(version, VersionRefusal.DIGEST)
        table = compile_routes(lists, version=version)
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

    def _refuse(
        self, version: Version, reason: VersionRefusal, detail: str = ""
    ) -> RefusedVersion:
        metrics.VERSIONS_REFUSED.labels(reason.value).inc()
        refused = RefusedVersion(version=version, reason=reason, detail=detail)
        if reason in (VersionRefusal.DIGEST, VersionRefusal.CONTENT):
            self.last_refusal = refused
        return refused
