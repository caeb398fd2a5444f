"""Control messages between daemons: typed, CBOR, strictly decoded.

A message is one byte for the encoding (0 plain, 1 zlib), then a CBOR list of type
number and fields. Types are never renumbered and fields only added at the end:
``decode`` returns None for an unknown type and ignores unknown trailing fields, so
daemons of neighbouring software versions understand each other.
"""

import zlib
from collections.abc import Callable, Mapping
from typing import Any

import cbor2

from ...exceptions import ProtocolError
from ..ids import DaemonId, DataCentre, Version
from ..state import cborcodec
from ..state.listcodec import delta_of, snapshot_of
from ..state.lists import Delta
from ..state.members import BUCKET_COUNT
from .messagetypes import (
    Attach,
    BucketDigests,
    Busy,
    Deltas,
    Have,
    Heartbeats,
    Hello,
    LaggingDaemon,
    MemberDigests,
    MemberPull,
    Members,
    Message,
    Notice,
    Ping,
    Pong,
    Pull,
    Refused,
    SnapshotMessage,
    StatusReport,
)
from .recordcodec import NAME_LIMIT, pack_record, unpack_record

__all__ = [
    "Attach",
    "BucketDigests",
    "Busy",
    "Deltas",
    "Have",
    "Heartbeats",
    "Hello",
    "MAX_MESSAGE_BYTES",
    "MAX_NOTICE_BYTES",
    "MemberDigests",
    "MemberPull",
    "Members",
    "Message",
    "Notice",
    "PROTOCOL",
    "Ping",
    "Pong",
    "Pull",
    "Refused",
    "SnapshotMessage",
    "StatusReport",
    "LaggingDaemon",
    "decode",
    "encode",
]

PROTOCOL = 1
# Shorter messages grow or gain nothing by compression.
COMPRESS_ABOVE = 256
MAX_MESSAGE_BYTES = 4 << 20
MAX_NOTICE_BYTES = 4096
_PLAIN, _ZLIB = b"\0", b"\1"


def encode(message: Message) -> bytes:
    """Return the wire form of ``message``."""
    number, pack = _PACKERS[type(message)]
    body = cbor2.dumps([number, *pack(message)])
    if len(body) > COMPRESS_ABOVE:
        packed = zlib.compress(body, 6)
        if len(packed) < len(body):
            return _ZLIB + packed
    return _PLAIN + body


