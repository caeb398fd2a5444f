"""The platform in memory, with commits of good and bad versions."""

import random
from collections.abc import Callable
from typing import Any

from cassiasail._internal.coordination.store import (
    ABSENT,
    Committed,
    Conflict,
    Put,
    StoredRow,
    StoreFailure,
    StoreFailureReason,
)
from cassiasail._internal.ids import EditId, Version
from cassiasail._internal.state import listcodec
from cassiasail._internal.state.lists import Lists, Snapshot, diff, lists_from_rows


class MemoryStore:
    """Table and objects of the platform, shared by all daemons."""

    def __init__(self) -> None:
        self.rows: dict[str, StoredRow] = {}
        self.objects: dict[str, bytes] = {}
        self.revision = 0
        self.down = False
        self.reads = 0
        # Version 0 holds the lists that a bench starts from, if any.
        self.committed: dict[int, Lists] = {}
        self.bad_versions: set[int] = set()

    def commit(self, rng: random.Random, *, fault: str = "") -> int:
        """Commit the next version; ``fault`` makes it a bad one."""
        version = max(self.committed, default=0) + 1
        good = max((v for v in self.committed if v not in self.bad_versions), default=0)
        old = self.committed.get(version - 1, Lists())
        rows = dict(self.committed.get(good, Lists()).rows_by_key)
        rows["plan/basic"] = {}
        rows[f"customer/c{rng.randrange(40)}"] = {
            "plan": "basic",
            "contact": f"desk {version}",
        }
        if fault == "content":
            rows["customer/lost"] = {"plan": "undefined", "contact": ""}
        new = lists_from_rows(rows)
        delta = diff(old, new, base=Version(version - 1), version=Version(version))
        snapshot = Snapshot(
            version=Version(version), digest=new.digest, rows_by_key=rows
        )
        edit = f"edit-{version}"
        objects = {
            listcodec.delta_name(edit): listcodec.encode_delta(delta),
            listcodec.snapshot_name(edit): listcodec.encode_snapshot(snapshot),
        }
        if fault == "damaged":
            objects = {name: data[:-3] for name, data in objects.items()}
        if fault != "missing":
            self.objects.update(objects)
        head = listcodec.HeadRow(
            version=Version(version),
            digest=new.digest + (fault == "digest"),
            edit_id=EditId(edit),
            snapshot=listcodec.snapshot_name(edit),
            delta=listcodec.delta_name(edit),
        )
        value = listcodec.encode_head(head) if fault != "row" else {"version": "x"}
        self.put(listcodec.HEAD_KEY, value)
        self.put(listcodec.version_key(version), value)
        self.committed[version] = new
        if fault:
            self.bad_versions.add(version)
        return version

    @property
    def newest(self) -> int:
        """The newest version that may come into force."""
        return max((v for v in self.committed if v not in self.bad_versions), default=0)

    def put(self, key: str, value: Any) -> None:
        self.revision += 1
        self.rows[key] = StoredRow(value=value, revision=self.revision)


class StoreClient:
    """The store as one daemon reaches it; a region cut separates it."""

    def __init__(self, store: MemoryStore, reachable: Callable[[], bool]) -> None:
        self._store = store
        self._reachable = reachable

    def _failure(self) -> StoreFailure | None:
        self._store.reads += 1
        if self._store.down or not self._reachable():
            return StoreFailure(reason=StoreFailureReason.TIMEOUT)
        return None

    async def read(self, keys: Any) -> Any:
        return self._failure() or {key: self._store.rows.get(key) for key in keys}

    async def scan(
        self, prefix: str, *, limit: int = 1000, descending: bool = False
    ) -> Any:
        keys = sorted(
            (key for key in self._store.rows if key.startswith(prefix)),
            reverse=descending,
        )
        return self._failure() or {key: self._store.rows[key] for key in keys[:limit]}

    async def transact(self, conditions: Any, writes: Any) -> Any:
        if failure := self._failure():
            return failure
        for item in conditions:
            row = self._store.rows.get(item.key)
            if (row.revision if row else ABSENT) != item.revision:
                return Conflict(rows_by_key={item.key: row})
        for write in writes:
            assert isinstance(write, Put)
            self._store.put(write.key, write.value)
        return Committed(revision=self._store.revision)

    async def get_object(self, name: str) -> Any:
        return self._failure() or self._store.objects.get(name)

    async def put_object(self, name: str, data: bytes) -> Any:
        return self._failure()
