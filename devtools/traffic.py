"""Mixed traffic of several customers against a layout, with an account of results."""

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

# Calls that a caller sends again, and how long it waits in between, in seconds.
RESENDS = 3
RESEND_PAUSE = 0.2


@dataclass(frozen=True, slots=True, kw_only=True)
class Stream:
    """Calls of one customer to one route at a steady rate in calls per second.

    ``work_ms`` is the time a call takes at the target, ``answer_bytes`` the length
    of its answer (0: a short JSON echo of the request).
    """

    customer: str
    service: str
    path: str
    rate: float
    is_order: bool = False
    work_ms: float = 5.0
    answer_bytes: int = 0


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
        # More than the plan allows, so that the allowance shows.
        Stream(
            customer="energy-office",
            service="outlook-svc",
            path="/reports/weekly",
            rate=30,
            work_ms=50,
            answer_bytes=200_000,
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
            answer_bytes=200_000,
        ),
    ),
}


@dataclass(slots=True, kw_only=True)
class Account:
    """Results of all calls; the counts add up to ``sent``."""

    sent: int = 0
    answered: int = 0
    resent: int = 0
    cut: int = 0
    wrong: int = 0
    # The entry daemon was gone before or while it answered.
    connection_lost: int = 0
    refused_by_reason: Counter[str] = field(default_factory=Counter)
    seconds: list[float] = field(default_factory=list)
    # Keys of orders whose last result was a refusal that says "not executed".
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
        self.account = Account()
        # Daemons that callers avoid, as a caller's resolver would while they are away.
        self.avoided: set[str] = set()

    async def run(self) -> None:
        """Send calls until ``stop``; return when all of them have a result."""
        timeout = aiohttp.ClientTimeout(total=15)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(timeout=timeout, connector=connector) as http:
            await asyncio.gather(*(self._pace(http, each) for each in self._streams))
            if self._tasks:
                await asyncio.wait(self._tasks)

    def stop(self) -> None:
        """Send no further calls."""
        self._stopping = True

    async def _pace(self, http: aiohttp.ClientSession, stream: Stream) -> None:
        while not self._stopping:
            await asyncio.sleep(self._rng.expovariate(stream.rate))
            task = asyncio.create_task(self._call(http, stream))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _call(self, http: aiohttp.ClientSession, stream: Stream) -> None:
        key = uuid.UUID(int=self._rng.getrandbits(128)).hex
        started = time.monotonic()
        result = "lost"
        for sending in range(1 + RESENDS):
            if sending:
                await asyncio.sleep(RESEND_PAUSE)
                self.account.resent += 1
            result = await self._send(http, stream, key, sending + 1)
            if result != "lost":
                break
        self.account.sent += 1
        if result == "answered":
            self.account.answered += 1
            self.account.seconds.append(time.monotonic() - started)
            self.account.answered_keys.add(key)
        elif result == "lost":
            self.account.connection_lost += 1
        elif result in ("cut", "wrong"):
            setattr(self.account, result, getattr(self.account, result) + 1)
        else:
            self.account.refused_by_reason[result] += 1
            if result.endswith("/no"):
                self.account.refused_keys.add(key)

    async def _send(
        self, http: aiohttp.ClientSession, stream: Stream, key: str, attempt: int
    ) -> str:
        choices = [vm for vm in self._layout.vms if vm.name not in self.avoided]
        url = f"http://{self._rng.choice(choices).http}/{stream.service}{stream.path}"
        headers = {
            "Cassiasail-Customer": stream.customer,
            "Cassiasail-Attempt": str(attempt),
            "Work-Ms": str(stream.work_ms),
        }
        method, body = "GET", b""
        if stream.answer_bytes:
            headers["Answer-Bytes"] = str(stream.answer_bytes)
        if stream.is_order:
            headers["Idempotency-Key"] = key
            method, body = "POST", key.encode()
        try:
            async with http.request(
                method, url, headers=headers, data=body or None
            ) as response:
                return _judge(stream, key, response, await response.read())
        except aiohttp.ClientPayloadError:
            return "cut"
        except (aiohttp.ClientError, TimeoutError):
            return "lost"


def _judge(
    stream: Stream, key: str, response: aiohttp.ClientResponse, data: bytes
) -> str:
    if response.content_type == "application/problem+json":
        problem = json.loads(data)
        return f"{problem['reason']}/{problem['executed']}"
    if response.status != 200:
        return "wrong"
    if stream.answer_bytes:
        return "answered" if len(data) == stream.answer_bytes else "cut"
    answer = json.loads(data)
    expected = key if stream.is_order else ""
    same = answer["path"] == stream.path and answer["echo"] == expected
    return "answered" if same else "wrong"
