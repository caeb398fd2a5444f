"""Outgoing connection attempts: one at a time per address, with full-jitter backoff."""

from collections.abc import Callable

from .links import Links

_BASE_BACKOFF = 0.25  # seconds


class Dialer:
    """Running attempts by address, and when the next one may start."""

    def __init__(self, *, links: Links, dial: Callable[[str], None]) -> None:
        self._links = links
        self._dial = dial
        self._started_at_by_address: dict[str, float] = {}
        self._failures_by_address: dict[str, int] = {}
        self._retry_at_by_address: dict[str, float] = {}

    def dial(self, address: str) -> bool:
        """Start an attempt unless one is running or the backoff is not over."""
        now = self._links.clock.now()
        if address in self._started_at_by_address or not self.may_dial(address):
            return False
        self._started_at_by_address[address] = now
        self._dial(address)
        return True

    def is_dialing(self, address: str) -> bool:
        """Return whether an attempt is running."""
        return address in self._started_at_by_address

    def may_dial(self, address: str) -> bool:
        """Return whether the backoff of ``address`` is over."""
        return self._retry_at_by_address.get(address, 0.0) <= self._links.clock.now()

    def record_success(self, address: str) -> None:
        """End an attempt because the peer sent Hello, and reset the backoff.

        An open connection is not enough, because the peer may respond with Busy.
        """
        self._started_at_by_address.pop(address, None)
        self._failures_by_address.pop(address, None)
        self._retry_at_by_address.pop(address, None)

    def record_failure(self, address: str) -> None:
        """End an attempt and schedule the next one after a random backoff."""
        failures = self._failures_by_address[address] = (
            self._failures_by_address.get(address, 0) + 1
        )
        max_delay = min(
            self._links.options.max_backoff, _BASE_BACKOFF * 2 ** min(failures, 10)
        )
        self.defer(address, self._links.rng.uniform(0, max_delay))

    def defer(self, address: str, seconds: float) -> None:
        """End an attempt and allow the next one only after ``seconds``."""
        self._started_at_by_address.pop(address, None)
        self._retry_at_by_address[address] = self._links.clock.now() + seconds

    def timed_out(self) -> list[str]:
        """Return the addresses whose attempt exceeded ``dial_timeout``."""
        limit = self._links.clock.now() - self._links.options.dial_timeout
        return [
            address
            for address, at in self._started_at_by_address.items()
            if at <= limit
        ]

    def drop_expired_backoffs(self) -> None:
        """Drop failures and backoff of addresses whose backoff ended a minute ago."""
        limit = self._links.clock.now() - 60.0
        for address in [a for a, at in self._retry_at_by_address.items() if at < limit]:
            del self._retry_at_by_address[address]
            self._failures_by_address.pop(address, None)
