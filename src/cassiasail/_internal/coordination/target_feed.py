"""Keeps the balancer's targets in step with the membership of the fleet."""

from random import Random

from ..clock import Clock
from ..ids import ServiceName, TargetId
from ..state.members import (
    Endpoint,
    EndpointState,
    MemberRecord,
    MemberState,
    MemberTable,
)
from ..state.targets import TargetView
from .balancer import Balancer, LinkBudget


class TargetFeed:
    """Creates a balancer and updates it when the member table changes.

    ``region_link_rate`` is the rate of the link to other regions in bytes per second,
    for all daemons of the region together.
    """

    def __init__(
        self,
        *,
        members: MemberTable,
        clock: Clock,
        rng: Random,
        region_link_rate: float,
    ) -> None:
        own_record = members.own_record
        self._members = members
        self._clock = clock
        self._region_link_rate = region_link_rate
        self._link = LinkBudget(clock=clock, rate=region_link_rate)
        # Start time of the target process in Unix milliseconds, and when this daemon
        # first saw it ready, by its clock.
        self._readiness_by_target: dict[TargetId, tuple[int, float]] = {}
        self._unreachable_seen = members.unreachable
        self.balancer = Balancer(
            daemon=own_record.id,
            region=own_record.region,
            data_centre=own_record.data_centre,
            clock=clock,
            rng=rng,
            link=self._link,
        )
        members.on_change.append(self._on_change)

    def tick(self) -> None:
        """Update all targets when the set of unreachable data centres has changed."""
        if self._members.unreachable == self._unreachable_seen:
            return
        self._unreachable_seen = self._members.unreachable
        services = {
            endpoint.service
            for record in self._members.living()
            for endpoint in record.endpoints
        }
        for service in services:
            self._update_service(service)

    def _on_change(self, old: MemberRecord | None, new: MemberRecord | None) -> None:
        """Update the link rate and the services that a changed record affects."""
        if (old is None) != (new is None) or (
            old and new and old.state is not new.state
        ):
            self._update_link_rate()
        old_endpoints = old.endpoints if old else ()
        new_endpoints = new.endpoints if new else ()
        was_living = old is not None and old.state is MemberState.ALIVE
        is_living = new is not None and new.state is MemberState.ALIVE
        if old_endpoints == new_endpoints and was_living == is_living:
            return
        remaining = {endpoint.target_id for endpoint in new_endpoints}
        for endpoint in old_endpoints:
            if endpoint.target_id not in remaining:
                self._readiness_by_target.pop(endpoint.target_id, None)
        for service in {
            endpoint.service for endpoint in (*old_endpoints, *new_endpoints)
        }:
            self._update_service(service)

    def _update_link_rate(self) -> None:
        """Divide the rate of the link equally among the live daemons of the region."""
        region = self._members.own_record.region
        daemon_count = sum(
            1 for record in self._members.living() if record.region == region
        )
        self._link.rate = self._region_link_rate / max(1, daemon_count)

    def _update_service(self, service: ServiceName) -> None:
        views = [
            self._build_view(record, endpoint)
            for record, endpoint in self._members.endpoints_of(service)
        ]
        self.balancer.set_targets(service, views)

    def _build_view(self, record: MemberRecord, endpoint: Endpoint) -> TargetView:
        state = endpoint.state
        return TargetView(
            target_id=endpoint.target_id,
            daemon_id=record.id,
            region=record.region,
            data_centre=record.data_centre,
            state=state,
            slots=endpoint.slots,
            ready_since=self._ready_since(endpoint, state),
            reachable=record.state is MemberState.ALIVE,
        )

    def _ready_since(self, endpoint: Endpoint, state: EndpointState) -> float:
        """Return when the target process was first seen ready; now if it is not."""
        now = self._clock.now()
        if state is not EndpointState.READY:
            self._readiness_by_target.pop(endpoint.target_id, None)
            return now
        start_time_ms, ready_since = self._readiness_by_target.get(
            endpoint.target_id, (0, now)
        )
        if start_time_ms != endpoint.start_time_ms:
            ready_since = now
        self._readiness_by_target[endpoint.target_id] = (
            endpoint.start_time_ms,
            ready_since,
        )
        return ready_since
