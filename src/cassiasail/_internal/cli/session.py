"""What a command works with: the store, the daemons and the output."""

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
from .daemons import DaemonAnswer, ask_all
from .exit_codes import ExitCode
from .options import Options, usage_error
from .output import Output

# Seconds of one request to the store from which the operator is told about it.
SLOW_SECONDS = 1.0

# Requests per second to the store. A command needs about ten; the bound only keeps
# a fault of the command line from loading the store.
STORE_RATE = 50.0

_T = TypeVar("_T")


class TimedStore:
    """Passes requests on to a store and keeps the time of the slowest one."""

    def __init__(self, store: HttpStore) -> None:
        self._store = store
        self.slowest = 0.0

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

    async def _timed(self, request: Awaitable[_T]) -> _T:
        started = time.monotonic()
        result = await request
        self.slowest = max(self.slowest, time.monotonic() - started)
        return result


class Session:
    """Opened by ``main`` for one command and closed after it."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self.output = Output(as_json=options.json)
        self.clock: Clock = SystemClock()
        self._store: TimedStore | None = None
        # Runs after everything is closed; ``edit`` replaces the process there.
        self.last_step: Callable[[], None] | None = None

    @property
    def store(self) -> TimedStore:
        """The store; opened at first use."""
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
                    rate=STORE_RATE,
                )
            )
        return self._store

    @property
    def slowest_request(self) -> float:
        """Seconds of the slowest request to the store, 0 without any."""
        return self._store.slowest if self._store else 0.0

    async def close(self) -> None:
        """Close all connections."""
        if self._store is not None:
            await self._store.close()

    async def ask_daemons(self, path: str) -> list[DaemonAnswer]:
        """Ask all daemons of the settings."""
        return await ask_all(self.options.daemons, path)

    async def head(self) -> Head:
        """Return the newest version."""
        return self.expect(await read_head(self.store))

    async def lists_of(self, version: Version | None) -> tuple[Head, Lists]:
        """Return a version, by default the newest, with its lists."""
        head = await self.head()
        if version is not None and version != head.version:
            entry = self.expect(await read_version(self.store, version))
            head = self._old_head(version, entry)
        return head, self.expect(await load_lists(self.store, head.row))

    def expect(self, result: _T | Damaged | StoreFailure) -> _T:
        """Return ``result``, or raise ``CommandError`` if it is a failure."""
        if isinstance(result, StoreFailure | Damaged):
            raise self.error_of(result)
        return result

    def error_of(self, failure: StoreFailure | Damaged) -> CommandError:
        """Return the error of a store that gave no result, or no usable one."""
        if isinstance(failure, Damaged):
            return damaged_error(failure)
        return CommandError(
            f"{self._failure_text(failure)}. What is in force stays in force; try "
            "again when the store answers",
            exit_code=ExitCode.STORE_UNREACHABLE,
        )

    def _failure_text(self, failure: StoreFailure) -> str:
        place = f"the store at {self.options.store}"
        text_by_reason = {
            StoreFailureReason.TIMEOUT: (
                f"{place} did not answer within {self.options.timeout:g} s"
            ),
            StoreFailureReason.UNREACHABLE: f"no connection to {place}",
            StoreFailureReason.UNAVAILABLE: f"{place} says that it is unavailable",
            StoreFailureReason.MALFORMED: f"{place} does not speak its protocol",
            StoreFailureReason.BUDGET: f"too many requests to {place}",
        }
        return text_by_reason[failure.reason]

    def _old_head(self, version: Version, entry: HistoryEntry | None) -> Head:
        if entry is None:
            raise no_version(version)
        if entry.row is None:
            raise damaged_error(
                Damaged(name=f"version {version}", detail="its history row is damaged")
            )
        return Head(row=entry.row.head, revision=entry.revision)


def damaged_error(damaged: Damaged) -> CommandError:
    """Return the error of data in the store that cannot be used."""
    return CommandError(
        f"the store holds damaged data: {damaged.name}: {damaged.detail}; daemons keep "
        "the last good version. 'cassiasail undo VERSION' of the newest version "
        "replaces it",
        exit_code=ExitCode.STORE_DAMAGED,
    )


def no_version(version: Version) -> CommandError:
    """Return the error of a version that does not exist."""
    return CommandError(
        f"there is no version {version}; 'cassiasail history' lists all versions",
        exit_code=ExitCode.INPUT_FAULTS,
    )


def head_data(head: Head) -> dict[str, Any]:
    """Return a version for programs."""
    digest = f"{head.row.digest:032x}" if head.row else ""
    return {"version": head.version, "revision": head.revision, "digest": digest}


def head_line(head: Head) -> str:
    """Return a version for people."""
    if head.row is None:
        return "nothing is committed yet; apply the first lists with --expect 0"
    return f"version {head.version}, revision {head.revision}"
