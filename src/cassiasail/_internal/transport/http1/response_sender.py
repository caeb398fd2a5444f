"""Sends the responses of one connection as its client takes them."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ... import metrics
from ...protocol.http1 import HttpResponse, encode_response_parts
from .message_writer import MessageWriter
from .send_queue import unacknowledged_bytes
from .service import HttpService

# Interval of the checks whether a client has received a response, as a fraction of the
# idle time, which lasts longer by at most this.
RECEIVED_CHECK_FRACTION = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class _Sending:
    """The response that is being sent, and whether it is the last one.

    ``size`` is its size as counted in the memory for responses not taken, None if it
    is not counted.
    """

    size: int | None
    close: bool


class ResponseSender:
    """Sends one response at a time over ``transport``.

    ``finished`` is called after a response that could not be sent at once, with whether
    it was the last one, and ``ready`` when the client takes responses again.
    ``dropped`` is called if the connection is to be aborted: its client takes nothing,
    or uses most of the memory for responses. ``is_waiting`` returns whether all
    responses wait for one that is not ready, and ``shed`` drops them.
    """

    def __init__(
        self,
        *,
        transport: asyncio.Transport,
        service: HttpService,
        finished: Callable[[bool], None],
        ready: Callable[[], None],
        dropped: Callable[[], None],
        is_waiting: Callable[[], bool],
        shed: Callable[[], None],
    ) -> None:
        self._transport = transport
        self._service = service
        self._finished, self._ready, self._dropped = finished, ready, dropped
        self._is_waiting, self._shed = is_waiting, shed
        self._loop = asyncio.get_running_loop()
        self._writer = MessageWriter(
            transport=transport, pacer=service.pacer, finished=self._sent
        )
        self._sending: _Sending | None = None
        self._stall_timer: asyncio.TimerHandle | None = None
        # As of the last check whether the client still receives its responses, and the
        # time at which a check last found a change.
        self._unacknowledged_bytes = 0
        self._progress_at = 0.0
        # Loop time since when the client has not taken what was sent, None if it has.
        self.blocked_since: float | None = None

    @property
    def is_sending(self) -> bool:
        """Whether a response is being sent."""
        return self._sending is not None

    @property
    def is_blocked(self) -> bool:
        """Whether the client doesn't take what was sent."""
        return self._writer.is_paused

    def unacknowledged_bytes(self) -> int:
        """Return the number of response bytes that the client has not acknowledged."""
        return self._writer.remaining + unacknowledged_bytes(self._transport)

    def client_receives(self) -> bool:
        """Return whether the client still has to acknowledge bytes and does so.

        A client that acknowledges none for the idle timeout takes no more.
        """
        before = self._unacknowledged_bytes
        self._unacknowledged_bytes = now = self.unacknowledged_bytes()
        if now != before:
            self._progress_at = self._loop.time()
        stalled_for = self._loop.time() - self._progress_at
        return now > 0 and stalled_for < self._service.limits().idle_seconds

    def hold(self, size: int) -> None:
        """Count a response of ``size`` bytes that is ready to be sent."""
        self._service.unsent.hold(
            self,
            size,
            self._drop_unsent,
            is_waiting=lambda: self._sending is None and self._is_waiting(),
            shed=self._shed_waiting,
        )

    def send(
        self, response: HttpResponse, *, method: bytes, close: bool, size: int | None
    ) -> bool:
        """Send ``response``; return whether all of it was handed to the transport.

        ``size`` is the one given to ``hold`` for it, None if it is not counted.
        """
        head, body = encode_response_parts(
            response,
            method=method,
            close=close,
            idle_seconds=self._service.limits().idle_seconds,
        )
        self._sending = _Sending(size=size, close=close)
        self._service.unsent.begin_sending(self)
        if self._writer.write(head, body, urgent=response.urgent):
            self._end()
            return True
        self._watch_stall()
        return False

    def pause(self) -> None:
        """Send no more for now: the buffer of the transport is full."""
        self._writer.pause()
        self.blocked_since = self._loop.time()
        self._watch_stall()

    def resume(self) -> None:
        """Continue: the client has taken most of the buffer."""
        self.blocked_since = None
        self._writer.resume()
        if self._sending is None:
            self._ready()

    def stop(self) -> None:
        """Send nothing more, and release the memory of all responses."""
        self._service.unsent.release_all(self)
        self._sending = None
        self._writer.stop()
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    def _sent(self) -> None:
        """Continue after a response that could not be written at once."""
        sending = self._sending
        if sending is None or self._writer.remaining:
            return
        self._end()
        self._finished(sending.close)

    def _end(self) -> None:
        assert self._sending is not None
        if self._sending.size is not None:
            self._service.unsent.release(self, self._sending.size)
        self._sending = None

    def _drop_unsent(self) -> None:
        metrics.MESH_CLIENTS_DROPPED.labels("unsent_responses").inc()
        self._dropped()

    def _shed_waiting(self) -> None:
        self._shed()
        self._service.unsent.release_all(self)

    def _watch_stall(self) -> None:
        """Drop the connection if the client takes nothing for the idle time."""
        if self._stall_timer is None:
            seconds = self._service.limits().idle_seconds * RECEIVED_CHECK_FRACTION
            self._stall_timer = self._loop.call_later(seconds, self._check_stall)

    def _check_stall(self) -> None:
        self._stall_timer = None
        if self._sending is None and not self._writer.is_paused:
            return
        if self.client_receives():
            self._watch_stall()
        else:
            metrics.MESH_CLIENTS_DROPPED.labels("stalled").inc()
            self._dropped()
