"""Fingerprints that identify copies of the same request."""

import hashlib

Fingerprint = bytes

FINGERPRINT_BYTES = 16


def fingerprint_of(
    sender: str, method: str, path: str, body_digest: bytes
) -> Fingerprint:
    """Return the fingerprint of a request; ``path`` includes the query."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (sender.encode(), method.encode(), path.encode(), body_digest):
        # The length prefix distinguishes ("ab", "c") from ("a", "bc").
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.digest()
