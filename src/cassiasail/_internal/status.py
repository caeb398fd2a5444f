"""JSON pages that the admin listener serves."""

from collections.abc import Iterator
from typing import Any

from .clock import Clock
from .coordination.control import ControlPlane
from .ids import CustomerId, ServiceName
from .state.lists import Allowance
from .state.members import MemberTable
from .state.versions import RefusedVersion, VersionedLists
from .transport.hosted_calls import HostedCalls
from .transport.store_http import HttpStore

# An older response of the store is no evidence that the store is reachable. Pollers
# send two requests a second; other daemons rarely send any, so for them the state of
# the store is usually unknown.
STORE_RESPONSE_FRESH_SECONDS = 5.0

# Number of versions whose times are kept.
MAX_VERSION_TIMES = 100


class VersionTimes:
    """The wall times at which this daemon applied its latest configuration versions."""

    def __init__(self, *, versions: VersionedLists, clock: Clock) -> None:
        self._versions = versions
        self._clock = clock
        self._applied_at_by_version: dict[int, float] = {}

    def record_version(self) -> None:
        """Record the time of the version in force if it is new.

        To be called after all that may apply a version.
        """
        version = self._versions.version
        times = self._applied_at_by_version
        if version == 0 or version in times:
            return
        times[version] = self._clock.wall()
        while len(times) > MAX_VERSION_TIMES:
            del times[min(times)]

    def page(self) -> dict[str, Any]:
        """Return the times in seconds since the epoch, by version."""
        times = self._applied_at_by_version.items()
        return {str(version): at for version, at in times}


def status_page(
    *,
    clock: Clock,
    control: ControlPlane,
    versions: VersionedLists,
    members: MemberTable,
    hosted: HostedCalls,
    store: HttpStore,
    in_flight: int,
) -> dict[str, Any]:
    """Return the page of ``GET /status``; ages are in seconds."""
    fleet = control.fleet_status()
    living = list(members.living())
    unreachable = [
        record for record in living if record.data_centre in members.unreachable
    ]
    refused = versions.last_refusal
    parent = members.get(fleet.parent) if fleet.parent else None
    return {
        "daemon": members.own_record.id,
        "region": members.own_record.region,
        "data_centre": members.own_record.data_centre,
        "version": versions.version,
        "digest": f"{versions.lists.digest:032x}",
        "state": members.own_record.state.value,
        "store": _store_status(clock, store),
        "refused": [] if refused is None else [_refused_version(refused)],
        "members": {
            "alive": len(living) - len(unreachable),
            "unreachable": len(unreachable),
            "dead": sum(1 for _ in members.dead()),
        },
        "scope": fleet.scope,
        "parent": fleet.parent,
        "parent_admin": None if parent is None else parent.admin_addr,
        "children": fleet.children,
        "fleet": [
            {
                "data_centre": centre,
                "members": fleet.members_by_data_centre.get(centre, 0),
                "version_counts": {
                    str(version): count for version, count in sorted(counts.items())
                },
                "stragglers": _lagging_daemons(fleet.lagging_daemons, members, centre),
            }
            for centre, counts in sorted(fleet.version_counts_by_data_centre.items())
        ],
        "targets": list(hosted.status()),
        "calls_in_flight": in_flight,
    }


def explain_page(
    customer_id: str,
    service: str,
    *,
    versions: VersionedLists,
    members: MemberTable,
) -> dict[str, Any] | None:
    """Return the page of ``GET /explain``, None for an unknown customer."""
    table = versions.table
    customer = table.customer_by_id.get(CustomerId(customer_id))
    if customer is None:
        return None
    allowances = (
        allowance
        for (plan, name, _), allowance in table.allowance_by_route.items()
        if plan == customer.plan and name == service
    )
    return {
        "customer": customer.id,
        "plan": customer.plan,
        "version": table.version,
        "routes": [_route_row(versions, allowance) for allowance in allowances],
        "targets": list(_target_rows(members, ServiceName(service))),
    }


def _store_status(clock: Clock, store: HttpStore) -> dict[str, Any]:
    age = None if store.last_success_at is None else clock.now() - store.last_success_at
    failed = store.last_failure is not None
    responded = True if age is not None and age < STORE_RESPONSE_FRESH_SECONDS else None
    return {
        "reachable": False if failed else responded,
        "last_answer_seconds": None if age is None else round(age, 3),
        "failure": store.last_failure.reason.value if store.last_failure else None,
    }


def _refused_version(refused: RefusedVersion) -> dict[str, Any]:
    return {
        "version": refused.version,
        "reason": refused.reason.value,
        "detail": refused.detail,
    }


def _lagging_daemons(
    lagging_daemons: Any, members: MemberTable, data_centre: str
) -> list[Any]:
    def is_in_data_centre(daemon: Any) -> bool:
        record = members.get(daemon)
        return record is not None and record.data_centre == data_centre

    return [
        {"daemon": lagging.daemon, "version": lagging.version, "reason": lagging.reason}
        for lagging in lagging_daemons
        if is_in_data_centre(lagging.daemon)
    ]


def _route_row(versions: VersionedLists, allowance: Allowance) -> dict[str, Any]:
    row: dict[str, Any] = {
        "path": allowance.path,
        "rate": allowance.rate,
        "burst": allowance.burst,
        "in_flight": allowance.in_flight,
        "max_body": allowance.max_body,
    }
    for route in versions.table.routes_by_service.get(allowance.service, ()):
        if route.path == allowance.path:
            row["class"] = route.call_class.value
            row["deadline"] = route.deadline
            row["idempotent"] = route.idempotency.value
            row["idempotency_key"] = route.key_policy.value
    return row


def _target_rows(
    members: MemberTable, service: ServiceName
) -> Iterator[dict[str, Any]]:
    for record, endpoint in members.endpoints_of(service):
        yield {
            "target": endpoint.target_id,
            "daemon": record.id,
            "data_centre": record.data_centre,
            "state": endpoint.state.value,
            "slots": endpoint.slots,
        }
