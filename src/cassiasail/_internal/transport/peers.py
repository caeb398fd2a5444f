"""Connections between daemons: control links and call connections.

Both use websockets without compression (its buffers cost 64 KiB and more for each
connection) and without the library's pings, since the control plane sends keepalives.
Byte counts include the websocket framing.
"""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NewType

from absl import logging
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import ConnectionClosed, WebSocketException

from .. import metrics
from ..ids import DaemonId, Region
from ..instruments import Counter
from ..protocol.frames import MAX_FRAME_BYTES
from ..state.addresses import parse_address
from .shaping import DelayedSender, RegionLink
from .streams import CallConnection, CallHandler, LoadReportSource, PeerRequestHandler

LinkId = NewType("LinkId", int)

CONTROL_PATH = "/control"
CALLS_PATH = "/calls"
DAEMON_HEADER = "Cassiasail-Daemon"
REGION_HEADER = "Cassiasail-Region"

MAX_CONTROL_MESSAGE_BYTES = 64 * 1024 * 1024
# A link with this many queued control messages is closed: its peer reads too slowly.
MAX_QUEUED_CONTROL_MESSAGES = 1000
DIAL_TIMEOUT_SECONDS = 1.0
# Close codes that this side sends when it rejects what the peer sent (RFC 6455):
# protocol error, invalid data, message too big.
REJECTING_CLOSE_CODES = frozenset((1002, 1007, 1009))
# Call connections that were not used for this long are closed.
CALL_IDLE_SECONDS = 60.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LocalPeer:
    """This daemon's id and region, which peers receive, and its emulated link."""

    daemon: DaemonId
    region: Region
    link: RegionLink


class PeerSocket:
    """A websocket that counts its bytes and applies the emulated region link."""

    def __init__(
        self,
        *,
        connection: Connection,
        local: LocalPeer,
        region: str,
        counter: Counter,
    ) -> None:
        self._connection = connection
        scope = "same_region" if region == local.region else "cross_region"
        self._sent = counter.labels("sent", scope)
        self._received = counter.labels("received", scope)
        self._delayed: DelayedSender | None = None
        if region != local.region and local.link.active:
            self._delayed = DelayedSender(link=local.link, send=self._send_now)

    async def send(self, data: bytes) -> bool:
        """Send one message; return False if the connection is closed."""
        self._sent.inc(framed_size(len(data)))
        if self._delayed is not None:
            return self._delayed.put(data)
        return await self._send_now(data)

    async def recv(self) -> bytes | None:
        """Return the next message, or None once the connection is closed."""
        try:
            data = await self._connection.recv(decode=False)
        except ConnectionClosed as closed:
            # This side sends these codes only after a fault of the peer.
            if closed.sent is not None and closed.sent.code in REJECTING_CLOSE_CODES:
                metrics.MESSAGES_REFUSED.labels(f"closed_{closed.sent.code}").inc()
            return None
        self._received.inc(framed_size(len(data)))
        return data if isinstance(data, bytes) else bytes(data)

    async def close(self) -> None:
        """Close the connection."""
        if self._delayed is not None:
            self._delayed.close()
        await self._connection.close()

    async def _send_now(self, data: bytes) -> bool:
        try:
            await self._connection.send(data)
        except ConnectionClosed:
            return False
        return True


def framed_size(length: int) -> int:
    """Return the framed size of a websocket message of ``length`` bytes (RFC 6455)."""
    if length < 126:
        return length + 6
    return length + (8 if length < 65536 else 14)


class ControlLinks:
    """Opens, serves and closes control links and reports their events.

    The ``on_*`` callbacks of the control plane run on the event loop. ``send``,
    ``dial`` and ``close_link`` return without waiting.
    """

    def __init__(
        self,
        *,
        local: LocalPeer,
        on_open: Callable[[LinkId, str | None], None],
        on_message: Callable[[LinkId, bytes], None],
        on_close: Callable[[LinkId], None],
        on_dial_failed: Callable[[str], None],
    ) -> None:
        self._local = local
        self._on_open = on_open
        self._on_message = on_message
        self._on_close = on_close
        self._on_dial_failed = on_dial_failed
        self._ids = itertools.count(1)
        self._queue_by_link: dict[LinkId, asyncio.Queue[bytes | None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, link: LinkId, data: bytes) -> None:
        """Queue a message; a link whose queue is full is closed."""
        queue = self._queue_by_link.get(link)
        if queue is None:
            return
        if queue.qsize() >= MAX_QUEUED_CONTROL_MESSAGES:
            metrics.MESSAGES_REFUSED.labels("control_queue_full").inc()
            self.close_link(link)
            return
        queue.put_nowait(data)

    def dial(self, address: str) -> None:
        """Open a link to ``address``; then calls ``on_open`` or ``on_dial_failed``."""
        self._spawn(self._dial(address))

    def close_link(self, link: LinkId) -> None:
        """Close a link after its queued messages have been sent."""
        queue = self._queue_by_link.get(link)
        if queue is not None:
            queue.put_nowait(None)

    async def serve(self, connection: ServerConnection) -> None:
        """Serve a link that a peer opened until it closes."""
        await self._run(connection, _request_region(connection), None)

    async def close(self) -> None:
        """Close all links."""
        for link in list(self._queue_by_link):
            self.close_link(link)
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=1.0)

    def _spawn(self, coroutine: Any) -> None:
        task: asyncio.Task[None] = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _dial(self, address: str) -> None:
        connection = await dial(
            address, CONTROL_PATH, self._local, MAX_CONTROL_MESSAGE_BYTES
        )
        if connection is None:
            self._on_dial_failed(address)
            return
        await self._run(connection, _response_region(connection), address)

    async def _run(
        self, connection: Connection, region: str, address: str | None
    ) -> None:
        link = LinkId(next(self._ids))
        queue: asyncio.Queue[bytes | None] = asyncio.Queue()
        socket = PeerSocket(
            connection=connection,
            local=self._local,
            region=region,
            counter=metrics.CONTROL_BYTES,
        )
        self._queue_by_link[link] = queue
        self._on_open(link, address)
        writer = asyncio.create_task(_write_queue(socket, queue))
        try:
            while (data := await socket.recv()) is not None:
                self._on_message(link, data)
        finally:
            writer.cancel()
            del self._queue_by_link[link]
            self._on_close(link)
            await socket.close()


