"""When a changed endpoint goes into the daemon's record."""

from collections.abc import Callable

from ..clock import Clock
from .permits import EndpointChange, TargetState

# A flapping target must not flood the fleet with records; draining and removal are
# exempt because they stop work.
PUBLISH_INTERVAL = 1.0  # seconds


class EndpointPublisher:
    """Publishes changes of one endpoint, at most one start of work a second."""

    def __init__(
        self, *, clock: Clock, publish: Callable[[EndpointChange], None]
    ) -> None:
        self._clock = clock
        self._publish = publish
        self._published: EndpointChange | None = None
        self._last_published = float("-inf")

    def offer(self, change: EndpointChange) -> None:
        """Publish the endpoint if it changed and is due.

        A change that is not due is offered again with the next announcement.
        """
        if change == self._published:
            return
        now = self._clock.now()
        stops_work = change.state in (TargetState.DRAINING, TargetState.GONE)
        if not stops_work and now - self._last_published < PUBLISH_INTERVAL:
            return
        self._published, self._last_published = change, now
        self._publish(change)
