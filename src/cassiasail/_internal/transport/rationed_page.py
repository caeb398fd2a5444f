"""A page that takes long to make, for clients that ask for it often."""

import time
from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")

# Pages that are made one after the other before the share counts, in seconds of work.
BURST_SECONDS = 0.2


class RationedPage(Generic[T]):
    """Makes a page anew unless that would take more than ``share`` of the time.

    ``render`` makes it; ``clock`` returns seconds.
    """

    def __init__(
        self,
        *,
        render: Callable[[], T],
        share: float,
        clock: Callable[[], float] = time.perf_counter,
    ) -> None:
        self._render = render
        self._share = share
        self._clock = clock
        # Seconds used beyond the share, as of the clock's time ``_used_at``.
        self._used = 0.0
        self._used_at = clock()
        self._last: T | None = None

    def get(self) -> T:
        """Return the page, or the last one while new ones would take too long."""
        now = self._clock()
        self._used = max(0.0, self._used - self._share * (now - self._used_at))
        self._used_at = now
        if self._last is None or self._used < BURST_SECONDS:
            self._last = self._render()
            self._used += self._clock() - now
        return self._last
