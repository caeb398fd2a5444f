"""Calls to the platform's store and its answers."""

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

ROW = {"table": "t", "part": "", "key": "k", "value": "dg==", "ver": 3}


class FakePool:
    """Answers calls in order and keeps the requests."""

    def __init__(self, *answers: HttpResponse | ExchangeFailed) -> None:
        self.answers = list(answers)
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
        return self.answers.pop(0)


def page(*rows: dict[str, Any], ver: int = 9, more: bool = False) -> HttpResponse:
    body = json.dumps({"rows": rows, "hasMore": more, "ver": ver, "nowMs": 1})
    return HttpResponse(status=200, body=body.encode())


def store(*answers: HttpResponse | ExchangeFailed) -> tuple[TableStore, FakePool]:
    pool = FakePool(*answers)
    address = Address("10.0.0.1", 1)
    return TableStore(address=address, pool=pool), pool  # type: ignore[arg-type]


def test_a_table_is_read_over_all_pages() -> None:
    """Guards against rows that are missing behind the first page."""
    second = {**ROW, "key": "l", "ver": 11}
    tables, pool = store(page(ROW, ver=9, more=True), page(second, ver=12))
    result = asyncio.run(tables.read("t"))
    # As of the first page: the feed repeats what came in between.
    assert result == TableDelta(
        rows=(
            StoredRow(key="k", value=b"v", version=3),
            StoredRow(key="l", value=b"v", version=11),
        ),
        version=9,
        whole=True,
    )
    assert b"from=k%00" in pool.requests[1].target


def test_changes_name_deleted_rows() -> None:
    """Guards against rows that stay although they were dropped."""
    tables, pool = store(page({**ROW, "deleted": True}))
    result = asyncio.run(tables.changes("t", after=2, wait=1.5))
    assert isinstance(result, TableDelta)
    assert result.rows[0].deleted
    assert not result.whole
    assert b"after=2&watchWaitMs=1500" in pool.requests[0].target


def test_lost_history_is_told_apart() -> None:
    """Guards against changes that are skipped."""
    tables, _ = store(HttpResponse(status=410))
    result = asyncio.run(tables.changes("t", after=2, wait=1))
    assert isinstance(result, HistoryGone)


def test_a_write_names_its_conditions() -> None:
    """Guards against writes that overwrite newer rows."""
    tables, pool = store(HttpResponse(status=200, body=b'{"ver": 12, "nowMs": 1}'))
    writes = [
        ConditionalWrite(key="k", value=b"v", expected=3),
        ConditionalWrite(key="l", value=None, expected=4),
    ]
    assert asyncio.run(tables.write("t", writes)) == WriteDone(version=12)
    body = json.loads(pool.requests[0].body)
    assert [each["ver"] for each in body["precondition"]] == [3, 4]
    assert base64.b64decode(body["writes"][0]["value"]) == b"v"
    assert [each["key"] for each in body["remove"]] == ["l"]


def test_a_conflict_brings_the_present_rows() -> None:
    """Guards against a writer that never learns the version it lost to."""
    absent = {**ROW, "key": "gone", "ver": 0, "value": None}
    body = json.dumps({"rows": [ROW, absent], "ver": 9}).encode()
    tables, _ = store(HttpResponse(status=412, body=body))
    writes = [ConditionalWrite(key="k", value=b"x", expected=1)]
    result = asyncio.run(tables.write("t", writes))
    row = StoredRow(key="k", value=b"v", version=3)
    assert result == WriteConflict(rows=(row,))


@pytest.mark.parametrize(
    ("answer", "happened"),
    [
        (HttpResponse(status=503), False),
        (HttpResponse(status=429), False),
        (HttpResponse(status=500), True),
        (ExchangeFailed(reason=FailureReason.TIMED_OUT, sent=True), True),
        (ExchangeFailed(reason=FailureReason.CONNECT_FAILED, sent=False), False),
        (HttpResponse(status=200, body=b"{"), True),
    ],
)
def test_a_failed_write_says_whether_it_may_have_happened(
    answer: HttpResponse | ExchangeFailed, happened: bool
) -> None:
    """Guards against a lost answer that counts as a lost write."""
    tables, _ = store(answer)
    result = asyncio.run(tables.write("t", []))
    assert isinstance(result, StoreFailed)
    assert result.may_have_happened is happened


@pytest.mark.parametrize(
    "body",
    [b"", b"[]", b'{"rows": 1, "ver": 1}', b'{"rows": []}', b'{"rows":[1],"ver":1}'],
)
def test_a_malformed_page_is_a_failure(body: bytes) -> None:
    """Guards against an empty table that was only unreadable."""
    tables, _ = store(HttpResponse(status=200, body=body))
    assert isinstance(asyncio.run(tables.read("t")), StoreFailed)
