"""The route table: an immutable index compiled from one version of the lists.

Compilation fails as a whole, with every fault, when a row refers to another row
that does not exist or has a value out of range. A table therefore never holds a
route to a service, nor an allowance to a route, that the same table lacks.
"""

from collections.abc import Collection, Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from ..ids import CustomerId, PlanId, RoutePath, ServiceName, Version
from .lists import (
    Allowance,
    CallClass,
    Customer,
    Fields,
    Idempotency,
    KeyPolicy,
    Lists,
    Route,
    Rows,
    plan_key,
    route_key,
    service_key,
    split_key,
)

NAMES_BY_KIND = {"customer": 1, "plan": 1, "service": 1, "route": 2, "allowance": 3}

MIN_DEADLINE = 0.001  # seconds
MAX_DEADLINE = 3600.0  # seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class RowFault:
    """A row that cannot be used, what is wrong with it and what to do."""

    key: str
    problem: str
    remedy: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteTable:
    """Customers, routes and allowances of one version, indexed for lookups."""

    version: Version
    customer_by_id: dict[CustomerId, Customer] = field(default_factory=dict)
    plans: frozenset[PlanId] = frozenset()
    # Longest path first, so that the first match is the most specific one.
    routes_by_service: dict[ServiceName, tuple[Route, ...]] = field(
        default_factory=dict
    )
    allowance_by_route: dict[tuple[PlanId, ServiceName, RoutePath], Allowance] = field(
        default_factory=dict
    )

    def route_of(self, service: ServiceName, path: str) -> Route | None:
        """Return the most specific route that covers ``path``, or None."""
        for route in self.routes_by_service.get(service, ()):
            if covers(route.path, path):
                return route
        return None


def covers(prefix: str, path: str) -> bool:
    """Return whether ``path`` is ``prefix`` or lies below it.

    ``covers("/a", "/a/b")`` is true, ``covers("/a", "/ab")`` is false.
    """
    if prefix == "/" or path == prefix:
        return True
    return path.startswith(prefix if prefix.endswith("/") else prefix + "/")


def compile_routes(lists: Lists, *, version: Version) -> RouteTable | list[RowFault]:
    """Return the route table of ``lists``, or every fault that prevents it."""
    faults = list(find_faults(lists))
    if faults:
        return faults
    customers: dict[CustomerId, Customer] = {}
    plans: set[PlanId] = set()
    routes: dict[ServiceName, list[Route]] = {}
    allowances: dict[tuple[PlanId, ServiceName, RoutePath], Allowance] = {}
    for key, fields in lists.rows_by_key.items():
        kind, names = split_key(key)
        if kind == "customer":
            customer = _customer(names, fields)
            customers[customer.id] = customer
        elif kind == "plan":
            plans.add(PlanId(names[0]))
        elif kind == "service":
            routes.setdefault(ServiceName(names[0]), [])
        elif kind == "route":
            route = _route(names, fields)
            routes.setdefault(route.service, []).append(route)
        else:
            allowance = _allowance(names, fields)
            allowances[allowance.plan, allowance.service, allowance.path] = allowance
    return RouteTable(
        version=version,
        customer_by_id=customers,
        plans=frozenset(plans),
        routes_by_service={
            service: tuple(sorted(found, key=lambda route: -len(route.path)))
            for service, found in routes.items()
        },
        allowance_by_route=allowances,
    )


def find_faults(lists: Lists) -> Iterator[RowFault]:
    """Yield every fault of every row, in key order."""
    for key in sorted(lists.rows_by_key):
        yield from _row_faults(key, lists.rows_by_key)


def patch_customers(
    table: RouteTable,
    lists: Lists,
    *,
    changed: Collection[str],
    removed: Collection[str],
    version: Version,
) -> RouteTable | list[RowFault] | None:
    """Return ``table`` with changed customers; None if other rows changed too.

    Nothing refers to a customer, and a customer only to its plan, so checking the
    changed rows is as strict as compiling ``lists`` in full. Most edits touch one
    customer, and a full compilation holds up calls for several milliseconds.
    """
    if any(split_key(key)[0] != "customer" for key in (*changed, *removed)):
        return None
    rows = lists.rows_by_key
    faults = [fault for key in sorted(changed) for fault in _row_faults(key, rows)]
    if faults:
        return faults
    customers = dict(table.customer_by_id)
    for key in removed:
        customers.pop(CustomerId(split_key(key)[1][0]), None)
    for key in changed:
        customer = _customer(split_key(key)[1], rows[key])
        customers[customer.id] = customer
    return replace(table, version=version, customer_by_id=customers)


