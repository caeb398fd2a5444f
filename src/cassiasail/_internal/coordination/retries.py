"""Deadlines, attempts and depth of a call, and whether it is sent again.

A call is retried only by the lowest layer that may do so: every refusal that leaves
that layer is marked ``retried``. Together with budgets per service and customer this
keeps the load of a failing leaf near the load of its callers at any depth.
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

MAX_DEADLINE = 10.0  # seconds; in-flight permits of a lost owner expire after it
# Calls are up to 20 deep; a loop is cut a little above.
MAX_DEPTH = 20 + 4
MAX_ATTEMPT = 1_000_000  # bounds what a caller may write into claim rows

MAX_TRIES = 4  # dispatches of one call by one daemon, the first one included
BACKOFF_BASE = 0.01  # seconds, doubled with each retry
BACKOFF_CAP = 1.0  # seconds
# A request that two targets failed on may be the cause; the notice of the first death
# may still be on its way to the host of a third target.
MAX_FAILURES = 2

BUDGET_WINDOW = 10  # seconds
BUDGET_SHARE = 0.1  # retries per call in the window
BUDGET_MINIMUM = 3.0  # retries per second beyond the share, with a burst of 1 s
MAX_BUDGET_KEYS = 4096  # customers and services remembered, the idlest go first

# Refusals that another target, or the same one a little later, may not repeat.
RETRYABLE = frozenset(
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
    """Why a refused call is not sent again; the value is the metric label."""

    NOT_RETRYABLE = "not_retryable"
    MAY_HAVE_RUN = "may_have_run"
    ANSWER_STARTED = "answer_started"
    ALREADY_RETRIED = "already_retried"
    TRIES = "tries"
    DEADLINE = "deadline"
    SERVICE_BUDGET = "service_budget"
    CUSTOMER_BUDGET = "customer_budget"


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryAfter:
    """Send the call again after ``seconds``."""

    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Denied:
    """Do not send the call again."""

    reason: DeniedReason


@dataclass(frozen=True, slots=True, kw_only=True)
class CallLimits:
    """What the headers of a call allow; ``deadline`` is a time of the clock."""

    deadline: float
    attempt: int
    depth: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryCase:
    """A refused call at the point of the decision.

    ``tries`` counts dispatches made by this daemon, ``failures`` those among them that
    ended with a failure of the target. ``expected_seconds`` is how long an answer
    usually takes; a retry that cannot end in time is not worth its load.
    """

    refusal: Refusal
    service: ServiceName
    customer: CustomerId
    tries: int
    deadline: float
    idempotent: bool
    failures: int = 0
    answer_started: bool = False
    expected_seconds: float = 0.0


def parse_limits(
    *,
    deadline_ms: str | None,
    attempt: str | None,
    depth: str | None,
    route_deadline: float,
    now: float,
    max_deadline: float = MAX_DEADLINE,
) -> CallLimits | Refusal:
    """Return the limits from the header values, None where a header is absent.

    ``parse_limits(deadline_ms="250", attempt=None, depth=None, route_deadline=2.0,
    now=100.0)`` gives a deadline of 100.25, attempt 1 and depth 0.
    """
    default_ms = int(route_deadline * 1000)
    milliseconds = _whole(deadline_ms, default_ms, low=0)
    attempt_number = _whole(attempt, 1, low=1)
    depth_number = _whole(depth, 0, low=0)
    if milliseconds is None or attempt_number is None or depth_number is None:
        return _refusal(
            RefusalReason.MALFORMED,
            "send deadline, attempt and depth as whole numbers in decimal digits",
        )
    if attempt_number > MAX_ATTEMPT:
        return _refusal(RefusalReason.MALFORMED, f"attempt is above {MAX_ATTEMPT}")
    if depth_number > MAX_DEPTH:
        detail = f"the call is {depth_number} deep; look for a loop between services"
        return _refusal(RefusalReason.TOO_DEEP, detail)
    if milliseconds == 0:
        detail = "no time was left on arrival"
        return _refusal(RefusalReason.DEADLINE_EXCEEDED, detail)
    seconds = min(milliseconds / 1000, max_deadline)
    return CallLimits(
        deadline=now + seconds, attempt=attempt_number, depth=depth_number
    )


class RetryBudget:
    """Retries allowed per key: 10% of the calls of the last 10 s, plus 3 a second."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._account_by_key: OrderedDict[Hashable, _Account] = OrderedDict()

    def count_call(self, key: Hashable) -> None:
        """Count a first dispatch."""
        self._account(key).calls += 1

    def allows(self, key: Hashable) -> bool:
        """Return whether one more retry is within the budget."""
        return self._account(key).allows()

    def take(self, key: Hashable) -> None:
        """Count a retry that ``allows`` permitted."""
        self._account(key).take()

    def _account(self, key: Hashable) -> "_Account":
        account = self._account_by_key.get(key)
        if account is None:
            account = self._account_by_key[key] = _Account()
            if len(self._account_by_key) > MAX_BUDGET_KEYS:
                self._account_by_key.popitem(last=False)
        self._account_by_key.move_to_end(key)
        account.move_to(self._clock.now())
        return account


