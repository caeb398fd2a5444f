"""Faults and checks on an in-memory fleet, shared by the tests and the long run."""

import random
from collections.abc import Callable

from cassiasail._internal import invariants
from cassiasail._internal.coordination.links import ControlOptions
from cassiasail._internal.ids import ServiceName, TargetId, Version
from cassiasail._internal.state.lists import diff
from cassiasail._internal.state.members import Endpoint, EndpointState

from .network import Network
from .nodes import Node

CENTRES = (
    ("kzn-coast", "kzn-a"),
    ("ec-coast", "ec-a"),
    ("kzn-coast", "kzn-b"),
    ("ec-coast", "ec-b"),
)
BAD_VERSIONS = ("content", "damaged", "missing", "digest", "row")
# Versions must converge within 8 s. Membership may take 8 s for a member that crashed
# together with all daemons linked to it (3 s link timeout, 2 s audit, 3 s probe), and
# at worst another 12 s for one more round of anti-entropy.
VERSION_LIMIT_SECONDS = 8.0
MEMBER_LIMIT_SECONDS = 8.0 + 12.0


class FleetFaults:
    """A fleet, the faults to inject into it, and the checks after they are healed."""

    def __init__(self, *, seed: int, daemons: int, fan_out: int = 4) -> None:
        self.rng = random.Random(seed)
        self.net = Network(
            seed=seed,
            daemons=daemons,
            centres=CENTRES,
            options=ControlOptions(fan_out=fan_out),
        )
        self.net.redeliver_after_reconnect = True
        self.expiry_by_payload: dict[bytes, float] = {}
        self.slowest_convergence = (0.0, 0.0)
        for node in self.net.nodes:
            self.net.start(node)

    def _choose(self, nodes: list[Node]) -> Node | None:
        return self.rng.choice(nodes) if nodes else None

    # Faults. The fleet can be healed after each of them.

    def commit(self) -> None:
        self.net.commit()

    def commit_and_offer(self) -> None:
        """Commit a version and send its delta to a daemon, like the command line."""
        version = self.net.commit()
        node = self._choose([n for n in self.net.running if not n.paused])
        if node is None or node.control is None:
            return
        old = self.net.committed.get(version - 1)
        if old is None or version - 1 in self.net.bad_versions:
            return
        new = self.net.committed[version]
        delta = diff(old, new, base=Version(version - 1), version=Version(version))
        node.control.apply_offered_version(delta)
        self.net.check_node(node)

    def commit_bad(self) -> None:
        self.net.commit(fault=self.rng.choice(BAD_VERSIONS))

    def kill_random(self) -> None:
        share = self.rng.choice((0.0, 0.1, 0.3))
        running = self.net.running
        count = min(max(1, int(share * len(running))), len(running) - 1)
        close_connections = self.rng.random() < 0.5
        for node in self.rng.sample(running, max(0, count)):
            self.net.kill(node, close_connections=close_connections)

    def kill_inner_nodes(self) -> None:
        """Kill up to two heads or other daemons with children, which move the most."""
        found = [
            node
            for node in self.net.running
            if node.control is not None
            and (node.control.attachment.is_head or node.control.children)
        ]
        for node in self.rng.sample(found, min(2, len(found))):
            if len(self.net.running) > 1:
                self.net.kill(node, close_connections=self.rng.random() < 0.5)

    def restart(self) -> None:
        for node in self.net.nodes:
            if node.control is None and self.rng.random() < 0.7:
                self.net.start(node)

    def restart_all_but_one(self) -> None:
        """Restart every daemon but one at the same moment."""
        for node in self.net.running[1:]:
            self.net.kill(node, close_connections=True)
            self.net.start(node)

    def pause(self) -> None:
        if node := self._choose([n for n in self.net.running if not n.paused]):
            self.net.pause(node)

    def resume(self) -> None:
        if node := self._choose([n for n in self.net.running if n.paused]):
            self.net.resume(node)

    def cut_regions(self) -> None:
        self.net.cut("kzn-coast", "ec-coast")

    def rejoin_regions(self) -> None:
        self.net.cuts.clear()

    def switch_store(self) -> None:
        self.net.store.down = not self.net.store.down

    def break_links(self) -> None:
        self.net.break_links(self.rng.choice((0.1, 0.5, 1.0)))

    def change_endpoints(self) -> None:
        node = self._choose([n for n in self.net.running if not n.paused])
        if node is None or node.control is None:
            return
        node.control.set_endpoints(
            (
                Endpoint(
                    service=ServiceName(f"svc-{self.rng.randrange(5)}"),
                    target_id=TargetId("t"),
                    state=self.rng.choice(list(EndpointState)),
                    slots=9,
                    start_time_ms=self.rng.randrange(1000),
                ),
            )[: self.rng.randrange(3)]
        )

    def publish_notice(self) -> None:
        node = self._choose([n for n in self.net.running if not n.paused])
        if node is None or node.control is None:
            return
        payload = self.rng.randbytes(6)
        node.control.publish_notice(kind="test", payload=payload, ttl=300.0)
        node.notices.append(payload)
        self.expiry_by_payload[payload] = self.net.clock.now() + 300.0

    def advance(self) -> None:
        self.net.run_for(self.rng.choice((0.01, 0.1, 0.5, 1.0, 4.0, 12.0)))

    # Checks.

    def heal_and_check(self) -> None:
        """Heal all faults and check that the fleet converges to the true state."""
        self.net.heal()
        versions, members = self.net.settle(
            MEMBER_LIMIT_SECONDS, versions=VERSION_LIMIT_SECONDS
        )
        self.slowest_convergence = (
            max(self.slowest_convergence[0], versions),
            max(self.slowest_convergence[1], members),
        )
        # Time for changes of parents after the last repair, and for status reports.
        self.net.run_for(12.0)
        found = self.net.disagreements()
        assert not found, f"no longer converged: {found[:10]}"
        self.net.check_tree()
        self._check_notices()
        assert not invariants.failures_by_name

    def _check_notices(self) -> None:
        now = self.net.clock.now()
        self.expiry_by_payload = {
            p: at for p, at in self.expiry_by_payload.items() if at > now
        }
        for node in self.net.running:
            received = node.notices
            assert len(received) == len(set(received)), f"{node.id} got a notice twice"
            unique = set(received)
            # A notice is lost if all daemons that had it crashed.
            surviving = {p for n in self.net.running for p in n.notices}
            missing = (self.expiry_by_payload.keys() & surviving) - unique
            assert not missing, f"{node.id} lacks {len(missing)} notices"

    def actions(self) -> list[Callable[[], None]]:
        """Return all faults, the more frequent ones several times."""
        return [
            *[self.advance] * 8,
            *[self.commit] * 3,
            self.commit_and_offer,
            self.commit_bad,
            self.kill_random,
            self.kill_inner_nodes,
            *[self.restart] * 2,
            self.restart_all_but_one,
            self.pause,
            self.resume,
            self.cut_regions,
            self.rejoin_regions,
            self.switch_store,
            self.break_links,
            *[self.change_endpoints] * 2,
            self.publish_notice,
        ]