def _row_faults(key: str, rows: Rows) -> Iterator[RowFault]:
    kind, names = split_key(key)
    expected = NAMES_BY_KIND.get(kind)
    if expected is None or len(names) != expected or not all(names):
        yield RowFault(
            key=key,
            problem="unknown kind of row",
            remedy=f"use one of {', '.join(NAMES_BY_KIND)} with its names",
        )
        return
    yield from _reference_faults(key, kind, names, rows[key], rows)
    yield from _field_faults(key, kind, names, rows[key])


def _reference_faults(
    key: str, kind: str, names: tuple[str, ...], fields: Fields, rows: Any
) -> Iterator[RowFault]:
    if kind == "customer" and plan_key(fields.get("plan", "")) not in rows:
        yield RowFault(
            key=key,
            problem=f"plan {fields.get('plan')!r} is not defined",
            remedy="define the plan or choose another one",
        )
    if kind == "route" and service_key(names[0]) not in rows:
        yield _unknown_service(key, names[0])
    if kind != "allowance":
        return
    if plan_key(names[0]) not in rows:
        yield RowFault(
            key=key,
            problem=f"plan {names[0]!r} is not defined",
            remedy=f"add a section [plan {names[0]}]",
        )
    if service_key(names[1]) not in rows:
        yield _unknown_service(key, names[1])
    elif route_key(names[1], names[2]) not in rows:
        yield RowFault(
            key=key,
            problem=f"unknown route {names[2]!r} of service {names[1]!r}",
            remedy=f"add a section [route {names[1]} {names[2]}]",
        )


def _unknown_service(key: str, service: str) -> RowFault:
    return RowFault(
        key=key,
        problem=f"unknown service {service!r}",
        remedy=f"add a section [service {service}] or correct the name",
    )


def _field_faults(
    key: str, kind: str, names: tuple[str, ...], fields: Fields
) -> Iterator[RowFault]:
    if kind == "route":
        if not names[1].startswith("/"):
            yield RowFault(
                key=key, problem="path is not absolute", remedy="start it with '/'"
            )
        yield from _enum_fault(key, fields, "class", CallClass)
        yield from _enum_fault(key, fields, "idempotent", Idempotency)
        yield from _enum_fault(key, fields, "idempotency_key", KeyPolicy)
        yield from _number_fault(key, fields, "deadline", MIN_DEADLINE, MAX_DEADLINE)
    if kind == "allowance":
        yield from _number_fault(key, fields, "rate", 0, 1e9)
        for name in ("burst", "in_flight", "max_body"):
            yield from _number_fault(key, fields, name, 0, 1e12, whole=True)


def _enum_fault(key: str, fields: Fields, name: str, kind: Any) -> Iterator[RowFault]:
    allowed = [member.value for member in kind]
    if fields.get(name) not in allowed:
        yield RowFault(
            key=key,
            problem=f"{name} is {fields.get(name)!r}",
            remedy=f"use one of {', '.join(allowed)}",
        )


def _number_fault(
    key: str,
    fields: Fields,
    name: str,
    low: float,
    high: float,
    *,
    whole: bool = False,
) -> Iterator[RowFault]:
    value = fields.get(name)
    kinds = (int,) if whole else (int, float)
    if value is None:
        yield RowFault(key=key, problem=f"{name} is absent", remedy=f"set {name}")
    elif (
        isinstance(value, bool)
        or not isinstance(value, kinds)
        or not low <= value <= high
    ):
        yield RowFault(
            key=key,
            problem=f"{name} is {value!r}",
            remedy=f"use a {'whole ' if whole else ''}number from {low:g} to {high:g}",
        )


def _customer(names: tuple[str, ...], fields: Fields) -> Customer:
    return Customer(
        id=CustomerId(names[0]),
        plan=PlanId(fields["plan"]),
        contact=str(fields.get("contact", "")),
    )


def _route(names: tuple[str, ...], fields: Fields) -> Route:
    return Route(
        service=ServiceName(names[0]),
        path=RoutePath(names[1]),
        call_class=CallClass(fields["class"]),
        deadline=float(fields["deadline"]),
        idempotency=Idempotency(fields["idempotent"]),
        key_policy=KeyPolicy(fields["idempotency_key"]),
    )


def _allowance(names: tuple[str, ...], fields: Fields) -> Allowance:
    return Allowance(
        plan=PlanId(names[0]),
        service=ServiceName(names[1]),
        path=RoutePath(names[2]),
        rate=float(fields["rate"]),
        burst=int(fields["burst"]),
        in_flight=int(fields["in_flight"]),
        max_body=int(fields["max_body"]),
    )
