"""Where this daemon hangs in the relay tree: joining, parent, healing of splits."""

from collections.abc import Callable, Sequence

from ..ids import DaemonId, DataCentre, Region
from ..protocol.messages import Attach
from ..state.members import MemberRecord, MemberState, MemberTable
from . import topology
from .dialing import Dialer
from .links import LinkRole, Links, PeerLink
from .suspicion import Suspicion

# Rounds of healing between two attempts to reach a member believed dead.
_DEAD_EVERY = 4
# Seconds without any member before a daemon with seeds reads the store itself.
_ALONE_BEFORE_POLL = 5.0


class Attachment:
    """Chooses and keeps the parent; ``tree`` is the own view of the relay tree.

    A new parent is connected before the old one is left, and a leaf stays with any
    living relay, so a change of membership moves only the children it must.
    """

    def __init__(
        self,
        *,
        table: MemberTable,
        links: Links,
        dialer: Dialer,
        suspicion: Suspicion,
        seeds: Sequence[str],
        store_region: Region,
        on_attached: Callable[[PeerLink], None],
    ) -> None:
        self._table = table
        self._links = links
        self._dialer = dialer
        self._suspicion = suspicion
        self._seeds = [seed for seed in seeds if seed != table.own.peer_addr]
        self._store_region = store_region
        self._on_attached = on_attached
        self._stale_tree = True
        self._unreachable: frozenset[DataCentre] = frozenset()
        self._full_until: dict[DaemonId, float] = {}
        self._contacts: list[str] = []
        self._lonely_since = links.clock.now()
        self._probed_at = -1e9
        # Daemons start at different places of lists that are often the same.
        self._heal_round = links.rng.randrange(1 << 16)
        self._alone_poll_at = -1e9
        # When this daemon last had a parent or needed none.
        self._attached_at = links.clock.now()
        self.tree = topology.build_tree([table.own], store_region=store_region)
        self.relays: tuple[DaemonId, ...] = ()
        table.on_change.append(self._on_member_change)

    # Roles.

    @property
    def is_head(self) -> bool:
        """Whether this daemon is the head of its data centre."""
        own = self._table.own
        return self.tree.head_by_data_centre.get(own.data_centre) == own.id

    @property
    def is_root(self) -> bool:
        """Whether this daemon is the root by its own view."""
        return self.tree.root == self._table.own.id

    @property
    def is_poller(self) -> bool:
        """Whether this daemon reads the store.

        Besides the two pollers of the fleet, a head that finds no parent does: the
        pollers may be lost or cut off, and the store may still be in reach. That is
        at most one daemon in a data centre. A daemon that knows nobody yet takes
        itself for the poller; in a herd restart all do, so these wait first.
        """
        if self._is_alone() and self._seeds:
            return self.lonely_for >= _ALONE_BEFORE_POLL
        if self._table.own.id in self.tree.pollers:
            return True
        unattached_for = self._links.clock.now() - self._attached_at
        return self.is_head and unattached_for >= self._links.options.dead_after

    def may_poll(self) -> bool:
        """Return whether to read the store now; a daemon on its own reads rarely."""
        if not self.is_poller:
            return False
        now = self._links.clock.now()
        if not (self._is_alone() and self._seeds):
            return True
        if now < self._alone_poll_at:
            return False
        self._alone_poll_at = now + self._links.rng.uniform(2.0, 4.0)
        return True

    @property
    def needs_contacts(self) -> bool:
        """Whether no seed has answered in time and the directory should be read."""
        return self.lonely_for >= self._links.options.join_wait

    @property
    def lonely_for(self) -> float:
        """Seconds without any member, 0 if there are some."""
        if not self._is_alone():
            return 0.0
        return max(0.0, self._links.clock.now() - self._lonely_since)

    def answered(self, wait: float) -> None:
        """Note that a seed or contact is alive and has room in ``wait`` seconds."""
        self._lonely_since = self._links.clock.now() + wait

    def is_candidate(self, record: MemberRecord) -> bool:
        """Return whether ``record`` may become the parent by the present tree."""
        return record.id in self._candidates()

    def mark_stale(self) -> None:
        """Compute the tree again at the next tick."""
        self._stale_tree = True

    def add_contacts(self, addresses: Sequence[str]) -> None:
        """Take over addresses from the directory."""
        own = self._table.own.peer_addr
        self._contacts = [address for address in addresses if address != own]

    def may_accept(self, daemon: DaemonId) -> bool:
        """Return whether a new child fits.

        Relays and heads find only one parent, so they may use twice the fan-out
        before they are turned away; leaves try the next relay.
        """
        children = [link for link in self._links.children() if link.daemon != daemon]
        limit = self._links.options.fan_out
        upper = set(self.relays) | set(self.tree.head_by_data_centre.values())
        return len(children) < (2 * limit if daemon in upper else limit)

    def parent_is_full(self, daemon: DaemonId, seconds: float) -> None:
        """Leave out a parent that has no room for ``seconds``."""
        self._full_until[daemon] = self._links.clock.now() + seconds

    # Time.

    def tick(self) -> None:
        """Keep the right parent; join or heal a split when there is none."""
        self._refresh_tree()
        if self._links.parent is not None or self.is_root:
            self._attached_at = self._links.clock.now()
        candidates = self._candidates()
        if candidates:
            self._keep_parent(candidates)
        elif self._links.parent is not None:
            self._detach(self._links.parent)
        if self._is_alone():
            self._join()
        elif self._links.parent is None:
            self._lonely_since = self._links.clock.now()
            self._heal()
        else:
            self._lonely_since = self._links.clock.now()

    def _on_member_change(
        self, old: MemberRecord | None, new: MemberRecord | None
    ) -> None:
        # Endpoints and sequences change often and do not move the tree.
        before = old is not None and _place(old)
        if before != (new is not None and _place(new)):
            self._stale_tree = True

    def _refresh_tree(self) -> None:
        if not self._stale_tree and self._unreachable == self._table.unreachable:
            return
        self._stale_tree = False
        self._unreachable = self._table.unreachable
        silent = self._suspicion.unresponsive()
        # A leaving daemon keeps its links for a while but is nobody's parent.
        living = [
            record
            for record in self._table.reachable()
            if record.id == self._table.own.id
            or (record.state is MemberState.ALIVE and record.id not in silent)
        ]
        self.tree = topology.build_tree(living, store_region=self._store_region)
        own = self._table.own
        members = [r.id for r in living if r.data_centre == own.data_centre]
        self.relays = topology.relays_of(
            members,
            head=self.tree.head_by_data_centre.get(own.data_centre),
            fan_out=self._links.options.fan_out,
        )

    def _candidates(self) -> list[DaemonId]:
        own = self._table.own
        found = topology.parents_of(own, self.tree, self.relays)
        head = self.tree.head_by_data_centre.get(own.data_centre)
        if not found:
            return []
        if own.id != head:
            return [*found, head] if head and head not in found else found
        # Where the region head or the root does not answer across a cut, any head
        # of higher rank keeps the tree free of cycles.
        limit = topology.rank("head", own.id)
        others = topology.ordered("head", self.tree.head_by_data_centre.values())
        higher = [daemon for daemon in others if topology.rank("head", daemon) > limit]
        root = [self.tree.root] if self.tree.root else []
        return list(dict.fromkeys([*found, *root, *higher]))

    def _keep_parent(self, candidates: list[DaemonId]) -> None:
        parent = self._links.parent
        stays = set(self.relays) if candidates[0] in self.relays else {candidates[0]}
        if parent is not None and parent.daemon in stays:
            return
        if parent is not None and parent.daemon not in candidates:
            # It may hang below this daemon by now. What it sends still arrives for
            # a while, so a change of parents loses nothing.
            self._detach(parent)
            parent = None
        for daemon in candidates:
            if parent is not None and daemon == parent.daemon:
                return
            if self._try_parent(daemon):
                return

    def _try_parent(self, daemon: DaemonId) -> bool:
        """Return whether ``daemon`` is now the parent or being connected."""
        now = self._links.clock.now()
        record = self._table.get(daemon)
        if record is None or self._full_until.get(daemon, 0.0) > now:
            return False
        link = self._links.to(daemon)
        if link is not None:
            if link.role is LinkRole.CHILD:
                # Both ends took the other for the child; the views will agree.
                return False
            self._attach(link)
            return True
        if self._dialer.is_dialing(record.peer_addr):
            return True
        return self._dialer.dial(record.peer_addr)

    def _attach(self, link: PeerLink) -> None:
        old = self._links.parent
        link.role = LinkRole.PARENT
        self._links.parent = link
        self._links.send(link, Attach(True))
        self._on_attached(link)
        if old is not None and old is not link:
            self._detach(old)

    def _detach(self, link: PeerLink) -> None:
        if self._links.parent is link:
            self._links.parent = None
        link.role = LinkRole.PEER
        # It stays open as a peer link for a moment, so that records that cross the
        # move still arrive.
        link.opened_at = self._links.clock.now()
        self._links.send(link, Attach(False))

    def _is_alone(self) -> bool:
        return len(self._table) <= 1 and not any(self._links.ready())

    def _join(self) -> None:
        use_contacts = self.needs_contacts and self._contacts
        addresses = [*self._seeds, *(self._contacts if use_contacts else [])]
        dialing = sum(map(self._dialer.is_dialing, addresses))
        self._links.rng.shuffle(addresses)
        for address in addresses:
            # Two at a time: a herd must not open a link to every seed at once.
            if dialing >= 2:
                return
            dialing += self._dialer.dial(address)

    def _heal(self) -> None:
        """Look for the other side of a split while there is no parent."""
        now = self._links.clock.now()
        if now - self._probed_at < self._links.options.probe_interval:
            return
        self._probed_at = now
        known = {record.peer_addr for record in self._table.reachable()}
        cut = [
            record.peer_addr
            for record in self._table.living()
            if record.data_centre in self._table.unreachable
        ]
        dead = [record.peer_addr for record in self._table.dead()]
        held = known.union(cut, dead)
        unknown = [seed for seed in self._seeds if seed not in known]
        unknown += [address for address in self._contacts if address not in held]
        # Without a parent that answers, anybody elsewhere may know a newer tree: the
        # chosen parent may have died together with all who observed it.
        others = [
            record.peer_addr
            for record in self._table.reachable()
            if not self.is_root and record.data_centre != self._table.own.data_centre
        ]
        # The dead rarely return at their address; a split in which each side holds
        # all of the other for dead is rarer still.
        self._heal_round += 1
        if self._heal_round % _DEAD_EVERY:
            dead = []
        for addresses in (cut, dead, unknown, others):
            if addresses:
                # In turn and not at random: with many lost addresses a random choice
                # may miss the living one for a long time.
                self._dialer.dial(addresses[self._heal_round % len(addresses)])


def _place(record: MemberRecord) -> tuple[MemberState, DataCentre, Region]:
    return record.state, record.data_centre, record.region
