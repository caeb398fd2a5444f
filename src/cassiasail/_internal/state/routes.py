"""The route table: an immutable index compiled from one version of the lists.

If any row refers to a row that does not exist or has an invalid value, compilation
returns all faults instead of a table. In a table, the service of every route, the
plan and route of every allowance and the plan of every customer therefore exist.
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

# Number of names in the row key of each kind, for example 2 for ``route/SERVICE PATH``.
NAME_COUNT_BY_KIND = {
    "customer": 1,
    "plan": 1,
    "service": 1,
    "route": 2,
    "allowance": 3,
}

MIN_DEADLINE_SECONDS = 0.001
MAX_DEADLINE_SECONDS = 3600.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RowFault:
    """An invalid row: its key, what is wrong with it and how to correct it."""

    key: str
    problem: str
    remedy: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteTable:
    """Customers, routes and allowances of one version, indexed for lookups."""

    version: Version
    customer_by_id: dict[CustomerId, Customer] = field(default_factory=dict)
    plans: frozenset[PlanId] = frozenset()
    # Sorted by descending path length, so that the first match is the most specific.
    routes_by_service: dict[ServiceName, tuple[Route, ...]] = field(
        default_factory=dict
    )
    allowance_by_route: dict[tuple[PlanId, ServiceName, RoutePath], Allowance] = field(
        default_factory=dict
    )

    def find_route(self, service: ServiceName, path: str) -> Route | None:
        """Return the route with the longest prefix that covers ``path``, or None."""
        for route in self.routes_by_service.get(service, ()):
            if prefix_covers(route.path, path):
                return route
        return None


def prefix_covers(prefix: str, path: str) -> bool:
    """Return whether ``path`` is ``prefix`` or lies below it.

    ``prefix_covers("/a", "/a/b")`` is true, ``prefix_covers("/a", "/ab")`` is false.
    """
    if prefix == "/" or path == prefix:
        return True
    return path.startswith(prefix if prefix.endswith("/") else prefix + "/")


def compile_routes(lists: Lists, *, version: Version) -> RouteTable | list[RowFault]:
    """Return the route table of ``lists``, or all faults if any row is invalid."""
    faults = list(find_row_faults(lists))
    if faults:
        return faults
    customers: dict[CustomerId, Customer] = {}
    plans: set[PlanId] = set()
    routes: dict[ServiceName, list[Route]] = {}
    allowances: dict[tuple[PlanId, ServiceName, RoutePath], Allowance] = {}
    for key, fields in lists.rows_by_key.items():
        kind, names = split_key(key)
        if kind == "customer":
            customer = _customer_from_row(names, fields)
            customers[customer.id] = customer
        elif kind == "plan":
            plans.add(PlanId(names[0]))
        elif kind == "service":
            routes.setdefault(ServiceName(names[0]), [])
        elif kind == "route":
            route = _route_from_row(names, fields)
            routes.setdefault(route.service, []).append(route)
        else:
            allowance = _allowance_from_row(names, fields)
            allowances[allowance.plan, allowance.service, allowance.path] = allowance
    return RouteTable(
        version=version,
        customer_by_id=customers,
        plans=frozenset(plans),
        routes_by_service={
            service: tuple(sorted(service_routes, key=lambda route: -len(route.path)))
            for service, service_routes in routes.items()
        },
        allowance_by_route=allowances,
    )


def find_row_faults(lists: Lists) -> Iterator[RowFault]:
    """Yield all faults of all rows, in the order of the row keys."""
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
    """Return a copy of ``table`` with the changed and removed customers applied.

    ``changed`` and ``removed`` are row keys; the changed rows are read from ``lists``,
    the lists of the new ``version``. Returns None if rows other than customers
    changed, and the faults if a changed row is invalid.

    No row refers to a customer, and a customer refers only to its plan, so checking the
    changed rows finds the same faults as compiling ``lists`` completely. Most edits
    change one customer, and a complete compilation blocks calls for several
    milliseconds.
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
        customer = _customer_from_row(split_key(key)[1], rows[key])
        customers[customer.id] = customer
    return replace(table, version=version, customer_by_id=customers)


