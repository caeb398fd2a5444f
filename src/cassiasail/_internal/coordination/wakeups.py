"""A timer that fires at the earliest of several requested times."""

from collections.abc import Callable
from typing import Protocol

from ..clock import Clock

# Rounding may fire a timer just before it is due. Without a minimum delay it would be
# set for the same instant over and over.
MIN_DELAY_SECONDS = 0.0005


class TimerHandle(Protocol):
    """Handle of a timer, as returned by ``asyncio`` event loops."""

    def cancel(self) -> None: ...


CallLater = Callable[[float, Callable[[], None]], TimerHandle]


class Wakeup:
    """Calls ``callback`` once at the earliest requested time.

    The callback schedules the next wakeup.
    """

    def __init__(
        self, *, clock: Clock, call_later: CallLater, callback: Callable[[], None]
    ) -> None:
        self._clock = clock
        self._call_later = call_later
        self._callback = callback
        self._timer: TimerHandle | None = None
        self._due_at = 0.0

    def schedule(self, due_at: float) -> None:
        """Request a call at ``due_at``.

        A pending timer that is due later is replaced; one that is due earlier stays.
        """
        if self._timer is not None:
            if self._due_at <= due_at:
                return
            self._timer.cancel()
        self._due_at = due_at
        delay = max(MIN_DELAY_SECONDS, due_at - self._clock.now())
        self._timer = self._call_later(delay, self._fire)

    def _fire(self) -> None:
        self._timer = None
        self._callback()
