"""Room on the link of a VM for large responses of its target.

Load that it answers: the responses to the requests that a target could run fill the
link of its VM. Slots are free then, and each further response makes all others late. A
request is refused at once if its response would wait too long, while another VM can
still serve it. Small responses need no room: they don't wait behind large ones.
"""

from dataclasses import dataclass
from typing import Protocol

# Responses up to this size need no room; they are sent at once.
SMALL_RESPONSE_BYTES = 16 << 10


class Link(Protocol):
    """A link and what waits to be sent over it."""

    @property
    def backlog_seconds(self) -> float:
        """Seconds in which the link carries what waits to be sent."""
        ...

    def seconds_for(self, size: float) -> float:
        """Return the seconds in which the link carries ``size`` bytes."""
        ...


@dataclass(slots=True, kw_only=True)
class LinkRoom:
    """The expected responses of the requests that were admitted for a link.

    ``link`` is None if responses leave over none.
    """

    link: Link | None
    # Expected bytes of responses to requests that wait for a slot or run.
    _reserved: float = 0.0

    def busy_seconds(self) -> float:
        """Return the seconds in which the link carries all that is expected."""
        if self.link is None:
            return 0.0
        return self.link.backlog_seconds + self.link.seconds_for(self._reserved)

    def added_wait(self, size: float, run_seconds: float) -> float:
        """Return the seconds that a response of ``size`` bytes would take besides.

        The request waits and runs for ``run_seconds``, while the link carries others.
        """
        if self.link is None or size <= SMALL_RESPONSE_BYTES:
            return 0.0
        waiting = max(0.0, self.busy_seconds() - run_seconds)
        return waiting + self.link.seconds_for(size)

    def reserve(self, size: float) -> None:
        """Reserve room for a response; ``release`` it once it is ready."""
        if size > SMALL_RESPONSE_BYTES:
            self._reserved += size

    def release(self, size: float) -> None:
        """Release the room of a response that is ready, or that won't be."""
        if size > SMALL_RESPONSE_BYTES:
            self._reserved = max(0.0, self._reserved - size)
