"""Pauses between tries that fail: doubled each time, with jitter."""

from random import Random


class Backoff:
    """The pauses of one repeated task; times in seconds.

    A pause is drawn between ``jitter`` times and the whole of its length, so that
    daemons that failed together do not return together.
    """

    def __init__(self, *, first: float, random: Random, jitter: float = 0.5) -> None:
        self._first = first
        self._next = first
        self._random = random
        self._jitter = jitter

    def pause(self, *, longest: float) -> float:
        """Return the next pause; later ones grow up to ``longest``."""
        seconds = self._next * self._random.uniform(self._jitter, 1.0)
        self._next = min(longest, 2 * self._next)
        return seconds

    def reset(self) -> None:
        """Begin with the first pause again."""
        self._next = self._first
