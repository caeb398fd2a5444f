"""The store in memory, with commits of valid and faulty versions."""

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
    """Table and objects of the store, shared by all daemons of a test."""

    def __init__(self) -> None:
        self.rows: dict[str, StoredRow] = {}
        self.objects: dict[str, bytes] = {}
        self.revision = 0
        self.down = False
        self.request_count = 0
        # Version 0 has the lists that a benchmark starts from, if any.
        self.lists_by_version: dict[int, Lists] = {}
        self.faulty_versions: set[int] = set()

    def commit(self, rng: random.Random, *, fault: str = "") -> int:
        """Commit the next version and return its number.

        ``fault`` makes it one that daemons must refuse: ``content`` (a row refers to an
        undefined plan), ``damaged`` (truncated objects), ``missing`` (no objects),
        ``digest`` (wrong digest in the rows) or ``row`` (malformed rows).
        """
        version = max(self.lists_by_version, default=0) + 1
        newest_valid = max(
            (
                number
                for number in self.lists_by_version
                if number not in self.faulty_versions
            ),
            default=0,
        )
        old = self.lists_by_version.get(version - 1, Lists())
        rows = dict(self.lists_by_version.get(newest_valid, Lists()).rows_by_key)
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
        self.lists_by_version[version] = new
        if fault:
            self.faulty_versions.add(version)
        return version

    @property
    def newest_valid_version(self) -> int:
        """The newest version without a fault, which daemons must apply."""
        return max(
            (
                number
                for number in self.lists_by_version
                if number not in self.faulty_versions
            ),
            default=0,
        )

    def put(self, key: str, value: Any) -> None:
        self.revision += 1
        self.rows[key] = StoredRow(value=value, revision=self.revision)


class StoreClient:
    """The store of one daemon; requests time out while ``reachable`` returns false."""

    def __init__(self, store: MemoryStore, reachable: Callable[[], bool]) -> None:
        self._store = store
        self._reachable = reachable

    def _failure(self) -> StoreFailure | None:
        """Count the request; return a timeout if the store is down or unreachable."""
        self._store.request_count += 1
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
