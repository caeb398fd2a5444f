"""Limits that a call carries in its headers, and the decision whether to retry it.

When services call each other in a chain, only the lowest daemon that may retry a
refused call does so: it marks each refusal that it returns as ``retried``, and daemons
above it do not retry those. Together with retry budgets per service and customer this
keeps the load on a failing service at the end of the chain close to the load of the
original calls, however deep the chain is.
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Hashable
from dataclasses import dataclass, replace
from enum import Enum
from random import Random

from .. import metrics
from ..clock import Clock
from ..ids import CustomerId, ServiceName
from ..state.refusals import Executed, Refusal, RefusalReason

# Default limit of a call's deadline. It is also the validity of in-flight permits: when
# the owner of a quota shard is unreachable, its permits expire after this time.
MAX_DEADLINE_SECONDS = 10.0
# Chains of services are up to 20 calls deep. A call a little deeper than that is
# refused, because it probably comes from services that call each other in a loop.
MAX_CALL_DEPTH = 20 + 4
# Largest attempt number that a caller may send; it is stored in the claim row.
MAX_CALLER_ATTEMPT = 1_000_000

MAX_ATTEMPTS = 4  # of one daemon for one call, the first one included
BACKOFF_BASE_SECONDS = 0.01  # doubled with each retry
BACKOFF_MAX_SECONDS = 1.0
# A call on which two targets failed may have crashed them. It is not sent to a third
# one, because the crash notice of the first may not have reached its host daemon yet.
MAX_TARGET_FAILURES = 2

BUDGET_WINDOW_SECONDS = 10
BUDGET_RETRY_RATIO = 0.1  # retries per call in the window
# Retries allowed beyond the ratio, with a burst of 1 s.
BUDGET_MIN_RETRIES_PER_SECOND = 3.0
# Customers and services with a budget; the least recently used is evicted first.
MAX_BUDGET_KEYS = 4096

# Reasons that may not apply to another target, or to the same target a little later.
RETRYABLE_REASONS = frozenset(
    (
        RefusalReason.TARGET_GONE,
        RefusalReason.DRAINING,
        RefusalReason.SHED,
        RefusalReason.QUEUE_FULL,
        RefusalReason.WOULD_MISS_DEADLINE,
        RefusalReason.CONNECT_FAILED,
        RefusalReason.PEER_LOST,
        RefusalReason.TARGET_FAILED,
        RefusalReason.SHORT_BODY,
    )
)


class DeniedReason(Enum):
    """Why a refused call is not retried; the value is the metric label."""

    NOT_RETRYABLE = "not_retryable"
    MAY_HAVE_RUN = "may_have_run"
    # The body of the call was streamed, so that it cannot be sent again.
    ANSWER_STARTED = "answer_started"
    ALREADY_RETRIED = "already_retried"
    # The call had MAX_ATTEMPTS attempts or MAX_TARGET_FAILURES failures.
    TRIES = "tries"
    DEADLINE = "deadline"
    SERVICE_BUDGET = "service_budget"
    CUSTOMER_BUDGET = "customer_budget"


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryAfter:
    """Decision to retry the call after ``seconds``."""

    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryDenied:
    """Decision not to retry the call."""

    reason: DeniedReason


@dataclass(frozen=True, slots=True, kw_only=True)
class CallLimits:
    """Limits from the headers of a call.

    ``deadline`` is a point in time of the daemon's clock. ``caller_attempt`` numbers
    the caller's own attempts of the call from 1. ``depth`` counts the calls above this
    one in a chain of services.
    """

    deadline: float
    caller_attempt: int
    depth: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryCase:
    """A refused call for which a retry is to be decided.

    ``attempts`` is the number of attempts of this daemon, ``target_failures`` the
    number of those on which the target failed. ``body_streamed`` is set if the body of
    the call was forwarded in parts, so that there is no copy of it for a retry.
    ``expected_seconds`` is how long a response usually takes; a retry that would end
    after the deadline is denied, because it would only add load.
    """

    refusal: Refusal
    service: ServiceName
    customer: CustomerId
    attempts: int
    deadline: float
    idempotent: bool
    target_failures: int = 0
    body_streamed: bool = False
    expected_seconds: float = 0.0


def parse_limits(
    *,
    deadline_ms: str | None,
    attempt: str | None,
    depth: str | None,
    route_deadline: float,
    now: float,
    max_deadline: float = MAX_DEADLINE_SECONDS,
) -> CallLimits | Refusal:
    """Return the limits from the header values, or why the call is refused.

    A value is None if its header is absent. ``route_deadline`` is the default deadline
    of the route; ``max_deadline`` caps any deadline. Both are in seconds.
    ``parse_limits(deadline_ms="250", attempt=None, depth=None, route_deadline=2.0,
    now=100.0)`` gives a deadline of 100.25, attempt 1 and depth 0.
    """
    default_ms = int(route_deadline * 1000)
    milliseconds = _parse_decimal(deadline_ms, default_ms, minimum=0)
    attempt_number = _parse_decimal(attempt, 1, minimum=1)
    depth_number = _parse_decimal(depth, 0, minimum=0)
    if milliseconds is None or attempt_number is None or depth_number is None:
        return _refuse(
            RefusalReason.MALFORMED,
            "send deadline, attempt and depth as whole numbers in decimal digits",
        )
    if attempt_number > MAX_CALLER_ATTEMPT:
        return _refuse(
            RefusalReason.MALFORMED, f"attempt is above {MAX_CALLER_ATTEMPT}"
        )
    if depth_number > MAX_CALL_DEPTH:
        detail = f"call depth is {depth_number}; check for a loop between services"
        return _refuse(RefusalReason.TOO_DEEP, detail)
    if milliseconds == 0:
        detail = "the deadline had passed when the call arrived"
        return _refuse(RefusalReason.DEADLINE_EXCEEDED, detail)
    seconds = min(milliseconds / 1000, max_deadline)
    return CallLimits(
        deadline=now + seconds, caller_attempt=attempt_number, depth=depth_number
    )


class RetryBudget:
    """Limits the retries of each key, which is a service or a customer.

    Allowed are retries for 10% of the calls of the last 10 s, plus 3 a second.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._window_by_key: OrderedDict[Hashable, _BudgetWindow] = OrderedDict()

    def count_first_attempt(self, key: Hashable) -> None:
        """Count the first attempt of a call."""
        self._window_of(key).calls += 1

    def allows(self, key: Hashable) -> bool:
        """Return whether one more retry is within the budget."""
        return self._window_of(key).allows()

    def spend(self, key: Hashable) -> None:
        """Charge a retry that ``allows`` permitted."""
        self._window_of(key).spend()

    def _window_of(self, key: Hashable) -> "_BudgetWindow":
        window = self._window_by_key.get(key)
        if window is None:
            window = self._window_by_key[key] = _BudgetWindow()
            if len(self._window_by_key) > MAX_BUDGET_KEYS:
                self._window_by_key.popitem(last=False)
        self._window_by_key.move_to_end(key)
        window.advance_to(self._clock.now())
        return window


