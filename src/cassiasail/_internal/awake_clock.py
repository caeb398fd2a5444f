"""A clock that stops while this process does not run.

A process may be stopped, or its machine suspended, for seconds. Messages that arrive
meanwhile wait unread, while the clocks of the machine go on. What the process would
have known if it had read them in time can therefore not be told from those clocks.
"""

import asyncio
from collections.abc import Callable

# Interval at which the running process is noticed.
TICK_SECONDS = 0.25
# Longer pauses count as this. Two ticks, because a busy machine delays some of them.
MAX_PAUSE_SECONDS = 0.5


class AwakeClock:
    """Seconds since its creation for which this process has run.

    Until ``run`` is awaited no pause is noticed, and all time counts.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._seen_at = self._loop.time()
        self._awake_seconds = 0.0
        self._is_ticking = False

    async def run(self) -> None:
        """Notice pauses until cancelled."""
        self.now()
        self._is_ticking = True
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self.now()

    def now(self) -> float:
        """Return the seconds for which this process has run."""
        seen_at = self._loop.time()
        elapsed = seen_at - self._seen_at
        if self._is_ticking:
            elapsed = min(elapsed, MAX_PAUSE_SECONDS)
        self._seen_at = seen_at
        self._awake_seconds += elapsed
        return self._awake_seconds

    def call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call ``callback`` once this process has run for ``seconds`` from now on.

        After a pause, what waits unread is therefore read first.
        """
        due = self.now() + seconds

        def check() -> None:
            remaining = due - self.now()
            if remaining > 0:
                self._loop.call_later(remaining, check)
            else:
                callback()

        self._loop.call_later(seconds, check)
