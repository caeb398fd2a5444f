"""Second copies of safe requests, on virtual time."""

import asyncio
from dataclasses import replace
from random import Random

from cassiasail._internal.coordination.mesh.balancing import HostView
from cassiasail._internal.coordination.mesh.budget import RetryBudget
from cassiasail._internal.coordination.mesh.crashes import CrashHistory
from cassiasail._internal.coordination.mesh.entry import (
    Entry,
    FinalAnswer,
    Unknown,
)
from cassiasail._internal.state.calls import (
    HostedCall,
    HostOutcome,
    HostReason,
    HostReply,
    TargetAnswer,
)
from cassiasail._internal.state.mesh_config import MeshRoute, Repeatable
from devtools.virtual_loop import VirtualLoop
from tests.lib.events import silent_events
from tests.lib.meshes import ONE, ROUTE, config_of
from tests.unit.mesh.test_entry import POISON, fleet_of, record

FAILED = HostReply(outcome=HostOutcome.FAILED, reason=HostReason.TARGET_RESET)
REFUSED = HostReply(outcome=HostOutcome.REFUSED, reason=HostReason.BUSY)


def answer_of(host: str) -> HostReply:
    answer = TargetAnswer(status=200, reason=b"", headers=(), body=host.encode())
    return HostReply(outcome=HostOutcome.ANSWERED, answer=answer)


class Trial:
    """An entry that asks two VMs; ``seconds`` and ``replies`` are by order of asks."""

    def __init__(
        self,
        *,
        seconds: tuple[float, ...] = (5.0, 0.1),
        replies: tuple[HostReply | None, ...] = (None, None),
        route: MeshRoute = ROUTE,
        slack: float = 100,
    ) -> None:
        self.seconds = seconds
        self.replies = replies
        self.route = route
        self.slack = slack
        self.asked: list[str] = []
        self.cancelled: list[str] = []

    async def _ask(self, view: HostView, hosted: HostedCall) -> HostReply:
        # Further asks go like the last one.
        number = min(len(self.asked), len(self.seconds) - 1)
        self.asked.append(view.record.host)
        try:
            await asyncio.sleep(self.seconds[number])
        except asyncio.CancelledError:
            self.cancelled.append(view.record.host)
            raise
        return self.replies[number] or answer_of(view.record.host)

    def run(self) -> tuple[FinalAnswer, float]:
        """Return the final answer and the seconds that it took."""

        async def main() -> tuple[FinalAnswer, float]:
            config = config_of(self.route)
            loop = asyncio.get_running_loop()
            entry = Entry(
                config=lambda: config,
                fleet=fleet_of(record("v"), record("vv")),
                budget=RetryBudget(ratio=0.2, slack=self.slack, window=10),
                ask=self._ask,
                suspect=lambda view, reason: None,
                crashes=CrashHistory(events=silent_events()),
                events=silent_events(),
                random=Random(1),
            )
            started = loop.time()
            call = replace(POISON, arrived=started, time_left=1.5)
            answer = await entry.serve(call)
            return answer, loop.time() - started

        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            return runner.run(main())


def test_a_copy_answers_for_a_target_that_lost_the_answer() -> None:
    """Guards against requests that wait out their time at one bad target."""
    trial = Trial()
    answer, seconds = trial.run()
    assert isinstance(answer, TargetAnswer)
    assert len(set(trial.asked)) == 2
    assert trial.cancelled == trial.asked[:1]
    assert seconds < 0.5


def test_the_first_answer_wins_and_the_copy_ends() -> None:
    """Guards against a copy that runs on after its request was answered."""
    trial = Trial(seconds=(0.2, 5.0))
    answer, _ = trial.run()
    assert isinstance(answer, TargetAnswer)
    assert answer.body == trial.asked[0].encode()
    assert trial.cancelled == trial.asked[1:]


def test_an_unsafe_request_has_no_copy() -> None:
    """Guards against an order that runs twice."""
    trial = Trial(route=replace(ROUTE, repeatable=Repeatable.UNSAFE), seconds=(0.4, 0))
    trial.run()
    assert len(trial.asked) == 1


def test_a_route_with_one_attempt_has_no_copy() -> None:
    """Guards against more targets than the route allows."""
    trial = Trial(route=replace(ROUTE, attempts=1), seconds=(0.4, 0))
    trial.run()
    assert len(trial.asked) == 1


def test_copies_leave_the_budget_to_requests_that_fail() -> None:
    """Guards against a slow service that spends the repeats of the fleet on copies."""
    trial = Trial(slack=2, seconds=(0.4, 0))
    trial.run()
    assert len(trial.asked) == 1


def test_a_failed_try_waits_for_its_copy() -> None:
    """Guards against a final answer while a copy may still be answered."""
    trial = Trial(seconds=(0.3, 0.4), replies=(FAILED, None))
    answer, _ = trial.run()
    assert isinstance(answer, TargetAnswer)


def test_a_refused_copy_does_not_make_the_first_one_not_run() -> None:
    """Guards against 503 for a request that may have run."""
    trial = Trial(seconds=(0.3, 0.05, 0.1), replies=(FAILED, REFUSED, REFUSED))
    answer, _ = trial.run()
    assert isinstance(answer, Unknown)


def test_a_client_that_leaves_ends_both_tries() -> None:
    """Guards against targets that work for a client that is gone."""
    trial = Trial(seconds=(5.0, 5.0))

    async def main() -> None:
        config = config_of(trial.route)
        entry = Entry(
            config=lambda: config,
            fleet=fleet_of(record("v"), record("vv")),
            budget=RetryBudget(ratio=0.2, slack=100, window=10),
            ask=trial._ask,
            suspect=lambda view, reason: None,
            crashes=CrashHistory(events=silent_events()),
            events=silent_events(),
            random=Random(1),
        )
        now = asyncio.get_running_loop().time()
        call = replace(POISON, arrived=now, time_left=1.5)
        task = asyncio.create_task(entry.serve(call))
        await asyncio.sleep(1.0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main())
    assert sorted(trial.cancelled) == ["v", "vv"]
    assert trial.route.split[0].service == ONE