class _BudgetWindow:
    """Calls and retries of one key in the window, and a token bucket beside them.

    The bucket allows the retries that are permitted whatever the number of calls.
    """

    __slots__ = (
        "_current_second",
        "_past_seconds",
        "calls",
        "refilled_at",
        "retries",
        "tokens",
    )

    def __init__(self) -> None:
        # Second, calls and retries of each past second of the window.
        self._past_seconds: deque[tuple[int, int, int]] = deque()
        self._current_second = 0
        # Sums over the window, the current second included.
        self.calls = 0
        self.retries = 0
        self.tokens = BUDGET_MIN_RETRIES_PER_SECOND
        self.refilled_at: float | None = None

    def allows(self) -> bool:
        return self._within_ratio() or self.tokens >= 1

    def spend(self) -> None:
        # Retries that are charged to the token bucket do not count against the ratio.
        if self._within_ratio():
            self.retries += 1
        else:
            self.tokens -= 1

    def advance_to(self, now: float) -> None:
        """Refill the token bucket and drop the seconds that left the window."""
        if self.refilled_at is None:
            self.refilled_at = now
        refill = (now - self.refilled_at) * BUDGET_MIN_RETRIES_PER_SECOND
        self.tokens = min(BUDGET_MIN_RETRIES_PER_SECOND, self.tokens + refill)
        self.refilled_at = now
        second = int(now)
        if second == self._current_second:
            return
        earlier_calls = sum(entry[1] for entry in self._past_seconds)
        earlier_retries = sum(entry[2] for entry in self._past_seconds)
        self._past_seconds.append(
            (
                self._current_second,
                self.calls - earlier_calls,
                self.retries - earlier_retries,
            )
        )
        self._current_second = second
        while (
            self._past_seconds
            and self._past_seconds[0][0] <= second - BUDGET_WINDOW_SECONDS
        ):
            _, calls, retries = self._past_seconds.popleft()
            self.calls -= calls
            self.retries -= retries

    def _within_ratio(self) -> bool:
        return self.retries + 1 <= BUDGET_RETRY_RATIO * self.calls


