"""One timer that is moved to the earliest time at which there is something to do."""

from collections.abc import Callable
from typing import Protocol

from ..clock import Clock

# Rounding may let a timer fire just before it is due; without a minimum it would be
# set again for the same instant over and over.
MIN_DELAY = 0.0005  # seconds


class TimerHandle(Protocol):
    """Handle of a timer, as returned by ``asyncio`` event loops."""

    def cancel(self) -> None: ...


CallLater = Callable[[float, Callable[[], None]], TimerHandle]


class Wakeup:
    """Calls ``callback`` at the earliest time asked for; it then asks again."""

    def __init__(
        self, *, clock: Clock, call_later: CallLater, callback: Callable[[], None]
    ) -> None:
        self._clock = clock
        self._call_later = call_later
        self._callback = callback
        self._timer: TimerHandle | None = None
        self._due = 0.0

    def ask(self, due: float) -> None:
        """Ask for a call at ``due``; a later timer is moved, an earlier one stays."""
        if self._timer is not None:
            if self._due <= due:
                return
            self._timer.cancel()
        self._due = due
        delay = max(MIN_DELAY, due - self._clock.now())
        self._timer = self._call_later(delay, self._fire)

    def _fire(self) -> None:
        self._timer = None
        self._callback()
