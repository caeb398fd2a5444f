"""A chain of services whose last one fails, to measure how retries multiply."""

from dataclasses import dataclass
from random import Random

from cassiasail._internal.coordination.retries import (
    MAX_ATTEMPTS,
    RetryAfter,
    RetryBudget,
    RetryCase,
    count_first_attempt,
    full_jitter_backoff,
    make_retry_decider,
    mark_retried,
)
from cassiasail._internal.ids import CustomerId, ServiceName
from cassiasail._internal.state.refusals import Executed, Refusal, RefusalReason
from devtools.virtualtime import VirtualLoop

DEPTH = 20
DEADLINE = 2.0  # seconds of each call from outside
LEAF_SECONDS = 0.001
CUSTOMER = CustomerId("desk")
FAILURE = Refusal(reason=RefusalReason.CONNECT_FAILED, executed=Executed.NO)


@dataclass(frozen=True, slots=True, kw_only=True)
class ChainResult:
    """Calls from outside and calls that reached the failing leaf."""

    top_calls: int
    leaf_calls: int

    @property
    def amplification(self) -> float:
        """Return leaf calls per call from outside."""
        return self.leaf_calls / self.top_calls


class Chain:
    """One daemon per layer; ``budget`` and ``mark`` switch the two bounds off."""

    def __init__(self, *, budget: bool, mark: bool, tries: int, seed: int) -> None:
        self.loop = VirtualLoop()
        self.rng = Random(seed)
        self.mark = mark
        self.tries = tries
        self.leaf_calls = 0
        self.top_calls = 0
        backoff = full_jitter_backoff(self.rng)
        self.budgets = [RetryBudget(clock=self.loop) for _ in range(DEPTH)]
        self.deciders = [
            make_retry_decider(
                clock=self.loop,
                # A budget that nothing is charged to never denies its minimum.
                budget=item if budget else _NoBudget(clock=self.loop),
                backoff=backoff,
            )
            for item in self.budgets
        ]

    async def arrivals(self, rate: float, end: float) -> None:
        """Send calls from outside until ``end``."""
        while self.loop.now() < end:
            await self.loop.sleep(self.rng.expovariate(rate))
            self.top_calls += 1
            self.loop.spawn(self._top(self.loop.now() + DEADLINE))

    async def _top(self, deadline: float) -> None:
        await self._layer(0, deadline)

    async def _layer(self, depth: int, deadline: float) -> Refusal:
        """Call the next layer, and again as the rules of this layer allow."""
        service = ServiceName(f"s{depth}")
        count_first_attempt(self.budgets[depth], service, CUSTOMER)
        for tries in range(1, self.tries + 1):
            if depth == DEPTH - 1:
                refusal = await self._leaf()
            else:
                refusal = await self._layer(depth + 1, deadline)
            case = RetryCase(
                refusal=refusal,
                service=service,
                customer=CUSTOMER,
                attempts=tries if tries < self.tries else MAX_ATTEMPTS,
                deadline=deadline,
                idempotent=True,
            )
            decision = self.deciders[depth](case)
            if not isinstance(decision, RetryAfter):
                break
            await self.loop.sleep(decision.seconds)
        return mark_retried(refusal) if self.mark else refusal

    async def _leaf(self) -> Refusal:
        self.leaf_calls += 1
        await self.loop.sleep(LEAF_SECONDS)
        return FAILURE


class _NoBudget(RetryBudget):
    def allows(self, key: object) -> bool:
        return True

    def spend(self, key: object) -> None:
        return None


def measure_chain(
    *,
    budget: bool,
    mark: bool,
    rate: float,
    seconds: float,
    seed: int,
    tries: int = MAX_ATTEMPTS,
) -> ChainResult:
    """Send ``rate`` calls per second into the chain and count those at the leaf."""
    chain = Chain(budget=budget, mark=mark, tries=tries, seed=seed)
    chain.loop.spawn(chain.arrivals(rate, chain.loop.now() + seconds))
    chain.loop.run_until(chain.loop.now() + seconds + DEADLINE + 1)
    chain.loop.close()
    return ChainResult(top_calls=chain.top_calls, leaf_calls=chain.leaf_calls)
