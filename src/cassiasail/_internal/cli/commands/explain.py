"""``cassiasail explain``: how calls of a customer to a service are treated."""

from collections.abc import Iterator
from typing import Any
from urllib.parse import urlencode

from ....exceptions import CommandError
from ...ids import CustomerId, ServiceName
from ...state.routes import RouteTable, compile_routes
from ..daemons import DaemonAnswer, dig, dig_list
from ..exit_codes import ExitCode
from ..invocation import Invocation
from ..options import usage_error
from ..output import show, show_field, table
from ..session import Session
from ..status_text import target_lines

_ROUTE_MEMBERS = (
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

    The first daemon that answers tells what is in force. If none does, the newest
    version in the store is shown, which may not be in force yet, without targets.

    Args:
        customer: a customer of customers.ini
        service: a service of plans.ini
    """

    async def action(session: Session) -> ExitCode:
        options = session.options
        if not options.store and not options.daemons:
            raise usage_error("neither daemons nor store are set; see --daemons")
        query = urlencode({"customer": customer, "service": service})
        answers = await session.ask_daemons(f"/explain?{query}")
        answered = next((item for item in answers if item.value is not None), None)
        if answered is not None and answered.value is not None:
            lines = _lines(answered.value, f"according to daemon {answered.address}")
            session.output.result(answered.value, lines)
            return ExitCode.OK
        for answer in answers:
            session.output.note(f"{answer.address}: {show(answer.problem)}")
        if not options.store:
            raise _no_daemon()
        value = await _from_store(session, customer, service)
        session.output.result(value, _lines(value, "according to the store"))
        return _code(answers)

    return Invocation(action=action)


def _code(answers: list[DaemonAnswer]) -> ExitCode:
    return ExitCode.DAEMONS_UNREACHABLE if answers else ExitCode.OK


def _no_daemon() -> CommandError:
    return CommandError(
        "no daemon explained it; see the reasons above, or add --store to see the "
        "newest version",
        exit_code=ExitCode.DAEMONS_UNREACHABLE,
    )


async def _from_store(session: Session, customer: str, service: str) -> dict[str, Any]:
    head, lists = await session.lists_of(None)
    compiled = compile_routes(lists, version=head.version)
    if not isinstance(compiled, RouteTable):
        raise CommandError(
            f"version {head.version} in the store has faults, so daemons refuse it; "
            "'cassiasail undo' takes it back",
            exit_code=ExitCode.STORE_DAMAGED,
        )
    found = compiled.customer_by_id.get(CustomerId(customer))
    routes = compiled.routes_by_service.get(ServiceName(service))
    if found is None or routes is None:
        unknown = f"customer {customer!r}" if found is None else f"service {service!r}"
        raise CommandError(
            f"version {head.version} has no {unknown}; 'cassiasail show' lists all",
            exit_code=ExitCode.INPUT_FAULTS,
        )
    rows = lists.rows_by_key
    return {
        "customer": customer,
        "plan": found.plan,
        "version": head.version,
        "routes": [
            {
                "path": route.path,
                **rows[f"route/{service} {route.path}"],
                **rows.get(f"allowance/{found.plan} {service} {route.path}", {}),
            }
            for route in routes
        ],
    }


def _lines(value: dict[str, Any], source: str) -> Iterator[str]:
    names = ("customer", "plan", "version")
    parts = (f"{name} {show(dig(value, name))}" for name in names)
    yield f"{', '.join(parts)}, {source}"
    yield ""
    rows = [
        [_cell(name, route) for name in _ROUTE_MEMBERS]
        for route in dig_list(value, "routes")
    ]
    yield from table([name.replace("_", " ") for name in _ROUTE_MEMBERS], rows)
    yield ""
    if isinstance(dig(value, "targets"), list):
        yield from target_lines(dig_list(value, "targets"))
    else:
        yield "targets are unknown"


def _cell(name: str, route: dict[str, Any]) -> str:
    # A route without allowance is closed to the plan, which is no lack of data.
    if name in ("rate", "burst", "in_flight", "max_body") and name not in route:
        return "none"
    return show_field(name, route.get(name))
