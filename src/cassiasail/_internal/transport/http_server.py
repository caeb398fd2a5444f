"""HTTP server whose refusals of malformed requests are problems and are counted."""

from collections.abc import Awaitable, Callable
from typing import Any

from absl import logging
from aiohttp import web

from ..state.refusals import Executed, Refusal, RefusalReason

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
Refuse = Callable[[Refusal], web.Response]


class _Connection(web.RequestHandler):
    """One connection; asks ``refuse`` for the answer where the library has its own."""

    __slots__ = ("refuse",)

    refuse: Refuse

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        if status < 500:
            refusal = Refusal(
                reason=RefusalReason.MALFORMED,
                executed=Executed.NO,
                detail="the request is not valid HTTP",
            )
        else:
            logging.error("a request failed in this daemon", exc_info=exc)
            refusal = Refusal(reason=RefusalReason.INTERNAL, executed=Executed.UNKNOWN)
        response = self.refuse(refusal)
        if request.writer.output_size > 0:
            # A part of another answer is already out.
            raise ConnectionError("the answer has begun")
        response.force_close()
        return response


class HttpServer(web.Server):
    """The library's low-level server with ``refuse`` for malformed requests."""

    def __init__(self, handler: Handler, *, refuse: Refuse, **options: Any) -> None:
        super().__init__(handler, **options)
        self._refuse = refuse

    def __call__(self) -> web.RequestHandler:
        connection = _Connection(self, loop=self._loop, **self._kwargs)
        connection.refuse = self._refuse
        return connection
