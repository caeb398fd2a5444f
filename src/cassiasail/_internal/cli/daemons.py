"""HTTP client of the daemons' admin addresses.

Responses are not validated against a schema: a daemon may be older or newer than the
command line, so missing fields are unknown and never an error.
"""

import asyncio
import json
import os
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import aiohttp

# The status of a fleet of 2,800 daemons is well below this limit.
MAX_RESPONSE_BYTES = 8 << 20

# Daemons respond from memory, so a longer timeout would only delay the command.
DAEMON_TIMEOUT_SECONDS = 3.0


@dataclass(frozen=True, slots=True, kw_only=True)
class DaemonResponse:
    """The JSON object that a daemon sent, or the reason why there is none."""

    address: str
    value: dict[str, Any] | None = None
    problem: str = ""


async def query_all(
    addresses: Sequence[str], path: str, *, timeout: float = DAEMON_TIMEOUT_SECONDS
) -> list[DaemonResponse]:
    """Return the response of each daemon to ``GET path``, in the order of addresses."""
    async with _open_session(timeout) as session:
        tasks = [
            _send_request(session, "GET", address, path, None) for address in addresses
        ]
        return list(await asyncio.gather(*tasks))


async def offer_to_all(
    addresses: Sequence[str],
    delta_object: bytes,
    *,
    timeout: float = DAEMON_TIMEOUT_SECONDS,
) -> list[DaemonResponse]:
    """Post a delta object to each daemon and return the responses in order."""
    async with _open_session(timeout) as session:
        tasks = [
            _send_request(session, "POST", address, "/config/offer", delta_object)
            for address in addresses
        ]
        return list(await asyncio.gather(*tasks))


def get_nested(value: Any, *names: str) -> Any:
    """Return a member of nested JSON objects, or None if any part is missing."""
    for name in names:
        if not isinstance(value, dict):
            return None
        value = value.get(name)
    return value


def get_objects(value: Any, *names: str) -> list[dict[str, Any]]:
    """Return the objects in a nested list; empty if it is missing or not a list."""
    member = get_nested(value, *names)
    if not isinstance(member, list):
        return []
    return [item for item in member if isinstance(item, dict)]


def _open_session(timeout: float) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=timeout))


async def _send_request(
    session: aiohttp.ClientSession,
    method: str,
    address: str,
    path: str,
    body: bytes | None,
) -> DaemonResponse:
    """Send one request to a daemon; a failure becomes ``problem``."""
    try:
        url = f"http://{address}{path}"
        async with session.request(method, url, data=body) as response:
            data = await _read_body(response)
            status = response.status
    except TimeoutError:
        return DaemonResponse(address=address, problem="no response before the timeout")
    except aiohttp.ClientConnectorError as error:
        reason = os.strerror(error.errno) if error.errno else "unknown host"
        return DaemonResponse(address=address, problem=f"no connection ({reason})")
    except (aiohttp.ClientError, OSError) as error:
        return DaemonResponse(address=address, problem=f"no connection ({error})")
    if status >= 300:
        detail = f": {data[:200].decode(errors='replace')}" if data else ""
        return DaemonResponse(
            address=address, problem=f"responded with {status}{detail}"
        )
    if method == "POST":
        return DaemonResponse(address=address, value={})
    try:
        value = json.loads(data)
    except (ValueError, RecursionError):
        value = None
    if not isinstance(value, dict):
        problem = "the response is not a JSON object; is this its admin address?"
        return DaemonResponse(address=address, problem=problem)
    return DaemonResponse(address=address, value=value)


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    """Return the body, or raise ``ClientPayloadError`` if it is too large."""
    received = bytearray()
    async for chunk in response.content.iter_chunked(1 << 16):
        received += chunk
        if len(received) > MAX_RESPONSE_BYTES:
            raise aiohttp.ClientPayloadError("the response is too large")
    return bytes(received)
