"""Moving average of measurements."""

# Weight of a new sample; the mean covers about the last ten requests.
SAMPLE_WEIGHT = 0.1
# Service time assumed before the first sample. It is low, so that the first requests
# are not refused.
INITIAL_SERVICE_SECONDS = 0.05


class RunningMean:
    """Moving average of measurements of one kind, by default service times in seconds.

    The first sample replaces the initial value, and the first ten count equally. After
    that, each new sample counts with ``SAMPLE_WEIGHT``.
    """

    def __init__(self, *, initial: float = INITIAL_SERVICE_SECONDS) -> None:
        self.value = initial
        self._samples = 0

    def add(self, value: float) -> None:
        """Record one measurement."""
        self._samples += 1
        weight = max(SAMPLE_WEIGHT, 1 / self._samples)
        self.value += weight * (value - self.value)

    def add_if_longer(self, seconds: float) -> None:
        """Record a request that was cancelled after ``seconds``.

        Its full service time is unknown, so only a time above the mean is recorded.
        """
        if seconds > self.value:
            self.add(seconds)
