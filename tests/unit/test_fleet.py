"""The control plane under faults, against the oracle of ``tests.lib.network``."""

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
    """Guards against any mix of faults after which the fleet does not agree.

    Versions must never fall and bad ones never come into force at any step; after
    healing, all daemons hold the newest version and the true membership.
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
def test_seeded_run(seed: int) -> None:
    """Guards against faults that once broke the fleet: bad version after a good one
    within a poll (seed 20), heads of two regions lost together (seed 20 and 32)."""
    fleet = FleetFaults(seed=seed, daemons=13)
    for _ in range(60):
        fleet.rng.choice(fleet.actions())()
        if fleet.rng.random() < 1 / 12:
            fleet.heal_and_check()
    fleet.heal_and_check()


def quiet_network(daemons: int = 26, fan_out: int = 6) -> Network:
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


def test_change_crosses_the_region_link_once() -> None:
    """Guards against a tree in which several daemons fetch across the paid link."""
    net = quiet_network()
    crossed: Counter[str] = Counter()
    send = net._send

    def count(end, message):  # type: ignore[no-untyped-def]
        if end.node.region != end.other.node.region:
            crossed[type(message).__name__] += 1
        send(end, message)

    for node in net.running:
        assert node.control is not None
        node.control._links._send = count
    net.commit()
    net.run_for(2.0)
    assert not net.disagreements()
    assert crossed["Deltas"] == 1
    assert crossed["SnapshotMessage"] == 0


def test_flapping_target_changes_its_record_once_a_second() -> None:
    """Guards against a flapping target that floods the fleet; draining goes at once."""
    net = quiet_network(daemons=4)
    control = net.nodes[2].control
    assert control is not None

    def endpoint(state: EndpointState, started: int) -> tuple[Endpoint, ...]:
        return (
            Endpoint(
                service=ServiceName("s"),
                target_id=TargetId("t"),
                state=state,
                slots=1,
                started=started,
            ),
        )

    before = control.table.own.sequence
    for step in range(40):
        state = (EndpointState.READY, EndpointState.STARTING)[step % 2]
        control.set_endpoints(endpoint(state, step))
        net.run_for(0.1)
    assert 3 <= control.table.own.sequence - before <= 5
    control.set_endpoints(endpoint(EndpointState.DRAINING, 99))
    # At most eight hops, each of which collects records for 100 ms.
    net.run_for(0.8)
    for node in net.running:
        assert node.control is not None
        held = node.control.table.get(net.nodes[2].id)
        assert held is not None
        assert held.endpoints == endpoint(EndpointState.DRAINING, 99)


def test_admission_spreads_a_herd() -> None:
    """Guards against a restart of all daemons that opens all links at once, or that
    moves the load to the store."""
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

        def counted(admit=admit, node=node):  # type: ignore[no-untyped-def]
            wait = admit()
            if wait is None:
                accepted[str(node.id), int(net.clock.now() * 10)] += 1
            return wait

        admission.admit = counted  # type: ignore[method-assign]
    net.commit()
    started, reads = net.clock.now(), net.store.request_count
    net.settle(40.0, versions=40.0)
    # The daemons that wait must not turn to the store instead.
    assert net.store.request_count - reads <= 50 * (net.clock.now() - started)
    for (daemon, slot), _ in list(accepted.items()):
        in_a_second = sum(accepted[daemon, slot + i] for i in range(9))
        assert in_a_second <= 10


def test_daemons_without_living_seeds_find_each_other_in_the_directory() -> None:
    """Guards against a fleet that cannot restart once the seeds are replaced."""
    net = quiet_network(daemons=12)
    assert directory_key(net.nodes[5].data_centre) in net.store.rows
    for node in net.nodes:
        net.kill(node, notice=False)
    for node in (net.nodes[6], net.nodes[7], net.nodes[11]):
        net.start(node)
    net.settle(20.0, versions=20.0)


def test_leaving_daemon_is_gone_without_suspicion() -> None:
    """Guards against new work for a daemon that shuts down."""
    net = quiet_network(daemons=9)
    node = net.nodes[4]
    assert node.control is not None
    node.control.leave()
    net.run_for(0.5)
    for other in net.running:
        assert other.control is not None
        held = other.control.table.get(node.id)
        assert held is not None and held.state.value == "leaving"
    net.kill(node, notice=True)
    net.run_for(0.5)
    assert not net.disagreements()
