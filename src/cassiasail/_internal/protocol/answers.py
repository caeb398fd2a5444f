"""Answers and bodies as the layers pass them on."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum
from typing import Protocol

from ..state.refusals import Refusal
from ..state.targets import LoadReport
from .frames import Headers


class BodyReader(Protocol):
    """A body that arrives in parts."""

    async def read(self) -> bytes | None | Refusal:
        """Return the next part, None after the last one, or why it was cut."""

    def close(self) -> None:
        """Give up on the rest; the sender is told to stop."""


Body = bytes | BodyReader


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """The answer of a target; ``body_length`` is None when not announced."""

    status: int
    headers: Headers
    body_length: int | None
    body: Body
    report: LoadReport | None = None


def close_body(body: Body) -> None:
    """Give up on the rest of a body, if it arrives in parts."""
    if not isinstance(body, bytes):
        body.close()


class BodyEnd(Enum):
    """How the reading of a body ended."""

    COMPLETE = "complete"
    CUT = "cut"
    ABANDONED = "abandoned"


class ObservedBody:
    """A body that reports once how its reading ended."""

    def __init__(self, *, body: BodyReader, on_end: Callable[[BodyEnd], None]) -> None:
        self._body = body
        self._on_end: Callable[[BodyEnd], None] | None = on_end

    async def read(self) -> bytes | None | Refusal:
        part = await self._body.read()
        if part is None:
            self._end(BodyEnd.COMPLETE)
        elif isinstance(part, Refusal):
            self._end(BodyEnd.CUT)
        return part

    def close(self) -> None:
        self._body.close()
        self._end(BodyEnd.ABANDONED)

    def _end(self, end: BodyEnd) -> None:
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end(end)


def observe_end(
    result: Answer | Refusal, on_end: Callable[[BodyEnd], None]
) -> Answer | Refusal:
    """Return ``result`` with ``on_end`` called once, when all of it was read."""
    if isinstance(result, Refusal) or isinstance(result.body, bytes):
        on_end(BodyEnd.COMPLETE)
        return result
    return replace(result, body=ObservedBody(body=result.body, on_end=on_end))


async def read_up_to(answer: Answer, limit: int) -> Answer | Refusal:
    """Return ``answer`` with its body read whole if it has at most ``limit`` bytes.

    A longer body is returned as a reader that starts with the parts read so far. A
    body that is cut, or shorter than announced, gives the refusal.
    """
    if isinstance(answer.body, bytes):
        return answer
    parts: list[bytes] = []
    size = 0
    while size <= limit:
        part = await answer.body.read()
        if isinstance(part, Refusal):
            return part
        if part is None:
            return replace(answer, body=b"".join(parts))
        parts.append(part)
        size += len(part)
    return replace(answer, body=PrefixedBody(parts=parts, rest=answer.body))


class PrefixedBody:
    """Parts that were read already, followed by the rest of their body."""

    def __init__(self, *, parts: list[bytes], rest: BodyReader) -> None:
        self._parts = list(reversed(parts))
        self._rest = rest

    async def read(self) -> bytes | None | Refusal:
        return self._parts.pop() if self._parts else await self._rest.read()

    def close(self) -> None:
        self._parts.clear()
        self._rest.close()
