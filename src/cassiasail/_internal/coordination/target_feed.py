"""Feeds the balancer with the targets that the membership knows."""

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
    """Keeps a balancer up to date with the member table.

    ``link_rate`` is in bytes per second for all daemons of the region together.
    """

    def __init__(
        self, *, members: MemberTable, clock: Clock, rng: Random, link_rate: float
    ) -> None:
        own = members.own
        self._members = members
        self._clock = clock
        self._link_rate = link_rate
        self._link = LinkBudget(clock=clock, rate=link_rate)
        # Start time of the target's process, and when it was first seen ready.
        self._ready_by_target: dict[TargetId, tuple[int, float]] = {}
        self._unreachable = members.unreachable
        self.balancer = Balancer(
            daemon=own.id,
            region=own.region,
            data_centre=own.data_centre,
            clock=clock,
            rng=rng,
            link=self._link,
        )
        members.on_change.append(self._on_change)

    def tick(self) -> None:
        """Follow data centres that became unreachable or reachable again."""
        if self._members.unreachable == self._unreachable:
            return
        self._unreachable = self._members.unreachable
        services = {
            endpoint.service
            for record in self._members.living()
            for endpoint in record.endpoints
        }
        for service in services:
            self._update(service)

    def _on_change(self, old: MemberRecord | None, new: MemberRecord | None) -> None:
        if (old is None) != (new is None) or (
            old and new and old.state is not new.state
        ):
            self._share_link()
        before = old.endpoints if old else ()
        after = new.endpoints if new else ()
        was_living = old is not None and old.state is MemberState.ALIVE
        is_living = new is not None and new.state is MemberState.ALIVE
        if before == after and was_living == is_living:
            return
        present = {endpoint.target_id for endpoint in after}
        for endpoint in before:
            if endpoint.target_id not in present:
                self._ready_by_target.pop(endpoint.target_id, None)
        for service in {endpoint.service for endpoint in (*before, *after)}:
            self._update(service)

    def _share_link(self) -> None:
        region = self._members.own.region
        count = sum(1 for each in self._members.living() if each.region == region)
        self._link.rate = self._link_rate / max(1, count)

    def _update(self, service: ServiceName) -> None:
        views = [
            self._view(record, endpoint)
            for record, endpoint in self._members.endpoints_of(service)
        ]
        self.balancer.update(service, views)

    def _view(self, record: MemberRecord, endpoint: Endpoint) -> TargetView:
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
        now = self._clock.now()
        if state is not EndpointState.READY:
            self._ready_by_target.pop(endpoint.target_id, None)
            return now
        started, since = self._ready_by_target.get(endpoint.target_id, (0, now))
        if started != endpoint.started:
            since = now
        self._ready_by_target[endpoint.target_id] = (endpoint.started, since)
        return since
