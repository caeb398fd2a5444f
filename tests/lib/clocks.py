"""A clock for tests whose time the test controls."""


class VirtualClock:
    """A clock that advances only by ``advance`` and ``sleep``."""

    def __init__(self, start: float = 1000.0) -> None:
        self._now = start

    def now(self) -> float:
        return self._now

    def wall(self) -> float:
        return 1_700_000_000.0 + self._now

    async def sleep(self, seconds: float) -> None:
        self.advance(seconds)

    def advance(self, seconds: float) -> None:
        """Advance the time by ``seconds``."""
        assert seconds >= 0
        self._now += seconds
