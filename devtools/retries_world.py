"""Simulation of one daemon's retry rules with random refusals, and its oracle.

The oracle checks each decision against the rules, written as plain conditions. It
counts the calls of each service and customer itself and bounds their retries by them.
"""

from collections import Counter, defaultdict, deque
from collections.abc import Hashable
from random import Random

from cassiasail._internal.coordination.retries import (
    BUDGET_MIN_RETRIES_PER_SECOND,
    BUDGET_RETRY_RATIO,
    BUDGET_WINDOW_SECONDS,
    MAX_ATTEMPTS,
    RetryAfter,
    RetryBudget,
    RetryCase,
    count_first_attempt,
    full_jitter_backoff,
    make_retry_decider,
)
from cassiasail._internal.ids import CustomerId, ServiceName
from cassiasail._internal.state.refusals import Executed, Refusal, RefusalReason
from devtools.virtualtime import VirtualLoop


class RetriesWorld:
    """One daemon's retry rules and the oracle."""

    def __init__(self, seed: int) -> None:
        self.loop = VirtualLoop()
        self.rng = Random(seed)
        self.budget = RetryBudget(clock=self.loop)
        self.decide = make_retry_decider(
            clock=self.loop, budget=self.budget, backoff=full_jitter_backoff(self.rng)
        )
        self.started_at = self.loop.now()
        self.outcome_counts: Counter[str] = Counter()
        self.call_count_by_name: Counter[Hashable] = Counter()
        self.retry_count_by_name: Counter[Hashable] = Counter()
        self.recent_calls_by_name: dict[Hashable, deque[float]] = defaultdict(deque)
        self.max_calls_per_window: Counter[Hashable] = Counter()

    def call(self, service: int, customer: int, count: int) -> None:
        """Count ``count`` first attempts of a service and a customer."""
        now = self.loop.now()
        names = ServiceName(f"s{service}"), CustomerId(f"c{customer}")
        for _ in range(count):
            count_first_attempt(self.budget, *names)
        for name in names:
            self.call_count_by_name[name] += count
            recent_calls = self.recent_calls_by_name[name]
            recent_calls.extend([now] * count)
            while recent_calls[0] <= now - BUDGET_WINDOW_SECONDS:
                recent_calls.popleft()
            self.max_calls_per_window[name] = max(
                self.max_calls_per_window[name], len(recent_calls)
            )

    def refuse(self, case: RetryCase) -> None:
        """Decide whether to retry a refused call and check the decision."""
        now = self.loop.now()
        decision = self.decide(case)
        if not isinstance(decision, RetryAfter):
            self.outcome_counts[decision.reason.value] += 1
            return
        self.outcome_counts["retried"] += 1
        assert not case.body_streamed
        assert not case.refusal.retried
        assert case.idempotent or case.refusal.executed is Executed.NO
        assert case.attempts < MAX_ATTEMPTS
        assert decision.seconds >= (case.refusal.retry_after or 0.0)
        assert now + decision.seconds + case.expected_seconds < case.deadline
        for name in (case.service, case.customer):
            self.retry_count_by_name[name] += 1
            self.check_bound(name)

    def check_bound(self, name: Hashable) -> None:
        """Check that retries stay near a tenth of the calls plus the minimum rate."""
        # The busiest window counts twice, because its retries may come after it.
        calls = self.call_count_by_name[name] + self.max_calls_per_window[name]
        seconds = self.loop.now() - self.started_at + 1
        bound = BUDGET_RETRY_RATIO * calls + BUDGET_MIN_RETRIES_PER_SECOND * seconds
        assert self.retry_count_by_name[name] <= bound, (
            f"{self.retry_count_by_name[name]} retries of {name}"
        )

    def advance(self, seconds: float) -> None:
        """Advance virtual time by ``seconds``."""
        self.loop.run_until(self.loop.now() + seconds)

    def random_case(self, rng: Random) -> RetryCase:
        """Return a random refused call; about half are shed before their execution."""
        is_plain_shed = rng.random() < 0.5
        refusal = Refusal(
            reason=RefusalReason.SHED
            if is_plain_shed
            else rng.choice(list(RefusalReason)),
            executed=Executed.NO if is_plain_shed else rng.choice(list(Executed)),
            retry_after=rng.choice((None, None, 0.2, 2.0)),
            retried=not is_plain_shed and rng.random() < 0.2,
        )
        return RetryCase(
            refusal=refusal,
            service=ServiceName(f"s{rng.randrange(3)}"),
            customer=CustomerId(f"c{rng.randrange(3)}"),
            attempts=rng.choice((1, 1, 2, 3, 4)),
            deadline=self.loop.now() + rng.choice((-1.0, 0.0, 0.05, 1.0, 10.0)),
            idempotent=rng.random() < 0.5,
            body_streamed=not is_plain_shed and rng.random() < 0.2,
            expected_seconds=rng.choice((0.0, 0.02, 0.5)),
        )


def run_retries(seed: int, steps: int) -> Counter[str]:
    """Run ``steps`` random steps in rounds of 2,000; return the counts of outcomes."""
    rng = Random(seed)
    total: Counter[str] = Counter()
    while steps > 0:
        world = RetriesWorld(rng.getrandbits(32))
        max_step_seconds = rng.choice((0.001, 0.02, 0.1, 4.0))
        for _ in range(min(steps, 2000)):
            draw = rng.random()
            if draw < 0.2:
                count = rng.choice((1, 1, 20))
                world.call(rng.randrange(3), rng.randrange(3), count)
            elif draw < 0.8:
                world.refuse(world.random_case(rng))
            else:
                world.advance(rng.random() * max_step_seconds)
        steps -= 2000
        total.update(world.outcome_counts)
    return total
