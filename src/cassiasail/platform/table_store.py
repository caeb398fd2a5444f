"""Client of the platform's table store."""

import base64
import json
from collections.abc import Sequence
from typing import Any, NamedTuple
from urllib.parse import urlencode

from .._internal import metrics
from .._internal.coordination.mesh.shared_tables import (
    ConditionalWrite,
    HistoryGone,
    StoreFailed,
    WriteConflict,
    WriteDone,
)
from .._internal.protocol.exchanges import Address, ExchangeFailed, Exchanger
from .._internal.protocol.http1 import HttpRequest, HttpResponse
from .._internal.state import ranges
from .._internal.state.table_mirror import (
    RowRefused,
    StoredRow,
    StoreVersion,
    TableDelta,
    row_key,
)
from . import fields

# Timeout of a write. A response normally takes a few milliseconds. After the timeout,
# the store counts as unreachable and the write is retried.
WRITE_TIMEOUT_SECONDS = 1.0
# Time until the first byte of a whole table; after a power loss many daemons read it at
# the same time.
READ_TIMEOUT_SECONDS = 1.5
# Further time for a response that is arriving: a large configuration takes seconds over
# a link that many daemons share.
TRANSFER_TIMEOUT_SECONDS = 5.0
# Time for the response of a long poll, in addition to the time that the store waits.
LONG_POLL_MARGIN_SECONDS = 0.3
# Time for the response of a poll that doesn't wait. Such a poll follows a failed one,
# perhaps because the link is busy with large responses. If it is given up as soon as
# others, they fill the link again and again.
SHORT_POLL_TIMEOUT_SECONDS = 1.0
# Rises by one each time the store comes back from a backup; its versions are then lower
# and are given out again.
_ERA_HEADER = b"store-era"
# All rows are in one part of the store, because a transaction covers only one part.
_PART = ""


class TableStore:
    """The platform's table store at one address; implements ``SharedTables``."""

    def __init__(self, *, address: Address, pool: Exchanger) -> None:
        self._address = address
        self._pool = pool

    async def read(self, table: str) -> TableDelta | StoreFailed:
        """Return all rows of ``table``, with the version of the first page.

        Fails if the store is restored between two pages.
        """
        rows: dict[str, StoredRow] = {}
        query = {"table": table, "part": _PART}
        refused: list[RowRefused] = []
        version: StoreVersion | None = None
        while True:
            page = _decode_page(
                await self._get("/v1/rows-get", query, READ_TIMEOUT_SECONDS)
            )
            if isinstance(page, StoreFailed):
                return page
            rows.update((row.key, row) for row in page.delta.rows)
            # Later pages may be newer. Polling for changes after the version of the
            # first page returns the rows that changed in between.
            version = page.delta.version if version is None else version
            if page.delta.version.era != version.era:
                return StoreFailed(reason="restored", may_be_committed=False)
            refused += page.delta.refused
            if not page.has_more:
                return TableDelta(
                    rows=tuple(rows.values()),
                    version=version,
                    whole=True,
                    refused=tuple(refused),
                )
            if page.last_key is None or page.last_key < query.get("from", ""):
                # The next page would be this one again.
                return StoreFailed(reason="malformed: no key", may_be_committed=False)
            # The smallest key that sorts after the last one.
            query["from"] = page.last_key + "\0"

    async def changes(
        self, table: str, *, after: StoreVersion, wait: float
    ) -> TableDelta | HistoryGone | StoreFailed:
        """Return changes after version ``after``; wait up to ``wait`` seconds."""
        query = {
            "table": table,
            "after": str(after.number),
            "watchWaitMs": str(int(wait * 1000)),
        }
        timeout = (
            wait + LONG_POLL_MARGIN_SECONDS if wait else SHORT_POLL_TIMEOUT_SECONDS
        )
        result = await self._get("/v1/rows-feed", query, timeout)
        if isinstance(result, HttpResponse) and result.status == 410:
            return HistoryGone()
        page = _decode_page(result)
        if isinstance(page, StoreFailed):
            return page
        return page.delta if page.delta.version.era == after.era else HistoryGone()

    async def write(
        self, table: str, writes: Sequence[ConditionalWrite]
    ) -> WriteDone | WriteConflict | StoreFailed:
        """Apply all of ``writes`` in one transaction, or none if a condition fails."""

        def row(write: ConditionalWrite, **extra: Any) -> dict[str, Any]:
            return {"table": table, "part": _PART, "key": write.key, **extra}

        body = {
            "precondition": [
                row(write, ver=write.expected.number if write.expected else 0)
                for write in writes
            ],
            "writes": [
                row(write, value=base64.b64encode(write.value).decode())
                for write in writes
                if write.value is not None
            ],
            "remove": [row(write) for write in writes if write.value is None],
        }
        request = HttpRequest(
            method=b"POST",
            target=b"/v1/rows-tx",
            headers=(*self._host_headers(), (b"content-type", b"application/json")),
            body=json.dumps(body).encode(),
        )
        result = await self._exchange(request, WRITE_TIMEOUT_SECONDS)
        if isinstance(result, HttpResponse) and result.status in (200, 412):
            return _decode_write_result(result)
        return _store_failure(result)

    async def _get(
        self, path: str, query: dict[str, str], timeout: float
    ) -> HttpResponse | ExchangeFailed:
        target = f"{path}?{urlencode(query)}".encode()
        request = HttpRequest(
            method=b"GET", target=target, headers=self._host_headers()
        )
        return await self._exchange(request, timeout, grace=TRANSFER_TIMEOUT_SECONDS)

    async def _exchange(
        self, request: HttpRequest, timeout: float, grace: float = 0.0
    ) -> HttpResponse | ExchangeFailed:
        result = await self._pool.exchange(
            self._address, request, timeout=timeout, grace=grace
        )
        if isinstance(result, ExchangeFailed):
            outcome = result.reason.value
        else:
            outcome = str(result.status)
        operation = request.target.partition(b"?")[0].rpartition(b"/")[2].decode()
        metrics.STORE_REQUESTS.labels(operation, outcome).inc()
        return result

    def _host_headers(self) -> tuple[tuple[bytes, bytes], ...]:
        return ((b"host", str(self._address).encode()),)


