"""Encoding of the requests by which daemons copy store tables from each other.

The request is an HTTP GET with the name of the table and the version that the follower
has. The response body is compressed CBOR with the changed rows and the age of the copy.
Both have the era of the store in a header of its own, which builds from before the eras
ignore and don't send.
"""

import math
import zlib
from dataclasses import dataclass

import cbor2

from ...exceptions import ProtocolError
from ..state import cborcodec, ranges
from ..state.table_mirror import (
    MAX_LOGGED_KEY,
    RowRefused,
    StoredRow,
    StoreVersion,
    TableDelta,
    row_key,
)
from .http1 import HttpRequest, HttpResponse

PATH = b"/tables"
_QUERY_HEADER = b"cs-sync"
_ERA_HEADER = b"cs-era"
# The fastest zlib level is enough, because configurations are repetitive text.
_ZLIB_LEVEL = 1
# Limit of the decompressed body; a larger table would not fit into the memory of a
# small VM.
MAX_TABLE_BYTES = 32 << 20


@dataclass(frozen=True, slots=True, kw_only=True)
class SyncQuery:
    """A request for the changes of ``table`` after version number ``after`` of ``era``.

    ``era`` is None if the build of the follower knows no eras. Without changes the
    source waits up to ``wait`` seconds for one.
    """

    table: str
    after: int
    era: int | None
    wait: float


@dataclass(frozen=True, slots=True, kw_only=True)
class SyncReply:
    """Changed rows; ``age`` is the seconds since the store confirmed them as current.

    The age is infinite if the store never confirmed them or the source is stopping.
    ``paused`` is set by the follower, not sent: the seconds for which it stood still
    while it awaited the reply, which may have waited unread for that time.
    """

    delta: TableDelta
    age: float
    paused: float = 0.0


def encode_query(query: SyncQuery) -> HttpRequest:
    """Return the request that carries ``query``."""
    value = f"{query.table},{query.after},{int(query.wait * 1000)}".encode()
    headers = [(b"host", b"peer"), (_QUERY_HEADER, value)]
    if query.era is not None:
        headers.append((_ERA_HEADER, str(query.era).encode()))
    return HttpRequest(method=b"GET", target=PATH, headers=tuple(headers))


def decode_query(request: HttpRequest) -> SyncQuery | None:
    """Return the query in ``request``, None if it is missing or malformed."""
    value = request.header(_QUERY_HEADER)
    if value is None:
        return None
    try:
        table, after, wait_ms = value.decode("ascii").split(",")
        era = request.header(_ERA_HEADER)
        return SyncQuery(
            table=table,
            after=ranges.parse_integer(after),
            era=None if era is None else ranges.parse_integer(era),
            wait=ranges.parse_seconds(wait_ms),
        )
    except ValueError:
        return None


def encode_reply(reply: SyncReply) -> HttpResponse:
    """Return the response that carries ``reply``."""
    delta = reply.delta
    rows = [[row.key, row.value, row.version.number, row.deleted] for row in delta.rows]
    age_ms = -1 if reply.age == float("inf") else int(reply.age * 1000)
    body = cbor2.dumps([delta.version.number, delta.whole, age_ms, rows])
    era = str(delta.version.era).encode()
    return HttpResponse(
        status=200,
        headers=((_ERA_HEADER, era),),
        body=zlib.compress(body, _ZLIB_LEVEL),
        # A configuration has to be in force in time, whatever else fills the link.
        urgent=True,
    )


def decode_reply(response: HttpResponse, *, default_era: int) -> SyncReply | None:
    """Return the reply in ``response``, None if it is malformed or an error.

    A reply without an era, or with era 0, counts as one of ``default_era``: its copy
    comes from a build that knows no eras.
    """
    if response.status != 200:
        return None
    try:
        body = cborcodec.inflate(response.body, limit=MAX_TABLE_BYTES)
        fields = cborcodec.decode_item(body, limit=MAX_TABLE_BYTES)
        number, whole, age_ms, rows = cborcodec.items(fields, at_least=4, limit=4)
        era = ranges.parse_integer(response.header(_ERA_HEADER) or b"0") or default_era
        decoded = [_decode_row(era, each) for each in cborcodec.items(rows)]
        delta = TableDelta(
            rows=tuple(row for row in decoded if isinstance(row, StoredRow)),
            version=StoreVersion(era=era, number=ranges.integer(number)),
            whole=whole is True,
            refused=tuple(row for row in decoded if isinstance(row, RowRefused)),
        )
        age_ms = ranges.integer(age_ms, -1, ranges.MAX_DURATION_MS)
    except (ProtocolError, ValueError):
        return None
    return SyncReply(delta=delta, age=math.inf if age_ms < 0 else age_ms / 1000)


def _decode_row(era: int, fields: object) -> StoredRow | RowRefused:
    """Return a row, or why it can't be used; the others of the reply still hold."""
    key: object = ""
    try:
        key, value, number, deleted = cborcodec.items(fields, at_least=4, limit=4)
        return StoredRow(
            key=row_key(key),
            value=cborcodec.octets(value, limit=MAX_TABLE_BYTES),
            version=StoreVersion(era=era, number=ranges.integer(number, 1)),
            deleted=deleted is True,
        )
    except (ProtocolError, ValueError) as error:
        return RowRefused(key=str(key)[:MAX_LOGGED_KEY], reason=str(error))
