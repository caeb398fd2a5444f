"""What callers and targets saw, and whether it keeps the promises."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Time after its acknowledgement in which a leaving target may still get requests.
DRAIN_SECONDS = 2.0
# Retry budget of the settings that the sidecars get.
BUDGET_RATIO = 0.2
BUDGET_SLACK = 62
BUDGET_WINDOW_SECONDS = 10.0
# Share of the requests of the last calm seconds that must be served.
RECOVERED_SHARE = 0.95


@dataclass(slots=True, kw_only=True)
class Sent:
    """One attempt of a client; ``status`` is 0 while and if there is no answer."""

    attempt: str
    service: str
    safe: bool
    vm: str
    at: float
    # Asks for a route of the newest version only, so that 404 may be right.
    probe: bool = False
    status: int = 0
    whole: bool = True
    lost: bool = False
    # Sent to a daemon that was asked to stop, with no other fault near.
    planned_stop: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """A target began to run an attempt."""

    attempt: str
    service: str
    life: str
    at: float


@dataclass(slots=True, kw_only=True)
class Ledger:
    """All that was seen; times are loop times in seconds."""

    sent: dict[str, Sent] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    left_at: dict[str, float] = field(default_factory=dict)
    reverts: list[str] = field(default_factory=list)
    behind: list[str] = field(default_factory=list)
    overstayed: list[str] = field(default_factory=list)
    exits: list[str] = field(default_factory=list)
    calm_from: float = float("inf")

    def violations(self) -> Iterator[str]:
        """Yield each broken promise."""
        runs_by_attempt = Counter(run.attempt for run in self.runs)
        yield from self._answers(runs_by_attempt)
        for run in self.runs:
            left = self.left_at.get(run.life)
            if left is not None and run.at > left + DRAIN_SECONDS:
                late = run.at - left
                yield f"{run.life} got {run.attempt} {late:.2f} s after it may leave"
        yield from self._over_budget()
        yield from (f"went back: {each}" for each in self.reverts)
        yield from (f"not at the newest version: {each}" for each in self.behind)
        yield from (f"ended by itself: {each}" for each in self.exits)
        yield from (f"still there after its grace: {each}" for each in self.overstayed)
        calm = [
            each
            for each in self.sent.values()
            if each.at >= self.calm_from and not each.probe
        ]
        served = sum(each.status == 200 for each in calm)
        if served < RECOVERED_SHARE * len(calm) or not calm:
            yield f"only {served} of {len(calm)} served after the faults"

    def _answers(self, runs_by_attempt: Counter[str]) -> Iterator[str]:
        for attempt, run_times in runs_by_attempt.items():
            if attempt not in self.sent:
                yield f"{attempt} ran and no client sent it"
            elif run_times > 1 and not self.sent[attempt].safe:
                yield f"{attempt} is unsafe and ran {run_times} times"
        for each in self.sent.values():
            ran = runs_by_attempt[each.attempt]
            if not each.whole:
                yield f"{each.attempt} got an answer that is not its own whole one"
            if each.status in NOT_RUN_STATUSES and ran and not each.safe:
                yield f"{each.attempt} was refused with {each.status} and ran"
            if each.status == 404 and not each.probe:
                yield f"{each.attempt} got 404 for a route of every version"
            if each.planned_stop and each.lost and ran:
                yield f"{each.attempt} was cut by the planned stop of {each.vm}"

    def _over_budget(self) -> Iterator[str]:
        firsts: set[str] = set()
        repeats: dict[str, list[float]] = defaultdict(list)
        for run in sorted(self.runs, key=lambda run: run.at):
            if run.attempt in firsts:
                repeats[run.service].append(run.at)
            firsts.add(run.attempt)
        for service, times in repeats.items():
            for start in times:
                end = start + BUDGET_WINDOW_SECONDS
                inside = sum(start <= time < end for time in times)
                asked = sum(
                    each.service == service
                    and start - BUDGET_WINDOW_SECONDS <= each.at < end
                    for each in self.sent.values()
                )
                if inside > BUDGET_RATIO * asked + BUDGET_SLACK:
                    yield f"{service}: {inside} repeats for {asked} requests"
                    break

    def summary(self) -> dict[str, int]:
        """Return counts of what happened."""
        statuses = Counter(each.status for each in self.sent.values())
        return {
            "sent": len(self.sent),
            "runs": len(self.runs),
            "served": statuses[200],
            "refused": statuses[503],
            "lost": sum(each.lost for each in self.sent.values()),
        }