class _Account:
    """Calls and retries of one key by second, and the minimum's token bucket."""

    __slots__ = ("_past", "_second", "calls", "refilled_at", "retries", "tokens")

    def __init__(self) -> None:
        self._past: deque[tuple[int, int, int]] = deque()
        self._second = 0
        # Sums over the window, the running second included.
        self.calls = 0
        self.retries = 0
        self.tokens = BUDGET_MINIMUM
        self.refilled_at: float | None = None

    def allows(self) -> bool:
        return self._within_share() or self.tokens >= 1

    def take(self) -> None:
        # Retries paid by tokens do not count against the share.
        if self._within_share():
            self.retries += 1
        else:
            self.tokens -= 1

    def move_to(self, now: float) -> None:
        if self.refilled_at is None:
            self.refilled_at = now
        gained = (now - self.refilled_at) * BUDGET_MINIMUM
        self.tokens = min(BUDGET_MINIMUM, self.tokens + gained)
        self.refilled_at = now
        second = int(now)
        if second == self._second:
            return
        past_calls = sum(item[1] for item in self._past)
        past_retries = sum(item[2] for item in self._past)
        self._past.append(
            (self._second, self.calls - past_calls, self.retries - past_retries)
        )
        self._second = second
        while self._past and self._past[0][0] <= second - BUDGET_WINDOW:
            _, calls, retries = self._past.popleft()
            self.calls -= calls
            self.retries -= retries

    def _within_share(self) -> bool:
        return self.retries + 1 <= BUDGET_SHARE * self.calls


def full_jitter(
    rng: Random, *, base: float = BACKOFF_BASE, cap: float = BACKOFF_CAP
) -> Callable[[int], float]:
    """Return a function from the number of tries made to a random pause in seconds.

    The pause is uniform from 0 to ``base * 2**(tries - 1)``, at most ``cap``, so that
    calls refused together do not come back together.
    """

    def pause(tries: int) -> float:
        return rng.random() * min(cap, base * 2.0 ** min(tries - 1, 30))

    return pause


def make_decider(
    *, clock: Clock, budget: RetryBudget, pause: Callable[[int], float]
) -> Callable[[RetryCase], RetryAfter | Denied]:
    """Return ``decide``, which says whether and when a refused call is sent again.

    A positive decision has already taken its share of the budgets.
    """

    def decide(case: RetryCase) -> RetryAfter | Denied:
        denied = rule_against(case)
        if denied is not None:
            return _deny(denied)
        # A hint of the refusing side is a lower bound, spread by the jitter.
        seconds = (case.refusal.retry_after or 0.0) + pause(case.tries)
        if clock.now() + seconds + case.expected_seconds >= case.deadline:
            return _deny(DeniedReason.DEADLINE)
        service, customer = ("service", case.service), ("customer", case.customer)
        if not budget.allows(service):
            return _deny(DeniedReason.SERVICE_BUDGET)
        if not budget.allows(customer):
            return _deny(DeniedReason.CUSTOMER_BUDGET)
        budget.take(service)
        budget.take(customer)
        metrics.CALLS_RETRIED.labels(case.refusal.reason.value).inc()
        return RetryAfter(seconds=seconds)

    return decide


def count_call(budget: RetryBudget, service: ServiceName, customer: CustomerId) -> None:
    """Count a call's first dispatch in both of its budgets."""
    budget.count_call(("service", service))
    budget.count_call(("customer", customer))


def rule_against(case: RetryCase) -> DeniedReason | None:
    """Return the rule that forbids a retry whatever the time and budget."""
    if case.answer_started:
        return DeniedReason.ANSWER_STARTED
    if case.refusal.retried:
        return DeniedReason.ALREADY_RETRIED
    if case.refusal.executed is not Executed.NO and not case.idempotent:
        return DeniedReason.MAY_HAVE_RUN
    if case.refusal.reason not in RETRYABLE:
        return DeniedReason.NOT_RETRYABLE
    if case.tries >= MAX_TRIES or case.failures >= MAX_FAILURES:
        return DeniedReason.TRIES
    return None


def final_refusal(refusal: Refusal) -> Refusal:
    """Return the refusal as it leaves this daemon, marked against further retries.

    The mark is set for every denial: when this layer's budget is used up, retries of
    the layers above would reach the same target.
    """
    return replace(refusal, retried=True)


def _deny(reason: DeniedReason) -> Denied:
    metrics.RETRIES_DENIED.labels(reason.value).inc()
    return Denied(reason=reason)


def _whole(value: str | None, default: int, *, low: int) -> int | None:
    if value is None:
        return default
    # int() would also take signs, blanks, underscores and other scripts' digits.
    if not (value.isascii() and value.isdigit()) or len(value) > 12:
        return None
    number = int(value)
    return number if number >= low else None


def _refusal(reason: RefusalReason, detail: str) -> Refusal:
    return Refusal(reason=reason, executed=Executed.NO, detail=detail)
