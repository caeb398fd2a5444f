"""What an entry daemon has learned about one target, and its cost for a new call."""

import math

from ..state.targets import LoadReport, Outcome, TargetView

# Load that others put on a target is as good as unknown after a few of these.
REPORT_AGE = 1.0  # seconds
# A latency or a rate of refusals loses its weight over this time without new calls,
# so that a target that once was slow gets calls again.
MEMORY = 10.0  # seconds
SMOOTHING = 0.2  # weight of the newest sample
SLOW_START = 10.0  # seconds from the first call until a target gets its full share
# Share of a target at the start of slow start; above 0 so that it warms up at all.
SLOW_START_SHARE = 0.1
# Cost factor of a target that refuses or fails everything.
FAILURE_COST = 20.0


class TargetScore:
    """Measurements of one target by this daemon; times are in seconds."""

    __slots__ = (
        "ejected_until",
        "ejections",
        "failure_rate",
        "in_flight",
        "latency",
        "measured_at",
        "others",
        "reported_at",
        "samples",
        "view",
        "warm_from",
    )

    def __init__(self, view: TargetView) -> None:
        self.view = view
        self.in_flight = 0
        # Calls of other daemons at the target, as of the last report.
        self.others = 0.0
        self.reported_at = -math.inf
        self.latency: float | None = None
        self.failure_rate = 0.0
        self.measured_at = -math.inf
        self.samples = 0
        self.ejected_until = -math.inf
        self.ejections = 0
        self.warm_from = view.ready_since

    def finish(
        self, outcome: Outcome, seconds: float, report: LoadReport | None, now: float
    ) -> None:
        """Take in the end of one call."""
        self.in_flight -= 1
        if report is not None:
            # The report counted this call and this daemon's other ones as well.
            own = self.in_flight + 1
            self.others = max(0.0, report.queued + report.in_flight - own)
            self.reported_at = now
        if outcome is Outcome.CANCELLED:
            return
        bad = 0.0 if outcome is Outcome.ANSWERED else 1.0
        kept = self._memory(now)
        past = self.failure_rate * kept
        self.failure_rate = past + SMOOTHING * (bad - past)
        if outcome is not Outcome.REFUSED:
            # A refusal is quick; counted as a latency it would make the target look
            # attractive.
            previous = seconds if self.latency is None else self.latency
            # An old measurement weighs less beside a new one.
            weight = SMOOTHING / (SMOOTHING + (1 - SMOOTHING) * kept)
            self.latency = previous + weight * (seconds - previous)
        self.measured_at = now
        self.samples += 1

    def restart(self, view: TargetView) -> None:
        """Forget the measurements: the target is another process now."""
        fresh = TargetScore(view)
        for name in self.__slots__:
            # Calls still in flight end later and are counted down then.
            if name != "in_flight":
                setattr(self, name, getattr(fresh, name))

    def recent_failures(self, now: float) -> float:
        """Return the rate of failed and refused calls, 0 to 1, aged."""
        return self.failure_rate * self._memory(now)

    def load(self, now: float) -> float:
        """Return the estimated calls at the target, queued and running."""
        if not self.others:
            return float(self.in_flight)
        age = now - self.reported_at
        return self.in_flight + self.others * math.exp(-age / REPORT_AGE)

    def cost(self, now: float, typical: float) -> float:
        """Return the expected cost of one more call, comparable between targets.

        ``typical`` is the median latency of the service's targets. Measured latency
        and refusals weigh in beside the load, because a report may be wrong.
        """
        slots = max(1, self.view.slots) * self.share(now)
        cost = (self.load(now) + 1.0) / slots
        if self.measured_at == -math.inf:
            return cost
        kept = self._memory(now)
        if self.latency is not None and typical > 0:
            cost *= (self.latency / typical) ** kept
        return cost * (1.0 + FAILURE_COST * self.failure_rate * kept)

    def share(self, now: float) -> float:
        """Return the part of its slots that slow start grants, 0.1 to 1."""
        warmth = (now - self.warm_from) / SLOW_START
        return min(1.0, max(SLOW_START_SHARE, warmth))

    def is_ejected(self, now: float) -> bool:
        """Return whether the target is out as an outlier."""
        return now < self.ejected_until

    def _memory(self, now: float) -> float:
        return math.exp(-max(0.0, now - self.measured_at) / MEMORY)
