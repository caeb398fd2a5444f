"""Answers and bodies as the layers pass them on."""

from dataclasses import dataclass
from typing import Protocol

from ..state.refusals import Refusal
from .frames import Headers, LoadReport


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
