"""What must hold on an in-memory fleet: per daemon always, fleet-wide when healed."""

import random
from collections.abc import Iterator

from cassiasail._internal.coordination.links import ControlOptions
from cassiasail._internal.ids import DaemonId
from cassiasail._internal.state.lists import Lists

from .clocks import VirtualClock
from .memory_store import MemoryStore
from .nodes import Node


class FleetOracle:
    """Checks shared by all users of the network, which inherits them."""

    clock: VirtualClock
    rng: random.Random
    store: MemoryStore
    nodes: list[Node]
    options: ControlOptions
    centre_count: int
    node_by_address: dict[str, Node]

    def run_for(self, seconds: float) -> None:
        raise NotImplementedError

    @property
    def committed(self) -> dict[int, Lists]:
        return self.store.lists_by_version

    @property
    def bad_versions(self) -> set[int]:
        return self.store.faulty_versions

    @property
    def newest(self) -> int:
        return self.store.newest_valid_version

    def commit(self, *, fault: str = "") -> int:
        return self.store.commit(self.rng, fault=fault)

    @property
    def running(self) -> list[Node]:
        return [node for node in self.nodes if node.control is not None]

    # The oracle for one daemon.

    def check_node(self, node: Node) -> None:
        """Versions never fall; only whole committed versions are in force."""
        assert node.control is not None
        lists = node.control.lists
        assert lists.version >= node.version, f"{node.id} went back"
        node.version = lists.version
        if lists.version == 0:
            return
        assert lists.version not in self.bad_versions, f"{node.id} took a bad version"
        expected = self.committed[lists.version]
        assert lists.lists.digest == expected.digest
        assert lists.table.version == lists.version

    # The oracle for the fleet.

    def version_faults(self) -> Iterator[str]:
        """Yield the daemons that do not hold the newest good version."""
        for node in self.running:
            assert node.control is not None
            if node.control.lists.version != self.newest:
                yield f"{node.id} holds {node.control.lists.version}"

    def disagreements(self) -> list[str]:
        """Return what keeps the fleet from being converged."""
        found = list(self.version_faults())
        running = {node.id: node for node in self.running}
        own = {n.id: n.control.table.own for n in running.values() if n.control}
        for node in running.values():
            assert node.control is not None
            seen = {r.id: r for r in node.control.table.reachable()}
            for daemon in seen.keys() - own.keys():
                found.append(f"{node.id} believes in {daemon}")
            for daemon, record in own.items():
                if seen.get(daemon) != record:
                    held = node.control.table.get(daemon)
                    found.append(f"{node.id} lacks {record} and holds {held}")
        return found

    def check_tree(self) -> None:
        """The relay tree is connected and no daemon exceeds the fan-out."""
        parents = {}
        for node in self.running:
            assert node.control is not None
            status = node.control.fleet_status()
            # Other heads come on top of the relays below a head.
            heads = self.centre_count if node.control.attachment.is_head else 0
            assert status.children <= self.options.fan_out + heads, f"{status}"
            for centre, counts in status.count_by_version.items():
                assert set(counts) == {self.newest}, f"{node.id} {centre} {counts}"
            parents[node.id] = status.parent
        roots = [daemon for daemon, parent in parents.items() if parent is None]
        assert len(roots) == 1, f"roots: {roots}"
        root = self.node_by_address[str(roots[0])].control
        assert root is not None
        counted = root.fleet_status().count_by_version.values()
        assert sum(sum(c.values()) for c in counted) == len(self.running)
        for daemon in parents:
            at: DaemonId | None = daemon
            for _ in range(8):
                at = parents.get(at) if at else None
            assert at is None, f"{daemon} is in a cycle"

    def settle(self, limit: float, *, versions: float = 8.0) -> tuple[float, float]:
        """Run until converged; return the seconds for versions and for members.

        Fails if versions take longer than ``versions`` or anything than ``limit``.
        """
        started = self.clock.now()
        versions_at: float | None = None
        while True:
            elapsed = self.clock.now() - started
            if versions_at is None and not any(self.version_faults()):
                versions_at = elapsed
            found = self.disagreements()
            if not found:
                return versions_at or 0.0, elapsed
            late = versions_at is None and elapsed > versions
            if elapsed > limit or late:
                raise AssertionError(f"after {elapsed:.1f} s: {'; '.join(found[:10])}")
            self.run_for(0.1)
