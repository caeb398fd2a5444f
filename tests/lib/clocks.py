"""Virtual time for tests."""


class VirtualClock:
    """A clock that moves only when told to; ``sleep`` advances it."""

    def __init__(self, start: float = 1000.0) -> None:
        self._now = start

    def now(self) -> float:
        return self._now

    def wall(self) -> float:
        return 1_700_000_000.0 + self._now

    async def sleep(self, seconds: float) -> None:
        self.advance(seconds)

    def advance(self, seconds: float) -> None:
        """Move time forward by ``seconds``."""
        assert seconds >= 0
        self._now += seconds
