"""Liveness of links: pings, silence, loss, and admission of new ones."""

from collections import deque
from collections.abc import Callable

from ..clock import Clock
from ..protocol.messages import Ping
from ..state.members import MemberState
from .links import LinkRole, Links, PeerLink
from .membership import Membership
from .suspicion import Suspicion

_PING_EVERY = 1.0  # seconds
# The child dials again at once after a loss; the parent probes only later.
_PARENT_PROBES_AFTER = 1.0  # seconds


class Admission:
    """At most ``links_per_second`` accepted connections in any second."""

    def __init__(self, *, clock: Clock, links_per_second: int) -> None:
        self._clock = clock
        self._limit = links_per_second
        self._accepted_at: deque[float] = deque()
        self._turned_away = 0

    def admit(self) -> float | None:
        """Return None to admit a connection, else the seconds it should wait."""
        now = self._clock.now()
        while self._accepted_at and self._accepted_at[0] <= now - 1.0:
            self._accepted_at.popleft()
        if not self._accepted_at:
            self._turned_away = 0
        if len(self._accepted_at) < self._limit:
            self._accepted_at.append(now)
            return None
        self._turned_away += 1
        # Spreads those turned away over as many seconds as their admission takes.
        return round(1.0 + self._turned_away / self._limit, 2)


class Liveness:
    """Watches the open links and draws conclusions from silence and loss."""

    def __init__(
        self,
        *,
        links: Links,
        membership: Membership,
        suspicion: Suspicion,
        dial_failed: Callable[[str], None],
    ) -> None:
        self._links = links
        self._options = links.options
        self._membership = membership
        self._suspicion = suspicion
        self._dial_failed = dial_failed

    def lost(self, link: PeerLink) -> None:
        """Handle a connection that ended without this end's doing."""
        if link.daemon is None:
            if link.address is not None:
                self._dial_failed(link.address)
            return
        if link.role is LinkRole.PEER or self._links.to(link.daemon) is not None:
            return
        record = self._membership.table.get(link.daemon)
        if record is not None and record.state is MemberState.LEAVING:
            self._membership.declare_dead(link.daemon, "it has left")
            return
        if link.role is LinkRole.CHILD:
            self._suspicion.suspect(link.daemon, first_probe_after=_PARENT_PROBES_AFTER)
            return
        # The children of a lost relay dial it once and move on; only its parent
        # goes on probing. So the connections of a repair follow the number of
        # losses and not the fan-out.
        self._suspicion.suspect(link.daemon, once=True)

    def watch(self) -> None:
        """Ping quiet links, drop silent ones, close those no longer needed."""
        now = self._links.clock.now()
        for link in list(self._links.link_by_handle.values()):
            silence = now - link.heard_at
            if silence >= self._options.dead_after:
                self._drop_silent(link)
            elif link.role is LinkRole.PEER:
                self._close_spent(link, now)
            elif silence >= self._ping_after(link):
                self._ping(link, now)

    def skip_pause(self, gap: float) -> None:
        """Do not count the time that this process stood still as silence."""
        now = self._links.clock.now()
        for link in self._links.link_by_handle.values():
            # What arrived since the pause already has the new time; a time in the
            # future would hide the silence of a dead link for as long as the pause.
            link.heard_at = min(now, link.heard_at + gap)

    def _ping_after(self, link: PeerLink) -> float:
        # The answer to a ping counts for both ends; one of them is enough.
        extra = 0.5 if link.role is LinkRole.CHILD else 0.0
        return self._options.ping_after + extra

    def _ping(self, link: PeerLink, now: float) -> None:
        if now - link.pinged_at < _PING_EVERY:
            return
        link.pinged_at = now
        self._links.send(link, Ping())

    def _drop_silent(self, link: PeerLink) -> None:
        role, daemon = link.role, link.daemon
        self._links.close(link)
        if daemon is None and link.address is not None:
            self._dial_failed(link.address)
        if daemon is None or role is LinkRole.PEER or self._links.to(daemon):
            return
        self._membership.declare_dead(daemon, "its link is silent")

    def _close_spent(self, link: PeerLink, now: float) -> None:
        # The end that dialed closes; the other end only if that one does not.
        factor = 1.0 if link.address is not None else 2.0
        if now - link.opened_at >= factor * self._options.peer_link_seconds:
            self._links.close(link)
