"""Requests to the platform's table store and decoding of its responses."""

import asyncio
import base64
import json
from typing import Any

import pytest

from cassiasail._internal.coordination.mesh.shared_tables import (
    ConditionalWrite,
    HistoryGone,
    StoreFailed,
    WriteConflict,
    WriteDone,
)
from cassiasail._internal.protocol.exchanges import (
    Address,
    ExchangeFailed,
    FailureReason,
)
from cassiasail._internal.protocol.http1 import HttpRequest, HttpResponse
from cassiasail._internal.state.table_mirror import StoredRow, TableDelta
from cassiasail.platform.table_store import TableStore
from tests.lib.store_versions import at

ROW = {"table": "t", "part": "", "key": "k", "value": "dg==", "ver": 3}


class FakePool:
    """Returns the given responses in order and records the requests."""

    def __init__(self, *responses: HttpResponse | ExchangeFailed) -> None:
        self.responses = list(responses)
        self.requests: list[HttpRequest] = []

    async def exchange(
        self,
        address: Address,
        request: HttpRequest,
        *,
        timeout: float,
        grace: float = 0.0,
    ) -> HttpResponse | ExchangeFailed:
        self.requests.append(request)
        return self.responses.pop(0)


def page(
    *rows: dict[str, Any], ver: int = 9, more: bool = False, era: str | None = None
) -> HttpResponse:
    body = json.dumps({"rows": rows, "hasMore": more, "ver": ver, "nowMs": 1})
    headers = () if era is None else ((b"store-era", era.encode()),)
    return HttpResponse(status=200, headers=headers, body=body.encode())


def store(*results: HttpResponse | ExchangeFailed) -> tuple[TableStore, FakePool]:
    pool = FakePool(*results)
    address = Address("10.0.0.1", 1)
    return TableStore(address=address, pool=pool), pool  # type: ignore[arg-type]


def test_read_joins_all_pages_of_a_table() -> None:
    """Guards against losing the rows after the first page."""
    second = {**ROW, "key": "l", "ver": 11}
    tables, pool = store(page(ROW, ver=9, more=True), page(second, ver=12))
    result = asyncio.run(tables.read("t"))
    # The version of the first page, so that the next poll returns the rows that
    # changed while the pages were read.
    assert result == TableDelta(
        rows=(
            StoredRow(key="k", value=b"v", version=at(3)),
            StoredRow(key="l", value=b"v", version=at(11)),
        ),
        version=at(9),
        whole=True,
    )
    assert b"from=k%00" in pool.requests[1].target


def test_changes_include_deleted_rows() -> None:
    """Guards against keeping rows that were deleted in the store."""
    tables, pool = store(page({**ROW, "deleted": True}))
    result = asyncio.run(tables.changes("t", after=at(2), wait=1.5))
    assert isinstance(result, TableDelta)
    assert result.rows[0].deleted
    assert not result.whole
    assert b"after=2&watchWaitMs=1500" in pool.requests[0].target


def test_status_410_means_that_history_is_gone() -> None:
    """Guards against skipped changes when the store has dropped old history."""
    tables, _ = store(HttpResponse(status=410))
    result = asyncio.run(tables.changes("t", after=at(2), wait=1))
    assert isinstance(result, HistoryGone)


def test_versions_have_the_era_of_their_response() -> None:
    """Guards against versions of a restored store that count as those before it."""
    tables, _ = store(page(ROW, era="2"))
    result = asyncio.run(tables.read("t"))
    assert isinstance(result, TableDelta)
    assert result.version == at(9, era=2)
    assert result.rows[0].version == at(3, era=2)


def test_restore_between_two_pages_is_a_failure() -> None:
    """Guards against a table that is put together from two states of the store."""
    tables, _ = store(page(ROW, more=True, era="1"), page(ROW, era="2"))
    assert isinstance(asyncio.run(tables.read("t")), StoreFailed)


@pytest.mark.parametrize("era", ["1", "3"])
def test_changes_of_another_era_mean_that_history_is_gone(era: str) -> None:
    """Guards against changes that continue another state of the store."""
    tables, _ = store(page(ROW, era=era))
    result = asyncio.run(tables.changes("t", after=at(2, era=2), wait=1))
    assert isinstance(result, HistoryGone)


def test_malformed_era_is_a_failure() -> None:
    """Guards against a copy that replaces all others because of an unreadable era."""
    tables, _ = store(page(ROW, era="x"))
    assert isinstance(asyncio.run(tables.read("t")), StoreFailed)


