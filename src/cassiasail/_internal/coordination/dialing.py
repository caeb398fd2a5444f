"""Outgoing connections: one attempt per address, full-jitter backoff, Busy."""

from collections.abc import Callable

from .links import Links

_FIRST_BACKOFF = 0.25  # seconds


class Dialer:
    """Attempts by address and when the next one may start."""

    def __init__(self, *, links: Links, dial: Callable[[str], None]) -> None:
        self._links = links
        self._dial = dial
        self._started_at: dict[str, float] = {}
        self._failures: dict[str, int] = {}
        self._retry_at: dict[str, float] = {}

    def dial(self, address: str) -> bool:
        """Start an attempt unless one runs or the address must wait."""
        now = self._links.clock.now()
        if address in self._started_at or not self.may_dial(address):
            return False
        self._started_at[address] = now
        self._dial(address)
        return True

    def is_dialing(self, address: str) -> bool:
        """Return whether an attempt runs."""
        return address in self._started_at

    def may_dial(self, address: str) -> bool:
        """Return whether the backoff of ``address`` is over."""
        return self._retry_at.get(address, 0.0) <= self._links.clock.now()

    def greeted(self, address: str) -> None:
        """End an attempt with success: the peer has said Hello.

        An open connection alone is no success, because the peer may answer Busy.
        """
        self._started_at.pop(address, None)
        self._failures.pop(address, None)
        self._retry_at.pop(address, None)

    def failed(self, address: str) -> None:
        """Record a failed attempt and draw the time of the next."""
        failures = self._failures[address] = self._failures.get(address, 0) + 1
        ceiling = min(
            self._links.options.max_backoff, _FIRST_BACKOFF * 2 ** min(failures, 10)
        )
        self.wait(address, self._links.rng.uniform(0, ceiling))

    def wait(self, address: str, seconds: float) -> None:
        """End an attempt and start no other for ``seconds``."""
        self._started_at.pop(address, None)
        self._retry_at[address] = self._links.clock.now() + seconds

    def expired(self) -> list[str]:
        """Return the addresses whose attempt has taken too long."""
        limit = self._links.clock.now() - self._links.options.dial_timeout
        return [address for address, at in self._started_at.items() if at <= limit]

    def forget_old(self) -> None:
        """Drop the state of addresses whose backoff ended a minute ago."""
        limit = self._links.clock.now() - 60.0
        for address in [a for a, at in self._retry_at.items() if at < limit]:
            del self._retry_at[address]
            self._failures.pop(address, None)
