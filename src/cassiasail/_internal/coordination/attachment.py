"""This daemon's position in the relay tree: joining, parent, healing of splits."""

from collections.abc import Callable, Sequence

from ..ids import DaemonId, DataCentre, Region
from ..protocol.messages import Attach
from ..state.members import MemberRecord, MemberState, MemberTable
from . import topology
from .dialing import Dialer
from .links import LinkRole, Links, PeerLink
from .suspicion import Suspicion

# Dead members are dialed only in every fourth round of probing for a split.
_ROUNDS_PER_DEAD_PROBE = 4
# A daemon that has seeds polls the store itself only after it was alone for this time.
_SECONDS_ALONE_BEFORE_POLL = 5.0


class Attachment:
    """Chooses the parent and stays attached to it.

    ``tree`` is the relay tree as computed from this daemon's member table. The daemon
    attaches to a new parent before it detaches from the old one. A leaf stays with its
    relay as long as that is a relay of the data centre, so a change of membership moves
    no more children than necessary.
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
        self._seeds = [seed for seed in seeds if seed != table.own_record.peer_addr]
        self._store_region = store_region
        self._on_attached = on_attached
        self._tree_is_stale = True
        self._unreachable: frozenset[DataCentre] = frozenset()
        self._full_until_by_daemon: dict[DaemonId, float] = {}
        self._contacts: list[str] = []
        self._alone_since = links.clock.now()
        self._last_probe_at = -1e9
        # Starts at random, because the address lists of many daemons are the same.
        self._probe_round = links.rng.randrange(1 << 16)
        self._next_poll_alone_at = -1e9
        # When this daemon last had a parent or was the root.
        self._last_attached_at = links.clock.now()
        self.tree = topology.build_tree([table.own_record], store_region=store_region)
        self.relays: tuple[DaemonId, ...] = ()
        table.on_change.append(self._on_member_change)

    # Roles.

    @property
    def is_head(self) -> bool:
        """Whether this daemon is the head of its data centre."""
        own_record = self._table.own_record
        return (
            self.tree.head_by_data_centre.get(own_record.data_centre) == own_record.id
        )

    @property
    def is_root(self) -> bool:
        """Whether this daemon is the root of its view of the tree."""
        return self.tree.root == self._table.own_record.id

    @property
    def is_poller(self) -> bool:
        """Whether this daemon polls the store for new versions.

        Besides the two pollers of the fleet, a head without a parent polls: the pollers
        may be dead or unreachable while the store is reachable. That is at most one
        daemon in a data centre. A daemon without any other member in its table computes
        itself as poller. When the whole fleet restarts, that holds for all daemons, so
        a daemon with seeds waits first.
        """
        if self._is_alone() and self._seeds:
            return self.alone_seconds >= _SECONDS_ALONE_BEFORE_POLL
        if self._table.own_record.id in self.tree.pollers:
            return True
        unattached_for = self._links.clock.now() - self._last_attached_at
        return self.is_head and unattached_for >= self._links.options.dead_after

    def may_poll(self) -> bool:
        """Return whether to poll the store now.

        A daemon with seeds that is alone polls only every 2 to 4 seconds.
        """
        if not self.is_poller:
            return False
        now = self._links.clock.now()
        if not (self._is_alone() and self._seeds):
            return True
        if now < self._next_poll_alone_at:
            return False
        self._next_poll_alone_at = now + self._links.rng.uniform(2.0, 4.0)
        return True

    @property
    def needs_contacts(self) -> bool:
        """Whether no seed responded in time, so that the directory should be read."""
        return self.alone_seconds >= self._links.options.join_wait

    @property
    def alone_seconds(self) -> float:
        """Seconds without another member and without a link, else 0."""
        if not self._is_alone():
            return 0.0
        return max(0.0, self._links.clock.now() - self._alone_since)

    def is_parent_candidate(self, record: MemberRecord) -> bool:
        """Return whether ``record`` may become the parent in the current tree."""
        return record.id in self._parent_candidates()

    def mark_tree_stale(self) -> None:
        """Recompute the tree at the next tick."""
        self._tree_is_stale = True

    def set_contacts(self, addresses: Sequence[str]) -> None:
        """Replace the contacts by addresses from the directory."""
        own_address = self._table.own_record.peer_addr
        self._contacts = [address for address in addresses if address != own_address]

    def may_accept_child(self, daemon: DaemonId) -> bool:
        """Return whether this daemon has room for ``daemon`` as a child.

        Relays and heads often have only one possible parent, so they are accepted up to
        twice the fan-out. A rejected leaf attaches to the next relay.
        """
        children = [link for link in self._links.children() if link.daemon != daemon]
        limit = self._links.options.fan_out
        relays_and_heads = set(self.relays) | set(
            self.tree.head_by_data_centre.values()
        )
        return len(children) < (2 * limit if daemon in relays_and_heads else limit)

    def exclude_full_parent(self, daemon: DaemonId, seconds: float) -> None:
        """Don't choose ``daemon`` as the parent for ``seconds``; it has no room."""
        self._full_until_by_daemon[daemon] = self._links.clock.now() + seconds

    # Time.

    def tick(self) -> None:
        """Attach to the best parent; without one, join the fleet or heal a split."""
        self._refresh_tree()
        if self._links.parent is not None or self.is_root:
            self._last_attached_at = self._links.clock.now()
        candidates = self._parent_candidates()
        if candidates:
            self._ensure_parent(candidates)
        elif self._links.parent is not None:
            self._detach(self._links.parent)
        if self._is_alone():
            self._join()
        elif self._links.parent is None:
            self._alone_since = self._links.clock.now()
            self._probe_for_split()
        else:
            self._alone_since = self._links.clock.now()

    def _on_member_change(
        self, old: MemberRecord | None, new: MemberRecord | None
    ) -> None:
        # Recomputes the tree only if needed: endpoints and sequences change often and
        # have no influence on it.
        before = old is not None and _tree_inputs(old)
        if before != (new is not None and _tree_inputs(new)):
            self._tree_is_stale = True

    def _refresh_tree(self) -> None:
        """Recompute tree and relays if membership or reachability changed."""
        if not self._tree_is_stale and self._unreachable == self._table.unreachable:
            return
        self._tree_is_stale = False
        self._unreachable = self._table.unreachable
        unresponsive = self._suspicion.unresponsive()
        # A leaving daemon keeps its links for a while but may not become a parent.
        living = [
            record
            for record in self._table.reachable()
            if record.id == self._table.own_record.id
            or (record.state is MemberState.ALIVE and record.id not in unresponsive)
        ]
        self.tree = topology.build_tree(living, store_region=self._store_region)
        own_record = self._table.own_record
        members = [r.id for r in living if r.data_centre == own_record.data_centre]
        self.relays = topology.choose_relays(
            members,
            head=self.tree.head_by_data_centre.get(own_record.data_centre),
            fan_out=self._links.options.fan_out,
        )

    def _parent_candidates(self) -> list[DaemonId]:
        """Return the possible parents, best first; none for the root."""
        own_record = self._table.own_record
        preferred = topology.parent_candidates(own_record, self.tree, self.relays)
        head = self.tree.head_by_data_centre.get(own_record.data_centre)
        if not preferred:
            return []
        if own_record.id != head:
            return [*preferred, head] if head and head not in preferred else preferred
        # A network partition may make the region head or the root unreachable. Then any
        # head of higher rank may be the parent: increasing ranks exclude cycles.
        own_rank = topology.rank("head", own_record.id)
        heads = topology.sort_by_rank("head", self.tree.head_by_data_centre.values())
        higher_heads = [
            daemon for daemon in heads if topology.rank("head", daemon) > own_rank
        ]
        root = [self.tree.root] if self.tree.root else []
        return list(dict.fromkeys([*preferred, *root, *higher_heads]))

    def _ensure_parent(self, candidates: list[DaemonId]) -> None:
        """Stay with an acceptable parent or attach to the best reachable candidate."""
        parent = self._links.parent
        acceptable = (
            set(self.relays) if candidates[0] in self.relays else {candidates[0]}
        )
        if parent is not None and parent.daemon in acceptable:
            return
        if parent is not None and parent.daemon not in candidates:
            # The former parent may be a descendant of this daemon by now. Its link
            # stays open for a while, so no message is lost by the change.
            self._detach(parent)
            parent = None
        for daemon in candidates:
            if parent is not None and daemon == parent.daemon:
                return
            if self._attach_or_dial(daemon):
                return

    def _attach_or_dial(self, daemon: DaemonId) -> bool:
        """Return whether ``daemon`` is now the parent or being dialed."""
        now = self._links.clock.now()
        record = self._table.get(daemon)
        if record is None or self._full_until_by_daemon.get(daemon, 0.0) > now:
            return False
        link = self._links.link_to(daemon)
        if link is not None:
            if link.role is LinkRole.CHILD:
                # Both ends chose the other as parent; their tables will converge.
                return False
            self._attach(link)
            return True
        if self._dialer.is_dialing(record.peer_addr):
            return True
        return self._dialer.dial(record.peer_addr)

    def _attach(self, link: PeerLink) -> None:
        """Make the peer the parent, then detach from the former parent."""
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
        # The link stays open as a peer link for a short time, so that records sent
        # during the change still arrive.
        link.opened_at = self._links.clock.now()
        self._links.send(link, Attach(False))

    def _is_alone(self) -> bool:
        """Return whether there is no other living member and no identified link."""
        return len(self._table) <= 1 and not any(self._links.identified())

    def _join(self) -> None:
        """Dial seeds, and contacts if no seed responded, in random order."""
        use_contacts = self.needs_contacts and self._contacts
        addresses = [*self._seeds, *(self._contacts if use_contacts else [])]
        dialing = sum(map(self._dialer.is_dialing, addresses))
        self._links.rng.shuffle(addresses)
        for address in addresses:
            # At most two attempts at a time: when the whole fleet restarts, not every
            # daemon may connect to every seed at once.
            if dialing >= 2:
                return
            dialing += self._dialer.dial(address)

    def _probe_for_split(self) -> None:
        """Dial addresses that may belong to the other part of a split fleet."""
        now = self._links.clock.now()
        if now - self._last_probe_at < self._links.options.probe_interval:
            return
        self._last_probe_at = now
        reachable = {record.peer_addr for record in self._table.reachable()}
        unreachable = [
            record.peer_addr
            for record in self._table.living()
            if record.data_centre in self._table.unreachable
        ]
        dead = [record.peer_addr for record in self._table.dead()]
        member_addresses = reachable.union(unreachable, dead)
        non_members = [seed for seed in self._seeds if seed not in reachable]
        non_members += [
            address for address in self._contacts if address not in member_addresses
        ]
        # If no parent responds, a daemon in another data centre may have newer records:
        # the chosen parent may have crashed together with all daemons linked to it.
        remote = [
            record.peer_addr
            for record in self._table.reachable()
            if not self.is_root
            and record.data_centre != self._table.own_record.data_centre
        ]
        # A dead member rarely comes back at its address, and a split in which each part
        # has marked the whole other part dead is rarer still.
        self._probe_round += 1
        if self._probe_round % _ROUNDS_PER_DEAD_PROBE:
            dead = []
        for addresses in (unreachable, dead, non_members, remote):
            if addresses:
                # In turn and not at random: among many addresses of dead daemons, a
                # random choice may miss the only living one for a long time.
                self._dialer.dial(addresses[self._probe_round % len(addresses)])


def _tree_inputs(record: MemberRecord) -> tuple[MemberState, DataCentre, Region]:
    """Return the fields of a record on which the tree depends."""
    return record.state, record.data_centre, record.region
