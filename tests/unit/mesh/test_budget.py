"""The retry budget over a fleet."""

import asyncio

from cassiasail._internal.coordination.mesh.budget import RetryBudget
from cassiasail._internal.ids import ServiceName
from devtools.virtual_loop import VirtualLoop

SERVICE = ServiceName("s")


def test_the_fleet_stays_within_the_budget() -> None:
    """Guards against daemons that each spend the whole slack."""

    async def main() -> None:
        daemons = 13
        budgets = [RetryBudget(ratio=0.2, slack=62, window=10) for _ in range(daemons)]
        spent = 0
        for budget in budgets:
            for _ in range(100):
                budget.requested(SERVICE)
            while budget.take(SERVICE, daemons):
                spent += 1
        assert 0 < spent <= 0.2 * 100 * daemons + 62

    run(main())


def test_a_budget_is_earned_again_with_time() -> None:
    """Guards against a daemon that never retries again."""

    async def main() -> None:
        budget = RetryBudget(ratio=0.2, slack=62, window=10)
        while budget.take(SERVICE, 1):
            pass
        await asyncio.sleep(11)
        assert budget.take(SERVICE, 1)

    run(main())


def run(coroutine: "asyncio.Future[None] | object") -> None:
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(coroutine)  # type: ignore[arg-type]
