"""Complete HTTP/1.1 messages and their encoding."""

from collections.abc import Iterator
from dataclasses import dataclass
from http import HTTPStatus

Header = tuple[bytes, bytes]

# Headers that apply to a single connection (RFC 9112 and RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
_REASON_BY_STATUS = {each.value: each.phrase.encode() for each in HTTPStatus}
BODILESS_METHODS = frozenset((b"GET", b"HEAD", b"DELETE", b"OPTIONS"))


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpRequest:
    """A request with its complete body; header names are in lower case.

    ``target`` is in origin form; ``arrived`` is the loop time in seconds at which the
    first byte of the head was read.
    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes = b""
    arrived: float = 0.0

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of header ``name``, None if it is missing."""
        return _first_value(self.headers, name)


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpResponse:
    """A response with its complete body; header names are in lower case.

    One that is ``urgent`` leaves before others of its size; that is not sent.
    """

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    reason: bytes = b""
    urgent: bool = False

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of header ``name``, None if it is missing."""
        return _first_value(self.headers, name)


def _first_value(headers: tuple[Header, ...], name: bytes) -> bytes | None:
    return next((value for each, value in headers if each == name), None)


def end_to_end(headers: tuple[Header, ...]) -> Iterator[Header]:
    """Yield the headers to pass on, without the hop-by-hop headers.

    Headers that are named in ``Connection`` are hop-by-hop as well.
    """
    connection_names = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    for name, value in headers:
        if name not in HOP_BY_HOP and name not in connection_names:
            yield name, value


def encode_request(request: HttpRequest) -> bytes:
    """Encode ``request`` for a connection that is kept open."""
    head, body = encode_request_parts(request)
    return head + body


def encode_request_parts(request: HttpRequest) -> tuple[bytes, bytes]:
    """Return the head and the body of ``request`` on a connection that is kept open."""
    lines = [request.method + b" " + request.target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in request.headers]
    if request.body or request.method not in BODILESS_METHODS:
        lines.append(b"content-length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n", request.body


def encode_response(
    response: HttpResponse, *, method: bytes, close: bool, idle_seconds: float
) -> bytes:
    """Encode ``response``; see ``encode_response_parts``."""
    head, body = encode_response_parts(
        response, method=method, close=close, idle_seconds=idle_seconds
    )
    return head + body


def encode_response_parts(
    response: HttpResponse, *, method: bytes, close: bool, idle_seconds: float
) -> tuple[bytes, bytes]:
    """Return the head and the body of ``response`` to a request with ``method``.

    ``idle_seconds`` is sent as the keep-alive timeout unless ``close`` is set.
    """
    reason = response.reason or _REASON_BY_STATUS.get(response.status, b"Unknown")
    lines = [b"HTTP/1.1 %d %s" % (response.status, reason)]
    lines += [name + b": " + value for name, value in response.headers]
    has_no_body = response.status in (204, 304)
    if not has_no_body:
        lines.append(b"content-length: %d" % len(response.body))
    if close:
        lines.append(b"connection: close")
    elif idle_seconds >= 1:
        lines.append(b"keep-alive: timeout=%d" % int(idle_seconds))
    body = b"" if has_no_body or method == b"HEAD" else response.body
    return b"\r\n".join(lines) + b"\r\n\r\n", body
