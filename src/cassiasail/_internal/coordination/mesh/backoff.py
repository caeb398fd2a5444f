"""Exponential backoff with jitter."""

from random import Random


class Backoff:
    """The delays between the retries of one task, in seconds.

    Each delay is drawn at random between ``min_fraction`` times its nominal length and
    the whole of it, so that daemons that failed at the same time do not retry at the
    same time.
    """

    def __init__(
        self, *, first_delay: float, random: Random, min_fraction: float = 0.5
    ) -> None:
        self._first_delay = first_delay
        self._nominal_delay = first_delay
        self._random = random
        self._min_fraction = min_fraction

    def next_delay(self, *, max_delay: float) -> float:
        """Return the next delay, and double the nominal one up to ``max_delay``."""
        seconds = self._nominal_delay * self._random.uniform(self._min_fraction, 1.0)
        self._nominal_delay = min(max_delay, 2 * self._nominal_delay)
        return seconds

    def reset(self) -> None:
        """Start again with the first delay."""
        self._nominal_delay = self._first_delay
