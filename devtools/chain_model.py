"""Simulation of a chain of services whose last one fails.

It measures how many calls reach the failing service when each layer retries.
"""

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

DEPTH = 20  # services in the chain
CALL_TIMEOUT_SECONDS = 2.0  # of each call into the chain
LEAF_SERVICE_SECONDS = 0.001
CUSTOMER = CustomerId("desk")
FAILURE = Refusal(reason=RefusalReason.CONNECT_FAILED, executed=Executed.NO)


@dataclass(frozen=True, slots=True, kw_only=True)
class ChainResult:
    """Counts of calls into the chain, and of calls that reached the failing leaf."""

    top_calls: int
    leaf_calls: int

    @property
    def amplification(self) -> float:
        """Return the calls at the leaf per call into the chain."""
        return self.leaf_calls / self.top_calls


class Chain:
    """A chain with one daemon per layer.

    ``use_budgets`` enables the retry budgets. ``mark_refusals`` makes each layer mark
    its refusals as retried, so that the layers above don't retry. Each layer makes at
    most ``max_attempts`` attempts.
    """

    def __init__(
        self, *, use_budgets: bool, mark_refusals: bool, max_attempts: int, seed: int
    ) -> None:
        self.loop = VirtualLoop()
        self.rng = Random(seed)
        self.mark_refusals = mark_refusals
        self.max_attempts = max_attempts
        self.leaf_calls = 0
        self.top_calls = 0
        backoff = full_jitter_backoff(self.rng)
        self.budgets = [RetryBudget(clock=self.loop) for _ in range(DEPTH)]
        self.deciders = [
            make_retry_decider(
                clock=self.loop,
                # ``_NoBudget`` allows every retry and charges nothing.
                budget=retry_budget if use_budgets else _NoBudget(clock=self.loop),
                backoff=backoff,
            )
            for retry_budget in self.budgets
        ]

    async def send_calls(self, rate: float, end: float) -> None:
        """Send calls into the chain until ``end``."""
        while self.loop.now() < end:
            await self.loop.sleep(self.rng.expovariate(rate))
            self.top_calls += 1
            self.loop.spawn(self._send_call(self.loop.now() + CALL_TIMEOUT_SECONDS))

    async def _send_call(self, deadline: float) -> None:
        await self._call_layer(0, deadline)

    async def _call_layer(self, depth: int, deadline: float) -> Refusal:
        """Call the next layer and retry as the rules of this layer allow."""
        service = ServiceName(f"s{depth}")
        count_first_attempt(self.budgets[depth], service, CUSTOMER)
        for attempt in range(1, self.max_attempts + 1):
            if depth == DEPTH - 1:
                refusal = await self._call_leaf()
            else:
                refusal = await self._call_layer(depth + 1, deadline)
            case = RetryCase(
                refusal=refusal,
                service=service,
                customer=CUSTOMER,
                attempts=attempt if attempt < self.max_attempts else MAX_ATTEMPTS,
                deadline=deadline,
                idempotent=True,
            )
            decision = self.deciders[depth](case)
            if not isinstance(decision, RetryAfter):
                break
            await self.loop.sleep(decision.seconds)
        return mark_retried(refusal) if self.mark_refusals else refusal

    async def _call_leaf(self) -> Refusal:
        self.leaf_calls += 1
        await self.loop.sleep(LEAF_SERVICE_SECONDS)
        return FAILURE


class _NoBudget(RetryBudget):
    def allows(self, key: object) -> bool:
        return True

    def spend(self, key: object) -> None:
        return None


def measure_chain(
    *,
    use_budgets: bool,
    mark_refusals: bool,
    rate: float,
    seconds: float,
    seed: int,
    max_attempts: int = MAX_ATTEMPTS,
) -> ChainResult:
    """Send ``rate`` calls per second into the chain and count those at the leaf.

    See ``Chain`` for ``use_budgets``, ``mark_refusals`` and ``max_attempts``.
    """
    chain = Chain(
        use_budgets=use_budgets,
        mark_refusals=mark_refusals,
        max_attempts=max_attempts,
        seed=seed,
    )
    chain.loop.spawn(chain.send_calls(rate, chain.loop.now() + seconds))
    chain.loop.run_until(chain.loop.now() + seconds + CALL_TIMEOUT_SECONDS + 1)
    chain.loop.close()
    return ChainResult(top_calls=chain.top_calls, leaf_calls=chain.leaf_calls)