class CallPool:
    """Call connections to other daemons, opened on first use and closed when unused."""

    def __init__(
        self,
        *,
        local: LocalPeer,
        serve_call: CallHandler,
        serve_request: PeerRequestHandler,
        load_report_for: LoadReportSource,
    ) -> None:
        self._local = local
        self._serve_call = serve_call
        self._serve_request = serve_request
        self._load_report_for = load_report_for
        self._connection_by_address: dict[str, CallConnection] = {}
        self._dial_task_by_address: dict[str, asyncio.Task[CallConnection | None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._accepted: set[CallConnection] = set()

    async def connection_to(self, address: str) -> CallConnection | None:
        """Return an open connection, or None if the peer is unreachable."""
        connection = self._connection_by_address.get(address)
        if connection is not None and not connection.closed:
            return connection
        dial_task = self._dial_task_by_address.get(address)
        if dial_task is None:
            dial_task = asyncio.create_task(self._dial(address))
            self._dial_task_by_address[address] = dial_task
            dial_task.add_done_callback(
                lambda _: self._dial_task_by_address.pop(address, None)
            )
        # Several calls can wait for the same connection attempt, so cancelling one of
        # them must not cancel it.
        return await asyncio.shield(dial_task)

    async def serve(self, connection: ServerConnection) -> None:
        """Serve a call connection that a peer opened until it closes."""
        calls = self._call_connection(connection, _request_region(connection))
        self._accepted.add(calls)
        try:
            await calls.run()
        finally:
            self._accepted.discard(calls)

    async def close(self) -> None:
        """Close all call connections."""
        for calls in (*self._connection_by_address.values(), *self._accepted):
            await calls.close()

    def _call_connection(self, connection: Connection, region: str) -> CallConnection:
        return CallConnection(
            socket=PeerSocket(
                connection=connection,
                local=self._local,
                region=region,
                counter=metrics.CALL_BYTES,
            ),
            serve_call=self._serve_call,
            serve_request=self._serve_request,
            load_report_for=self._load_report_for,
        )

    async def _dial(self, address: str) -> CallConnection | None:
        connection = await dial(address, CALLS_PATH, self._local, MAX_FRAME_BYTES)
        if connection is None:
            return None
        calls = self._call_connection(connection, _response_region(connection))
        self._connection_by_address[address] = calls
        task = asyncio.create_task(self._run(address, calls))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return calls

    async def _run(self, address: str, calls: CallConnection) -> None:
        idle_watch = asyncio.create_task(_close_when_idle(calls))
        try:
            await calls.run()
        finally:
            idle_watch.cancel()
            if self._connection_by_address.get(address) is calls:
                del self._connection_by_address[address]


async def dial(
    address: str, path: str, local: LocalPeer, max_size: int
) -> Connection | None:
    """Open a websocket to a peer, or return None if it is unreachable.

    The address may come from a record or a row that another writer has written.
    """
    try:
        parse_address(address)
    except ValueError as error:
        metrics.MESSAGES_REFUSED.labels("bad_address").inc()
        logging.warning("cannot connect to peer %.50r: %s", address, error)
        return None
    try:
        return await connect(
            f"ws://{address}{path}",
            additional_headers={
                DAEMON_HEADER: local.daemon,
                REGION_HEADER: local.region,
            },
            compression=None,
            max_size=max_size,
            open_timeout=DIAL_TIMEOUT_SECONDS + 2 * local.link.delay,
            ping_interval=None,
            close_timeout=0.5,
            proxy=None,
            user_agent_header=None,
        )
    except (OSError, TimeoutError, WebSocketException) as error:
        logging.debug("cannot connect to peer %s: %s", address, error)
        return None


async def _close_when_idle(calls: CallConnection) -> None:
    """Close a connection once it is idle and opened no stream since the last check."""
    last_count = -1
    while not calls.idle or calls.opened_stream_count != last_count:
        last_count = calls.opened_stream_count
        await asyncio.sleep(CALL_IDLE_SECONDS)
    await calls.close()


async def _write_queue(socket: PeerSocket, queue: asyncio.Queue[bytes | None]) -> None:
    while (data := await queue.get()) is not None:
        if not await socket.send(data):
            return
    await socket.close()


def _request_region(connection: ServerConnection) -> str:
    if connection.request is None:
        return ""
    return connection.request.headers.get(REGION_HEADER, "")


def _response_region(connection: Connection) -> str:
    response = connection.response
    return "" if response is None else response.headers.get(REGION_HEADER, "")
