"""Client of the platform's store: its calls and answers as rows of the product."""

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
from .._internal.state.table_mirror import StoredRow, TableDelta
from . import fields

# An answer takes a few milliseconds; a store that is slower than this counts as away
# for the call, which is then made again.
CALL_SECONDS = 1.0
# The first byte of a whole table; after a power loss many daemons read it together.
READ_SECONDS = 1.5
# A large configuration takes seconds over a link that many daemons share; it is waited
# for as long as it arrives.
TRANSFER_SECONDS = 5.0
# Time for the answer of a call that waits for changes, beyond its wait.
WAIT_MARGIN_SECONDS = 0.3
# The rows of the system lie in one part, so that a transaction covers any of them.
_PART = ""


class TableStore:
    """The platform's store at one address."""

    def __init__(self, *, address: Address, pool: Exchanger) -> None:
        self._address = address
        self._pool = pool

    async def read(self, table: str) -> TableDelta | StoreFailed:
        """Return all rows of ``table``; pages are joined as of the oldest one."""
        rows: dict[str, StoredRow] = {}
        query = {"table": table, "part": _PART}
        version: int | None = None
        while True:
            page = _page(await self._get("/v1/rows-get", query, READ_SECONDS))
            if isinstance(page, StoreFailed):
                return page
            rows.update((row.key, row) for row in page.delta.rows)
            # Later pages may be newer; the feed repeats what came in between.
            version = page.delta.version if version is None else version
            if not page.more or not page.delta.rows:
                kept = tuple(rows.values())
                return TableDelta(rows=kept, version=version, whole=True)
            # The smallest key behind the last one.
            query["from"] = page.delta.rows[-1].key + "\0"

    async def changes(
        self, table: str, *, after: int, wait: float
    ) -> TableDelta | HistoryGone | StoreFailed:
        """Return changes behind version ``after``, waiting up to ``wait`` seconds."""
        query = {
            "table": table,
            "after": str(after),
            "watchWaitMs": str(int(wait * 1000)),
        }
        result = await self._get("/v1/rows-feed", query, wait + WAIT_MARGIN_SECONDS)
        if isinstance(result, HttpResponse) and result.status == 410:
            return HistoryGone()
        page = _page(result)
        return page if isinstance(page, StoreFailed) else page.delta

    async def write(
        self, table: str, writes: Sequence[ConditionalWrite]
    ) -> WriteDone | WriteConflict | StoreFailed:
        """Apply all of ``writes`` or none."""

        def row(write: ConditionalWrite, **more: Any) -> dict[str, Any]:
            return {"table": table, "part": _PART, "key": write.key, **more}

        body = {
            "precondition": [row(each, ver=each.expected) for each in writes],
            "writes": [
                row(each, value=base64.b64encode(each.value).decode())
                for each in writes
                if each.value is not None
            ],
            "remove": [row(each) for each in writes if each.value is None],
        }
        request = HttpRequest(
            method=b"POST",
            target=b"/v1/rows-tx",
            headers=(*self._headers(), (b"content-type", b"application/json")),
            body=json.dumps(body).encode(),
        )
        result = await self._call(request, CALL_SECONDS)
        if isinstance(result, HttpResponse) and result.status in (200, 412):
            return _written(result)
        return _failed(result)

    async def _get(
        self, path: str, query: dict[str, str], timeout: float
    ) -> HttpResponse | ExchangeFailed:
        target = f"{path}?{urlencode(query)}".encode()
        request = HttpRequest(method=b"GET", target=target, headers=self._headers())
        return await self._call(request, timeout, grace=TRANSFER_SECONDS)

    async def _call(
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

    def _headers(self) -> tuple[tuple[bytes, bytes], ...]:
        return ((b"host", str(self._address).encode()),)


class _Page(NamedTuple):
    delta: TableDelta
    more: bool


def _page(result: HttpResponse | ExchangeFailed) -> _Page | StoreFailed:
    if isinstance(result, ExchangeFailed) or result.status != 200:
        return _failed(result)
    try:
        document = json.loads(result.body)
        version = fields.integer(document, "ver")
        delta = TableDelta(rows=_rows(document), version=version)
        return _Page(delta=delta, more=bool(document.get("hasMore", False)))
    except (fields.MalformedError, ValueError) as error:
        return StoreFailed(reason=f"malformed: {error}", may_have_happened=False)


def _written(result: HttpResponse) -> WriteDone | WriteConflict | StoreFailed:
    try:
        document = json.loads(result.body)
        if result.status == 412:
            return WriteConflict(rows=_rows(document))
        return WriteDone(version=fields.integer(document, "ver"))
    except (fields.MalformedError, ValueError) as error:
        return StoreFailed(reason=f"malformed: {error}", may_have_happened=True)


def _rows(document: Any) -> tuple[StoredRow, ...]:
    entries = document.get("rows") if isinstance(document, dict) else None
    if not isinstance(entries, list):
        raise fields.MalformedError("rows is not a list")
    # A row that does not exist is listed with version 0.
    return tuple(row for row in map(_row, entries) if row.version > 0)


def _row(entry: Any) -> StoredRow:
    deleted = bool(entry.get("deleted", False)) if isinstance(entry, dict) else False
    version = fields.integer(entry, "ver")
    value = entry.get("value")
    has_value = isinstance(value, str) and not deleted
    return StoredRow(
        key=fields.text(entry, "key"),
        value=base64.b64decode(value, validate=True) if has_value else b"",
        version=version,
        deleted=deleted,
    )


def _failed(result: HttpResponse | ExchangeFailed) -> StoreFailed:
    if isinstance(result, ExchangeFailed):
        return StoreFailed(reason=result.reason.value, may_have_happened=result.sent)
    # 429 and 503 state that nothing was done.
    done = result.status not in (429, 503)
    return StoreFailed(reason=f"status {result.status}", may_have_happened=done)
