"""HTTP server for metrics, health checks and operators."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from aiohttp import web

from ...exceptions import CassiasailError
from .. import metrics
from ..protocol.problems import status_of
from ..state.refusals import Refusal
from .http_server import HttpServer
from .rationed_page import RationedPage
from .reading_turns import ReadingTurns

# Largest configuration version accepted by ``POST /config/offer``.
MAX_OFFER_BYTES = 64 * 1024 * 1024

PageSource = Callable[[], dict[str, Any]]
ExplainSource = Callable[[str, str], dict[str, Any] | None]
OfferSink = Callable[[bytes], None]
PageHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

# A page is made again only if that takes at most this share of the time; a request that
# comes earlier gets the last one.
PAGE_SHARE = 0.05


class AdminServer:
    """Listener on the admin address.

    ``json_pages`` maps further paths to the sources of their JSON. ``cut_link`` cuts
    (True) and restores (False) the emulated region link; it is None if no link is
    emulated. ``max_connections`` and ``max_refused`` are those of ``HttpServer``.
    """

    def __init__(
        self,
        *,
        status: PageSource,
        explain: ExplainSource,
        offer: OfferSink,
        is_ready: Callable[[], bool],
        json_pages: Mapping[str, PageSource],
        cut_link: Callable[[bool], None] | None,
        max_connections: int | None = None,
        max_refused: int | None = None,
        turns: ReadingTurns | None = None,
    ) -> None:
        self._explain = explain
        self._offer = offer
        self._is_ready = is_ready
        self._cut_link = cut_link
        self._max_connections, self._max_refused = max_connections, max_refused
        self._turns = turns
        self._metrics_page = RationedPage(
            render=metrics.REGISTRY.text, share=PAGE_SHARE
        )
        self._handler_by_path: dict[tuple[str, str], PageHandler] = {
            ("GET", "/metrics"): self._get_metrics,
            ("GET", "/healthz"): self._get_health,
            ("GET", "/readyz"): self._get_ready,
            ("GET", "/explain"): self._get_explain,
            ("POST", "/config/offer"): self._post_offer,
        }
        if self._cut_link is not None:
            self._handler_by_path["POST", "/emulation"] = self._post_emulation
        for path, source in {"/status": status, **json_pages}.items():
            self._handler_by_path["GET", path] = _json_handler(source)
        self._server: HttpServer | None = None

    async def start(self, address: str) -> None:
        """Listen on ``address`` (``host:port``)."""
        self._server = HttpServer(
            self._handle,
            refuse=_refuse,
            max_connections=self._max_connections,
            max_refused=self._max_refused,
            turns=self._turns,
            request_factory=_large_request,
        )
        self._server.listen(address)

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            await self._server.close()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        method = "GET" if request.method == "HEAD" else request.method
        handler = self._handler_by_path.get((method, request.path))
        if handler is not None:
            return await handler(request)
        if any(path == request.path for _, path in self._handler_by_path):
            return web.Response(status=405, text="method not allowed\n")
        return web.Response(status=404, text="unknown page\n")

    async def _get_metrics(self, request: web.BaseRequest) -> web.Response:
        body, content_type = self._metrics_page.get()
        return web.Response(body=body, headers={"Content-Type": content_type})

    async def _get_health(self, request: web.BaseRequest) -> web.Response:
        return web.Response(text="ok\n")

    async def _get_ready(self, request: web.BaseRequest) -> web.Response:
        if self._is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="no configuration yet, or draining\n")

    async def _get_explain(self, request: web.BaseRequest) -> web.Response:
        customer = request.query.get("customer", "")
        service = request.query.get("service", "")
        explanation = self._explain(customer, service)
        if explanation is None:
            return web.Response(status=404, text="unknown customer\n")
        return web.json_response(explanation)

    async def _post_offer(self, request: web.BaseRequest) -> web.Response:
        try:
            self._offer(await request.read())
        except CassiasailError as error:
            metrics.MESSAGES_REFUSED.labels("malformed_offer").inc()
            return web.Response(status=400, text=f"{error}\n")
        return web.Response(status=202)

    async def _post_emulation(self, request: web.BaseRequest) -> web.Response:
        assert self._cut_link is not None
        self._cut_link((await request.json()) == {"cut": True})
        return web.Response(status=204)


def _json_handler(source: PageSource) -> PageHandler:
    page = RationedPage(render=lambda: json.dumps(source()), share=PAGE_SHARE)

    async def handle(request: web.BaseRequest) -> web.Response:
        return web.Response(text=page.get(), content_type="application/json")

    return handle


def _large_request(
    message: Any, payload: Any, protocol: Any, writer: Any, task: Any
) -> web.BaseRequest:
    """Return a request whose body may have the size of a configuration version."""
    loop = asyncio.get_running_loop()
    return web.BaseRequest(
        message,
        payload,
        protocol,
        writer,
        task,
        loop,
        client_max_size=MAX_OFFER_BYTES,
    )


def _refuse(refusal: Refusal) -> web.Response:
    return web.Response(status=status_of(refusal), text=f"{refusal.reason.value}\n")
