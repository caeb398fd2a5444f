"""Recorded answers of claims: in the row up to 64 KiB, as an object up to 1 MiB."""

from dataclasses import replace
from enum import Enum

from .. import metrics
from ..clock import Clock
from .claimrows import (
    MAX_ANSWER_IN_ROW,
    MAX_RECORDED_ANSWER,
    ClaimRow,
    RecordedAnswer,
    StoredAnswer,
    digest_of,
    object_name_of,
)
from .store import Store, StoreFailure

# Times one write is sent before the caller gives up; a third one settles a fence
# that was lost as well.
WRITE_ATTEMPTS = 4
RETRY_PAUSE = 0.05  # seconds before the second write, doubled for each further one


class AnswerGap(Enum):
    """Why an executed call cannot be answered again; the value tells the caller."""

    TOO_LARGE = "the call was executed; its answer was too large to be recorded"
    UNREADABLE = "the call was executed; its answer cannot be read at present"
    DAMAGED = "the call was executed; its recorded answer is lost or damaged"


async def store_answer(
    store: Store, clock: Clock, row: ClaimRow, answer: RecordedAnswer
) -> StoredAnswer | None | StoreFailure:
    """Return what the row records of ``answer``; None if it is above 1 MiB."""
    size = len(answer.body)
    if size > MAX_RECORDED_ANSWER:
        metrics.CLAIMS.labels("answer_too_large").inc()
        return None
    stored = StoredAnswer(
        status=answer.status,
        headers=answer.headers,
        length=size,
        digest=digest_of(answer.body),
        body=answer.body,
        object_name=None,
    )
    if size <= MAX_ANSWER_IN_ROW:
        return stored
    # The object comes first: a row must never name an object that is missing.
    name = object_name_of(row.token, row.time)
    failure: StoreFailure | None = None
    for attempt in range(WRITE_ATTEMPTS):
        await pause_before(clock, attempt)
        failure = await store.put_object(name, answer.body)
        if failure is None:
            return replace(stored, body=None, object_name=name)
    metrics.CLAIMS.labels("answer_lost").inc()
    return failure


async def read_answer(
    store: Store, stored: StoredAnswer | None
) -> RecordedAnswer | AnswerGap:
    """Return the whole recorded answer, or why there is none."""
    if stored is None:
        return AnswerGap.TOO_LARGE
    body: bytes | None | StoreFailure = stored.body
    if stored.object_name is not None:
        body = await store.get_object(stored.object_name)
    if isinstance(body, StoreFailure):
        return AnswerGap.UNREADABLE
    if body is None or not stored.matches(body):
        return AnswerGap.DAMAGED
    return RecordedAnswer(status=stored.status, headers=stored.headers, body=body)


async def pause_before(clock: Clock, attempt: int) -> None:
    """Wait before a further attempt of a write, longer each time."""
    if attempt > 0:
        await clock.sleep(RETRY_PAUSE * 2 ** (attempt - 1))
