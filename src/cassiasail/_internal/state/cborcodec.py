"""Strict decoding, with size limits, of CBOR from other daemons or the store.

The functions that check a decoded value return it, or raise ``ProtocolError`` if it
has another type or is out of range.
"""

import zlib
from typing import Any

import cbor2

from ...exceptions import ProtocolError

# Maximum size of a message or object after decompression. A daemon may use 32 MB of
# memory in total, so a single message must not be able to use it up.
MAX_DECODED_BYTES = 8 << 20
MAX_NESTING_DEPTH = 16
DIGEST_BYTES = 16
MAX_UNSIGNED = (1 << 63) - 1


def inflate(data: bytes, *, limit: int = MAX_DECODED_BYTES) -> bytes:
    """Return the decompressed ``data``.

    Raises ``ProtocolError`` if ``data`` is damaged, truncated or followed by other
    bytes, or if the result exceeds ``limit`` bytes.
    """
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, limit + 1)
    except zlib.error as error:
        raise ProtocolError(f"compressed data is damaged: {error}") from error
    if len(decompressed) > limit:
        raise ProtocolError(f"decompressed data exceeds {limit} bytes")
    if not decompressor.eof or decompressor.unused_data:
        raise ProtocolError("compressed data is truncated or has trailing bytes")
    return decompressed


def decode_item(data: bytes, *, limit: int = MAX_DECODED_BYTES) -> Any:
    """Decode exactly one CBOR item; raise ``ProtocolError`` if it is not valid.

    Indefinite lengths and duplicate map keys are refused.
    """
    if len(data) > limit:
        raise ProtocolError(f"data exceeds {limit} bytes")
    try:
        return cbor2.loads(
            data,
            max_depth=MAX_NESTING_DEPTH,
            allow_indefinite=False,
            allow_duplicate_keys=False,
        )
    except Exception as error:
        # The decoder raises many exception types for malicious input, MemoryError and
        # RecursionError among them.
        raise ProtocolError(f"not valid CBOR: {type(error).__name__}") from error


def unsigned(value: Any) -> int:
    """Return ``value`` if it is an integer from 0 to 2**63 - 1."""
    if type(value) is not int or not 0 <= value <= MAX_UNSIGNED:
        raise ProtocolError("expected an integer from 0 to 2**63 - 1")
    return value


def text(value: Any, *, limit: int = 1024) -> str:
    """Return ``value`` if it is a string of at most ``limit`` characters."""
    if type(value) is not str or len(value) > limit:
        raise ProtocolError(f"expected a string of at most {limit} characters")
    return value


def octets(value: Any, *, limit: int) -> bytes:
    """Return ``value`` if it is a byte string of at most ``limit`` bytes."""
    if type(value) is not bytes or len(value) > limit:
        raise ProtocolError(f"expected a byte string of at most {limit} bytes")
    return value


def number(value: Any, *, limit: float) -> float:
    """Return ``value`` if it is a finite number from 0 to ``limit``."""
    if type(value) not in (int, float) or not 0 <= value <= limit:
        raise ProtocolError(f"expected a number from 0 to {limit:g}")
    return float(value)


def items(value: Any, *, at_least: int = 0, limit: int = 1 << 20) -> list[Any]:
    """Return ``value`` if it is a list with ``at_least`` to ``limit`` items."""
    if type(value) is not list or not at_least <= len(value) <= limit:
        raise ProtocolError(
            f"expected a list of at least {at_least} items, within the size limit"
        )
    return value


def mapping(value: Any) -> dict[Any, Any]:
    """Return ``value`` if it is a map."""
    if type(value) is not dict:
        raise ProtocolError("expected a map")
    return value


def digest_to_bytes(digest: int) -> bytes:
    """Return a 128-bit digest as 16 bytes."""
    return digest.to_bytes(DIGEST_BYTES, "big")


def digest_from_bytes(value: Any) -> int:
    """Return the integer that ``digest_to_bytes`` encoded as 16 bytes."""
    if type(value) is not bytes or len(value) != DIGEST_BYTES:
        raise ProtocolError(f"expected a digest of {DIGEST_BYTES} bytes")
    return int.from_bytes(value, "big")
