"""HTTP server that answers malformed requests and internal errors with refusals.

aiohttp would send its own error pages, which are neither problem documents nor counted.
"""

from collections.abc import Awaitable, Callable
from typing import Any

from absl import logging
from aiohttp import web

from ..state.refusals import Executed, Refusal, RefusalReason

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
RefusalToResponse = Callable[[Refusal], web.Response]


class _Connection(web.RequestHandler):
    """One connection; replaces aiohttp's error responses by those of ``refuse``."""

    __slots__ = ("refuse",)

    refuse: RefusalToResponse

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
            logging.error("internal error while handling a request", exc_info=exc)
            refusal = Refusal(reason=RefusalReason.INTERNAL, executed=Executed.UNKNOWN)
        response = self.refuse(refusal)
        if request.writer.output_size > 0:
            # Part of another response is already sent; this closes the connection.
            raise ConnectionError("the response has already been started")
        response.force_close()
        return response


class HttpServer(web.Server):
    """aiohttp's low-level server; ``refuse`` turns a refusal into the response."""

    def __init__(
        self, handler: Handler, *, refuse: RefusalToResponse, **options: Any
    ) -> None:
        super().__init__(handler, **options)
        self._refuse = refuse

    def __call__(self) -> web.RequestHandler:
        connection = _Connection(self, loop=self._loop, **self._kwargs)
        connection.refuse = self._refuse
        return connection