def decode(data: bytes) -> Message | None:
    """Parse ``data``; None for a type this version does not know.

    Raises ``ProtocolError`` for anything malformed or oversized.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise ProtocolError(f"message exceeds {MAX_MESSAGE_BYTES} bytes")
    encoding, body = data[:1], data[1:]
    if encoding == _ZLIB:
        body = cborcodec.inflate(body)
    elif encoding != _PLAIN:
        raise ProtocolError("unknown encoding of a message")
    row = cborcodec.items(cborcodec.load(body), at_least=1, limit=64)
    known = _UNPACKERS.get(cborcodec.unsigned(row[0]))
    if known is None:
        return None
    fields, unpack = known
    if len(row) <= fields:
        raise ProtocolError(f"message type {row[0]} lacks fields")
    message: Message = unpack(*row[1 : fields + 1])
    return message


def _pack_delta(delta: Delta) -> list[Any]:
    return [
        delta.version,
        delta.base,
        cborcodec.digest_bytes(delta.digest),
        {key: dict(row) for key, row in delta.changed_by_key.items()},
        list(delta.removed),
    ]


def _unpack_delta(value: Any) -> Delta:
    return delta_of(*cborcodec.items(value, at_least=5, limit=64)[:5])


def _pack_snapshot(message: SnapshotMessage) -> list[Any]:
    snapshot = message.snapshot
    rows = {key: dict(row) for key, row in snapshot.rows_by_key.items()}
    return [snapshot.version, cborcodec.digest_bytes(snapshot.digest), rows]


def _pack_digests(digests: Mapping[DataCentre, int]) -> dict[str, bytes]:
    return {name: digest.to_bytes(8, "big") for name, digest in digests.items()}


def _unpack_digests(value: Any) -> dict[DataCentre, int]:
    return _by_centre(value, lambda item: int.from_bytes(_exactly(item, 8), "big"))


def _pack_buckets(message: BucketDigests) -> list[Any]:
    return [
        {
            name: b"".join(digest.to_bytes(8, "big") for digest in digests)
            for name, digests in message.buckets.items()
        }
    ]


def _unpack_buckets(value: Any) -> BucketDigests:
    def split(item: Any) -> tuple[int, ...]:
        if item == b"":
            return ()
        data = _exactly(item, 8 * BUCKET_COUNT)
        starts = range(0, len(data), 8)
        return tuple(int.from_bytes(data[at : at + 8], "big") for at in starts)

    return BucketDigests(_by_centre(value, split))


def _by_centre(value: Any, parse: Callable[[Any], Any]) -> dict[DataCentre, Any]:
    return {
        DataCentre(cborcodec.text(name, limit=NAME_LIMIT)): parse(item)
        for name, item in cborcodec.mapping(value).items()
    }


def _exactly(value: Any, size: int) -> bytes:
    data = cborcodec.octets(value, limit=size)
    if len(data) != size:
        raise ProtocolError(f"expected {size} bytes")
    return data


def _flag(value: Any) -> bool:
    if type(value) is not bool:
        raise ProtocolError("expected true or false")
    return value


def _version(value: Any) -> Version:
    return Version(cborcodec.unsigned(value))


def _unpack_notice(id_: Any, kind: Any, payload: Any, ttl_ms: Any) -> Notice:
    return Notice(
        cborcodec.octets(id_, limit=16),
        cborcodec.text(kind, limit=NAME_LIMIT),
        cborcodec.octets(payload, limit=MAX_NOTICE_BYTES),
        cborcodec.unsigned(ttl_ms),
    )


def _pack_status(message: StatusReport) -> list[Any]:
    return [
        {name: dict(counts) for name, counts in message.counts.items()},
        [[item.daemon, item.version, item.reason] for item in message.lagging_daemons],
        None if message.attached is None else list(message.attached),
    ]


def _unpack_status(counts: Any, lagging_daemons: Any, attached: Any) -> StatusReport:
    def versions(item: Any) -> dict[Version, int]:
        return {
            _version(version): cborcodec.unsigned(count)
            for version, count in cborcodec.mapping(item).items()
        }

    return StatusReport(
        _by_centre(counts, versions),
        tuple(
            map(_unpack_lagging_daemon, cborcodec.items(lagging_daemons, limit=1024))
        ),
        None
        if attached is None
        else tuple(
            DaemonId(cborcodec.text(item, limit=NAME_LIMIT))
            for item in cborcodec.items(attached, limit=4096)
        ),
    )


def _unpack_lagging_daemon(value: Any) -> LaggingDaemon:
    daemon, version, reason = cborcodec.items(value, at_least=3, limit=64)[:3]
    return LaggingDaemon(
        DaemonId(cborcodec.text(daemon, limit=NAME_LIMIT)),
        _version(version),
        cborcodec.text(reason),
    )


_FORMATS: tuple[
    tuple[int, type, int, Callable[[Any], list[Any]], Callable[..., Any]], ...
] = (
    (
        1,
        Hello,
        5,
        lambda m: [
            m.protocol,
            pack_record(m.record),
            m.version,
            cborcodec.digest_bytes(m.digest),
            _pack_digests(m.member_digests),
        ],
        lambda protocol, record, version, digest, digests: Hello(
            cborcodec.unsigned(protocol),
            unpack_record(record),
            _version(version),
            cborcodec.digest_value(digest),
            _unpack_digests(digests),
        ),
    ),
    (2, Attach, 1, lambda m: [m.attached], lambda flag: Attach(_flag(flag))),
    (3, Have, 1, lambda m: [m.version], lambda version: Have(_version(version))),
    (
        4,
        Pull,
        2,
        lambda m: [m.version, m.snapshot],
        lambda version, snapshot: Pull(_version(version), _flag(snapshot)),
    ),
    (
        5,
        Refused,
        3,
        lambda m: [m.version, m.reason, m.detail],
        lambda version, reason, detail: Refused(
            _version(version),
            cborcodec.text(reason, limit=NAME_LIMIT),
            cborcodec.text(detail, limit=4096),
        ),
    ),
    (
        6,
        Deltas,
        1,
        lambda m: [[_pack_delta(delta) for delta in m.deltas]],
        lambda deltas: Deltas(
            tuple(map(_unpack_delta, cborcodec.items(deltas, limit=1024)))
        ),
    ),
    (
        7,
        SnapshotMessage,
        3,
        _pack_snapshot,
        lambda version, digest, rows: SnapshotMessage(
            snapshot_of(version, digest, rows)
        ),
    ),
    (
        8,
        Members,
        1,
        lambda m: [[pack_record(record) for record in m.records]],
        lambda records: Members(
            tuple(map(unpack_record, cborcodec.items(records, limit=65536)))
        ),
    ),
    (
        9,
        MemberDigests,
        2,
        lambda m: [m.version, _pack_digests(m.digests)],
        lambda version, digests: MemberDigests(
            _version(version), _unpack_digests(digests)
        ),
    ),
    (10, BucketDigests, 1, _pack_buckets, _unpack_buckets),
    (
        11,
        MemberPull,
        1,
        lambda m: [dict(m.masks)],
        lambda masks: MemberPull(_by_centre(masks, cborcodec.unsigned)),
    ),
    (12, Ping, 0, lambda m: [], Ping),
    (13, Pong, 0, lambda m: [], Pong),
    (
        14,
        Heartbeats,
        1,
        lambda m: [dict(m.counters)],
        lambda counters: Heartbeats(_by_centre(counters, cborcodec.unsigned)),
    ),
    (
        15,
        Notice,
        4,
        lambda m: [m.id, m.kind, m.payload, m.ttl_ms],
        _unpack_notice,
    ),
    (
        16,
        Busy,
        2,
        lambda m: [m.seconds, m.full],
        lambda seconds, full: Busy(
            cborcodec.number(seconds, limit=3600.0), _flag(full)
        ),
    ),
    (17, StatusReport, 3, _pack_status, _unpack_status),
)
_PACKERS = {kind: (number, pack) for number, kind, _, pack, _ in _FORMATS}
_UNPACKERS = {number: (size, unpack) for number, _, size, _, unpack in _FORMATS}
