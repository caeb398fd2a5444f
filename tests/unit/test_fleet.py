"""The control plane under faults, checked with ``tests.lib.fleet_oracle``."""

from collections import Counter

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from cassiasail._internal.coordination.links import ControlOptions
from cassiasail._internal.coordination.store_tasks import directory_key
from cassiasail._internal.ids import ServiceName, TargetId
from cassiasail._internal.state.members import Endpoint, EndpointState
from tests.lib.fleet_faults import CENTRES, FleetFaults
from tests.lib.network import Network

ACTIONS = sorted({a.__name__ for a in FleetFaults(seed=0, daemons=1).actions()})


class FleetMachine(RuleBasedStateMachine):
    """Guards against a sequence of faults after which the fleet does not converge.

    At every step, versions must not decrease and bad versions must not be in force.
    After healing, all daemons must have the newest version and the true membership.
    """

    @initialize(seed=st.integers(0, 1 << 16), daemons=st.integers(2, 10))
    def start(self, seed: int, daemons: int) -> None:
        self.fleet = FleetFaults(seed=seed, daemons=daemons, fan_out=3)

    @rule(names=st.lists(st.sampled_from(ACTIONS), min_size=1, max_size=4))
    def disturb(self, names: list[str]) -> None:
        for name in names:
            getattr(self.fleet, name)()

    @rule(seconds=st.sampled_from((0.05, 0.3, 2.0, 11.0)))
    def advance(self, seconds: float) -> None:
        self.fleet.net.run_for(seconds)

    @rule()
    def heal_and_check(self) -> None:
        self.fleet.heal_and_check()

    def teardown(self) -> None:
        if hasattr(self, "fleet"):
            self.fleet.heal_and_check()


FleetMachine.TestCase.settings = settings(
    settings.get_profile("ci"), max_examples=25, stateful_step_count=12
)
TestFleet = FleetMachine.TestCase


@pytest.mark.parametrize("seed", (20, 32))
def test_random_faults_with_fixed_seeds(seed: int) -> None:
    """Guards against two faults after which the fleet did not converge: a bad version
    committed after a good one within one poll (seed 20), and heads of two regions that
    crash together (seeds 20 and 32)."""
    fleet = FleetFaults(seed=seed, daemons=13)
    for _ in range(60):
        fleet.rng.choice(fleet.actions())()
        if fleet.rng.random() < 1 / 12:
            fleet.heal_and_check()
    fleet.heal_and_check()


def converged_network(daemons: int = 26, fan_out: int = 6) -> Network:
    net = Network(
        seed=7,
        daemons=daemons,
        centres=CENTRES,
        options=ControlOptions(fan_out=fan_out),
    )
    for node in net.nodes:
        net.start(node)
    net.commit()
    net.settle(10.0)
    net.run_for(15.0)
    return net


def test_version_crosses_the_region_link_once() -> None:
    """Guards against a tree that sends a version several times over the paid link."""
    net = converged_network()
    cross_region_messages: Counter[str] = Counter()
    send = net._send

    def count_and_send(end, message):  # type: ignore[no-untyped-def]
        if end.node.region != end.other.node.region:
            cross_region_messages[type(message).__name__] += 1
        send(end, message)

    for node in net.running:
        assert node.control is not None
        node.control._links._send = count_and_send
    net.commit()
    net.run_for(2.0)
    assert not net.disagreements()
    assert cross_region_messages["Deltas"] == 1
    assert cross_region_messages["SnapshotMessage"] == 0


def test_flapping_target_is_published_at_most_once_a_second() -> None:
    """Guards against a flapping target that floods the fleet with records, and against
    a draining target that is published late."""
    net = converged_network(daemons=4)
    control = net.nodes[2].control
    assert control is not None

    def endpoint(state: EndpointState, start_time_ms: int) -> tuple[Endpoint, ...]:
        return (
            Endpoint(
                service=ServiceName("s"),
                target_id=TargetId("t"),
                state=state,
                slots=1,
                start_time_ms=start_time_ms,
            ),
        )

    before = control.table.own_record.sequence
    for step in range(40):
        state = (EndpointState.READY, EndpointState.STARTING)[step % 2]
        control.set_endpoints(endpoint(state, step))
        net.run_for(0.1)
    assert 3 <= control.table.own_record.sequence - before <= 5
    control.set_endpoints(endpoint(EndpointState.DRAINING, 99))
    # At most eight hops, each of which queues records for 100 ms.
    net.run_for(0.8)
    for node in net.running:
        assert node.control is not None
        record = node.control.table.get(net.nodes[2].id)
        assert record is not None
        assert record.endpoints == endpoint(EndpointState.DRAINING, 99)


def test_admission_limits_links_when_all_daemons_start() -> None:
    """Guards against a restart of all daemons that opens all links at once, or in which
    the rejected daemons read the store instead."""
    net = Network(
        seed=3,
        daemons=60,
        centres=(("kzn-coast", "kzn-a"),),
        options=ControlOptions(links_per_second=10),
    )
    accepted: Counter[tuple[str, int]] = Counter()
    for node in net.nodes:
        net.start(node)
        assert node.control is not None
        admission = node.control._admission
        admit = admission.admit

        def admit_and_count(admit=admit, node=node):  # type: ignore[no-untyped-def]
            retry_after = admit()
            if retry_after is None:
                accepted[str(node.id), int(net.clock.now() * 10)] += 1
            return retry_after

        admission.admit = admit_and_count  # type: ignore[method-assign]
    net.commit()
    start, requests_before = net.clock.now(), net.store.request_count
    net.settle(40.0, versions=40.0)
    # Rejected daemons must not read the store while they wait.
    assert net.store.request_count - requests_before <= 50 * (net.clock.now() - start)
    for (daemon, slot), _ in list(accepted.items()):
        accepted_in_one_second = sum(accepted[daemon, slot + i] for i in range(9))
        assert accepted_in_one_second <= 10


def test_daemons_without_living_seeds_join_through_the_directory() -> None:
    """Guards against a fleet that cannot restart once the seeds are replaced."""
    net = converged_network(daemons=12)
    assert directory_key(net.nodes[5].data_centre) in net.store.rows
    for node in net.nodes:
        net.kill(node, close_connections=False)
    for node in (net.nodes[6], net.nodes[7], net.nodes[11]):
        net.start(node)
    net.settle(20.0, versions=20.0)


def test_leaving_daemon_is_dead_without_suspicion() -> None:
    """Guards against new calls for a daemon that shuts down."""
    net = converged_network(daemons=9)
    node = net.nodes[4]
    assert node.control is not None
    node.control.leave()
    net.run_for(0.5)
    for other in net.running:
        assert other.control is not None
        record = other.control.table.get(node.id)
        assert record is not None and record.state.value == "leaving"
    net.kill(node, close_connections=True)
    net.run_for(0.5)
    assert not net.disagreements()
