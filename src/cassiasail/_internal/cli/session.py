"""The session of one command: access to the store, the daemons and the output."""

import time
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any, TypeVar

from ...exceptions import CommandError
from ..clock import Clock, SystemClock
from ..coordination.history import (
    Damaged,
    Head,
    HistoryEntry,
    load_lists,
    read_head,
    read_version,
)
from ..coordination.store import (
    Committed,
    Condition,
    Conflict,
    Put,
    Remove,
    StoredRow,
    StoreFailure,
    StoreFailureReason,
)
from ..ids import Version
from ..state.lists import Lists
from ..transport.store_http import HttpStore
from .daemons import DaemonResponse, query_all
from .exit_codes import ExitCode
from .options import Options, usage_error
from .output import Output

# A command prints a note if one request to the store takes at least this long.
SLOW_REQUEST_SECONDS = 1.0

# A command sends about ten requests. The limit only prevents a bug in the command
# line from overloading the store.
MAX_STORE_REQUESTS_PER_SECOND = 50.0

_Result = TypeVar("_Result")


class TimedStore:
    """Forwards requests to a store and records the duration of the slowest one."""

    def __init__(self, store: HttpStore) -> None:
        self._store = store
        self.slowest_seconds = 0.0

    async def read(
        self, keys: Sequence[str]
    ) -> Mapping[str, StoredRow | None] | StoreFailure:
        return await self._timed(self._store.read(keys))

    async def scan(
        self, prefix: str, *, limit: int = 1000, descending: bool = False
    ) -> Mapping[str, StoredRow] | StoreFailure:
        return await self._timed(
            self._store.scan(prefix, limit=limit, descending=descending)
        )

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Put | Remove]
    ) -> Committed | Conflict | StoreFailure:
        return await self._timed(self._store.transact(conditions, writes))

    async def get_object(self, name: str) -> bytes | None | StoreFailure:
        return await self._timed(self._store.get_object(name))

    async def put_object(self, name: str, data: bytes) -> None | StoreFailure:
        return await self._timed(self._store.put_object(name, data))

    async def close(self) -> None:
        await self._store.close()

    async def _timed(self, request: Awaitable[_Result]) -> _Result:
        started = time.monotonic()
        result = await request
        self.slowest_seconds = max(self.slowest_seconds, time.monotonic() - started)
        return result


class Session:
    """Resources of one command; ``main`` opens and closes the session."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self.output = Output(as_json=options.json)
        self.clock: Clock = SystemClock()
        self._store: TimedStore | None = None
        # Called after all connections are closed; ``edit`` uses it to replace this
        # process by the editor.
        self.after_close: Callable[[], None] | None = None

    @property
    def store(self) -> TimedStore:
        """The store of the settings; the client is created at first use."""
        if not self.options.store:
            raise usage_error(
                "no store is set; use --store HOST:PORT or 'store = HOST:PORT' in the "
                "settings file"
            )
        if self._store is None:
            self._store = TimedStore(
                HttpStore(
                    address=self.options.store,
                    clock=self.clock,
                    timeout=self.options.timeout,
                    rate=MAX_STORE_REQUESTS_PER_SECOND,
                )
            )
        return self._store

    @property
    def slowest_request_seconds(self) -> float:
        """Duration in seconds of the slowest request to the store, else 0."""
        return self._store.slowest_seconds if self._store else 0.0

    async def close(self) -> None:
        """Close all connections."""
        if self._store is not None:
            await self._store.close()

    async def query_daemons(self, path: str) -> list[DaemonResponse]:
        """Return the response of each configured daemon to ``GET path``."""
        return await query_all(self.options.daemons, path)

    async def read_newest_head(self) -> Head:
        """Return the head row of the newest version."""
        return self.unwrap(await read_head(self.store))

    async def read_lists(self, version: Version | None) -> tuple[Head, Lists]:
        """Return the head row and the lists of a version, by default the newest."""
        head = await self.read_newest_head()
        if version is not None and version != head.version:
            entry = self.unwrap(await read_version(self.store, version))
            head = self._head_of_entry(version, entry)
        return head, self.unwrap(await load_lists(self.store, head.row))

    def unwrap(self, result: _Result | Damaged | StoreFailure) -> _Result:
        """Return ``result``, or raise ``CommandError`` if it is a failure."""
        if isinstance(result, StoreFailure | Damaged):
            raise self.store_error(result)
        return result

    def store_error(self, failure: StoreFailure | Damaged) -> CommandError:
        """Return the error for a failed store request or damaged data in the store."""
        if isinstance(failure, Damaged):
            return damaged_error(failure)
        return CommandError(
            f"{self._failure_text(failure)}. What is in force stays in force; try "
            "again when the store responds",
            exit_code=ExitCode.STORE_UNREACHABLE,
        )

    def _failure_text(self, failure: StoreFailure) -> str:
        store = f"the store at {self.options.store}"
        text_by_reason = {
            StoreFailureReason.TIMEOUT: (
                f"{store} did not respond within {self.options.timeout:g} s"
            ),
            StoreFailureReason.UNREACHABLE: f"no connection to {store}",
            StoreFailureReason.UNAVAILABLE: f"{store} says that it is unavailable",
            StoreFailureReason.MALFORMED: f"{store} sent a malformed response",
            StoreFailureReason.BUDGET: f"too many requests sent to {store}",
        }
        return text_by_reason[failure.reason]

    def _head_of_entry(self, version: Version, entry: HistoryEntry | None) -> Head:
        if entry is None:
            raise unknown_version_error(version)
        if entry.row is None:
            raise damaged_error(
                Damaged(name=f"version {version}", detail="its history row is damaged")
            )
        return Head(row=entry.row.head, revision=entry.revision)


def damaged_error(damaged: Damaged) -> CommandError:
    """Return the error for damaged data in the store."""
    return CommandError(
        f"the store holds damaged data: {damaged.name}: {damaged.detail}; daemons keep "
        "the last good version. 'cassiasail undo VERSION' of the newest version "
        "replaces it",
        exit_code=ExitCode.STORE_DAMAGED,
    )


def unknown_version_error(version: Version) -> CommandError:
    """Return the error for a version that does not exist."""
    return CommandError(
        f"there is no version {version}; 'cassiasail history' lists all versions",
        exit_code=ExitCode.INPUT_FAULTS,
    )


def head_data(head: Head) -> dict[str, Any]:
    """Return the JSON fields of a version."""
    digest = f"{head.row.digest:032x}" if head.row else ""
    return {"version": head.version, "revision": head.revision, "digest": digest}


def head_line(head: Head) -> str:
    """Return a version as a line of text."""
    if head.row is None:
        return "nothing is committed yet; apply the first lists with --expect 0"
    return f"version {head.version}, revision {head.revision}"
