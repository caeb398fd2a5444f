"""The fleet keeps its retry budget while all targets of a service shed requests."""

import asyncio

import pytest

from cassiasail._internal.ids import ServiceName
from devtools.virtual_loop import VirtualLoop
from tests.lib.retry_world import BACK, RetryWorld

# Budget of the users' deployments: repeats per request, and the slack of a fleet of
# each size in a window.
RATIO = 0.2
WINDOW_SECONDS = 10.0
SLACK_BY_DAEMONS = {16: 56.0, 63: 164.0, 195: 430.0}
# The targets shed during this time.
SHED_FROM, SHED_UNTIL = 12.0, 20.0
PLAYED_SECONDS = 23.0
# Client requests of each service a second in the whole fleet.
CLIENT_RATE = 100.0


def play(
    daemons: int,
    *,
    shed_share: float,
    skew: float = 0.1,
    restart_gap: float | None = None,
) -> float:
    """Return by how much a service exceeded its budget; negative if none did.

    The targets of the called service shed ``shed_share`` of their arrivals, so that
    runs of its callers fail. With ``restart_gap`` all daemons restart meanwhile, one
    a gap.
    """

    def sheds(service: ServiceName, now: float) -> float:
        shedding = service == BACK and SHED_FROM <= now < SHED_UNTIL
        return shed_share if shedding else 0.0

    async def main() -> float:
        world = RetryWorld(
            daemons=daemons, slack=SLACK_BY_DAEMONS[daemons], sheds=sheds, skew=skew
        )
        restarts = {}
        if restart_gap is not None:
            restarts = {
                SHED_FROM + 1 + restart_gap * number: [number]
                for number in range(daemons)
            }
        await world.play(
            seconds=PLAYED_SECONDS, per_second=CLIENT_RATE, restarts=restarts
        )
        assert all(each.repeats for each in world.arrivals_by_service.values())
        return max(
            each.excess(ratio=RATIO, slack=world.slack, window=WINDOW_SECONDS)
            for each in world.arrivals_by_service.values()
        )

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main())


@pytest.mark.parametrize(
    ("daemons", "shed_share"), [(16, 0.45), (16, 0.9), (63, 0.45), (195, 0.9)]
)
def test_calls_of_retried_runs_stay_within_the_budget(
    daemons: int, shed_share: float
) -> None:
    """Guards against a budget that ignores the calls which a retried run repeats.

    Such a service got 752 repeats in 10 s where its budget allowed 682.
    """
    assert play(daemons, shed_share=shed_share) <= 0


@pytest.mark.parametrize("daemons", [16, 63])
def test_skewed_load_stays_within_the_budget(daemons: int) -> None:
    """Guards against a budget that holds only if all VMs get the same load."""
    assert play(daemons, shed_share=0.45, skew=0.8) <= 0


@pytest.mark.parametrize("daemons", [16, 195])
def test_restarted_daemons_do_not_spend_their_slack_again(daemons: int) -> None:
    """Guards against a slack that each start of a daemon makes available anew."""
    assert play(daemons, shed_share=0.9, restart_gap=4.0 / daemons) <= 0
