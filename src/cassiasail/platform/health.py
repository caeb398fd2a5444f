"""The health check of a target."""

from dataclasses import dataclass

from .._internal.ids import TargetId
from .._internal.protocol.http1 import HttpRequest, HttpResponse

_INSTANCE = b"x-cassiasail-instance-id"


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetHealth:
    """``fit`` if the target calls itself healthy and is not leaving."""

    target: TargetId
    fit: bool


def encode_question(path: str, address: str) -> HttpRequest:
    """Return the request for the health of the target at ``address``."""
    host = (b"host", address.encode())
    return HttpRequest(method=b"GET", target=path.encode(), headers=(host,))


def decode_health(response: HttpResponse) -> TargetHealth:
    """Return what the answer to a health check says."""
    target = (response.header(_INSTANCE) or b"").decode("latin-1")
    return TargetHealth(target=TargetId(target), fit=response.status == 200)
