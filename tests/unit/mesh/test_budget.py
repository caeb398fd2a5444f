"""The retry budget of a fleet, spent by its daemons without coordination."""

import asyncio

from cassiasail._internal.coordination.mesh.budget import RetryBudget
from cassiasail._internal.ids import ServiceName
from devtools.virtual_loop import VirtualLoop

SERVICE = ServiceName("s")


def test_daemons_together_stay_within_the_fleet_budget() -> None:
    """Guards against daemons that each spend the slack of the whole fleet."""

    async def main() -> None:
        daemons = 13
        budgets = [RetryBudget(ratio=0.2, slack=62, window=10) for _ in range(daemons)]
        await asyncio.sleep(10)
        retries = 0
        for budget in budgets:
            for _ in range(100):
                budget.record_request(SERVICE)
            while budget.spend_retry(SERVICE, daemons):
                retries += 1
        assert 0 < retries <= 0.2 * 100 * daemons + 62

    run(main())


def test_the_budget_is_available_again_after_the_window() -> None:
    """Guards against retries that count forever, so that a daemon stops retrying."""

    async def main() -> None:
        budget = RetryBudget(ratio=0.2, slack=62, window=10)
        await asyncio.sleep(10)
        while budget.spend_retry(SERVICE, 1):
            pass
        await asyncio.sleep(11)
        assert budget.spend_retry(SERVICE, 1)

    run(main())


def test_first_start_of_the_system_has_its_slack_at_once() -> None:
    """Guards against a new fleet that retries nothing in its first seconds."""

    async def main() -> None:
        budget = RetryBudget(ratio=0.2, slack=62, window=10, first_start=True)
        assert budget.spend_retry(SERVICE, 1)

    run(main())


def test_a_restarted_daemon_has_no_slack_in_its_first_window() -> None:
    """Guards against a slack that each restart of a daemon makes available anew."""

    async def main() -> None:
        budget = RetryBudget(ratio=0.2, slack=62, window=10)
        assert not budget.spend_retry(SERVICE, 1)
        for _ in range(100):
            budget.record_request(SERVICE)
        assert 0 < budget.remaining(SERVICE, 1) < 0.2 * 100 / 2

    run(main())


def test_calls_of_retried_runs_use_the_budget() -> None:
    """Guards against retries that are allowed although repeated calls used them up."""

    async def main() -> None:
        budget = RetryBudget(ratio=0.2, slack=0, window=10)
        await asyncio.sleep(10)
        for _ in range(100):
            budget.record_request(SERVICE, retry_share=0.25)
        assert not budget.spend_retry(SERVICE, 1)

    run(main())


def run(coroutine: "asyncio.Future[None] | object") -> None:
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(coroutine)  # type: ignore[arg-type]
