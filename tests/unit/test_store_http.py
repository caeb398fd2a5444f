"""The store client maps every kind of response to a typed result."""

import asyncio
from typing import Any

import cbor2
import pytest
from aiohttp import web

from cassiasail._internal.clock import SystemClock
from cassiasail._internal.coordination.store import (
    Committed,
    Conflict,
    Put,
    StoreFailure,
    StoreFailureReason,
)
from cassiasail._internal.transport.store_http import HttpStore


def transact_with_response(
    status: int, body: bytes, *, rate: float = 20.0, times: int = 1
) -> Any:
    """Run ``times`` transactions against a fixed response; return the last result."""

    async def respond(request: web.BaseRequest) -> web.Response:
        return web.Response(status=status, body=body)

    async def main() -> Any:
        runner = web.ServerRunner(web.Server(respond))
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        host, port = runner.addresses[0][:2]
        store = HttpStore(address=f"{host}:{port}", clock=SystemClock(), rate=rate)
        try:
            for _ in range(times):
                result = await store.transact([], [Put(key="a", value=1)])
            return result
        finally:
            await store.close()
            await runner.cleanup()

    return asyncio.run(main())


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff",
        cbor2.dumps(["committed"]),
        cbor2.dumps({"committed": True}),
        cbor2.dumps({"committed": False}),
        cbor2.dumps({"committed": "yes", "revision": 1}),
    ],
)
def test_malformed_response_leaves_the_effect_unknown(body: bytes) -> None:
    """Guards against a malformed response that ends a background task."""
    assert transact_with_response(200, body) == StoreFailure(
        reason=StoreFailureReason.MALFORMED, effect_unknown=True
    )


def test_each_response_maps_to_its_result() -> None:
    """Guards against a refused write that counts as possibly applied, or vice versa."""
    committed = cbor2.dumps({"committed": True, "revision": 7})
    assert transact_with_response(200, committed) == Committed(revision=7)
    conflict = cbor2.dumps({"committed": False, "rows": {"a": None}})
    assert transact_with_response(200, conflict) == Conflict(rows_by_key={"a": None})
    assert transact_with_response(503, b"") == StoreFailure(
        reason=StoreFailureReason.UNAVAILABLE, effect_unknown=False
    )
    assert transact_with_response(500, b"") == StoreFailure(
        reason=StoreFailureReason.UNAVAILABLE, effect_unknown=True
    )


def test_exhausted_token_bucket_refuses_before_anything_is_sent() -> None:
    """Guards against a daemon that exceeds its share of the platform's capacity."""
    assert transact_with_response(503, b"", rate=0.001, times=2) == StoreFailure(
        reason=StoreFailureReason.BUDGET, effect_unknown=False
    )