def full_jitter_backoff(
    rng: Random, *, base: float = BACKOFF_BASE_SECONDS, cap: float = BACKOFF_MAX_SECONDS
) -> Callable[[int], float]:
    """Return exponential backoff with full jitter.

    The returned function takes the number of attempts made and returns a delay in
    seconds. The delay is uniform from 0 to ``base * 2**(attempts - 1)``, at most
    ``cap``, so that calls refused at the same time are not retried at the same time.
    """

    def backoff(attempts: int) -> float:
        return rng.random() * min(cap, base * 2.0 ** min(attempts - 1, 30))

    return backoff


def make_retry_decider(
    *, clock: Clock, budget: RetryBudget, backoff: Callable[[int], float]
) -> Callable[[RetryCase], RetryAfter | RetryDenied]:
    """Return a function that decides whether and when a refused call is retried.

    A decision to retry has already been charged to the budgets of the service and of
    the customer.
    """

    def decide(case: RetryCase) -> RetryAfter | RetryDenied:
        denied = find_denying_rule(case)
        if denied is not None:
            return _deny(denied)
        # The refusal's retry-after is the least delay; the backoff adds jitter to it.
        seconds = (case.refusal.retry_after or 0.0) + backoff(case.attempts)
        if clock.now() + seconds + case.expected_seconds >= case.deadline:
            return _deny(DeniedReason.DEADLINE)
        service, customer = ("service", case.service), ("customer", case.customer)
        if not budget.allows(service):
            return _deny(DeniedReason.SERVICE_BUDGET)
        if not budget.allows(customer):
            return _deny(DeniedReason.CUSTOMER_BUDGET)
        budget.spend(service)
        budget.spend(customer)
        metrics.CALLS_RETRIED.labels(case.refusal.reason.value).inc()
        return RetryAfter(seconds=seconds)

    return decide


def count_first_attempt(
    budget: RetryBudget, service: ServiceName, customer: CustomerId
) -> None:
    """Count a call's first attempt in the budgets of its service and customer."""
    budget.count_first_attempt(("service", service))
    budget.count_first_attempt(("customer", customer))


def find_denying_rule(case: RetryCase) -> DeniedReason | None:
    """Return why the call must not be retried, regardless of deadline and budget."""
    if case.body_streamed:
        return DeniedReason.ANSWER_STARTED
    if case.refusal.retried:
        return DeniedReason.ALREADY_RETRIED
    if case.refusal.executed is not Executed.NO and not case.idempotent:
        return DeniedReason.MAY_HAVE_RUN
    if case.refusal.reason not in RETRYABLE_REASONS:
        return DeniedReason.NOT_RETRYABLE
    if case.attempts >= MAX_ATTEMPTS or case.target_failures >= MAX_TARGET_FAILURES:
        return DeniedReason.TRIES
    return None


def mark_retried(refusal: Refusal) -> Refusal:
    """Return the refusal with the mark that keeps daemons above from retrying it.

    Every refusal that is returned to a caller gets the mark, whatever the reason that
    denied the retry. If the budget of this daemon is used up, for example, retries of
    the daemons above would only reach the same targets.
    """
    return replace(refusal, retried=True)


def _deny(reason: DeniedReason) -> RetryDenied:
    metrics.RETRIES_DENIED.labels(reason.value).inc()
    return RetryDenied(reason=reason)


def _parse_decimal(value: str | None, default: int, *, minimum: int) -> int | None:
    """Return the number, the default if absent, or None if it is malformed."""
    if value is None:
        return default
    # int() would also accept signs, blanks, underscores and digits of other scripts.
    if not (value.isascii() and value.isdigit()) or len(value) > 12:
        return None
    number = int(value)
    return number if number >= minimum else None


def _refuse(reason: RefusalReason, detail: str) -> Refusal:
    return Refusal(reason=reason, executed=Executed.NO, detail=detail)
