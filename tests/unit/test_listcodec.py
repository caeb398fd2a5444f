"""Tests of store objects: round trips, and refusal of damaged objects as a whole."""

import zlib

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiasail._internal.ids import EditId, Version
from cassiasail._internal.state import cborcodec, listcodec
from cassiasail._internal.state.lists import Delta, Snapshot
from cassiasail.exceptions import ProtocolError

SCALARS = st.one_of(st.text(max_size=8), st.integers(0, 1 << 40), st.booleans())
ROWS = st.dictionaries(
    st.text(max_size=12),
    st.dictionaries(st.text(max_size=8), SCALARS, max_size=4),
    max_size=6,
)
DIGESTS = st.integers(0, (1 << 128) - 1)
VERSIONS = st.integers(1, 1 << 40).map(Version)


@given(VERSIONS, DIGESTS, ROWS, st.lists(st.text(max_size=8)).map(tuple))
def test_decoding_returns_the_encoded_values(
    version: Version, digest: int, rows: dict[str, dict[str, object]], removed: object
) -> None:
    """Guards against a field that is lost when it is encoded or decoded."""
    delta = Delta(
        version=version,
        base=Version(version - 1),
        digest=digest,
        changed_by_key=rows,
        removed=removed,  # type: ignore[arg-type]
    )
    snapshot = Snapshot(version=version, digest=digest, rows_by_key=rows)
    assert listcodec.decode_delta(listcodec.encode_delta(delta)) == delta
    assert listcodec.decode_snapshot(listcodec.encode_snapshot(snapshot)) == snapshot
    head = listcodec.HeadRow(
        version=version, digest=digest, edit_id=EditId("e"), snapshot="s", delta="d"
    )
    row = listcodec.VersionRow(head=head, author="a", time=1.5, comment="")
    assert listcodec.decode_version(listcodec.encode_version(row)) == row


@given(st.binary(max_size=200), st.integers(0, 400))
def test_damaged_objects_raise_only_protocol_errors(
    random_bytes: bytes, truncated_length: int
) -> None:
    """Guards against other exceptions, which would stop the polling of the store."""
    valid = listcodec.encode_snapshot(
        Snapshot(version=Version(1), digest=3, rows_by_key={"plan/a": {"x": 1}})
    )
    for data in (
        random_bytes,
        zlib.compress(random_bytes),
        valid[: truncated_length % len(valid)],
        valid + b"\0",
    ):
        for decode in (listcodec.decode_snapshot, listcodec.decode_delta):
            with pytest.raises(ProtocolError):
                decode(data)


def test_decompression_is_bounded() -> None:
    """Guards against a small object that decompresses beyond a daemon's memory."""
    compressed = zlib.compress(cbor2.dumps(b"\0" * (cborcodec.MAX_DECODED_BYTES + 1)))
    with pytest.raises(ProtocolError, match="exceeds"):
        listcodec.decode_snapshot(compressed)
