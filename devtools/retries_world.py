"""Random calls and refusals around one daemon's retry rules, beside an oracle.

The oracle states the rules again as plain conditions, and bounds the retries of each
service and customer by the calls it counted itself.
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
        self.seen: Counter[str] = Counter()
        self.calls: Counter[Hashable] = Counter()
        self.retries: Counter[Hashable] = Counter()
        self.recent: dict[Hashable, deque[float]] = defaultdict(deque)
        self.busiest: Counter[Hashable] = Counter()

    def call(self, service: int, customer: int, count: int) -> None:
        """Count first dispatches."""
        now = self.loop.now()
        names = ServiceName(f"s{service}"), CustomerId(f"c{customer}")
        for _ in range(count):
            count_first_attempt(self.budget, *names)
        for name in names:
            self.calls[name] += count
            recent = self.recent[name]
            recent.extend([now] * count)
            while recent[0] <= now - BUDGET_WINDOW_SECONDS:
                recent.popleft()
            self.busiest[name] = max(self.busiest[name], len(recent))

    def refuse(self, case: RetryCase) -> None:
        """Ask for a decision on a refusal and check it."""
        now = self.loop.now()
        decision = self.decide(case)
        if not isinstance(decision, RetryAfter):
            self.seen[decision.reason.value] += 1
            return
        self.seen["retried"] += 1
        assert not case.body_streamed
        assert not case.refusal.retried
        assert case.idempotent or case.refusal.executed is Executed.NO
        assert case.attempts < MAX_ATTEMPTS
        assert decision.seconds >= (case.refusal.retry_after or 0.0)
        assert now + decision.seconds + case.expected_seconds < case.deadline
        for name in (case.service, case.customer):
            self.retries[name] += 1
            self.check_bound(name)

    def check_bound(self, name: Hashable) -> None:
        """Check that retries stay near a tenth of the calls plus the minimum."""
        # One busy window counts twice, because its retries may come after it.
        calls = self.calls[name] + self.busiest[name]
        seconds = self.loop.now() - self.started_at + 1
        bound = BUDGET_RETRY_RATIO * calls + BUDGET_MIN_RETRIES_PER_SECOND * seconds
        assert self.retries[name] <= bound, f"{self.retries[name]} retries of {name}"

    def advance(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.loop.run_until(self.loop.now() + seconds)

    def random_case(self, rng: Random) -> RetryCase:
        """Return a refused call, half of the time one that rules allow to retry."""
        plain = rng.random() < 0.5
        refusal = Refusal(
            reason=RefusalReason.SHED if plain else rng.choice(list(RefusalReason)),
            executed=Executed.NO if plain else rng.choice(list(Executed)),
            retry_after=rng.choice((None, None, 0.2, 2.0)),
            retried=not plain and rng.random() < 0.2,
        )
        return RetryCase(
            refusal=refusal,
            service=ServiceName(f"s{rng.randrange(3)}"),
            customer=CustomerId(f"c{rng.randrange(3)}"),
            attempts=rng.choice((1, 1, 2, 3, 4)),
            deadline=self.loop.now() + rng.choice((-1.0, 0.0, 0.05, 1.0, 10.0)),
            idempotent=rng.random() < 0.5,
            body_streamed=not plain and rng.random() < 0.2,
            expected_seconds=rng.choice((0.0, 0.02, 0.5)),
        )


def run_retries(seed: int, steps: int) -> Counter[str]:
    """Run ``steps`` random steps in rounds of 2,000 and return what was seen."""
    rng = Random(seed)
    total: Counter[str] = Counter()
    while steps > 0:
        world = RetriesWorld(rng.getrandbits(32))
        pace = rng.choice((0.001, 0.02, 0.1, 4.0))
        for _ in range(min(steps, 2000)):
            draw = rng.random()
            if draw < 0.2:
                count = rng.choice((1, 1, 20))
                world.call(rng.randrange(3), rng.randrange(3), count)
            elif draw < 0.8:
                world.refuse(world.random_case(rng))
            else:
                world.advance(rng.random() * pace)
        steps -= 2000
        total.update(world.seen)
    return total
