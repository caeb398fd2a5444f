"""A request that is being read, with the checks of its header section and body size."""

from dataclasses import dataclass, field
from urllib.parse import urlsplit

from ... import metrics
from ...protocol.http1 import Header, HttpRequest
from ...state.mesh_config import ClientLimits
from .memory import BodyMemory

# Bytes of a header line besides name and value: colon, space and line end.
HEADER_LINE_OVERHEAD_BYTES = 4
# Memory of a header line besides its bytes: two byte strings and a pair.
HEADER_LINE_MEMORY_BYTES = 160


class RejectedError(Exception):
    """Raised in parser callbacks to reject a request with ``status``."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


@dataclass(slots=True, kw_only=True, eq=False)
class PartialRequest:
    """A request that is being read; the methods raise ``RejectedError``.

    It holds the memory for its body in ``memory``, also for the complete request.
    """

    arrived_at: float
    limits: ClientLimits
    memory: BodyMemory
    target: bytes = b""
    headers: list[Header] = field(default_factory=list)
    # Not a list of parts, as an object for two bytes takes 22 times their memory.
    body: bytearray = field(default_factory=bytearray)
    # Bytes of the header lines that the parser has delivered, and all bytes received
    # for the header section after the piece in which it begins; None in that piece.
    header_bytes_parsed: int = 0
    header_bytes_received: int | None = None
    body_bytes: int = 0
    # Body bytes for which memory is held; the whole length if it was announced.
    held_bytes: int = 0
    # Bytes of the header section for which memory is held.
    held_header_bytes: int = 0
    header_complete: bool = False
    # Loop time by which the whole body must have arrived; None until a part is missing.
    body_due_at: float | None = None

    def values(self, name: bytes) -> list[bytes]:
        """Return the values of the header ``name``, which is in lower case."""
        return [value for each, value in self.headers if each == name]

    def add_target(self, part: bytes) -> None:
        """Add a part of the request target."""
        self.target += part
        self._count_header_bytes(len(part))

    def add_header(self, name: bytes, value: bytes) -> None:
        """Add a complete header line."""
        self.headers.append((name.lower(), value))
        self._count_header_bytes(len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES)

    def add_body(self, part: bytes) -> None:
        """Add a part of the body."""
        self.body_bytes += len(part)
        if self.body_bytes > self.limits.body_bytes:
            raise RejectedError(413)
        self._hold_body(self.body_bytes)
        self.body += part

    def exceeds_header_limit(self, received: int) -> bool:
        """Count a piece of ``received`` bytes; return whether the header is too long.

        The parser delivers only complete header lines, so an endless line is limited
        here by the bytes received. The piece in which the request begins is not
        counted: it may have any number of bytes of earlier requests.
        """
        if self.header_complete:
            return False
        if self.header_bytes_received is None:
            self.header_bytes_received = 0
            return False
        self.header_bytes_received += received
        return self.header_bytes_received > 2 * self.limits.header_bytes

    def hold_header(self, received: int) -> None:
        """Hold memory for the header section, of which ``received`` bytes are new.

        It is called for each piece that does not end the section, and once for a
        section that has ended, so that many of them together are limited.
        """
        lines = len(self.headers) * HEADER_LINE_MEMORY_BYTES
        size = max(self.header_bytes_parsed + lines, received)
        added = size - self.held_header_bytes
        if added > 0:
            self._hold(added)
        self.held_header_bytes = max(size, self.held_header_bytes)

    def complete_header(self, *, http_version: str) -> None:
        """Reject an invalid Host header or target, or a body that is too large."""
        self.header_complete = True
        hosts = self.values(b"host")
        if len(hosts) > 1 or (not hosts and http_version == "1.1"):
            raise RejectedError(400)
        if not self.target.startswith(b"/") and self.target != b"*":
            self._convert_absolute_target()
        lengths = self.values(b"content-length")
        if lengths and int(lengths[0]) > self.limits.body_bytes:
            raise RejectedError(413)
        if lengths:
            self._hold_body(int(lengths[0]))
        codings = self.values(b"transfer-encoding")
        if codings and b",".join(codings).strip().lower() != b"chunked":
            # The body would be forwarded without the coding that was not undone.
            raise RejectedError(501)

    def request(self, method: bytes, *, body: bytes) -> HttpRequest:
        """Return the request with ``body``."""
        return HttpRequest(
            method=method,
            target=self.target,
            headers=tuple(self.headers),
            body=body,
            arrived=self.arrived_at,
        )

    def release_memory(self) -> None:
        """Release the memory for the body."""
        self.memory.release(self)

    def _count_header_bytes(self, size: int) -> None:
        self.header_bytes_parsed += size
        if self.header_bytes_parsed > self.limits.header_bytes:
            raise RejectedError(431)

    def _hold_body(self, size: int) -> None:
        """Hold memory for ``size`` bytes of the body, or reject the request."""
        if size > self.held_bytes:
            self._hold(size - self.held_bytes)
            self.held_bytes = size

    def _hold(self, size: int) -> None:
        if not self.memory.try_hold(self, size):
            metrics.MESH_BODIES_REFUSED.inc()
            raise RejectedError(503)

    def _convert_absolute_target(self) -> None:
        # RFC 9112, section 3.2.2: the host of the target overrides the Host header.
        parts = urlsplit(self.target)
        if parts.scheme.lower() not in (b"http", b"https") or not parts.netloc:
            raise RejectedError(400)
        start = self.target.find(b"/", self.target.find(b"//") + 2)
        self.target = self.target[start:] if start >= 0 else b"/"
        self.headers = [
            (name, parts.netloc if name == b"host" else value)
            for name, value in self.headers
        ]
