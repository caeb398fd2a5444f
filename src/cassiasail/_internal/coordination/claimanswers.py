"""Recorded responses of claims: in the row up to 64 KiB, as an object up to 1 MiB."""

from dataclasses import replace
from enum import Enum

from .. import metrics
from ..clock import Clock
from .claimrows import (
    MAX_RECORDED_RESPONSE,
    MAX_RESPONSE_IN_ROW,
    ClaimRow,
    RecordedResponse,
    StoredResponse,
    digest_of,
    object_name_of,
)
from .store import Store, StoreFailure

# Times one write is sent before its caller gives up. If the response to the first one
# is lost, the second one fences it; a third one is needed if the response to that
# fencing write is lost as well.
WRITE_ATTEMPTS = 4
FIRST_RETRY_PAUSE = 0.05  # seconds before the second write, doubled for each later one


class ReplayFailure(Enum):
    """Why the response of an executed call cannot be replayed.

    The value is sent to the caller as the detail of the refusal.
    """

    TOO_LARGE = "the call was executed; its answer was too large to be recorded"
    UNREADABLE = "the call was executed; its answer cannot be read at present"
    DAMAGED = "the call was executed; its recorded answer is lost or damaged"


async def store_response(
    store: Store, clock: Clock, row: ClaimRow, response: RecordedResponse
) -> StoredResponse | None | StoreFailure:
    """Return what the claim row is to contain; None if the body is above 1 MiB.

    A body above 64 KiB is written as an object of the store. The claim row itself is
    written by the caller.
    """
    size = len(response.body)
    if size > MAX_RECORDED_RESPONSE:
        metrics.CLAIMS.labels("answer_too_large").inc()
        return None
    stored = StoredResponse(
        status=response.status,
        headers=response.headers,
        length=size,
        digest=digest_of(response.body),
        body=response.body,
        object_name=None,
    )
    if size <= MAX_RESPONSE_IN_ROW:
        return stored
    # Written before the row, so that a row never names an object that is missing.
    name = object_name_of(row.token, row.claimed_at)
    failure: StoreFailure | None = None
    for attempt in range(WRITE_ATTEMPTS):
        await sleep_before_retry(clock, attempt)
        failure = await store.put_object(name, response.body)
        if failure is None:
            return replace(stored, body=None, object_name=name)
    metrics.CLAIMS.labels("answer_lost").inc()
    return failure


async def read_response(
    store: Store, stored: StoredResponse | None
) -> RecordedResponse | ReplayFailure:
    """Return the complete recorded response, or why it cannot be replayed."""
    if stored is None:
        return ReplayFailure.TOO_LARGE
    body: bytes | None | StoreFailure = stored.body
    if stored.object_name is not None:
        body = await store.get_object(stored.object_name)
    if isinstance(body, StoreFailure):
        return ReplayFailure.UNREADABLE
    if body is None or not stored.matches(body):
        return ReplayFailure.DAMAGED
    return RecordedResponse(status=stored.status, headers=stored.headers, body=body)


async def sleep_before_retry(clock: Clock, attempt: int) -> None:
    """Sleep before ``attempt`` with exponential backoff; attempt 0 starts at once."""
    if attempt > 0:
        await clock.sleep(FIRST_RETRY_PAUSE * 2 ** (attempt - 1))
