"""Execution of each unsafe request at most once, however many copies of it arrive.

An unsafe request is identified by its attempt id. A second copy gets the result of the
first. If the first copy may have been executed without a result that is still known, a
second one is not executed and its outcome is reported as unknown.

Whether an unknown first copy may have been executed is not decided by times: the second
copy may have waited for any time in the socket of a daemon that stood still. It names
the start of the host daemon that was known when the first copy was sent, which can have
been received by that start or a later one only. It also has a number that rises with
each request of its entry daemon, from which a host daemon that has dropped results
knows whether the first copy may be among them.
"""

import asyncio
from collections.abc import Callable, Coroutine, Hashable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from ...awake_clock import AwakeClock
from ...events import EventLog
from ...ids import DaemonStart
from ...state.calls import (
    HostedRequest,
    HostOutcome,
    HostReason,
    HostReply,
    RequestNumber,
)
from ...state.kept_results import KEEP_RESULT_SECONDS, KeptResults
from .target_responses import refused

# An unsafe request in the queue is cancelled this long after the connection of its
# entry daemon was lost. A connected entry daemon retries sooner on a new connection.
RECONNECT_SECONDS = 0.3
# Starts of entry daemons whose highest dropped number is kept: the largest fleet, with
# some restarts of each daemon, in about a megabyte.
MAX_ENTRY_STARTS = 8192


class UnknownReason(Enum):
    """Why it is not known whether a first copy was executed; written to the log."""

    # It was sent to another start of this daemon.
    OTHER_START = "other_start"
    # It was executed here, and its result was too large to be kept for longer.
    RESULT_DROPPED = "result_dropped"
    # It may have been executed here longer ago than results are kept.
    EXECUTION_DROPPED = "execution_dropped"


@dataclass(slots=True, kw_only=True)
class UnsafeExecution:
    """Execution of one unsafe request, shared by all copies of it.

    ``waiters`` is the number of copies that wait for the result. ``task`` is None once
    the result was dropped. ``dispatched`` is set once a target may have received it.
    """

    task: "asyncio.Task[HostReply] | None" = None
    waiters: int = 0
    dispatched: bool = False


class DroppedNumbers:
    """The numbers of the requests whose executions were dropped, from above.

    Only the highest number of each entry daemon is kept. A request with that number or
    a lower one counts as dropped, also if it never arrived.
    """

    def __init__(self) -> None:
        self._highest_by_entry_start: dict[DaemonStart, int] = {}
        # Whether the number of an entry daemon was given up for that of another one.
        self._is_incomplete = False

    def add(self, number: RequestNumber) -> None:
        """Count the request with ``number`` as dropped."""
        highest = self._highest_by_entry_start.pop(number.entry_start, 0)
        self._highest_by_entry_start[number.entry_start] = max(highest, number.number)
        while len(self._highest_by_entry_start) > MAX_ENTRY_STARTS:
            oldest = next(iter(self._highest_by_entry_start))
            del self._highest_by_entry_start[oldest]
            self._is_incomplete = True

    def may_include(self, number: RequestNumber) -> bool:
        """Return whether the request with ``number`` may have been dropped."""
        highest = self._highest_by_entry_start.get(number.entry_start)
        if highest is None:
            return self._is_incomplete
        return number.number <= highest


class UnsafeExecutions:
    """The executions of unsafe requests at this daemon, by account and attempt id.

    No client gets the result of another account whose attempt id it uses.

    ``execute`` executes one request; it gets the execution to mark the dispatch in it.
    ``daemon_start`` identifies this start of the daemon.
    """

    def __init__(
        self,
        *,
        daemon_start: DaemonStart,
        execute: Callable[
            [HostedRequest, UnsafeExecution], Coroutine[Any, Any, HostReply]
        ],
        awake: AwakeClock,
        events: EventLog,
    ) -> None:
        self._daemon_start = daemon_start
        self._execute = execute
        self._awake = awake
        self._events = events
        self._loop = asyncio.get_running_loop()
        self._execution_by_key: dict[Hashable, UnsafeExecution] = {}
        self._kept_results = KeptResults(drop=self._drop_result)
        self._dropped_numbers = DroppedNumbers()

    async def execute(self, hosted: HostedRequest) -> HostReply:
        """Execute ``hosted``, or wait for the result of its first copy."""
        attempt_id = hosted.request.attempt_id
        execution = self._execution_by_key.get(_key_of(hosted))
        reason = self._find_unknown_reason(hosted, execution)
        if reason is not None:
            self._events.write(
                "resent_request_unknown",
                attempt=attempt_id,
                why=reason.value,
                first_sent_to=hosted.first_sent_to,
                daemon_start=self._daemon_start,
                resent_ms=int((hosted.resent_after or 0.0) * 1000),
            )
            return HostReply(outcome=HostOutcome.FAILED, reason=HostReason.PEER_LOST)
        if execution is None:
            execution = self._start(hosted)
        task = execution.task
        assert task is not None
        execution.waiters += 1
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if task.cancelled():
                return refused(HostReason.EXPIRED)
            raise
        finally:
            execution.waiters -= 1
            if not execution.waiters and not task.done():
                self._loop.call_later(
                    RECONNECT_SECONDS, self._cancel_if_abandoned, execution, task
                )

    def _find_unknown_reason(
        self, hosted: HostedRequest, execution: UnsafeExecution | None
    ) -> UnknownReason | None:
        """Return why the first copy may have run without a result, None if it has not.

        A first copy has none before it.
        """
        if execution is not None:
            return UnknownReason.RESULT_DROPPED if execution.task is None else None
        if hosted.resent_after is None:
            return None
        if hosted.first_sent_to != self._daemon_start:
            return UnknownReason.OTHER_START
        number = hosted.number
        if number is None or self._dropped_numbers.may_include(number):
            return UnknownReason.EXECUTION_DROPPED
        return None

    def _start(self, hosted: HostedRequest) -> UnsafeExecution:
        # The task needs ``execution`` before it starts, to mark the dispatch in it.
        execution = UnsafeExecution()
        task = execution.task = self._loop.create_task(self._execute(hosted, execution))
        # The callback must not hold the request with its body while the result is kept.
        key, number = _key_of(hosted), hosted.number
        self._execution_by_key[key] = execution
        task.add_done_callback(lambda _: self._keep_result(key, number, execution))
        return execution

    @staticmethod
    def _cancel_if_abandoned(
        execution: UnsafeExecution, task: "asyncio.Task[HostReply]"
    ) -> None:
        """Cancel a request that nobody waits for, unless it was dispatched."""
        if not execution.waiters and not execution.dispatched:
            task.cancel()

    def _keep_result(
        self, key: Hashable, number: RequestNumber | None, execution: UnsafeExecution
    ) -> None:
        """Keep the result of an execution for a while, or only that there was one."""
        task, size = execution.task, 0
        assert task is not None
        if not task.cancelled() and task.exception() is None:
            response = task.result().response
            size = len(response.body) if response is not None else 0
        self._kept_results.keep(key, size)
        self._awake.call_later(
            KEEP_RESULT_SECONDS, lambda: self._drop_execution(key, number)
        )

    def _drop_result(self, key: Hashable) -> None:
        self._execution_by_key[key].task = None

    def _drop_execution(self, key: Hashable, number: RequestNumber | None) -> None:
        self._kept_results.release(key)
        del self._execution_by_key[key]
        if number is not None:
            self._dropped_numbers.add(number)


def _key_of(hosted: HostedRequest) -> Hashable:
    return hosted.request.account, hosted.request.attempt_id
