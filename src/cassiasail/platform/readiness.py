"""The platform's question whether a daemon takes new clients."""

from .._internal.protocol.http1 import HttpRequest, HttpResponse

_PATH = b"/v1/ready"


def answer_readiness(request: HttpRequest, *, ready: bool) -> HttpResponse:
    """Return the answer to a question on the readiness address."""
    if request.target.partition(b"?")[0] != _PATH:
        return HttpResponse(status=404)
    return HttpResponse(status=200 if ready else 503)
