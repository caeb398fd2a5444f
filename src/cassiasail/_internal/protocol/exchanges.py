"""One HTTP exchange as the layers above see it: where to, and why it failed."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Protocol

from .http1 import HttpRequest, HttpResponse


class Address(NamedTuple):
    """An IPv4 address in digits and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Return the address written as ``10.1.0.8:8300``; ValueError otherwise."""
    host, colon, port = text.rpartition(":")
    parts = host.split(".")
    if not colon or len(parts) != 4 or not all(part.isdigit() for part in parts):
        raise ValueError(f"{text!r} is not an IPv4 address with a port")
    return Address(host, int(port))


class FailureReason(Enum):
    """Why an exchange has no answer; the value is the label in logs and metrics."""

    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CUT_SHORT = "cut_short"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    TIMED_OUT = "timed_out"


@dataclass(frozen=True, slots=True, kw_only=True)
class ExchangeFailed:
    """No whole answer; ``sent`` is false only if no byte of the request left."""

    reason: FailureReason
    sent: bool


class Exchanger(Protocol):
    """Sends requests and returns whole answers; never raises for a failure."""

    async def exchange(
        self,
        address: Address,
        request: HttpRequest,
        *,
        timeout: float,
        accept: Callable[[HttpResponse], bool] | None = None,
        max_idle: float | None = None,
        grace: float = 0.0,
    ) -> HttpResponse | ExchangeFailed:
        """Send ``request`` to ``address`` and return its answer within ``timeout`` s.

        An answer that is arriving by then may take up to ``grace`` seconds longer.

        An answer that ``accept`` declines belongs to an earlier request and is
        dropped. ``max_idle`` bounds the seconds that the connection used was idle.
        """
        ...

    def forget(self, address: Address) -> None:
        """Close the idle connections to ``address``."""
        ...
