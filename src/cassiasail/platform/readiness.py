"""The platform's readiness check: whether a daemon accepts new clients."""

from .._internal.protocol.http1 import HttpRequest, HttpResponse

_PATH = b"/v1/ready"


def encode_readiness(request: HttpRequest, *, ready: bool) -> HttpResponse:
    """Return the response to a readiness check: 200 if ``ready``, otherwise 503."""
    if request.target.partition(b"?")[0] != _PATH:
        return HttpResponse(status=404)
    return HttpResponse(status=200 if ready else 503)
