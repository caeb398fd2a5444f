"""Records of clients and targets, and the checks for violations in them."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# A draining target may receive requests for this long after its acknowledged drain.
DRAIN_SECONDS = 2.0
# Retry budget in the settings of the sidecars. A reload sets the slack to 60 or 62.
BUDGET_RATIO = 0.2
BUDGET_SLACK = 62
BUDGET_WINDOW_SECONDS = 10.0
# Share of the judged requests that must be served.
RECOVERED_SHARE = 0.95


@dataclass(slots=True, kw_only=True)
class Attempt:
    """One attempt of a client; ``status`` is 0 without a response."""

    attempt_id: str
    service: str
    safe: bool
    vm: str
    sent_at: float
    # For a route that not every configuration version has, so that 404 may be right.
    is_probe: bool = False
    status: int = 0
    response_valid: bool = True
    # The connection ended after the request was sent, before the response.
    lost: bool = False
    # Sent during the planned stop of the daemon, with no unplanned fault near.
    during_planned_stop: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """Record of a target that started to execute an attempt."""

    attempt_id: str
    service: str
    target_incarnation: str
    started_at: float


@dataclass(slots=True, kw_only=True)
class Ledger:
    """Everything recorded in one soak; times are event loop times in seconds."""

    sent: dict[str, Attempt] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    # Each fault with the times at which it started and ended.
    faults: list[str] = field(default_factory=list)
    drained_at_by_target: dict[str, float] = field(default_factory=dict)
    version_reverts: list[str] = field(default_factory=list)
    lagging: list[str] = field(default_factory=list)
    stop_timeouts: list[str] = field(default_factory=list)
    unexpected_exits: list[str] = field(default_factory=list)
    judged_from: float = float("inf")

    def violations(self) -> Iterator[str]:
        """Yield a description of each violation."""
        runs_by_attempt = Counter(run.attempt_id for run in self.runs)
        yield from self._response_violations(runs_by_attempt)
        for run in self.runs:
            drained_at = self.drained_at_by_target.get(run.target_incarnation)
            if drained_at is not None and run.started_at > drained_at + DRAIN_SECONDS:
                elapsed = run.started_at - drained_at
                yield (
                    f"{run.target_incarnation} received {run.attempt_id} "
                    f"{elapsed:.2f} s after its acknowledged drain"
                )
        yield from self._retry_budget_violations()
        yield from (
            f"reverted to an older version: {each}" for each in self.version_reverts
        )
        yield from (f"not at the newest version: {each}" for each in self.lagging)
        yield from (f"exited unexpectedly: {each}" for each in self.unexpected_exits)
        yield from (
            f"still running after the grace period: {each}"
            for each in self.stop_timeouts
        )
        judged = [
            each
            for each in self.sent.values()
            if each.sent_at >= self.judged_from and not each.is_probe
        ]
        served = sum(each.status == 200 for each in judged)
        if served < RECOVERED_SHARE * len(judged) or not judged:
            yield f"only {served} of {len(judged)} served after the faults"

    def _response_violations(self, runs_by_attempt: Counter[str]) -> Iterator[str]:
        for attempt_id, run_count in runs_by_attempt.items():
            if attempt_id not in self.sent:
                yield f"{attempt_id} ran and no client sent it"
            elif run_count > 1 and not self.sent[attempt_id].safe:
                yield f"{attempt_id} is unsafe and ran {run_count} times"
        for each in self.sent.values():
            ran = runs_by_attempt[each.attempt_id]
            if not each.response_valid:
                yield f"{each.attempt_id} got a truncated or wrong response"
            if each.status in NOT_RUN_STATUSES and ran and not each.safe:
                yield f"{each.attempt_id} was refused with {each.status} and ran"
            if each.status == 404 and not each.is_probe:
                yield f"{each.attempt_id} got 404 for a route of every version"
            if each.during_planned_stop and each.lost and ran:
                yield f"{each.attempt_id} was lost in the planned stop of {each.vm}"

    def _retry_budget_violations(self) -> Iterator[str]:
        """Yield services whose retries exceed the budget in any window.

        Each run of an attempt but the first counts as a retry.
        """
        started: set[str] = set()
        retry_times_by_service: dict[str, list[float]] = defaultdict(list)
        for run in sorted(self.runs, key=lambda run: run.started_at):
            if run.attempt_id in started:
                retry_times_by_service[run.service].append(run.started_at)
            started.add(run.attempt_id)
        for service, times in retry_times_by_service.items():
            for start in times:
                end = start + BUDGET_WINDOW_SECONDS
                retries = sum(start <= time < end for time in times)
                requests = sum(
                    each.service == service
                    and start - BUDGET_WINDOW_SECONDS <= each.sent_at < end
                    for each in self.sent.values()
                )
                if retries > BUDGET_RATIO * requests + BUDGET_SLACK:
                    yield f"{service}: {retries} retries for {requests} requests"
                    break

    def summary(self) -> dict[str, int]:
        """Return counts of attempts and runs by result."""
        statuses = Counter(each.status for each in self.sent.values())
        return {
            "sent": len(self.sent),
            "runs": len(self.runs),
            "served": statuses[200],
            "refused": statuses[503],
            "lost": sum(each.lost for each in self.sent.values()),
        }
