"""HTTP client of the daemons' admin addresses.

Answers are taken as they come: a daemon may be older or newer than the command
line, so absent members read as unknown and never as an error.
"""

import asyncio
import json
import os
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import aiohttp

# Bytes of an answer; a status of 2,800 daemons takes well below this.
MAX_ANSWER_BYTES = 8 << 20

# Seconds; daemons answer from memory, so a longer wait only delays the command.
DAEMON_TIMEOUT = 3.0


@dataclass(frozen=True, slots=True, kw_only=True)
class DaemonAnswer:
    """The JSON object that a daemon answered, or the problem of asking it."""

    address: str
    value: dict[str, Any] | None = None
    problem: str = ""


async def ask_all(
    addresses: Sequence[str], path: str, *, timeout: float = DAEMON_TIMEOUT
) -> list[DaemonAnswer]:
    """Return the answer of each daemon to ``GET path``, in the order of addresses."""
    async with _session(timeout) as session:
        tasks = [_ask(session, "GET", address, path, None) for address in addresses]
        return list(await asyncio.gather(*tasks))


async def offer_to_all(
    addresses: Sequence[str], delta_object: bytes, *, timeout: float = DAEMON_TIMEOUT
) -> list[DaemonAnswer]:
    """Hand a delta object to each daemon."""
    async with _session(timeout) as session:
        tasks = [
            _ask(session, "POST", address, "/config/offer", delta_object)
            for address in addresses
        ]
        return list(await asyncio.gather(*tasks))


def dig(value: Any, *names: str) -> Any:
    """Return a member of nested objects, None if it is absent at any depth."""
    for name in names:
        if not isinstance(value, dict):
            return None
        value = value.get(name)
    return value


def dig_list(value: Any, *names: str) -> list[dict[str, Any]]:
    """Return the objects of a list member, none if it is absent or not a list."""
    found = dig(value, *names)
    if not isinstance(found, list):
        return []
    return [item for item in found if isinstance(item, dict)]


def _session(timeout: float) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=timeout))


async def _ask(
    session: aiohttp.ClientSession,
    method: str,
    address: str,
    path: str,
    body: bytes | None,
) -> DaemonAnswer:
    try:
        url = f"http://{address}{path}"
        async with session.request(method, url, data=body) as response:
            data = await _read(response)
            status = response.status
    except TimeoutError:
        return DaemonAnswer(address=address, problem="no answer in time")
    except aiohttp.ClientConnectorError as error:
        reason = os.strerror(error.errno) if error.errno else "unknown host"
        return DaemonAnswer(address=address, problem=f"no connection ({reason})")
    except (aiohttp.ClientError, OSError) as error:
        return DaemonAnswer(address=address, problem=f"no connection ({error})")
    if status >= 300:
        detail = f": {data[:200].decode(errors='replace')}" if data else ""
        return DaemonAnswer(address=address, problem=f"answered {status}{detail}")
    if method == "POST":
        return DaemonAnswer(address=address, value={})
    try:
        value = json.loads(data)
    except (ValueError, RecursionError):
        value = None
    if not isinstance(value, dict):
        problem = "answered what is not JSON; is this its admin address?"
        return DaemonAnswer(address=address, problem=problem)
    return DaemonAnswer(address=address, value=value)


async def _read(response: aiohttp.ClientResponse) -> bytes:
    chunks = bytearray()
    async for chunk in response.content.iter_chunked(1 << 16):
        chunks += chunk
        if len(chunks) > MAX_ANSWER_BYTES:
            raise aiohttp.ClientPayloadError("the answer is too large")
    return bytes(chunks)
