"""How one daemon hands a table of the store on to another, over HTTP and CBOR.

The request names the table and the version that the other daemon has; the answer holds
the changed rows, compressed, and how old the knowledge is.
"""

import zlib
from dataclasses import dataclass

import cbor2

from ..state.table_mirror import StoredRow, TableDelta
from .http1 import HttpRequest, HttpResponse

PATH = b"/tables"
_QUERY_HEADER = b"cs-sync"
# Fast compression; rows of configurations are repetitive text.
_COMPRESSION_LEVEL = 1
# A table of this size would not fit into the memory of a small VM.
MAX_TABLE_BYTES = 32 << 20


@dataclass(frozen=True, slots=True, kw_only=True)
class SyncQuery:
    """Asks for changes of ``table`` behind ``after``; ``wait`` is in seconds."""

    table: str
    after: int
    wait: float


@dataclass(frozen=True, slots=True, kw_only=True)
class SyncReply:
    """``age`` is the time in seconds since the store confirmed this knowledge."""

    delta: TableDelta
    age: float


def encode_query(query: SyncQuery) -> HttpRequest:
    """Return the request that carries ``query``."""
    value = f"{query.table},{query.after},{int(query.wait * 1000)}".encode()
    headers = ((b"host", b"peer"), (_QUERY_HEADER, value))
    return HttpRequest(method=b"GET", target=PATH, headers=headers)


def decode_query(request: HttpRequest) -> SyncQuery | None:
    """Return the query that ``request`` carries, None if it is not one."""
    value = request.header(_QUERY_HEADER)
    if value is None:
        return None
    try:
        table, after, wait = value.decode("ascii").split(",")
        return SyncQuery(table=table, after=int(after), wait=int(wait) / 1000)
    except (UnicodeDecodeError, ValueError):
        return None


def encode_reply(reply: SyncReply) -> HttpResponse:
    """Return the response that carries ``reply``."""
    delta = reply.delta
    rows = [[row.key, row.value, row.version, row.deleted] for row in delta.rows]
    age = -1 if reply.age == float("inf") else int(reply.age * 1000)
    body = cbor2.dumps([delta.version, delta.whole, age, rows])
    return HttpResponse(status=200, body=zlib.compress(body, _COMPRESSION_LEVEL))


def decode_reply(response: HttpResponse) -> SyncReply | None:
    """Return the reply that ``response`` carries, None if it is not one."""
    if response.status != 200:
        return None
    try:
        expander = zlib.decompressobj()
        body = expander.decompress(response.body, MAX_TABLE_BYTES)
        if not expander.eof:
            return None
        version, whole, age, rows = cbor2.loads(body)
        delta = TableDelta(
            rows=tuple(_row(*each) for each in rows),
            version=int(version),
            whole=bool(whole),
        )
        seconds = float("inf") if age < 0 else age / 1000
        return SyncReply(delta=delta, age=seconds)
    except (zlib.error, cbor2.CBORDecodeError, TypeError, ValueError):
        return None


def _row(key: object, value: object, version: object, deleted: object) -> StoredRow:
    if not isinstance(key, str) or not isinstance(value, bytes):
        raise ValueError("a row needs a text as key and bytes as value")
    if not isinstance(version, int):
        raise ValueError("the version of a row is not a whole number")
    return StoredRow(key=key, value=value, version=version, deleted=bool(deleted))
