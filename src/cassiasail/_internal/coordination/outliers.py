"""Outlier ejection: takes targets out of use that do much worse than the others."""

from collections.abc import Sequence
from statistics import median, median_low

from .. import invariants, metrics
from .targetscores import TargetScore

MIN_SAMPLES = 10  # measured calls before a target can be ejected
# A target is ejected for failures only if its failure rate is above both limits.
MIN_FAILURE_RATE = 0.5
FAILURE_RATE_FACTOR = 3.0  # times the median failure rate of the others
# A target is ejected for latency only if it is above both limits.
LATENCY_FACTOR = 4.0  # times the median latency of the others
# Smaller differences are network noise and do not justify an ejection.
MIN_LATENCY_GAP_SECONDS = 0.005
FIRST_EJECTION_SECONDS = 5.0  # doubled with each further ejection
# Longest ejection. The doubling starts anew after this time without an ejection.
MAX_EJECTION_SECONDS = 60.0


def eject_outliers(scores: Sequence[TargetScore], usable: int, now: float) -> int:
    """Eject outliers among ``scores``, worst failure rate first; return how many.

    ``usable`` is the number of usable targets of the service. At most half of them are
    ejected at a time: with more ejections the others would be overloaded, and the cause
    is probably not in the targets. Targets are compared with each other, so a failure
    that affects all of them ejects none.
    """
    active = [score for score in scores if not score.is_ejected(now)]
    max_new = usable // 2 - sum(score.is_ejected(now) for score in scores)
    worst_first = sorted(active, key=lambda score: -score.decayed_failure_rate(now))
    ejected = 0
    for score in worst_first:
        if ejected >= max_new:
            break
        others = [item for item in active if item is not score]
        if score.sample_count < MIN_SAMPLES or not others:
            continue
        reason = _ejection_reason(score, others, now)
        if reason is None:
            continue
        _eject(score, now)
        metrics.TARGETS_EJECTED.labels(reason).inc()
        ejected += 1
    return ejected


def readmit_surplus(scores: Sequence[TargetScore], usable: int, now: float) -> None:
    """End ejections early if more than half of the ``usable`` targets are ejected.

    That happens when targets that were not ejected are removed. Ejections that would
    end first are ended.
    """
    ejected = sorted(
        (score for score in scores if score.is_ejected(now)),
        key=lambda score: score.ejected_until,
    )
    surplus = len(ejected) - usable // 2
    for score in ejected[: max(0, surplus)]:
        score.ejected_until = now
    remaining = sum(score.is_ejected(now) for score in scores)
    invariants.check(
        "ejection_floor", remaining <= usable // 2, f"{remaining} of {usable}"
    )


def _ejection_reason(
    score: TargetScore, others: Sequence[TargetScore], now: float
) -> str | None:
    """Return the metric label of what makes the target an outlier, None if nothing."""
    median_rate = median(item.decayed_failure_rate(now) for item in others)
    if score.decayed_failure_rate(now) > max(
        MIN_FAILURE_RATE, FAILURE_RATE_FACTOR * median_rate
    ):
        return "failures"
    latencies = [item.latency for item in others if item.latency is not None]
    if score.latency is None or not latencies:
        return None
    median_latency = median_low(latencies)
    latency_limit = max(
        LATENCY_FACTOR * median_latency, median_latency + MIN_LATENCY_GAP_SECONDS
    )
    return "latency" if score.latency > latency_limit else None


def _eject(score: TargetScore, now: float) -> None:
    if now - score.ejected_until > MAX_EJECTION_SECONDS:
        score.ejections = 0
    seconds = min(MAX_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2**score.ejections)
    score.ejections += 1
    score.ejected_until = now + seconds
    # After the ejection the target gets a slow start and is measured anew.
    score.slow_start_from = score.ejected_until
    score.sample_count = 0
    score.failure_rate = 0.0
    score.latency = None
