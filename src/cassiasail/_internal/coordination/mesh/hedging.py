"""A second copy of a safe request whose first one takes unusually long.

A target that has turned slow, or that ran a request and lost its answer, would
otherwise keep a request until its time is over. The copy is sent only where a slot is
free, so that it takes none from another request, and it spends the retry budget.
"""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from ...state.calls import HostOutcome, HostReply
from .balancing import Choice, HostView

# The copy is sent after this many times the expected time. Service times vary: with the
# spread of the users' sheets one request in 25 takes longer than that.
LONG_MEANS = 3.0
# Repeats left over for requests that fail; a copy is not sent below that.
BUDGET_RESERVE = 3.0
# Expected wait up to which a slot counts as free, in seconds.
FREE_SLOT_SECONDS = 0.005

# What a reply says of the request, the most telling first: a reply that it was not run
# must not hide one that it may have been.
_RANK_BY_OUTCOME = {
    HostOutcome.ANSWERED: 0,
    HostOutcome.FAILED: 1,
    HostOutcome.SHED: 2,
    HostOutcome.REFUSED: 3,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Tried:
    """A reply and the VM that gave it."""

    view: HostView
    reply: HostReply

    @property
    def good(self) -> bool:
        """Whether the reply is an answer that goes to the client."""
        answer = self.reply.answer
        answered = self.reply.outcome is HostOutcome.ANSWERED
        return answered and answer is not None and answer.status < 500


Try = Coroutine[Any, Any, Tried]


def delay_of(choice: Choice) -> float:
    """Return the seconds after which a request at ``choice`` takes unusually long."""
    return choice.wait + LONG_MEANS * choice.seconds


async def until(running: "asyncio.Task[Tried]", seconds: float) -> bool:
    """Return whether ``running`` ends within ``seconds``; it is cancelled with us."""
    try:
        done, _ = await asyncio.wait({running}, timeout=max(0.0, seconds))
    except asyncio.CancelledError:
        running.cancel()
        raise
    return bool(done)


async def race(first: "asyncio.Task[Tried]", second: Try) -> list[Tried]:
    """Return the ends of both tries, the one to go by first.

    The first good answer ends the other try, whose end is then left out.
    """
    tasks = {first, asyncio.create_task(second)}
    ended: list[Tried] = []
    try:
        running = tasks
        while running and not any(tried.good for tried in ended):
            done, running = await asyncio.wait(
                running, return_when=asyncio.FIRST_COMPLETED
            )
            ended += [task.result() for task in done]
    finally:
        for task in tasks:
            task.cancel()
    return sorted(ended, key=_rank)


def _rank(tried: Tried) -> tuple[bool, int]:
    return not tried.good, _RANK_BY_OUTCOME[tried.reply.outcome]
