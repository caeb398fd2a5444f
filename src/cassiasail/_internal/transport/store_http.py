"""HTTP client of the platform's table service and object store.

Every request has a timeout and takes a token from a token bucket, so that a daemon
never exceeds its share of the platform's capacity.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Any

import aiohttp
import cbor2

from .. import metrics
from ..clock import Clock
from ..coordination.store import (
    Committed,
    Condition,
    Conflict,
    Put,
    Remove,
    StoredRow,
    StoreFailure,
    StoreFailureReason,
)

READ_OPERATIONS = frozenset(("read", "scan", "get_object"))


class HttpStore:
    """Implements ``coordination.store.Store`` over HTTP with CBOR bodies.

    ``timeout`` is in seconds per request, ``rate`` in requests per second with a
    burst of twice that. ``is_cut`` returns whether the emulated link to the store's
    region is cut; requests fail while it is.
    """

    def __init__(
        self,
        *,
        address: str,
        clock: Clock,
        timeout: float = 2.0,
        rate: float = 20.0,
        is_cut: Callable[[], bool] = lambda: False,
    ) -> None:
        self._base = f"http://{address}"
        self._clock = clock
        self._is_cut = is_cut
        self._timeout = aiohttp.ClientTimeout(total=timeout)
        self._rate = rate
        # At least 1, since a smaller bucket never holds a whole token.
        self._burst = max(1.0, 2 * rate)
        self._tokens = self._burst
        self._refilled_at = clock.now()
        self._session: aiohttp.ClientSession | None = None
        # Time of the last successful request, for the status page.
        self.last_success_at: float | None = None
        self.last_failure: StoreFailure | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def read(
        self, keys: Sequence[str]
    ) -> Mapping[str, StoredRow | None] | StoreFailure:
        body = {"keys": list(keys)}
        response_body = await self._post("read", "/table/read", body, {"rows": dict})
        if isinstance(response_body, StoreFailure):
            return response_body
        return {key: _stored_row(response_body["rows"].get(key)) for key in keys}

    async def scan(
        self, prefix: str, *, limit: int = 1000, descending: bool = False
    ) -> Mapping[str, StoredRow] | StoreFailure:
        body = {"prefix": prefix, "limit": limit, "descending": descending}
        response_body = await self._post("scan", "/table/scan", body, {"rows": dict})
        if isinstance(response_body, StoreFailure):
            return response_body
        found = ((key, _stored_row(row)) for key, row in response_body["rows"].items())
        return {key: row for key, row in found if row is not None}

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Put | Remove]
    ) -> Committed | Conflict | StoreFailure:
        body = {
            "conditions": [[item.key, item.revision] for item in conditions],
            "puts": [
                [item.key, item.value] for item in writes if isinstance(item, Put)
            ],
            "removes": [item.key for item in writes if isinstance(item, Remove)],
        }
        required_fields = {"committed": bool}
        response_body = await self._post(
            "transact", "/table/transact", body, required_fields
        )
        if isinstance(response_body, StoreFailure):
            return response_body
        revision, rows = response_body.get("revision"), response_body.get("rows")
        if response_body["committed"] and isinstance(revision, int):
            return Committed(revision=revision)
        if response_body["committed"] or not isinstance(rows, dict):
            return self._record_failure(
                "transact", StoreFailureReason.MALFORMED, sent=True
            )
        return Conflict(
            rows_by_key={key: _stored_row(row) for key, row in rows.items()}
        )

    async def get_object(self, name: str) -> bytes | None | StoreFailure:
        return await self._request("get_object", "GET", f"/objects/{name}", None)

    async def put_object(self, name: str, data: bytes) -> None | StoreFailure:
        response_body = await self._request(
            "put_object", "PUT", f"/objects/{name}", data
        )
        return response_body if isinstance(response_body, StoreFailure) else None

    async def _post(
        self, operation: str, path: str, body: Any, required_fields: Mapping[str, type]
    ) -> dict[str, Any] | StoreFailure:
        """Return the response body, a map with ``required_fields`` of these types."""
        data = await self._request(operation, "POST", path, cbor2.dumps(body))
        if isinstance(data, StoreFailure):
            return data
        response_body: Any = None
        try:
            response_body = cbor2.loads(data or b"")
        except (cbor2.CBORDecodeError, ValueError):
            pass
        if not isinstance(response_body, dict) or not all(
            isinstance(response_body.get(name), kind)
            for name, kind in required_fields.items()
        ):
            return self._record_failure(
                operation, StoreFailureReason.MALFORMED, sent=True
            )
        return response_body

    async def _request(
        self, operation: str, method: str, path: str, body: bytes | None
    ) -> bytes | None | StoreFailure:
        if not self._take_token():
            return self._record_failure(
                operation, StoreFailureReason.BUDGET, sent=False
            )
        if self._is_cut():
            return self._record_failure(
                operation, StoreFailureReason.UNREACHABLE, sent=False
            )
        try:
            return await self._send_and_read(operation, method, path, body)
        except aiohttp.ClientConnectorError:
            return self._record_failure(
                operation, StoreFailureReason.UNREACHABLE, sent=False
            )
        except TimeoutError:
            return self._record_failure(
                operation, StoreFailureReason.TIMEOUT, sent=True
            )
        except (aiohttp.ClientError, OSError):
            return self._record_failure(
                operation, StoreFailureReason.UNREACHABLE, sent=True
            )

    async def _send_and_read(
        self, operation: str, method: str, path: str, body: bytes | None
    ) -> bytes | None | StoreFailure:
        session = self._open_session()
        async with session.request(method, self._base + path, data=body) as response:
            data = await response.read()
            if response.status == 404 and operation == "get_object":
                self._record_success(operation)
                return None
            # The platform returns 503 only for requests that had no effect.
            if response.status == 503:
                return self._record_failure(
                    operation, StoreFailureReason.UNAVAILABLE, sent=False
                )
            if response.status >= 300:
                return self._record_failure(
                    operation, StoreFailureReason.UNAVAILABLE, sent=True
                )
        self._record_success(operation)
        return data

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(timeout=self._timeout)
        return self._session

    def _take_token(self) -> bool:
        now = self._clock.now()
        gained = (now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _record_success(self, operation: str) -> None:
        self.last_success_at = self._clock.now()
        self.last_failure = None
        metrics.STORE_REQUESTS.labels(operation, "ok").inc()

    def _record_failure(
        self, operation: str, reason: StoreFailureReason, *, sent: bool
    ) -> StoreFailure:
        metrics.STORE_REQUESTS.labels(operation, reason.value).inc()
        writes = operation not in READ_OPERATIONS
        failure = StoreFailure(reason=reason, effect_unknown=sent and writes)
        self.last_failure = failure
        return failure


def _stored_row(row: Any) -> StoredRow | None:
    match row:
        case [value, int(revision)]:
            return StoredRow(value=value, revision=revision)
    return None