class _Page(NamedTuple):
    """A part of a table; ``last_key`` is the last key that can be read, if any."""

    delta: TableDelta
    has_more: bool
    last_key: str | None


def _decode_page(result: HttpResponse | ExchangeFailed) -> _Page | StoreFailed:
    if isinstance(result, ExchangeFailed) or result.status != 200:
        return _store_failure(result)
    try:
        era = _decode_era(result)
        document = json.loads(result.body)
        version = StoreVersion(era=era, number=fields.integer(document, "ver"))
        rows, refused, last_key = _decode_rows(document, era)
        return _Page(
            delta=TableDelta(rows=rows, version=version, refused=refused),
            has_more=document.get("hasMore", False) is True,
            last_key=last_key,
        )
    except (fields.MalformedError, ValueError, RecursionError) as error:
        return StoreFailed(reason=f"malformed: {error}", may_be_committed=False)


def _decode_write_result(
    result: HttpResponse,
) -> WriteDone | WriteConflict | StoreFailed:
    try:
        era = _decode_era(result)
        document = json.loads(result.body)
        if result.status == 412:
            rows, _, _ = _decode_rows(document, era)
            return WriteConflict(rows=rows, era=era)
        number = fields.integer(document, "ver")
        return WriteDone(version=StoreVersion(era=era, number=number))
    except (fields.MalformedError, ValueError, RecursionError) as error:
        return StoreFailed(reason=f"malformed: {error}", may_be_committed=True)


def _decode_era(response: HttpResponse) -> int:
    """Return the era in ``response``; ValueError if the header is no integer."""
    return ranges.parse_integer(response.header(_ERA_HEADER) or b"0")


def _decode_rows(
    document: Any, era: int
) -> tuple[tuple[StoredRow, ...], tuple[RowRefused, ...], str | None]:
    """Return the rows of a response, those that can't be used, and the last key."""
    entries = document.get("rows") if isinstance(document, dict) else None
    if not isinstance(entries, list):
        raise fields.MalformedError("rows is not a list")
    decoded = [_decode_row(entry, era) for entry in entries]
    keys = [row.key for row in decoded if row.key]
    return (
        # The store lists a row that does not exist with version 0.
        tuple(
            row
            for row in decoded
            if isinstance(row, StoredRow) and row.version.number > 0
        ),
        tuple(row for row in decoded if isinstance(row, RowRefused)),
        keys[-1] if keys else None,
    )


def _decode_row(entry: Any, era: int) -> StoredRow | RowRefused:
    """Return a row, or why it can't be used; the others of the response still hold."""
    key = ""
    try:
        key = row_key(fields.value(entry, "key"))
        deleted = entry.get("deleted", False) is True
        value = entry.get("value")
        has_value = isinstance(value, str) and not deleted
        return StoredRow(
            key=key,
            value=base64.b64decode(value, validate=True) if has_value else b"",
            version=StoreVersion(era=era, number=fields.integer(entry, "ver")),
            deleted=deleted,
        )
    except (fields.MalformedError, ValueError) as error:
        return RowRefused(key=key, reason=str(error))


def _store_failure(result: HttpResponse | ExchangeFailed) -> StoreFailed:
    if isinstance(result, ExchangeFailed):
        return StoreFailed(reason=result.reason.value, may_be_committed=result.sent)
    # With 429 and 503 the store has not run the operation.
    may_be_committed = result.status not in (429, 503)
    return StoreFailed(
        reason=f"status {result.status}", may_be_committed=may_be_committed
    )
