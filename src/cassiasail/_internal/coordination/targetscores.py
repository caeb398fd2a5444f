"""Measurements that an entry daemon keeps of one target, and the cost they imply."""

import math

from ..state.targets import AttemptOutcome, LoadReport, TargetView

# Time constant of the exponential decay of the load that other daemons put on a target.
# The figure comes from the last load report and is worthless after a few of these.
REPORT_DECAY_SECONDS = 1.0
# Time constant of the exponential decay of a measured latency or failure rate while no
# new calls are measured. Without the decay, a target that was slow once would get no
# calls again.
MEASUREMENT_DECAY_SECONDS = 10.0
SMOOTHING_FACTOR = 0.2  # weight of the newest sample in an exponential moving average
# Time from when a target becomes ready, or its ejection ends, until it gets its full
# share of calls.
SLOW_START_SECONDS = 10.0
# Share of a target at the beginning of slow start. It is above 0 so that the target
# gets calls to warm up with.
MIN_SLOW_START_SHARE = 0.1
# A target that refuses or fails all calls costs 1 + this factor times as much.
FAILURE_COST_FACTOR = 20.0


class TargetScore:
    """Load, latency and failures of one target as measured by this daemon.

    Durations are in seconds; points in time are those of this daemon's clock.
    """

    __slots__ = (
        "ejected_until",
        "ejections",
        "failure_rate",
        "in_flight",
        "latency",
        "load_of_others",
        "measured_at",
        "reported_at",
        "sample_count",
        "slow_start_from",
        "view",
    )

    def __init__(self, view: TargetView) -> None:
        self.view = view
        self.in_flight = 0
        # Calls of other daemons at the target, from the last load report.
        self.load_of_others = 0.0
        self.reported_at = -math.inf
        self.latency: float | None = None
        self.failure_rate = 0.0
        self.measured_at = -math.inf
        self.sample_count = 0
        self.ejected_until = -math.inf
        self.ejections = 0
        self.slow_start_from = view.ready_since

    def record_end(
        self,
        outcome: AttemptOutcome,
        seconds: float,
        report: LoadReport | None,
        now: float,
    ) -> None:
        """Update load, latency and failure rate with an attempt that ended."""
        self.in_flight -= 1
        if report is not None:
            # The report includes this attempt and the others of this daemon.
            own_load = self.in_flight + 1
            self.load_of_others = max(0.0, report.queued + report.in_flight - own_load)
            self.reported_at = now
        if outcome is AttemptOutcome.CANCELLED:
            return
        failed = 0.0 if outcome is AttemptOutcome.ANSWERED else 1.0
        decay = self._measurement_decay(now)
        decayed_rate = self.failure_rate * decay
        self.failure_rate = decayed_rate + SMOOTHING_FACTOR * (failed - decayed_rate)
        if outcome is not AttemptOutcome.REFUSED:
            # Refusals are not measured as latency: they are quick and would make the
            # target look fast.
            previous = seconds if self.latency is None else self.latency
            # The older the previous measurement is, the more the new one weighs.
            weight = SMOOTHING_FACTOR / (
                SMOOTHING_FACTOR + (1 - SMOOTHING_FACTOR) * decay
            )
            self.latency = previous + weight * (seconds - previous)
        self.measured_at = now
        self.sample_count += 1

    def reset(self, view: TargetView) -> None:
        """Discard all measurements, because the target is a new process."""
        fresh = TargetScore(view)
        for name in self.__slots__:
            # Kept, because attempts still in flight are subtracted when they end.
            if name != "in_flight":
                setattr(self, name, getattr(fresh, name))

    def decayed_failure_rate(self, now: float) -> float:
        """Return the rate of failed and refused attempts, 0 to 1, after its decay."""
        return self.failure_rate * self._measurement_decay(now)

    def estimated_load(self, now: float) -> float:
        """Return the estimated number of calls at the target, queued and running."""
        if not self.load_of_others:
            return float(self.in_flight)
        age = now - self.reported_at
        return self.in_flight + self.load_of_others * math.exp(
            -age / REPORT_DECAY_SECONDS
        )

    def cost(self, now: float, median_latency: float) -> float:
        """Return the expected cost of one more call, comparable between targets.

        The cost is the load per slot, multiplied by factors for the latency relative to
        ``median_latency`` of the service's targets and for the failure rate. These
        measurements count as well as the load, because a load report may be wrong.
        """
        slots = max(1, self.view.slots) * self.slow_start_share(now)
        cost = (self.estimated_load(now) + 1.0) / slots
        if self.measured_at == -math.inf:
            return cost
        decay = self._measurement_decay(now)
        if self.latency is not None and median_latency > 0:
            cost *= (self.latency / median_latency) ** decay
        return cost * (1.0 + FAILURE_COST_FACTOR * self.failure_rate * decay)

    def slow_start_share(self, now: float) -> float:
        """Return the share of its slots that slow start allows to use, 0.1 to 1."""
        progress = (now - self.slow_start_from) / SLOW_START_SECONDS
        return min(1.0, max(MIN_SLOW_START_SHARE, progress))

    def is_ejected(self, now: float) -> bool:
        """Return whether the target is ejected as an outlier."""
        return now < self.ejected_until

    def _measurement_decay(self, now: float) -> float:
        """Return the weight of the last measurement, 1 when new and then falling."""
        return math.exp(-max(0.0, now - self.measured_at) / MEASUREMENT_DECAY_SECONDS)
