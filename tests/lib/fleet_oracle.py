"""Checks of an in-memory fleet: of each daemon at all times, of the healed fleet."""

import random
from collections.abc import Iterator

from cassiasail._internal.coordination.links import ControlOptions
from cassiasail._internal.ids import DaemonId
from cassiasail._internal.state.lists import Lists

from .clocks import VirtualClock
from .memory_store import MemoryStore
from .nodes import Node


class FleetOracle:
    """Checks that ``Network`` inherits, shared by all its users."""

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

    # Checks of one daemon.

    def check_node(self, node: Node) -> None:
        """Check that the version did not decrease and is a complete committed one."""
        assert node.control is not None
        versions = node.control.versions
        assert versions.version >= node.version, (
            f"{node.id} returned to an older version"
        )
        node.version = versions.version
        if versions.version == 0:
            return
        assert versions.version not in self.bad_versions, (
            f"{node.id} applied a bad version"
        )
        expected = self.committed[versions.version]
        assert versions.lists.digest == expected.digest
        assert versions.table.version == versions.version

    # Checks of the fleet.

    def version_faults(self) -> Iterator[str]:
        """Yield the daemons that do not have the newest good version in force."""
        for node in self.running:
            assert node.control is not None
            if node.control.versions.version != self.newest:
                yield f"{node.id} holds {node.control.versions.version}"

    def disagreements(self) -> list[str]:
        """Return all differences from a converged fleet; empty if it has converged."""
        problems = list(self.version_faults())
        running = {node.id: node for node in self.running}
        own_records = {
            n.id: n.control.table.own_record for n in running.values() if n.control
        }
        for node in running.values():
            assert node.control is not None
            reachable_by_id = {r.id: r for r in node.control.table.reachable()}
            for daemon in reachable_by_id.keys() - own_records.keys():
                problems.append(f"{node.id} lists {daemon}")
            for daemon, record in own_records.items():
                if reachable_by_id.get(daemon) != record:
                    known_record = node.control.table.get(daemon)
                    problems.append(
                        f"{node.id} lacks {record} and holds {known_record}"
                    )
        return problems

    def check_tree(self) -> None:
        """Check that the relay tree is connected and no daemon exceeds the fan-out."""
        parents = {}
        for node in self.running:
            assert node.control is not None
            status = node.control.fleet_status()
            # A head may have other heads as children in addition to its relays.
            heads = self.centre_count if node.control.attachment.is_head else 0
            assert status.children <= self.options.fan_out + heads, f"{status}"
            for centre, counts in status.version_counts_by_data_centre.items():
                assert set(counts) == {self.newest}, f"{node.id} {centre} {counts}"
            parents[node.id] = status.parent
        roots = [daemon for daemon, parent in parents.items() if parent is None]
        assert len(roots) == 1, f"roots: {roots}"
        root = self.node_by_address[str(roots[0])].control
        assert root is not None
        counts_by_data_centre = (
            root.fleet_status().version_counts_by_data_centre.values()
        )
        assert sum(sum(c.values()) for c in counts_by_data_centre) == len(self.running)
        for daemon in parents:
            ancestor: DaemonId | None = daemon
            for _ in range(8):
                ancestor = parents.get(ancestor) if ancestor else None
            assert ancestor is None, f"{daemon} is in a cycle"

    def settle(self, limit: float, *, versions: float = 8.0) -> tuple[float, float]:
        """Run until converged; return the seconds that versions and members took.

        Fails if versions take longer than ``versions`` seconds, or if the fleet has not
        converged after ``limit`` seconds.
        """
        started = self.clock.now()
        versions_at: float | None = None
        while True:
            elapsed = self.clock.now() - started
            if versions_at is None and not any(self.version_faults()):
                versions_at = elapsed
            problems = self.disagreements()
            if not problems:
                return versions_at or 0.0, elapsed
            versions_late = versions_at is None and elapsed > versions
            if elapsed > limit or versions_late:
                raise AssertionError(
                    f"after {elapsed:.1f} s: {'; '.join(problems[:10])}"
                )
            self.run_for(0.1)
