"""Decides when a changed endpoint is published in the daemon's record."""

from collections.abc import Callable

from ..clock import Clock
from .permits import EndpointChange, TargetState

# Limits the records that a target with a flapping state floods to the fleet. Draining
# and removal are published at once, because they stop new calls.
PUBLISH_INTERVAL_SECONDS = 1.0


class EndpointPublisher:
    """Publishes changes of one endpoint.

    Draining and removal are published at once, other changes only if a second has
    passed since the last published change.
    """

    def __init__(
        self, *, clock: Clock, publish: Callable[[EndpointChange], None]
    ) -> None:
        self._clock = clock
        self._publish = publish
        self._published: EndpointChange | None = None
        self._last_published = float("-inf")

    def publish_if_due(self, change: EndpointChange) -> None:
        """Publish the endpoint if it changed and the interval has passed.

        A change that is not due is dropped; the caller passes it again with the next
        heartbeat.
        """
        if change == self._published:
            return
        now = self._clock.now()
        stops_calls = change.state in (TargetState.DRAINING, TargetState.REMOVED)
        if not stops_calls and now - self._last_published < PUBLISH_INTERVAL_SECONDS:
            return
        self._published, self._last_published = change, now
        self._publish(change)
