"""Joins the copies of one unsafe request that clients send to the same daemon.

A client may send a request again on another connection while the first copy runs, or
after its answer was lost. Two copies could be forwarded to different host daemons, and
each of these would execute its own.
"""

import asyncio
from collections.abc import Callable, Coroutine, Hashable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

Response = TypeVar("Response")

# A copy that comes later than this after the end of the first is a new request. It is
# the time for which host daemons keep results, which is above most deadlines.
KEEP_SECONDS = 10.0
# Responses kept for copies, in bytes of their bodies. Those that do not fit are not
# kept, and the copies of their requests get the response for an unknown outcome.
MAX_KEPT_BYTES = 4 << 20


@dataclass(slots=True, kw_only=True, eq=False)
class _Shared(Generic[Response]):
    """One request, how many copies wait for it, and its response once it ended."""

    task: "asyncio.Task[Response]"
    waiters: int = 0
    response: Response | None = None
    kept_bytes: int = 0


class RequestCopies(Generic[Response]):
    """Serves each key once; further copies get the response of the first.

    ``unknown`` is the response to a copy whose first one has an unknown outcome or a
    response that was not kept. ``body_bytes`` returns the size of a response, None if
    the request was not executed, after which a copy is served anew.
    """

    def __init__(
        self, *, unknown: Response, body_bytes: Callable[[Response], int | None]
    ) -> None:
        self._unknown = unknown
        self._body_bytes = body_bytes
        self._shared_by_key: dict[Hashable, _Shared[Response]] = {}
        self._kept_bytes = 0
        self._loop = asyncio.get_running_loop()

    async def serve(
        self, key: Hashable, serve: Callable[[], Coroutine[Any, Any, Response]]
    ) -> Response:
        """Return the response of ``serve``, which runs once for all copies.

        It is cancelled once no copy waits for it any more.
        """
        shared = self._shared_by_key.get(key)
        if shared is None:
            shared = _Shared(task=self._loop.create_task(serve()))
            self._shared_by_key[key] = shared
            shared.task.add_done_callback(lambda _: self._end(key, shared))
        elif shared.response is not None:
            return shared.response
        shared.waiters += 1
        try:
            return await asyncio.shield(shared.task)
        except asyncio.CancelledError:
            if shared.task.cancelled():
                return self._unknown
            raise
        finally:
            shared.waiters -= 1
            if not shared.waiters and not shared.task.done():
                shared.task.cancel()

    def _end(self, key: Hashable, shared: _Shared[Response]) -> None:
        """Keep the response for later copies, or forget a request not executed."""
        shared.response = self._unknown
        if not shared.task.cancelled() and shared.task.exception() is None:
            response = shared.task.result()
            size = self._body_bytes(response)
            if size is None:
                del self._shared_by_key[key]
                return
            if self._kept_bytes + size <= MAX_KEPT_BYTES:
                shared.response, shared.kept_bytes = response, size
                self._kept_bytes += size
        self._loop.call_later(KEEP_SECONDS, self._drop, key)

    def _drop(self, key: Hashable) -> None:
        self._kept_bytes -= self._shared_by_key.pop(key).kept_bytes
