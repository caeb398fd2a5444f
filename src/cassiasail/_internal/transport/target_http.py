"""HTTP client from the host daemon to the target beside it."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from ..coordination.permits import REASON_BY_OUTCOME, CallOutcome
from ..protocol import headers as names
from ..protocol.frames import MAX_INLINE_BODY_BYTES, CallHead
from ..protocol.responses import Body, CallResponse
from ..state.refusals import Executed, Refusal, RefusalReason

# Time to open a connection to a target on the same VM, in seconds.
CONNECT_TIMEOUT = 1.0
KEEP_ALIVE = 30.0  # seconds
UNSENT_OUTCOMES = frozenset((CallOutcome.CONNECT_REFUSED, CallOutcome.CONNECT_FAILED))
_SKIPPED = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetFailure:
    """A call without an answer of the target."""

    outcome: CallOutcome
    detail: str

    @property
    def refusal(self) -> Refusal:
        """Return the refusal for the caller.

        Only a connection that was never opened is certain not to have carried the
        call.
        """
        unsent = self.outcome in UNSENT_OUTCOMES
        return Refusal(
            reason=REASON_BY_OUTCOME[self.outcome],
            executed=Executed.NO if unsent else Executed.UNKNOWN,
            detail=self.detail,
        )


class TargetClient:
    """Sends calls to targets and returns their answers.

    Non-idempotent calls use a fresh connection each: on a reused one the target may
    have closed it just before, and the call would end with an unknown outcome.
    """

    def __init__(self) -> None:
        self._reusing = _session(force_close=False)
        self._fresh = _session(force_close=True)

    async def close(self) -> None:
        """Close all connections."""
        await self._reusing.close()
        await self._fresh.close()

    async def send(
        self, address: str, head: CallHead, body: Body, remaining: float
    ) -> CallResponse | TargetFailure:
        """Send one call; ``remaining`` is the time in seconds for its whole answer."""
        session = self._reusing if head.idempotent else self._fresh
        end = asyncio.get_running_loop().time() + remaining
        try:
            async with asyncio.timeout_at(end):
                response = await session.request(
                    head.method,
                    URL(f"http://{address}{head.path}", encoded=True),
                    headers=_request_headers(head, remaining),
                    data=_request_body(body),
                    allow_redirects=False,
                )
                return await _answer(response, head.method, end)
        except aiohttp.ClientConnectorError as error:
            refused = isinstance(error.os_error, ConnectionRefusedError)
            return _failure(
                CallOutcome.CONNECT_REFUSED if refused else CallOutcome.CONNECT_FAILED,
                error,
            )
        except aiohttp.ConnectionTimeoutError as error:
            return _failure(CallOutcome.CONNECT_FAILED, error)
        except TimeoutError as error:
            return _failure(CallOutcome.TIMED_OUT, error)
        except aiohttp.ClientResponseError as error:
            return _failure(CallOutcome.MALFORMED, error)
        except (aiohttp.ClientError, OSError) as error:
            return _failure(CallOutcome.RESET, error)


class _ResponseBody:
    """The body of a target's answer, read as it arrives.

    ``end`` is the deadline in loop time. The in-flight permit of the call ends with
    it, so an answer that takes longer must not go on.
    """

    def __init__(self, *, response: aiohttp.ClientResponse, end: float) -> None:
        self._response = response
        self._end = end

    async def read(self) -> bytes | None | Refusal:
        try:
            async with asyncio.timeout_at(self._end):
                part = await self._response.content.readany()
        except TimeoutError:
            self._response.close()
            return Refusal(
                reason=RefusalReason.DEADLINE_EXCEEDED,
                executed=Executed.UNKNOWN,
                detail="the answer was not complete by the deadline",
            )
        except (aiohttp.ClientError, OSError) as error:
            return Refusal(
                reason=RefusalReason.SHORT_BODY,
                executed=Executed.UNKNOWN,
                detail=str(error),
            )
        return part or None

    def close(self) -> None:
        if not self._response.content.at_eof():
            self._response.close()


def _session(*, force_close: bool) -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(
        limit=0,
        force_close=force_close,
        keepalive_timeout=None if force_close else KEEP_ALIVE,
        use_dns_cache=False,
    )
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=_SKIPPED,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT),
    )
    # By default the library sends GET, PUT, DELETE and others again after a reset. A
    # non-idempotent call would run twice, a crash would hide behind the refused
    # connection of the second sending, and that refusal would say "not executed".
    session._retry_connection = False
    return session


async def _answer(
    response: aiohttp.ClientResponse, method: str, end: float
) -> CallResponse:
    length = response.content_length
    # Some answers announce the length of a body that they do not carry.
    if method == "HEAD" or response.status in (204, 304):
        response.release()
        return CallResponse(
            status=response.status,
            headers=names.end_to_end(response.headers.items()),
            body_length=length,
            body=b"",
        )
    body: Body = _ResponseBody(response=response, end=end)
    if length is not None and length <= MAX_INLINE_BODY_BYTES:
        body = await response.read()
    return CallResponse(
        status=response.status,
        headers=names.end_to_end(response.headers.items()),
        body_length=length,
        body=body,
    )


def _request_headers(head: CallHead, remaining: float) -> CIMultiDict[str]:
    headers: CIMultiDict[str] = CIMultiDict(head.headers)
    headers[names.DEADLINE] = str(max(1, int(remaining * 1000)))
    headers[names.ATTEMPT] = str(head.attempt)
    headers[names.DEPTH] = str(head.depth + 1)
    headers[names.CUSTOMER] = head.customer
    if head.body_length is not None and (head.body_length or head.method == "POST"):
        headers["Content-Length"] = str(head.body_length)
    return headers


def _request_body(body: Body) -> bytes | AsyncIterator[bytes] | None:
    if isinstance(body, bytes):
        return body or None
    return _parts(body)


async def _parts(body: Body) -> AsyncIterator[bytes]:
    assert not isinstance(body, bytes)
    while True:
        part = await body.read()
        if part is None:
            return
        if isinstance(part, Refusal):
            # Raising makes the client close the connection, so that the target
            # sees a cut request and not a complete one.
            raise aiohttp.ClientPayloadError(part.reason.value)
        yield part


def _failure(outcome: CallOutcome, error: BaseException) -> TargetFailure:
    return TargetFailure(outcome=outcome, detail=str(error) or type(error).__name__)
