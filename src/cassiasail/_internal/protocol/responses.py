"""Responses and bodies of calls, whole or read in parts."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum
from typing import Protocol

from ..state.refusals import Refusal
from ..state.targets import LoadReport
from .frames import Headers


class BodyReader(Protocol):
    """A body that is received in parts."""

    async def read(self) -> bytes | None | Refusal:
        """Return the next part, None after the last one.

        A refusal means that the body was truncated, and has the reason.
        """

    def close(self) -> None:
        """Stop reading and have the sender stop too."""


Body = bytes | BodyReader


@dataclass(frozen=True, slots=True, kw_only=True)
class CallResponse:
    """The response of a target.

    ``body_length`` is the announced length of the body, None if there is none.
    """

    status: int
    headers: Headers
    body_length: int | None
    body: Body
    load_report: LoadReport | None = None


def close_body(body: Body) -> None:
    """Stop reading ``body`` if it is received in parts."""
    if not isinstance(body, bytes):
        body.close()


class BodyEnd(Enum):
    """How the reading of a body ended.

    COMPLETE: all of it was read. TRUNCATED: it ended early with a refusal. ABANDONED:
    the reader closed it.
    """

    COMPLETE = "complete"
    TRUNCATED = "cut"
    ABANDONED = "abandoned"


class ObservedBody:
    """A body that calls ``on_end`` once, when its reading has ended."""

    def __init__(self, *, body: BodyReader, on_end: Callable[[BodyEnd], None]) -> None:
        self._body = body
        self._on_end: Callable[[BodyEnd], None] | None = on_end

    async def read(self) -> bytes | None | Refusal:
        part = await self._body.read()
        if part is None:
            self._report_end(BodyEnd.COMPLETE)
        elif isinstance(part, Refusal):
            self._report_end(BodyEnd.TRUNCATED)
        return part

    def close(self) -> None:
        self._body.close()
        self._report_end(BodyEnd.ABANDONED)

    def _report_end(self, end: BodyEnd) -> None:
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end(end)


def observe_body_end(
    result: CallResponse | Refusal, on_end: Callable[[BodyEnd], None]
) -> CallResponse | Refusal:
    """Return ``result``, with ``on_end`` called once when the reading of its body ends.

    For a refusal or a body that is already whole it is called at once.
    """
    if isinstance(result, Refusal) or isinstance(result.body, bytes):
        on_end(BodyEnd.COMPLETE)
        return result
    return replace(result, body=ObservedBody(body=result.body, on_end=on_end))


async def read_body_up_to(response: CallResponse, limit: int) -> CallResponse | Refusal:
    """Return ``response`` with its body read whole if it has at most ``limit`` bytes.

    A longer body becomes a reader that starts with the parts read so far. If the body
    is truncated or shorter than announced, its refusal is returned.
    """
    if isinstance(response.body, bytes):
        return response
    parts: list[bytes] = []
    size = 0  # bytes
    while size <= limit:
        part = await response.body.read()
        if isinstance(part, Refusal):
            return part
        if part is None:
            return replace(response, body=b"".join(parts))
        parts.append(part)
        size += len(part)
    return replace(response, body=PrefixedBody(read_parts=parts, rest=response.body))


class PrefixedBody:
    """A body whose first parts have already been read from ``rest``."""

    def __init__(self, *, read_parts: list[bytes], rest: BodyReader) -> None:
        # Last part first, for pop().
        self._reversed_parts = list(reversed(read_parts))
        self._rest = rest

    async def read(self) -> bytes | None | Refusal:
        return (
            self._reversed_parts.pop()
            if self._reversed_parts
            else await self._rest.read()
        )

    def close(self) -> None:
        self._reversed_parts.clear()
        self._rest.close()
