"""Encoding of control messages; malformed ones raise only ProtocolError."""

import zlib
from typing import Any

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiasail._internal.ids import DaemonId, DataCentre, Version
from cassiasail._internal.protocol import messages as m
from cassiasail._internal.state.lists import Delta, Snapshot
from cassiasail._internal.state.members import (
    Endpoint,
    EndpointState,
    MemberRecord,
    MemberState,
)
from cassiasail.exceptions import ProtocolError

NAMES = st.text(min_size=1, max_size=12)
NUMBERS = st.integers(0, (1 << 63) - 1)
CENTRES = NAMES.map(DataCentre)
ROWS = st.dictionaries(NAMES, st.dictionaries(NAMES, NUMBERS, max_size=2), max_size=4)
DIGEST64, DIGEST128 = st.integers(0, (1 << 64) - 1), st.integers(0, (1 << 128) - 1)
RECORDS = st.builds(
    MemberRecord,
    id=NAMES,
    incarnation=NUMBERS,
    sequence=NUMBERS,
    region=NAMES,
    data_centre=NAMES,
    peer_addr=NAMES,
    http_addr=NAMES,
    admin_addr=NAMES,
    state=st.sampled_from(MemberState),
    endpoints=st.lists(
        st.builds(
            Endpoint,
            service=NAMES,
            target_id=NAMES,
            state=st.sampled_from(EndpointState),
            slots=NUMBERS,
            start_time_ms=NUMBERS,
        ),
        max_size=3,
    ).map(tuple),
)
DELTAS = st.builds(
    Delta,
    version=NUMBERS,
    base=NUMBERS,
    digest=DIGEST128,
    changed_by_key=ROWS,
    removed=st.lists(NAMES, max_size=3).map(tuple),
)
SNAPSHOTS = st.builds(Snapshot, version=NUMBERS, digest=DIGEST128, rows_by_key=ROWS)
DIGESTS = st.dictionaries(CENTRES, DIGEST64, max_size=3)
COUNTERS = st.dictionaries(CENTRES, NUMBERS, max_size=3)
LAGGING_DAEMONS = st.lists(
    st.builds(m.LaggingDaemon, NAMES, NUMBERS, NAMES), max_size=2
)
MESSAGES = st.one_of(
    st.builds(m.Hello, NUMBERS, RECORDS, NUMBERS, DIGEST128, DIGESTS),
    st.builds(m.Attach, st.booleans()),
    st.builds(m.VersionInForce, NUMBERS),
    st.builds(m.ConfigPull, NUMBERS, st.booleans()),
    st.builds(m.ConfigRefused, NUMBERS, NAMES, NAMES),
    st.builds(m.Deltas, st.lists(DELTAS, max_size=3).map(tuple)),
    st.builds(m.SnapshotMessage, SNAPSHOTS),
    st.builds(m.Members, st.lists(RECORDS, max_size=5).map(tuple)),
    st.builds(m.MemberDigests, NUMBERS, DIGESTS),
    st.builds(
        m.BucketDigests,
        st.dictionaries(
            CENTRES, st.one_of(st.just(()), st.tuples(*[DIGEST64] * 16)), max_size=2
        ),
    ),
    st.builds(m.MemberPull, COUNTERS),
    st.builds(m.Ping),
    st.builds(m.Pong),
    st.builds(m.HeadHeartbeats, COUNTERS),
    st.builds(
        m.Notice, st.binary(max_size=16), NAMES, st.binary(max_size=600), NUMBERS
    ),
    st.builds(m.Busy, st.floats(0, 3600), st.booleans()),
    st.builds(
        m.StatusReport,
        st.dictionaries(CENTRES, st.dictionaries(NUMBERS, NUMBERS, max_size=2)),
        LAGGING_DAEMONS.map(tuple),
        st.none() | st.lists(NAMES.map(DaemonId), max_size=2).map(tuple),
    ),
)


@given(MESSAGES, st.binary(max_size=3), st.integers(0, 10_000), st.integers(0, 255))
def test_round_trip_and_corrupted_messages(
    message: m.Message, extra: bytes, position: int, byte: int
) -> None:
    """Guards against a lost field, and corrupt data that raises other errors."""
    data = m.encode(message)
    assert m.decode(data) == message
    changed = bytearray(data)
    changed[position % len(data)] = byte
    for corrupt in (bytes(changed), data[: position % len(data)], data + extra):
        try:
            m.decode(corrupt)
        except ProtocolError:
            pass


@given(st.recursive(st.none() | NUMBERS | NAMES | st.binary(), st.lists))
def test_arbitrary_values_raise_only_protocol_errors(value: Any) -> None:
    """Guards against valid CBOR with fields of wrong types that stops the daemon."""
    for message_type in range(1, 18):
        for body in ([message_type, value], [message_type] + [value] * 6):
            try:
                m.decode(b"\0" + cbor2.dumps(body))
            except ProtocolError:
                pass


def test_messages_of_neighbouring_software_versions_are_accepted() -> None:
    """Guards against daemons that refuse each other's messages during an upgrade."""
    assert m.decode(b"\0" + cbor2.dumps([200, "future"])) is None
    with_extra_field = cbor2.dumps([3, 7, "future field"])
    assert m.decode(b"\0" + with_extra_field) == m.VersionInForce(Version(7))
    with pytest.raises(ProtocolError, match="lacks fields"):
        m.decode(b"\0" + cbor2.dumps([4, 7]))


def test_too_large_messages_are_refused() -> None:
    """Guards against a peer that exhausts memory with one message."""
    with pytest.raises(ProtocolError, match="exceeds"):
        m.decode(b"\1" + zlib.compress(b"\0" * (9 << 20)))
    with pytest.raises(ProtocolError, match="exceeds"):
        m.decode(b"\0" * (m.MAX_MESSAGE_BYTES + 1))
