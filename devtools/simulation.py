"""Virtual time with timers, so that benches, fuzz runs and tests need not wait."""

import heapq
import itertools
from collections.abc import Callable

# More timers than this at one instant are treated as an endless loop of timers.
MAX_TIMERS_PER_INSTANT = 100_000


class Timer:
    """A callback that is due at ``time`` unless cancelled."""

    def __init__(self, time: float, callback: Callable[[], None]) -> None:
        self.time = time
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Prevent the callback from running."""
        self.callback = None


class Simulation:
    """A clock with timers, which run in order of due time, then of creation."""

    def __init__(self, start: float = 1000.0) -> None:
        self._now = start
        self._order = itertools.count()
        self._timers: list[tuple[float, int, Timer]] = []

    def now(self) -> float:
        return self._now

    def wall(self) -> float:
        return 1_700_000_000.0 + self._now

    async def sleep(self, seconds: float) -> None:
        self.run(seconds)

    def call_later(self, delay: float, callback: Callable[[], None]) -> Timer:
        """Run ``callback`` after ``delay`` seconds."""
        timer = Timer(self._now + delay, callback)
        heapq.heappush(self._timers, (timer.time, next(self._order), timer))
        return timer

    def run(self, seconds: float) -> None:
        """Advance the time by ``seconds`` and run all timers that become due."""
        end = self._now + seconds
        timers_at_instant = 0
        while self._timers and self._timers[0][0] <= end:
            time, _, timer = heapq.heappop(self._timers)
            timers_at_instant = timers_at_instant + 1 if time <= self._now else 0
            if timers_at_instant > MAX_TIMERS_PER_INSTANT:
                raise RuntimeError(f"endless loop of timers at {self._now}")
            self._now = max(self._now, time)
            if timer.callback is not None:
                timer.callback()
        self._now = end
