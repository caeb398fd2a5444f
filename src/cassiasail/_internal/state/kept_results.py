"""Results of unsafe requests, kept for second copies within a number of bytes."""

from collections.abc import Callable, Hashable

# A second copy comes at most this long after the end of the first, in seconds. It is
# above most deadlines.
KEEP_RESULT_SECONDS = 10.0
# Results kept, in bytes of their bodies: 800 answers of 5 kB, and a small part of the
# 200 MB that a VM may have. A copy of a request whose result was dropped is not
# executed; its outcome is unknown.
MAX_KEPT_RESULT_BYTES = 4 << 20


class KeptResults:
    """Sizes of the results that are kept, the oldest first.

    ``drop`` is called with the key of each result that is to be dropped because the
    limit is exceeded; a single result above the limit is dropped at once.
    """

    def __init__(self, *, drop: Callable[[Hashable], None]) -> None:
        self._drop = drop
        self._size_by_key: dict[Hashable, int] = {}
        self._kept_bytes = 0

    def keep(self, key: Hashable, size: int) -> None:
        """Count a result with a body of ``size`` bytes."""
        if size > MAX_KEPT_RESULT_BYTES:
            self._drop(key)
            return
        self._size_by_key[key] = size
        self._kept_bytes += size
        while self._kept_bytes > MAX_KEPT_RESULT_BYTES:
            oldest = next(iter(self._size_by_key))
            self.release(oldest)
            self._drop(oldest)

    def release(self, key: Hashable) -> None:
        """Stop counting a result, if it is kept."""
        self._kept_bytes -= self._size_by_key.pop(key, 0)
