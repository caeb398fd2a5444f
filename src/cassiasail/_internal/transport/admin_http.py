"""HTTP server for metrics, health checks and operators."""

from collections.abc import Callable, Mapping
from typing import Any

from aiohttp import web

from ...exceptions import CassiasailError
from .. import metrics

# Largest configuration version accepted by ``POST /config/offer``.
MAX_OFFER_BYTES = 64 * 1024 * 1024

PageSource = Callable[[], dict[str, Any]]
ExplainSource = Callable[[str, str], dict[str, Any] | None]
OfferSink = Callable[[bytes], None]


class AdminServer:
    """Listener on the admin address.

    ``json_pages`` maps further paths to the sources of their JSON. ``cut_link`` cuts
    (True) and restores (False) the emulated region link; it is None if no link is
    emulated.
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
    ) -> None:
        self._status = status
        self._explain = explain
        self._offer = offer
        self._is_ready = is_ready
        self._json_pages = json_pages
        self._cut_link = cut_link
        self._runner: web.AppRunner | None = None

    async def start(self, address: str) -> None:
        """Listen on ``address`` (``host:port``)."""
        app = web.Application(client_max_size=MAX_OFFER_BYTES)
        app.router.add_get("/metrics", self._get_metrics)
        app.router.add_get("/healthz", self._get_health)
        app.router.add_get("/readyz", self._get_ready)
        app.router.add_get("/status", self._get_status)
        app.router.add_get("/explain", self._get_explain)
        app.router.add_post("/config/offer", self._post_offer)
        if self._cut_link is not None:
            app.router.add_post("/emulation", self._post_emulation)
        for path, source in self._json_pages.items():
            app.router.add_get(path, _json_handler(source))
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        host, _, port = address.partition(":")
        await web.TCPSite(self._runner, host, int(port)).start()

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _get_metrics(self, request: web.Request) -> web.Response:
        body, content_type = metrics.REGISTRY.text()
        return web.Response(body=body, headers={"Content-Type": content_type})

    async def _get_health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _get_ready(self, request: web.Request) -> web.Response:
        if self._is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="no configuration yet, or draining\n")

    async def _get_status(self, request: web.Request) -> web.Response:
        return web.json_response(self._status())

    async def _get_explain(self, request: web.Request) -> web.Response:
        customer = request.query.get("customer", "")
        service = request.query.get("service", "")
        explanation = self._explain(customer, service)
        if explanation is None:
            raise web.HTTPNotFound(text="unknown customer\n")
        return web.json_response(explanation)

    async def _post_offer(self, request: web.Request) -> web.Response:
        try:
            self._offer(await request.read())
        except CassiasailError as error:
            metrics.MESSAGES_REFUSED.labels("malformed_offer").inc()
            raise web.HTTPBadRequest(text=f"{error}\n") from None
        return web.Response(status=202)

    async def _post_emulation(self, request: web.Request) -> web.Response:
        assert self._cut_link is not None
        self._cut_link((await request.json()) == {"cut": True})
        return web.Response(status=204)


def _json_handler(source: PageSource) -> Callable[[web.Request], Any]:
    async def page(request: web.Request) -> web.Response:
        return web.json_response(source())

    return page