def test_write_sends_its_conditions() -> None:
    """Guards against a write that overwrites a newer row."""
    tables, pool = store(HttpResponse(status=200, body=b'{"ver": 12, "nowMs": 1}'))
    writes = [
        ConditionalWrite(key="k", value=b"v", expected=at(3)),
        ConditionalWrite(key="l", value=None, expected=at(4)),
        ConditionalWrite(key="m", value=b"", expected=None),
    ]
    assert asyncio.run(tables.write("t", writes)) == WriteDone(version=at(12))
    body = json.loads(pool.requests[0].body)
    assert [row["ver"] for row in body["precondition"]] == [3, 4, 0]
    assert base64.b64decode(body["writes"][0]["value"]) == b"v"
    assert [row["key"] for row in body["remove"]] == ["l"]


def test_conflict_returns_the_current_rows() -> None:
    """Guards against a writer that retries with an outdated version forever."""
    absent = {**ROW, "key": "gone", "ver": 0, "value": None}
    body = json.dumps({"rows": [ROW, absent], "ver": 9}).encode()
    tables, _ = store(HttpResponse(status=412, body=body))
    writes = [ConditionalWrite(key="k", value=b"x", expected=at(1))]
    result = asyncio.run(tables.write("t", writes))
    row = StoredRow(key="k", value=b"v", version=at(3))
    assert result == WriteConflict(rows=(row,), era=0)


@pytest.mark.parametrize(
    ("result", "committed"),
    [
        (HttpResponse(status=503), False),
        (HttpResponse(status=429), False),
        (HttpResponse(status=500), True),
        (ExchangeFailed(reason=FailureReason.TIMED_OUT, sent=True), True),
        (ExchangeFailed(reason=FailureReason.CONNECT_FAILED, sent=False), False),
        (HttpResponse(status=200, body=b"{"), True),
    ],
)
def test_failed_write_states_whether_it_may_be_committed(
    result: HttpResponse | ExchangeFailed, committed: bool
) -> None:
    """Guards against a lost response that counts as a write that was not done."""
    tables, _ = store(result)
    failure = asyncio.run(tables.write("t", []))
    assert isinstance(failure, StoreFailed)
    assert failure.may_be_committed is committed


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'{"rows": 1, "ver": 1}',
        b'{"rows": []}',
        b'{"rows": [], "ver": -1}',
        b'{"rows": [], "ver": 1%s}' % (b"0" * 400),
        b"[" * 20000,
    ],
)
def test_malformed_page_is_a_failure(body: bytes) -> None:
    """Guards against an undecodable response that counts as an empty table."""
    tables, _ = store(HttpResponse(status=200, body=body))
    assert isinstance(asyncio.run(tables.read("t")), StoreFailed)


@pytest.mark.parametrize(
    "changes",
    [
        {"key": 1},
        {"key": ""},
        {"key": "x" * 201},
        {"key": "\ud800"},
        {"value": "***"},
        {"ver": "3"},
        {"ver": -1},
        {"ver": 10**400},
    ],
)
def test_row_that_cannot_be_read_is_refused_alone(changes: dict[str, Any]) -> None:
    """Guards against one row of another writer that hides all others."""
    other = {**ROW, "key": "other"}
    tables, _ = store(page(ROW, {**ROW, "key": "odd", **changes}, other))
    result = asyncio.run(tables.read("t"))
    assert isinstance(result, TableDelta)
    assert [row.key for row in result.rows] == ["k", "other"]
    assert len(result.refused) == 1 and result.refused[0].reason
    tables, _ = store(HttpResponse(status=200, body=b'{"rows":[1],"ver":1}'))
    result = asyncio.run(tables.read("t"))
    assert isinstance(result, TableDelta)
    assert result.rows == () and len(result.refused) == 1


def test_page_of_refused_rows_is_continued_or_fails() -> None:
    """Guards against a table that ends at a page without a usable row."""
    odd = {**ROW, "key": "odd", "ver": "3"}
    tables, pool = store(page(odd, more=True), page(ROW))
    result = asyncio.run(tables.read("t"))
    assert isinstance(result, TableDelta)
    assert [row.key for row in result.rows] == ["k"]
    assert b"from=odd%00" in pool.requests[1].target
    # Without a key the next page can't be named.
    tables, _ = store(page({**ROW, "key": 1}, more=True))
    assert isinstance(asyncio.run(tables.read("t")), StoreFailed)
