"""``cassiasail explain``: shows plan, allowances and targets for a customer's calls."""

from collections.abc import Iterator
from typing import Any
from urllib.parse import urlencode

from ....exceptions import CommandError
from ...ids import CustomerId, ServiceName
from ...state.routes import RouteTable, compile_routes
from ..daemons import DaemonResponse, get_nested, get_objects
from ..exit_codes import ExitCode
from ..invocation import Invocation
from ..options import usage_error
from ..output import format_field, printable, table_lines
from ..session import Session
from ..status_text import target_lines

_ROUTE_FIELDS = (
    "path",
    "class",
    "rate",
    "burst",
    "in_flight",
    "max_body",
    "deadline",
    "idempotent",
    "idempotency_key",
)


def run(customer: str, service: str) -> Invocation:
    """Show plan, allowances and targets for calls of a customer to a service.

    The result comes from the first daemon that sends an explanation and shows what is
    in force. If no daemon sends one, the newest version in the store is shown, which
    may not be in force yet, without targets.

    Args:
        customer: a customer of customers.ini
        service: a service of plans.ini
    """

    async def action(session: Session) -> ExitCode:
        options = session.options
        if not options.store and not options.daemons:
            raise usage_error("neither daemons nor store are set; see --daemons")
        query = urlencode({"customer": customer, "service": service})
        responses = await session.query_daemons(f"/explain?{query}")
        first_response = next(
            (item for item in responses if item.value is not None), None
        )
        if first_response is not None and first_response.value is not None:
            lines = _explanation_lines(
                first_response.value, f"according to daemon {first_response.address}"
            )
            session.output.print_result(first_response.value, lines)
            return ExitCode.OK
        for response in responses:
            session.output.print_note(
                f"{response.address}: {printable(response.problem)}"
            )
        if not options.store:
            raise _no_daemon_error()
        value = await _explain_from_store(session, customer, service)
        session.output.print_result(
            value, _explanation_lines(value, "according to the store")
        )
        return _exit_code_without_daemons(responses)

    return Invocation(action=action)


def _exit_code_without_daemons(responses: list[DaemonResponse]) -> ExitCode:
    """Return the exit code of an explanation that comes from the store."""
    return ExitCode.DAEMONS_UNREACHABLE if responses else ExitCode.OK


def _no_daemon_error() -> CommandError:
    return CommandError(
        "no daemon sent an explanation; see the reasons above, or add --store to "
        "see the newest version",
        exit_code=ExitCode.DAEMONS_UNREACHABLE,
    )


async def _explain_from_store(
    session: Session, customer: str, service: str
) -> dict[str, Any]:
    """Return an explanation like that of a daemon from the newest version."""
    head, lists = await session.read_lists(None)
    compiled = compile_routes(lists, version=head.version)
    if not isinstance(compiled, RouteTable):
        raise CommandError(
            f"version {head.version} in the store has faults, so daemons refuse it; "
            "'cassiasail undo' takes it back",
            exit_code=ExitCode.STORE_DAMAGED,
        )
    known_customer = compiled.customer_by_id.get(CustomerId(customer))
    routes = compiled.routes_by_service.get(ServiceName(service))
    if known_customer is None or routes is None:
        missing = (
            f"customer {customer!r}"
            if known_customer is None
            else f"service {service!r}"
        )
        raise CommandError(
            f"version {head.version} has no {missing}; 'cassiasail show' lists all",
            exit_code=ExitCode.INPUT_FAULTS,
        )
    rows = lists.rows_by_key
    return {
        "customer": customer,
        "plan": known_customer.plan,
        "version": head.version,
        "routes": [
            {
                "path": route.path,
                **rows[f"route/{service} {route.path}"],
                **rows.get(
                    f"allowance/{known_customer.plan} {service} {route.path}", {}
                ),
            }
            for route in routes
        ],
    }


def _explanation_lines(explanation: dict[str, Any], source: str) -> Iterator[str]:
    names = ("customer", "plan", "version")
    parts = (f"{name} {printable(get_nested(explanation, name))}" for name in names)
    yield f"{', '.join(parts)}, {source}"
    yield ""
    rows = [
        [_route_cell(name, route) for name in _ROUTE_FIELDS]
        for route in get_objects(explanation, "routes")
    ]
    yield from table_lines([name.replace("_", " ") for name in _ROUTE_FIELDS], rows)
    yield ""
    if isinstance(get_nested(explanation, "targets"), list):
        yield from target_lines(get_objects(explanation, "targets"))
    else:
        yield "targets are unknown"


def _route_cell(name: str, route: dict[str, Any]) -> str:
    # Without an allowance for the route, the plan may not call it. The limits are then
    # "none" and not unknown.
    if name in ("rate", "burst", "in_flight", "max_body") and name not in route:
        return "none"
    return format_field(name, route.get(name))
