"""Joins the copies of one unsafe request that clients send to the same daemon.

A client may send a request again on another connection while the first copy runs, or
after its answer was lost. Two copies could be forwarded to different host daemons, and
each of these would execute its own.
"""

import asyncio
from collections.abc import Callable, Coroutine, Hashable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from ...awake_clock import AwakeClock
from ...state.kept_results import KEEP_RESULT_SECONDS, KeptResults

Response = TypeVar("Response")


@dataclass(slots=True, kw_only=True, eq=False)
class _Shared(Generic[Response]):
    """One request, how many copies wait for it, and its response once it ended.

    ``task`` is None from then on, as it would keep a response that is to be dropped.
    """

    task: "asyncio.Task[Response] | None"
    waiters: int = 0
    response: Response | None = None


class RequestCopies(Generic[Response]):
    """Serves each key once; further copies get the response of the first.

    ``unknown`` is the response to a copy whose first one has an unknown outcome or a
    response that was dropped. ``body_bytes`` returns the size of a response, None if
    the request was not executed, after which a copy is served anew.
    """

    def __init__(
        self,
        *,
        unknown: Response,
        body_bytes: Callable[[Response], int | None],
        awake: AwakeClock,
    ) -> None:
        self._unknown = unknown
        self._body_bytes = body_bytes
        self._awake = awake
        self._shared_by_key: dict[Hashable, _Shared[Response]] = {}
        self._kept = KeptResults(drop=self._drop_response)
        self._loop = asyncio.get_running_loop()

    async def serve(
        self, key: Hashable, serve: Callable[[], Coroutine[Any, Any, Response]]
    ) -> Response:
        """Return the response of ``serve``, which runs once for all copies.

        It is cancelled once no copy waits for it any more.
        """
        shared = self._shared_by_key.get(key) or self._start(key, serve())
        task = shared.task
        if task is None:
            return self._unknown if shared.response is None else shared.response
        shared.waiters += 1
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if task.cancelled():
                return self._unknown
            raise
        finally:
            shared.waiters -= 1
            if not shared.waiters and not task.done():
                task.cancel()

    def _start(
        self, key: Hashable, serving: Coroutine[Any, Any, Response]
    ) -> _Shared[Response]:
        task = self._loop.create_task(serving)
        shared = self._shared_by_key[key] = _Shared(task=task)
        task.add_done_callback(lambda _: self._end(key, shared, task))
        return shared

    def _end(
        self,
        key: Hashable,
        shared: _Shared[Response],
        task: "asyncio.Task[Response]",
    ) -> None:
        """Keep the response for later copies, or forget a request not executed."""
        shared.task = None
        size: int | None = 0
        if not task.cancelled() and task.exception() is None:
            shared.response = task.result()
            size = self._body_bytes(shared.response)
        if size is None:
            del self._shared_by_key[key]
            return
        self._kept.keep(key, size)
        self._awake.call_later(KEEP_RESULT_SECONDS, lambda: self._drop(key))

    def _drop_response(self, key: Hashable) -> None:
        self._shared_by_key[key].response = None

    def _drop(self, key: Hashable) -> None:
        self._kept.release(key)
        del self._shared_by_key[key]
