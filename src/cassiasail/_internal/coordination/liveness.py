"""Keepalive and loss of control links, and the rate limit for accepted ones."""

from collections import deque
from collections.abc import Callable

from ..clock import Clock
from ..protocol.messages import Ping
from ..state.members import MemberState
from .links import LinkRole, Links, PeerLink
from .membership import Membership
from .suspicion import Suspicion

_PING_INTERVAL = 1.0  # seconds
# After a lost connection the child dials again at once, so the parent waits for that
# before it probes the child.
_PARENT_PROBE_DELAY = 1.0  # seconds


class ConnectionAdmission:
    """Admits at most ``links_per_second`` accepted connections in any second."""

    def __init__(self, *, clock: Clock, links_per_second: int) -> None:
        self._clock = clock
        self._limit = links_per_second
        self._accepted_at: deque[float] = deque()
        self._rejected = 0

    def admit(self) -> float | None:
        """Return None to admit a connection, else the seconds until it may retry."""
        now = self._clock.now()
        while self._accepted_at and self._accepted_at[0] <= now - 1.0:
            self._accepted_at.popleft()
        if not self._accepted_at:
            self._rejected = 0
        if len(self._accepted_at) < self._limit:
            self._accepted_at.append(now)
            return None
        self._rejected += 1
        # Spreads the retries over as many seconds as it takes to admit all of them.
        return round(1.0 + self._rejected / self._limit, 2)


class Liveness:
    """Sends keepalives and decides which lost links make a member suspected or dead."""

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

    def connection_lost(self, link: PeerLink) -> None:
        """Handle a connection that this end did not close.

        Before the peer's Hello it counts as a failed attempt. Otherwise only the last
        link to a parent or child matters: a leaving member is then dead, any other
        member is suspected.
        """
        if link.daemon is None:
            if link.address is not None:
                self._dial_failed(link.address)
            return
        if link.role is LinkRole.PEER or self._links.link_to(link.daemon) is not None:
            return
        record = self._membership.table.get(link.daemon)
        if record is not None and record.state is MemberState.LEAVING:
            self._membership.declare_dead(link.daemon, "it left the fleet")
            return
        if link.role is LinkRole.CHILD:
            self._suspicion.suspect(link.daemon, first_probe_after=_PARENT_PROBE_DELAY)
            return
        # The children of an unreachable relay probe it once and attach elsewhere; only
        # its parent keeps probing. So the number of probes grows with the number of
        # unreachable members and not with the fan-out.
        self._suspicion.suspect(link.daemon, once=True)

    def check_links(self) -> None:
        """Ping idle tree links, drop unresponsive links, close old peer links."""
        now = self._links.clock.now()
        for link in list(self._links.link_by_handle.values()):
            idle_seconds = now - link.last_received_at
            if idle_seconds >= self._options.dead_after:
                self._drop_unresponsive(link)
            elif link.role is LinkRole.PEER:
                self._close_old_peer_link(link, now)
            elif idle_seconds >= self._ping_after(link):
                self._ping(link, now)

    def skip_pause(self, gap: float) -> None:
        """Exclude a pause of this process from the idle time of all links."""
        now = self._links.clock.now()
        for link in self._links.link_by_handle.values():
            # A message that arrived after the pause has already set the current time. A
            # time in the future would delay the timeout of a dead link by the pause.
            link.last_received_at = min(now, link.last_received_at + gap)

    def _ping_after(self, link: PeerLink) -> float:
        # Ping and Pong reset the idle time of both ends, so it is enough that one end
        # pings. The end that has the other as a child waits 0.5 s longer.
        extra = 0.5 if link.role is LinkRole.CHILD else 0.0
        return self._options.ping_after + extra

    def _ping(self, link: PeerLink, now: float) -> None:
        if now - link.last_ping_at < _PING_INTERVAL:
            return
        link.last_ping_at = now
        self._links.send(link, Ping())

    def _drop_unresponsive(self, link: PeerLink) -> None:
        """Close a link without messages; a parent or child without another is dead."""
        role, daemon = link.role, link.daemon
        self._links.close(link)
        if daemon is None and link.address is not None:
            self._dial_failed(link.address)
        if daemon is None or role is LinkRole.PEER or self._links.link_to(daemon):
            return
        self._membership.declare_dead(daemon, "no message arrived on its link")

    def _close_old_peer_link(self, link: PeerLink, now: float) -> None:
        # The dialing end closes the link. The accepting end closes it after twice the
        # time, in case the dialing end did not.
        factor = 1.0 if link.address is not None else 2.0
        if now - link.opened_at >= factor * self._options.peer_link_seconds:
            self._links.close(link)
