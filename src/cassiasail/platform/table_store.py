"""Client of the platform's store: its calls and answers as rows of the product."""

import base64
import json
from collections.abc import Sequence
from typing import Any
from urllib.parse import urlencode

from .._internal.coordination.mesh.shared_tables import (
    ConditionalWrite,
    HistoryGone,
    RowsPage,
    StoredRow,
    StoreFailed,
    WriteConflict,
    WriteDone,
)
from .._internal.protocol.http1 import HttpRequest, HttpResponse
from .._internal.transport.http1.client import ExchangeFailed
from .._internal.transport.http1.pool import Address, ConnectionPool
from . import fields

# An answer takes a few milliseconds; a store that is slower than this counts as away
# for the call, which is then made again.
CALL_SECONDS = 1.0
# Time for the answer of a call that waits for changes, beyond its wait.
WAIT_MARGIN_SECONDS = 1.0
# The rows of the system lie in one part, so that a transaction covers any of them.
_PART = ""


class TableStore:
    """The platform's store at one address."""

    def __init__(self, *, address: Address, pool: ConnectionPool) -> None:
        self._address = address
        self._pool = pool
        self.calls = 0

    async def read(
        self, table: str, *, start: str | None = None, limit: int | None = None
    ) -> RowsPage | StoreFailed:
        """Return rows of ``table`` from the key ``start`` on."""
        query: dict[str, str] = {"table": table, "part": _PART}
        if start is not None:
            query["from"] = start
        if limit is not None:
            query["limit"] = str(limit)
        result = await self._get("/v1/rows-get", query, CALL_SECONDS)
        return _page(result)

    async def changes(
        self, table: str, *, after: int, wait: float
    ) -> RowsPage | HistoryGone | StoreFailed:
        """Return changes behind version ``after``, waiting up to ``wait`` seconds."""
        query = {
            "table": table,
            "after": str(after),
            "watchWaitMs": str(int(wait * 1000)),
        }
        result = await self._get("/v1/rows-feed", query, wait + WAIT_MARGIN_SECONDS)
        if isinstance(result, HttpResponse) and result.status == 410:
            return HistoryGone()
        return _page(result)

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
        return await self._call(request, timeout)

    async def _call(
        self, request: HttpRequest, timeout: float
    ) -> HttpResponse | ExchangeFailed:
        self.calls += 1
        return await self._pool.exchange(self._address, request, timeout=timeout)

    def _headers(self) -> tuple[tuple[bytes, bytes], ...]:
        return ((b"host", str(self._address).encode()),)


def _page(result: HttpResponse | ExchangeFailed) -> RowsPage | StoreFailed:
    if isinstance(result, ExchangeFailed) or result.status != 200:
        return _failed(result)
    try:
        document = json.loads(result.body)
        return RowsPage(
            rows=_rows(document),
            version=fields.integer(document, "ver"),
            more=bool(document.get("hasMore", False)),
        )
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
