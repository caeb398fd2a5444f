"""Sends mixed traffic of several customers to a layout and counts the results."""

import asyncio
import json
import random
import time
import uuid
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

import aiohttp

from .layouts import Layout

# Most retries of a call whose connection was lost, and the pause before each.
MAX_RETRIES = 3
RETRY_PAUSE_SECONDS = 0.2


@dataclass(frozen=True, slots=True, kw_only=True)
class Stream:
    """Calls of one customer to one route at a steady rate in calls per second.

    ``work_ms`` is the duration of a call at the target, ``response_bytes`` the length
    of its response (0: a short JSON echo of the call).
    """

    customer: str
    service: str
    path: str
    rate: float
    is_order: bool = False
    work_ms: float = 5.0
    response_bytes: int = 0


STREAMS_BY_LAYOUT: dict[str, tuple[Stream, ...]] = {
    "utility": (
        Stream(
            customer="harbour-dispatch",
            service="outlook-svc",
            path="/outlooks/ferry",
            rate=30,
        ),
        Stream(
            customer="harbour-dispatch",
            service="array-ctl",
            path="/orders/umgeni",
            rate=8,
            is_order=True,
        ),
        Stream(
            customer="grid-control",
            service="tide-svc",
            path="/windows/today",
            rate=30,
        ),
        # More than the plan allows, so that the allowance refuses some calls.
        Stream(
            customer="energy-office",
            service="outlook-svc",
            path="/reports/weekly",
            rate=30,
            work_ms=50,
            response_bytes=200_000,
        ),
    ),
    "foundation": (
        Stream(
            customer="site-inspectors",
            service="certificados",
            path="/filings/new",
            rate=8,
            is_order=True,
        ),
        Stream(
            customer="press-room",
            service="conteos",
            path="/bulletins/may",
            rate=50,
        ),
        Stream(
            customer="site-inspectors",
            service="conteos",
            path="/bulletins/may",
            rate=15,
        ),
        Stream(
            customer="mortgage-analysts",
            service="series",
            path="/downloads/all",
            rate=30,
            work_ms=50,
            response_bytes=200_000,
        ),
    ),
}


@dataclass(slots=True, kw_only=True)
class TrafficCounts:
    """Counts of call results; all but ``retries`` add up to ``sent``."""

    sent: int = 0
    answered: int = 0
    retries: int = 0
    truncated: int = 0
    wrong: int = 0
    # The connection to the entry daemon was lost before the response.
    connection_lost: int = 0
    refused_by_reason: Counter[str] = field(default_factory=Counter)
    # Time from the first attempt to the response of each answered call.
    seconds: list[float] = field(default_factory=list)
    # Keys of calls whose last result was a refusal with ``executed`` "no".
    refused_keys: set[str] = field(default_factory=set)
    answered_keys: set[str] = field(default_factory=set)


class Traffic:
    """Sends the streams of a layout to random daemons until stopped."""

    def __init__(
        self, *, layout: Layout, streams: Sequence[Stream], rng: random.Random
    ) -> None:
        self._layout = layout
        self._streams = streams
        self._rng = rng
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopping = False
        self.counts = TrafficCounts()
        # Names of VMs to which no calls are sent, as if a resolver had removed them.
        self.excluded: set[str] = set()

    async def run(self) -> None:
        """Send calls until ``stop``; return when each of them has a result."""
        timeout = aiohttp.ClientTimeout(total=15)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(timeout=timeout, connector=connector) as http:
            await asyncio.gather(
                *(self._send_stream(http, each) for each in self._streams)
            )
            if self._tasks:
                await asyncio.wait(self._tasks)

    def stop(self) -> None:
        """Stop sending new calls."""
        self._stopping = True

    async def _send_stream(self, http: aiohttp.ClientSession, stream: Stream) -> None:
        while not self._stopping:
            await asyncio.sleep(self._rng.expovariate(stream.rate))
            task = asyncio.create_task(self._send_call(http, stream))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send_call(self, http: aiohttp.ClientSession, stream: Stream) -> None:
        key = uuid.UUID(int=self._rng.getrandbits(128)).hex
        started = time.monotonic()
        result = "lost"
        for retry in range(1 + MAX_RETRIES):
            if retry:
                await asyncio.sleep(RETRY_PAUSE_SECONDS)
                self.counts.retries += 1
            result = await self._send_attempt(http, stream, key, retry + 1)
            if result != "lost":
                break
        self.counts.sent += 1
        if result == "answered":
            self.counts.answered += 1
            self.counts.seconds.append(time.monotonic() - started)
            self.counts.answered_keys.add(key)
        elif result == "lost":
            self.counts.connection_lost += 1
        elif result in ("truncated", "wrong"):
            setattr(self.counts, result, getattr(self.counts, result) + 1)
        else:
            self.counts.refused_by_reason[result] += 1
            if result.endswith("/no"):
                self.counts.refused_keys.add(key)

    async def _send_attempt(
        self, http: aiohttp.ClientSession, stream: Stream, key: str, attempt: int
    ) -> str:
        choices = [vm for vm in self._layout.vms if vm.name not in self.excluded]
        url = f"http://{self._rng.choice(choices).http}/{stream.service}{stream.path}"
        headers = {
            "Cassiasail-Customer": stream.customer,
            "Cassiasail-Attempt": str(attempt),
            "Work-Ms": str(stream.work_ms),
        }
        method, body = "GET", b""
        if stream.response_bytes:
            headers["Answer-Bytes"] = str(stream.response_bytes)
        if stream.is_order:
            headers["Idempotency-Key"] = key
            method, body = "POST", key.encode()
        try:
            async with http.request(
                method, url, headers=headers, data=body or None
            ) as response:
                return _classify(stream, key, response, await response.read())
        except aiohttp.ClientPayloadError:
            return "truncated"
        except (aiohttp.ClientError, TimeoutError):
            return "lost"


def _classify(
    stream: Stream, key: str, response: aiohttp.ClientResponse, data: bytes
) -> str:
    if response.content_type == "application/problem+json":
        problem = json.loads(data)
        return f"{problem['reason']}/{problem['executed']}"
    if response.status != 200:
        return "wrong"
    if stream.response_bytes:
        return "answered" if len(data) == stream.response_bytes else "truncated"
    echoed = json.loads(data)
    expected = key if stream.is_order else ""
    matches = echoed["path"] == stream.path and echoed["echo"] == expected
    return "answered" if matches else "wrong"
