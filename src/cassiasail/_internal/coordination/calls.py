"""Calls on the entry daemon, matched with the configuration that applies to them."""

from dataclasses import dataclass

from ..ids import CustomerId, ServiceName
from ..protocol.frames import CallHead, Headers
from ..protocol.responses import Body
from ..state.fingerprints import Fingerprint, fingerprint_of
from ..state.lists import Allowance, KeyPolicy, Route
from ..state.refusals import Executed, Refusal, RefusalReason
from ..state.routes import RouteTable
from .retries import CallLimits, parse_limits


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """A call as the caller sent it.

    ``deadline_ms``, ``attempt`` and ``depth`` are the unparsed values of their headers.
    ``body_digest`` is None if the body is streamed, ``body_length`` is None if the
    caller did not announce it.
    """

    customer: str
    service: str
    method: str
    path: str
    headers: Headers
    body: Body
    body_length: int | None
    body_digest: bytes | None
    idempotency_key: str | None
    deadline_ms: str | None
    attempt: str | None
    depth: str | None


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutedCall:
    """A call that the configuration allows, with its route, allowance and limits."""

    call: Call
    customer: CustomerId
    route: Route
    allowance: Allowance
    fingerprint: Fingerprint
    limits: CallLimits

    @property
    def deadline(self) -> float:
        """Return the deadline as a point in time of the daemon's clock."""
        return self.limits.deadline

    @property
    def is_idempotent(self) -> bool:
        """Return whether the call may be executed more than once."""
        return self.route.is_idempotent(self.call.method)

    @property
    def needs_claim(self) -> bool:
        """Return whether its idempotency key must be claimed before it is executed."""
        return not self.is_idempotent and bool(self.call.idempotency_key)


def refuse(
    reason: RefusalReason, detail: str = "", *, retry_after: float | None = None
) -> Refusal:
    """Return the refusal of a call that was certainly not executed."""
    return Refusal(
        reason=reason, executed=Executed.NO, detail=detail, retry_after=retry_after
    )


def match_call(
    call: Call, table: RouteTable, *, now: float, max_deadline: float
) -> RoutedCall | Refusal:
    """Match a call with its customer, route and allowance, and check its limits.

    Returns the refusal if the configuration does not allow the call. ``max_deadline``
    caps the deadline, in seconds.
    """
    if table.version == 0:
        return refuse(
            RefusalReason.NO_CONFIGURATION,
            "this daemon has no configuration yet",
            retry_after=1.0,
        )
    customer = table.customer_by_id.get(CustomerId(call.customer))
    if customer is None:
        return refuse(RefusalReason.UNKNOWN_CUSTOMER, f"no customer {call.customer!r}")
    service = ServiceName(call.service)
    if service not in table.routes_by_service:
        return refuse(RefusalReason.UNKNOWN_SERVICE, f"no service {call.service!r}")
    path = call.path.partition("?")[0]
    route = table.find_route(service, path)
    if route is None:
        return refuse(RefusalReason.UNKNOWN_ROUTE, f"no route for {path!r}")
    allowance = table.allowance_by_route.get((customer.plan, service, route.path))
    if allowance is None:
        return refuse(
            RefusalReason.NOT_IN_PLAN,
            f"plan {customer.plan!r} has no allowance for {service} {route.path}",
        )
    if call.body_length is not None and call.body_length > allowance.max_body:
        return refuse(
            RefusalReason.BODY_TOO_LARGE, f"the limit is {allowance.max_body} bytes"
        )
    if route.key_policy is KeyPolicy.REQUIRED and not call.idempotency_key:
        return refuse(
            RefusalReason.KEY_REQUIRED, "send an Idempotency-Key header with the call"
        )
    limits = parse_limits(
        deadline_ms=call.deadline_ms,
        attempt=call.attempt,
        depth=call.depth,
        route_deadline=route.deadline,
        now=now,
        max_deadline=max_deadline,
    )
    if isinstance(limits, Refusal):
        return limits
    return RoutedCall(
        call=call,
        customer=customer.id,
        route=route,
        allowance=allowance,
        fingerprint=call_fingerprint(call),
        limits=limits,
    )


def call_fingerprint(call: Call) -> Fingerprint:
    """Return the fingerprint by which the quarantine recognises the same call.

    It covers the customer, method, service, path and body; a streamed body counts as
    empty.
    """
    return fingerprint_of(
        CustomerId(call.customer),
        call.method,
        f"/{call.service}{call.path}",
        call.body_digest or b"",
    )


def build_call_head(
    routed: RoutedCall, *, target: str, now: float, attempt: int
) -> CallHead:
    """Return the head of the call for the host daemon of ``target``.

    ``attempt`` numbers the attempts of this daemon from 1; the attempt number in the
    header of the call numbers those of the caller.
    """
    call = routed.call
    return CallHead(
        target=target,
        service=call.service,
        route=routed.route.path,
        customer=call.customer,
        call_class=routed.route.call_class.value,
        method=call.method,
        path=call.path,
        headers=call.headers,
        remaining=max(0.0, routed.deadline - now),
        attempt=attempt,
        depth=routed.limits.depth,
        fingerprint=routed.fingerprint,
        idempotent=routed.is_idempotent,
        body_length=call.body_length,
    )
