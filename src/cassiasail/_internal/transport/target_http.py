"""HTTP client that dispatches calls from the host daemon to its target."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from ..coordination.permits import REASON_BY_OUTCOME, CallOutcome
from ..protocol import headers as header_names
from ..protocol.frames import MAX_INLINE_BODY_BYTES, CallHead
from ..protocol.responses import Body, CallResponse
from ..state import ranges
from ..state.refusals import Executed, Refusal, RefusalReason

# For a connection to a target on the same VM.
CONNECT_TIMEOUT_SECONDS = 1.0
KEEP_ALIVE_SECONDS = 30.0
# Outcomes of calls of which nothing was sent to the target.
UNSENT_OUTCOMES = frozenset((CallOutcome.CONNECT_REFUSED, CallOutcome.CONNECT_FAILED))
# Request headers that aiohttp would add to a call that does not have them.
_SKIPPED_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetFailure:
    """Why a dispatched call has no response of the target."""

    outcome: CallOutcome
    detail: str

    @property
    def refusal(self) -> Refusal:
        """Return the refusal for the caller.

        The call counts as not executed only if no connection was opened.
        """
        unsent = self.outcome in UNSENT_OUTCOMES
        return Refusal(
            reason=REASON_BY_OUTCOME[self.outcome],
            executed=Executed.NO if unsent else Executed.UNKNOWN,
            detail=self.detail,
        )


class TargetClient:
    """Dispatches calls to targets and returns their responses.

    Each non-idempotent call uses a new connection. The target may close a reused one
    just as the call is sent, which would leave the outcome of the call unknown.
    """

    def __init__(self) -> None:
        self._keep_alive_session = _open_session(force_close=False)
        self._single_use_session = _open_session(force_close=True)

    async def close(self) -> None:
        """Close all connections."""
        await self._keep_alive_session.close()
        await self._single_use_session.close()

    async def dispatch(
        self, address: str, head: CallHead, body: Body, remaining: float
    ) -> CallResponse | TargetFailure:
        """Dispatch a call; the whole response must arrive in ``remaining`` seconds."""
        session = (
            self._keep_alive_session if head.idempotent else self._single_use_session
        )
        deadline = asyncio.get_running_loop().time() + remaining
        try:
            async with asyncio.timeout_at(deadline):
                response = await session.request(
                    head.method,
                    URL(f"http://{address}{head.path}", encoded=True),
                    headers=_request_headers(head, remaining),
                    data=_request_body(body),
                    allow_redirects=False,
                )
                ranges.http_status(response.status)
                return await _call_response(response, head.method, deadline)
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
        except ranges.OutOfRangeError as error:
            response.close()
            return _failure(CallOutcome.MALFORMED, error)
        except aiohttp.ClientResponseError as error:
            return _failure(CallOutcome.MALFORMED, error)
        except (aiohttp.ClientError, OSError) as error:
            return _failure(CallOutcome.RESET, error)


class _ResponseBody:
    """Streams the body of a target's response.

    ``deadline`` is in loop time. The in-flight permit of the call expires then, so the
    body is truncated if it is not complete by then.
    """

    def __init__(self, *, response: aiohttp.ClientResponse, deadline: float) -> None:
        self._response = response
        self._deadline = deadline

    async def read(self) -> bytes | None | Refusal:
        try:
            async with asyncio.timeout_at(self._deadline):
                part = await self._response.content.readany()
        except TimeoutError:
            self._response.close()
            return Refusal(
                reason=RefusalReason.DEADLINE_EXCEEDED,
                executed=Executed.UNKNOWN,
                detail="the response was not complete by the deadline",
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


def _open_session(*, force_close: bool) -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(
        limit=0,
        force_close=force_close,
        keepalive_timeout=None if force_close else KEEP_ALIVE_SECONDS,
        use_dns_cache=False,
    )
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=_SKIPPED_AUTO_HEADERS,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_SECONDS),
    )
    # By default aiohttp retries GET, PUT, DELETE and others after a connection reset. A
    # non-idempotent call would run twice. After a crash the closed port would refuse
    # the retry, which would hide the crash and report the call as not executed.
    session._retry_connection = False
    return session


async def _call_response(
    response: aiohttp.ClientResponse, method: str, deadline: float
) -> CallResponse:
    length = response.content_length
    # These responses have no body, even if they have a Content-Length.
    if method == "HEAD" or response.status in (204, 304):
        response.release()
        return CallResponse(
            status=response.status,
            headers=header_names.end_to_end(response.headers.items()),
            body_length=length,
            body=b"",
        )
    body: Body = _ResponseBody(response=response, deadline=deadline)
    if length is not None and length <= MAX_INLINE_BODY_BYTES:
        body = await response.read()
    return CallResponse(
        status=response.status,
        headers=header_names.end_to_end(response.headers.items()),
        body_length=length,
        body=body,
    )


def _request_headers(head: CallHead, remaining: float) -> CIMultiDict[str]:
    headers: CIMultiDict[str] = CIMultiDict(head.headers)
    headers[header_names.DEADLINE] = str(max(1, int(remaining * 1000)))
    headers[header_names.ATTEMPT] = str(head.attempt)
    headers[header_names.DEPTH] = str(head.depth + 1)
    headers[header_names.CUSTOMER] = head.customer
    if head.body_length is not None and (head.body_length or head.method == "POST"):
        headers["Content-Length"] = str(head.body_length)
    return headers


def _request_body(body: Body) -> bytes | AsyncIterator[bytes] | None:
    if isinstance(body, bytes):
        return body or None
    return _body_parts(body)


async def _body_parts(body: Body) -> AsyncIterator[bytes]:
    assert not isinstance(body, bytes)
    while True:
        part = await body.read()
        if part is None:
            return
        if isinstance(part, Refusal):
            # Raising makes the client close the connection, so that the target sees a
            # truncated request instead of a complete one.
            raise aiohttp.ClientPayloadError(part.reason.value)
        yield part


def _failure(outcome: CallOutcome, error: BaseException) -> TargetFailure:
    return TargetFailure(outcome=outcome, detail=str(error) or type(error).__name__)
