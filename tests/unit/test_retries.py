"""Tests that retries keep to the deadline, the budget and a single layer of a chain."""

from collections import Counter
from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from cassiasail._internal.coordination.retries import (
    MAX_CALL_DEPTH,
    CallLimits,
    parse_limits,
)
from cassiasail._internal.state.refusals import Refusal, RefusalReason
from devtools.bench_balancing import measure_chain
from devtools.retries_world import RetriesWorld, run_retries


class RetriesMachine(RuleBasedStateMachine):
    """Guards against retries that break a rule, for random orders of calls and time."""

    def __init__(self) -> None:
        super().__init__()
        self.world = RetriesWorld(seed=1)

    @rule(
        service=st.integers(0, 2),
        customer=st.integers(0, 2),
        count=st.sampled_from([1, 10, 300]),
    )
    def call(self, service: int, customer: int, count: int) -> None:
        self.world.call(service, customer, count)

    @rule(rng=st.randoms(use_true_random=False), count=st.sampled_from([1, 40]))
    def refuse(self, rng: Random, count: int) -> None:
        for _ in range(count):
            self.world.refuse(self.world.random_case(rng))

    @rule(seconds=st.sampled_from([0.01, 0.3, 1.0, 9.9, 30.0]))
    def advance(self, seconds: float) -> None:
        self.world.advance(seconds)


RetriesMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None, derandomize=True
)
TestRetries = RetriesMachine.TestCase


def test_random_calls_keep_to_retry_rules_and_budgets() -> None:
    """Guards against retry storms, and against retries of calls that may have run."""
    decisions: Counter[str] = Counter()
    for seed in range(5):
        decisions.update(run_retries(seed, steps=8000))
    denials = ("may_have_run", "already_retried", "tries", "deadline")
    budgets = ("service_budget", "customer_budget")
    assert all(decisions[name] > 10 for name in ("retried", *denials, *budgets))


def test_failing_leaf_of_a_deep_chain_is_not_amplified() -> None:
    """Guards against multiplied load when every layer retries a failure of the last."""
    result = measure_chain(
        use_budgets=True, mark_refusals=True, rate=100, seconds=12.0, seed=1
    )
    # Retries of 10% of the calls, 3 a second for 12 s, and a burst of 3 at the start.
    assert result.leaf_calls <= 1.1 * result.top_calls + 3 * 13


@pytest.mark.parametrize(
    ("deadline", "attempt", "depth", "reason"),
    [
        ("1e3", None, None, RefusalReason.MALFORMED),
        ("-1", None, None, RefusalReason.MALFORMED),
        ("٣", None, None, RefusalReason.MALFORMED),
        ("9" * 5000, None, None, RefusalReason.MALFORMED),
        (None, "0", None, RefusalReason.MALFORMED),
        (None, None, "", RefusalReason.MALFORMED),
        (None, None, str(MAX_CALL_DEPTH + 1), RefusalReason.TOO_DEEP),
        ("0", None, None, RefusalReason.DEADLINE_EXCEEDED),
    ],
)
def test_bad_limits_are_refused(
    deadline: str | None,
    attempt: str | None,
    depth: str | None,
    reason: RefusalReason,
) -> None:
    """Guards against values that int() would accept, or that are too long for it."""
    limits = parse_limits(
        deadline_ms=deadline, attempt=attempt, depth=depth, route_deadline=2, now=5
    )
    assert isinstance(limits, Refusal)
    assert limits.reason is reason


def test_deadline_defaults_to_the_route_and_is_capped() -> None:
    """Guards against a deadline that is longer than in-flight permits are valid."""
    given = parse_limits(
        deadline_ms="250", attempt="2", depth="20", route_deadline=2.0, now=100.0
    )
    assert given == CallLimits(deadline=100.25, caller_attempt=2, depth=20)
    default = parse_limits(
        deadline_ms=None, attempt=None, depth=None, route_deadline=60.0, now=100.0
    )
    assert default == CallLimits(deadline=110.0, caller_attempt=1, depth=0)
