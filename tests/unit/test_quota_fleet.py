"""A simulated fleet of daemons stays within its allowances under faults.

Guards against use beyond rate, burst or in_flight under message loss, duplication and
delay, pauses, restarts, takeover of shards, region partitions, store outages and lost
store responses. The use is compared with one counter for the whole fleet.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from cassiasail._internal import invariants
from devtools.fuzz_quotas import fuzz
from devtools.quota_operations import (
    ALLOWANCES,
    HOLDS,
    KEYS,
    OUTAGES,
    PAUSES,
    SHAPES,
    Operations,
)

DAEMON_NUMBERS = st.integers(0, 11)
KEY_NUMBERS = st.integers(0, len(KEYS) - 1)
CALL_SECONDS = st.sampled_from(HOLDS)
PROBABILITIES = st.sampled_from((0.0, 0.1, 0.5))


class QuotaFleetMachine(RuleBasedStateMachine):
    """Runs random operations on up to twelve daemons in up to four data centres.

    Every step compares the use with the oracle.
    """

    operations: Operations

    @initialize(seed=st.integers(0, 1 << 16), shape=st.integers(0, len(SHAPES) - 1))
    def start(self, seed: int, shape: int) -> None:
        invariants.set_strict(True)
        self.operations = Operations(seed, shape)
        # The daemons claim the shards during this time.
        self.operations.run(3.0)

    @rule(
        daemon=DAEMON_NUMBERS,
        key=KEY_NUMBERS,
        count=st.sampled_from((1, 5, 120)),
        hold=CALL_SECONDS,
    )
    def burst(self, daemon: int, key: int, count: int, hold: float) -> None:
        self.operations.burst(daemon, key, count, hold)

    @rule(key=KEY_NUMBERS, hold=CALL_SECONDS)
    def load_all(self, key: int, hold: float) -> None:
        self.operations.load_all(key, hold)

    @rule(daemon=DAEMON_NUMBERS, key=KEY_NUMBERS, rate=st.sampled_from((2, 20, 200)))
    def load(self, daemon: int, key: int, rate: int) -> None:
        self.operations.load(daemon, key, rate)

    @rule(key=KEY_NUMBERS, allowance=st.integers(0, len(ALLOWANCES) - 1))
    def change(self, key: int, allowance: int) -> None:
        self.operations.change(key, allowance)

    @rule(
        loss=PROBABILITIES,
        duplication=PROBABILITIES,
        delay=st.sampled_from((0, 0.02, 0.5)),
    )
    def degrade_network(self, loss: float, duplication: float, delay: float) -> None:
        self.operations.degrade_network(loss, duplication, delay)

    @rule(region=st.integers(0, 1), seconds=st.sampled_from(OUTAGES))
    def partition(self, region: int, seconds: float) -> None:
        self.operations.partition(region, seconds)

    @rule(daemon=DAEMON_NUMBERS, seconds=st.sampled_from(PAUSES))
    def pause(self, daemon: int, seconds: float) -> None:
        self.operations.pause(daemon, seconds)

    @rule(daemon=DAEMON_NUMBERS, restart_after=st.sampled_from((0.01, 2.0, 20.0)))
    def crash(self, daemon: int, restart_after: float) -> None:
        self.operations.crash(daemon, restart_after)

    @rule(centre=st.integers(0, 3), restart_after=st.sampled_from((0.01, 2.0)))
    def crash_data_centre(self, centre: int, restart_after: float) -> None:
        self.operations.crash_data_centre(centre, restart_after)

    @rule(daemon=DAEMON_NUMBERS)
    def shut_down(self, daemon: int) -> None:
        self.operations.shut_down(daemon, 1.0)

    @rule(seconds=st.sampled_from(OUTAGES))
    def break_store(self, seconds: float) -> None:
        self.operations.break_store(seconds)

    @rule(probability=PROBABILITIES, late=PROBABILITIES)
    def lose_store_responses(self, probability: float, late: float) -> None:
        self.operations.lose_store_responses(probability, late)

    @rule()
    def heal(self) -> None:
        self.operations.heal()

    @rule(seconds=st.sampled_from((0.01, 0.1, 0.5, 2.0)))
    def run_for(self, seconds: float) -> None:
        self.operations.run(seconds)

    def teardown(self) -> None:
        if hasattr(self, "operations"):
            self.operations.close()


TestQuotaFleet = QuotaFleetMachine.TestCase
TestQuotaFleet.settings = settings(
    max_examples=12, stateful_step_count=25, deadline=None
)


def test_seeded_run_keeps_every_allowance_and_recovers() -> None:
    """Guards against use beyond an allowance and against a lasting loss of grants.

    The latter is a fleet that still grants nothing after all faults have ended.
    """
    assert fuzz(seed=11, steps=120) is None
