"""Ejection of targets that do much worse than the others of their service."""

from collections.abc import Sequence
from statistics import median, median_low

from .. import invariants, metrics
from .targetscores import TargetScore

MIN_SAMPLES = 10  # calls before a target is judged
MIN_FAILURE_RATE = 0.5
FAILURE_FACTOR = 3.0  # times the median failure rate of the others
LATENCY_FACTOR = 4.0  # times the median latency of the others
# Differences below this are noise of the network and not worth an ejection.
MIN_LATENCY_GAP = 0.005  # seconds
FIRST_EJECTION = 5.0  # seconds, doubled with each further one
MAX_EJECTION = 60.0  # seconds


def eject_outliers(scores: Sequence[TargetScore], usable: int, now: float) -> int:
    """Eject outliers among ``scores`` and return how many.

    At most half of the ``usable`` targets are ejected at a time: beyond that the
    others would be overloaded, and the fault probably lies elsewhere. Targets are
    compared with each other, so a failure of all of them ejects none.
    """
    active = [score for score in scores if not score.is_ejected(now)]
    room = usable // 2 - sum(score.is_ejected(now) for score in scores)
    judged = sorted(active, key=lambda score: -score.recent_failures(now))
    ejected = 0
    for score in judged:
        if ejected >= room:
            break
        others = [item for item in active if item is not score]
        if score.samples < MIN_SAMPLES or not others:
            continue
        reason = _fault_of(score, others, now)
        if reason is None:
            continue
        _eject(score, now)
        metrics.TARGETS_EJECTED.labels(reason).inc()
        ejected += 1
    return ejected


def restore_floor(scores: Sequence[TargetScore], usable: int, now: float) -> None:
    """Readmit ejected targets when others left and too few would remain."""
    ejected = sorted(
        (score for score in scores if score.is_ejected(now)),
        key=lambda score: score.ejected_until,
    )
    surplus = len(ejected) - usable // 2
    for score in ejected[: max(0, surplus)]:
        score.ejected_until = now
    left = sum(score.is_ejected(now) for score in scores)
    invariants.check("ejection_floor", left <= usable // 2, f"{left} of {usable}")


def _fault_of(
    score: TargetScore, others: Sequence[TargetScore], now: float
) -> str | None:
    usual = median(item.recent_failures(now) for item in others)
    if score.recent_failures(now) > max(MIN_FAILURE_RATE, FAILURE_FACTOR * usual):
        return "failures"
    latencies = [item.latency for item in others if item.latency is not None]
    if score.latency is None or not latencies:
        return None
    typical = median_low(latencies)
    limit = max(LATENCY_FACTOR * typical, typical + MIN_LATENCY_GAP)
    return "latency" if score.latency > limit else None


def _eject(score: TargetScore, now: float) -> None:
    if now - score.ejected_until > MAX_EJECTION:
        score.ejections = 0
    seconds = min(MAX_EJECTION, FIRST_EJECTION * 2**score.ejections)
    score.ejections += 1
    score.ejected_until = now + seconds
    # It returns with slow start and is judged by new calls only.
    score.warm_from = score.ejected_until
    score.samples = 0
    score.failure_rate = 0.0
    score.latency = None
