"""A client that pipelines safe requests, some of them longer than a planned stop."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator

from cassiasail._internal.protocol.exchanges import Address

# Requests on one connection before the client opens the next one.
BATCHES_PER_CONNECTION = 4
CONNECT_TIMEOUT_SECONDS = 1.0
# A connection that delivers nothing for this long is given up. Longer than the timeout
# of the longest route.
READ_TIMEOUT_SECONDS = 22.0


class PipeliningConnection:
    """One connection; responses are delivered in the order of the requests.

    ``closing`` is true after a response with ``Connection: close``.
    """

    def __init__(
        self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._unanswered: deque[str] = deque()
        self.closing = False

    @property
    def unanswered(self) -> tuple[str, ...]:
        """Attempt ids of the requests without a response, in the order sent."""
        return tuple(self._unanswered)

    def send(self, attempt_id: str, path: str, deadline_ms: int) -> None:
        """Send a request without waiting for earlier responses."""
        self._unanswered.append(attempt_id)
        self._writer.write(
            f"GET {path} HTTP/1.1\r\nHost: h\r\n"
            f"X-Cassiasail-Attempt-Id: {attempt_id}\r\n"
            f"X-Cassiasail-Deadline-Ms: {deadline_ms}\r\n\r\n".encode()
        )

    async def responses(self) -> AsyncIterator[tuple[str, int, bytes]]:
        """Yield attempt id, status and body until all requests are answered.

        Ends early when the connection ends; a body that ends early is not yielded.
        """
        try:
            while self._unanswered:
                async with asyncio.timeout(READ_TIMEOUT_SECONDS):
                    head = await self._reader.readuntil(b"\r\n\r\n")
                    headers = _headers_of(head)
                    body = await self._reader.readexactly(
                        int(headers.get(b"content-length", b"0"))
                    )
                yield self._unanswered.popleft(), int(head[9:12]), body
                if headers.get(b"connection") == b"close":
                    self.closing = True
                    return
        except (OSError, EOFError, TimeoutError):
            return

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


async def connect(address: Address) -> PipeliningConnection | None:
    """Return a new connection, None if it cannot be opened."""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(address.host, address.port)
    except (OSError, TimeoutError):
        return None
    return PipeliningConnection(reader=reader, writer=writer)


def _headers_of(head: bytes) -> dict[bytes, bytes]:
    lines = head.split(b"\r\n")[1:-2]
    return {
        name.strip().lower(): value.strip().lower()
        for name, _, value in (line.partition(b":") for line in lines)
    }
