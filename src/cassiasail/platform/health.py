"""Health checks of targets."""

from dataclasses import dataclass

from .._internal.ids import TargetId
from .._internal.protocol.http1 import HttpRequest, HttpResponse

_TARGET_ID = b"x-cassiasail-instance-id"


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetHealth:
    """Result of a health check; ``healthy`` is false also while the target leaves."""

    target: TargetId
    healthy: bool


def encode_health_check(path: str, address: str) -> HttpRequest:
    """Return the health check request for the target at ``address``."""
    host = (b"host", address.encode())
    return HttpRequest(method=b"GET", target=path.encode(), headers=(host,))


def decode_health(response: HttpResponse) -> TargetHealth:
    """Return the health and the id of the target that sent ``response``."""
    target = (response.header(_TARGET_ID) or b"").decode("latin-1")
    return TargetHealth(target=TargetId(target), healthy=response.status == 200)