def _row_faults(key: str, rows: Rows) -> Iterator[RowFault]:
    kind, names = split_key(key)
    expected_count = NAME_COUNT_BY_KIND.get(kind)
    if expected_count is None or len(names) != expected_count or not all(names):
        yield RowFault(
            key=key,
            problem="unknown kind of row",
            remedy=f"use one of {', '.join(NAME_COUNT_BY_KIND)} with its names",
        )
        return
    yield from _reference_faults(key, kind, names, rows[key], rows)
    yield from _field_faults(key, kind, names, rows[key])


def _reference_faults(
    key: str, kind: str, names: tuple[str, ...], fields: Fields, rows: Any
) -> Iterator[RowFault]:
    """Yield a fault for each row that this row refers to and that does not exist."""
    if kind == "customer" and plan_key(fields.get("plan", "")) not in rows:
        yield RowFault(
            key=key,
            problem=f"plan {fields.get('plan')!r} is not defined",
            remedy="define the plan or choose another one",
        )
    if kind == "route" and service_key(names[0]) not in rows:
        yield _unknown_service_fault(key, names[0])
    if kind != "allowance":
        return
    if plan_key(names[0]) not in rows:
        yield RowFault(
            key=key,
            problem=f"plan {names[0]!r} is not defined",
            remedy=f"add a section [plan {names[0]}]",
        )
    if service_key(names[1]) not in rows:
        yield _unknown_service_fault(key, names[1])
    elif route_key(names[1], names[2]) not in rows:
        yield RowFault(
            key=key,
            problem=f"unknown route {names[2]!r} of service {names[1]!r}",
            remedy=f"add a section [route {names[1]} {names[2]}]",
        )


def _unknown_service_fault(key: str, service: str) -> RowFault:
    return RowFault(
        key=key,
        problem=f"unknown service {service!r}",
        remedy=f"add a section [service {service}] or correct the name",
    )


def _field_faults(
    key: str, kind: str, names: tuple[str, ...], fields: Fields
) -> Iterator[RowFault]:
    """Yield the faults of the field values and of the path of a row."""
    if kind == "route":
        if not names[1].startswith("/"):
            yield RowFault(
                key=key, problem="path is not absolute", remedy="start it with '/'"
            )
        yield from _enum_fault(key, fields, "class", CallClass)
        yield from _enum_fault(key, fields, "idempotent", Idempotency)
        yield from _enum_fault(key, fields, "idempotency_key", KeyPolicy)
        yield from _number_fault(
            key, fields, "deadline", MIN_DEADLINE_SECONDS, MAX_DEADLINE_SECONDS
        )
    if kind == "allowance":
        yield from _number_fault(key, fields, "rate", 0, 1e9)
        for name in ("burst", "in_flight", "max_body"):
            yield from _number_fault(key, fields, name, 0, 1e12, whole=True)


def _enum_fault(
    key: str, fields: Fields, name: str, enum_type: Any
) -> Iterator[RowFault]:
    allowed = [member.value for member in enum_type]
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
    lower: float,
    upper: float,
    *,
    whole: bool = False,
) -> Iterator[RowFault]:
    value = fields.get(name)
    allowed_types = (int,) if whole else (int, float)
    if value is None:
        yield RowFault(key=key, problem=f"{name} is absent", remedy=f"set {name}")
    elif (
        isinstance(value, bool)
        or not isinstance(value, allowed_types)
        or not lower <= value <= upper
    ):
        yield RowFault(
            key=key,
            problem=f"{name} is {value!r}",
            remedy=f"use a {'whole ' if whole else ''}number "
            f"from {lower:g} to {upper:g}",
        )


def _customer_from_row(names: tuple[str, ...], fields: Fields) -> Customer:
    return Customer(
        id=CustomerId(names[0]),
        plan=PlanId(fields["plan"]),
        contact=str(fields.get("contact", "")),
    )


def _route_from_row(names: tuple[str, ...], fields: Fields) -> Route:
    return Route(
        service=ServiceName(names[0]),
        path=RoutePath(names[1]),
        call_class=CallClass(fields["class"]),
        deadline=float(fields["deadline"]),
        idempotency=Idempotency(fields["idempotent"]),
        key_policy=KeyPolicy(fields["idempotency_key"]),
    )


def _allowance_from_row(names: tuple[str, ...], fields: Fields) -> Allowance:
    return Allowance(
        plan=PlanId(names[0]),
        service=ServiceName(names[1]),
        path=RoutePath(names[2]),
        rate=float(fields["rate"]),
        burst=int(fields["burst"]),
        in_flight=int(fields["in_flight"]),
        max_body=int(fields["max_body"]),
    )
