"""Choice of the VM whose target executes a request.

A VM with the lowest cost is chosen. The cost is the sum of the weighted probabilities
that the response misses the latency objective and that the request fails, a small cost
for the expected latency, and the cost of traffic to another data centre. Its unit is
the cost of one late response. A target in the local data centre is therefore preferred
until its response would probably be late.
"""

import asyncio
import heapq
import math
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, field, replace
from enum import IntEnum
from random import Random
from zlib import crc32

from ...ids import DataCentre, Region, ServiceName
from ...state.addresses import Address
from ...state.calls import HostLoad
from ...state.hosts import HostId, HostRecord, Incarnation, TargetState
from ...state.table_mirror import StoreVersion
from .link_room import SMALL_RESPONSE_BYTES
from .running_mean import INITIAL_SERVICE_SECONDS, RunningMean
from .sync_sources import SyncSources

# Traffic between data centres is billed by volume, and all traffic between two regions
# shares one slow link. Costs of each kilobyte of a request and its response, in units
# of one late response.
CROSS_DATA_CENTRE_COST_PER_KB = 0.14
CROSS_REGION_COST_PER_KB = 0.165
# Below the cost of a failure, so that a request with a large body also leaves a data
# centre in which it would fail.
MAX_DISTANCE_COST = 1.25
# Headers of one request and its response between two daemons.
HEADER_KB = 0.6
# Size of a response body that is assumed before the first response on a route.
INITIAL_RESPONSE_KB = 2.0
BYTES_PER_MEGABIT = 125_000
LATE_COST = 1.0
FAILURE_COST = 1.5
# Service times are modelled as log-normal. This is the standard deviation of their
# natural logarithm; workloads in the requirements have values between 0.5 and 0.8.
LOG_SERVICE_TIME_DEVIATION = 0.65
# Cost of a response that takes all the remaining time. It decides between targets that
# would all meet the latency objective.
LATENCY_COST = 0.1
# Costs that differ by no more than this count as equal. The choice among them is
# random, so that daemons don't all choose the same target.
TIE_COST = 0.02
# A load report is outdated after this time.
LOAD_REPORT_MAX_AGE_SECONDS = 2.0
# How long a VM is avoided whose daemon replied that it has no usable target. Trying it
# again too early costs one round trip.
NO_TARGET_AVOID_SECONDS = 0.5
# How long a VM without a copy comes last as a sync source. A planned stop takes longer
# than a start; a VM that was asked too early is asked again as one of the last.
MISSING_COPY_SECONDS = 2.0
# Number of fallback sync sources, polled for tables when the store is unreachable: VMs
# of the local data centre, and at each greater distance, where traffic is expensive.
MAX_LOCAL_FALLBACK_SOURCES = 2
MAX_FALLBACK_SOURCES_PER_DISTANCE = 1
# Number of incarnations of targets whose end is remembered. A backup is at most seconds
# old, and fewer targets than this end in that time in the largest fleet.
MAX_ENDED_INCARNATIONS = 1024

# Orders the VMs as sync sources: without a ready target, negative link rate, host.
_SyncOrder = tuple[bool, int, HostId]


class Distance(IntEnum):
    """Network distance of a VM from this one."""

    SAME_DATA_CENTRE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


_COST_PER_KB_BY_DISTANCE = {
    Distance.SAME_DATA_CENTRE: 0.0,
    Distance.SAME_REGION: CROSS_DATA_CENTRE_COST_PER_KB,
    Distance.OTHER_REGION: CROSS_REGION_COST_PER_KB,
}


def distance_cost(distance: Distance, kilobytes: float) -> float:
    """Return the cost of ``kilobytes`` sent to and from a VM at ``distance``."""
    return min(MAX_DISTANCE_COST, _COST_PER_KB_BY_DISTANCE[distance] * kilobytes)


@dataclass(slots=True, kw_only=True)
class HostView:
    """State of one VM as known to this daemon; times are loop times in seconds.

    ``version`` is the version of the stored ``record``. ``in_flight`` counts the
    requests that this daemon has forwarded to the VM and that have no reply yet.
    """

    record: HostRecord
    version: StoreVersion
    address: Address
    distance: Distance
    load: HostLoad | None = None
    load_received_at: float = 0.0
    in_flight: int = 0
    # Requests that this daemon has forwarded since the last load report.
    forwarded_since_load: int = 0
    # Mean service time of the target on the route of the last load report, divided by
    # the mean on that route over all targets.
    relative_service_time: float = 1.0
    # The VM was unreachable; cleared by a probe, a response or a changed record.
    suspected: bool = False
    # Until this time the VM is chosen only if there is no other.
    avoided_until: float = 0.0
    # Until this time the VM comes last as a sync source, because it has no copy.
    without_copy_until: float = 0.0
    removed: bool = False

    @property
    def is_usable(self) -> bool:
        """Whether its target is ready and it was not found unreachable."""
        return self.record.state is TargetState.READY and not self.suspected

    def sync_order(self) -> _SyncOrder:
        """Return the place of this VM in the order of sync sources."""
        record = self.record
        comes_last = record.state is not TargetState.READY or self._lacks_copy
        return comes_last, -record.link_mbps, record.host

    @property
    def _lacks_copy(self) -> bool:
        if self.without_copy_until == 0.0:
            return False
        return asyncio.get_running_loop().time() < self.without_copy_until

    def expected_wait(self, now: float) -> float:
        """Return the seconds that a request forwarded now would wait for a slot.

        Without a recent load report only the requests of this daemon are counted.
        """
        load = self.load
        limit_seconds = 0.0
        if load is None or now - self.load_received_at > LOAD_REPORT_MAX_AGE_SECONDS:
            slots, service_seconds = self.record.slots, INITIAL_SERVICE_SECONDS
            requests_ahead = self.in_flight
            if load is not None:
                service_seconds = load.service_seconds
        else:
            slots, service_seconds = load.slots, load.service_seconds
            requests_ahead = load.running + load.waiting + self.forwarded_since_load
            limit_seconds = load.limit_seconds(load.waiting + self.forwarded_since_load)
        slot_seconds = max(0, requests_ahead + 1 - slots) * service_seconds / slots
        return max(slot_seconds, limit_seconds)


@dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """A candidate VM, its expected service time in seconds, and its cost."""

    view: HostView
    service_seconds: float
    cost: float


@dataclass(slots=True, kw_only=True)
class Fleet:
    """All VMs known to this daemon, with their load and their service times.

    ``own_host``, ``own_address`` and ``own_link_mbps`` are those of this VM. They are
    settings, because the record of this VM exists only after the first heartbeat of its
    target.
    """

    data_centre: DataCentre
    region: Region
    own_host: HostId
    own_address: Address
    own_link_mbps: int
    random: Random
    view_by_host: dict[HostId, HostView] = field(default_factory=dict)
    _final_state_by_incarnation: dict[tuple[HostId, Incarnation], TargetState] = field(
        default_factory=dict
    )
    _service_time_by_route: dict[str, RunningMean] = field(default_factory=dict)
    _response_kb_by_route: dict[str, RunningMean] = field(default_factory=dict)

    def update(self, record: HostRecord, version: StoreVersion) -> None:
        """Apply a new or changed host record, stored as ``version``.

        A record whose address belongs to a newer record of another VM is ignored. A VM
        whose address changed gets a new view. An incarnation of a target that was
        leaving or absent keeps that state: a store that was restored from a backup may
        have its former record.
        """
        record = self._with_final_state(record)
        if not self._resolve_address_conflict(record, version):
            return
        view = self.view_by_host.get(record.host)
        if view is not None and view.address == record.address:
            if view.record.target != record.target:
                view.load, view.relative_service_time = None, 1.0
            if view.record != record:
                view.suspected, view.avoided_until = False, 0.0
            view.record, view.version = record, version
            return
        if view is not None:
            view.removed = True
        self.view_by_host[record.host] = HostView(
            record=record,
            version=version,
            address=record.address,
            distance=self._distance_to(record),
        )

    def _with_final_state(self, record: HostRecord) -> HostRecord:
        """Return ``record`` with the state in which its target ended, if it did."""
        final_states = self._final_state_by_incarnation
        key = (record.host, record.incarnation)
        if record.state is TargetState.ABSENT:
            final_states[key] = record.state
        elif record.state is TargetState.LEAVING:
            final_states.setdefault(key, record.state)
        while len(final_states) > MAX_ENDED_INCARNATIONS:
            del final_states[next(iter(final_states))]
        return replace(record, state=final_states.get(key, record.state))

    def _resolve_address_conflict(
        self, record: HostRecord, version: StoreVersion
    ) -> bool:
        """Remove older VMs with the address of ``record``; false if a newer one has it.

        The address of a dead VM may be assigned to another VM while the record of the
        dead one is still in the store. Of two records with the same address, the one
        with the higher version is valid.
        """
        for view in tuple(self.view_by_host.values()):
            if view.record.host == record.host:
                continue
            if view.record.address != record.address:
                continue
            if view.version > version:
                return False
            self.remove(view.record.host)
        return True

    def mark_leaving(self, view: HostView, incarnation: Incarnation) -> None:
        """Stop using a target whose host daemon replied that it is leaving."""
        record = view.record
        if record.incarnation == incarnation and record.state is TargetState.READY:
            self.update(replace(record, state=TargetState.LEAVING), view.version)

    def remove(self, host: HostId) -> None:
        """Remove a VM and mark its view as removed for tasks that still hold it."""
        view = self.view_by_host.pop(host, None)
        if view is not None:
            view.removed = True

    def ready_hosts(self, service: ServiceName) -> Iterator[HostView]:
        """Yield the VMs with a ready target of ``service``."""
        for view in self.view_by_host.values():
            record = view.record
            if record.service == service and record.state is TargetState.READY:
                yield view

    def sync_sources(self) -> SyncSources:
        """Return the VMs from which this one polls the tables of the store.

        The VMs of a data centre are ordered by the rate of their links, the fastest
        first, because the first ones are relays that serve all others. Those without a
        ready target or without a copy come last: their daemons may be stopping. The VMs
        before this one in that order are the preferred sources. The first VM of a data
        centre prefers those of other data centres of its region instead, in the same
        order, so that a change crosses the link between two regions once. Some VMs
        after this one, and some of other data centres, are the fallback sources for
        when the store is unreachable. VMs whose target is absent are left out: most of
        them are dead, and polling a dead VM takes until the connection times out.
        """
        others = [
            view
            for view in self.view_by_host.values()
            if view.record.host != self.own_host
            and view.record.address != self.own_address
            and view.record.state is not TargetState.ABSENT
            and not view.suspected
        ]
        local = sorted(
            (view.sync_order(), view.address)
            for view in others
            if view.distance is Distance.SAME_DATA_CENTRE
        )
        own_order = self._own_sync_order()
        preferred = tuple(address for order, address in local if order < own_order)
        later = [address for order, address in local if order > own_order]
        heads = self._heads_of_region(others)
        is_data_centre_head = not preferred
        if is_data_centre_head:
            preferred = tuple(address for order, address in heads if order < own_order)
        head_order = min((own_order, *(order for order, _ in local)))
        centres_before = sum(order < head_order for order, _ in heads)
        local_before = sum(order < own_order for order, _ in local)
        return SyncSources(
            preferred=preferred,
            fallback=(
                *later[:MAX_LOCAL_FALLBACK_SOURCES],
                *self._remote_fallback(others),
            ),
            is_data_centre_head=is_data_centre_head,
            store_rank=local_before * (1 + len(heads)) + centres_before,
        )

    def _own_sync_order(self) -> _SyncOrder:
        """Return the place of this VM; without a record yet, as if it were ready."""
        view = self.view_by_host.get(self.own_host)
        if view is None:
            return False, -self.own_link_mbps, self.own_host
        return view.sync_order()

    @staticmethod
    def _heads_of_region(
        others: Iterable[HostView],
    ) -> list[tuple[_SyncOrder, Address]]:
        """Return the first VM of each other data centre of this region, in order."""
        head_by_data_centre: dict[DataCentre, tuple[_SyncOrder, Address]] = {}
        for view in others:
            if view.distance is not Distance.SAME_REGION:
                continue
            data_centre = view.record.data_centre
            candidate = (view.sync_order(), view.address)
            head = head_by_data_centre.get(data_centre, candidate)
            head_by_data_centre[data_centre] = min(head, candidate)
        return sorted(head_by_data_centre.values())

    def _remote_fallback(self, others: Iterable[HostView]) -> Iterator[Address]:
        """Yield some VMs of other data centres, different ones for different daemons.

        If all daemons chose the same ones, an outage of the store would overload them.
        """
        remote = [
            (crc32(f"{self.own_host}/{view.record.host}".encode()), view)
            for view in others
            if view.distance is not Distance.SAME_DATA_CENTRE
        ]
        for distance in (Distance.SAME_REGION, Distance.OTHER_REGION):
            at_distance = (each for each in remote if each[1].distance is distance)
            for _, view in heapq.nsmallest(
                MAX_FALLBACK_SOURCES_PER_DISTANCE,
                at_distance,
                key=lambda each: each[0],
            ):
                yield view.address

    def choose(
        self,
        service: ServiceName,
        *,
        route: str,
        time_to_objective: float,
        remaining_time: float,
        request_kb: float,
        excluded: Collection[HostId],
    ) -> Choice | None:
        """Return a VM of ``service`` with the lowest cost, None if there is none.

        ``time_to_objective`` and ``remaining_time`` are the seconds from now until the
        latency objective and the deadline, ``request_kb`` the size of the request body
        in kilobytes. VMs in ``excluded`` are never chosen, suspected and avoided ones
        only if there is no other.
        """
        now = asyncio.get_running_loop().time()
        views = [
            view
            for view in self.ready_hosts(service)
            if view.record.host not in excluded
        ]
        preferred = [
            view for view in views if not view.suspected and view.avoided_until <= now
        ]
        demand = _Demand(
            route=route,
            time_to_objective=time_to_objective,
            remaining_time=remaining_time,
            kilobytes=HEADER_KB + request_kb + self._mean_response_kb(route),
            response_kb=self._mean_response_kb(route),
        )
        choices = [
            self._estimate_cost(view, demand, now) for view in preferred or views
        ]
        return self._cheapest(choices)

    def mean_service_seconds(self, route: str) -> float:
        """Return the mean service time on ``route`` over all targets, in seconds."""
        return self._service_time_by_route.setdefault(route, RunningMean()).value

    def _mean_response_kb(self, route: str) -> float:
        """Return the mean size of the response bodies on ``route``, in kilobytes."""
        return self._response_kb_by_route.setdefault(
            route, RunningMean(initial=INITIAL_RESPONSE_KB)
        ).value

    def record_response(
        self,
        view: HostView,
        route: str,
        *,
        service_seconds: float,
        response_kb: float,
    ) -> None:
        """Record the service time and body size of a response on ``route``.

        The response also shows that the VM is reachable.
        """
        self._response_kb_by_route.setdefault(
            route, RunningMean(initial=INITIAL_RESPONSE_KB)
        ).add(response_kb)
        self._service_time_by_route.setdefault(route, RunningMean()).add(
            service_seconds
        )
        view.suspected = False

    def apply_load_report(self, view: HostView, route: str, load: HostLoad) -> None:
        """Apply the load report that came with a reply to a request on ``route``.

        The relative service time of a target is computed from the report, because its
        host daemon measures the requests of all entry daemons. This daemon alone sends
        a target too few requests to measure it.
        """
        view.load = load
        fleet_mean = self._service_time_by_route.get(route)
        if fleet_mean is not None and load.route_service_seconds > 0:
            view.relative_service_time = load.route_service_seconds / max(
                fleet_mean.value, 1e-3
            )
        view.load_received_at = asyncio.get_running_loop().time()
        view.forwarded_since_load = 0

    def avoid(self, view: HostView) -> None:
        """Avoid for a short time a VM that replied that it has no usable target."""
        now = asyncio.get_running_loop().time()
        view.avoided_until = now + NO_TARGET_AVOID_SECONDS

    def record_missing_copy(self, address: Address) -> None:
        """Record that the daemon at ``address`` is starting or stopping.

        It replied that it has no copy of a table. Its record may say so later, because
        it came through that daemon.
        """
        now = asyncio.get_running_loop().time()
        for view in self.view_by_host.values():
            if view.address == address:
                view.without_copy_until = now + MISSING_COPY_SECONDS

    def _distance_to(self, record: HostRecord) -> Distance:
        if record.data_centre == self.data_centre:
            return Distance.SAME_DATA_CENTRE
        if record.region == self.region:
            return Distance.SAME_REGION
        return Distance.OTHER_REGION

    def _estimate_cost(self, view: HostView, demand: "_Demand", now: float) -> Choice:
        """Return ``view`` with its cost, in units of one late response."""
        service_seconds = (
            self.mean_service_seconds(demand.route) * view.relative_service_time
        )
        wait = view.expected_wait(now)
        wait += self._link_wait(view, demand, now, wait + service_seconds)
        failure_share = view.load.failure_share if view.load is not None else 0.0
        load_age = now - view.load_received_at
        # The older an outdated report is, the less its failure share counts, so that
        # the target is tried again.
        if load_age > LOAD_REPORT_MAX_AGE_SECONDS:
            failure_share *= LOAD_REPORT_MAX_AGE_SECONDS / load_age
        timeout_probability = probability_longer(
            demand.remaining_time - wait, service_seconds
        )
        cost = (
            distance_cost(view.distance, demand.kilobytes)
            + LATE_COST
            * probability_longer(demand.time_to_objective - wait, service_seconds)
            + LATENCY_COST
            * min((wait + service_seconds) / max(demand.remaining_time, 1e-3), 1.0)
            + FAILURE_COST * max(failure_share, timeout_probability)
        )
        return Choice(view=view, service_seconds=service_seconds, cost=cost)

    def _link_wait(
        self, view: HostView, demand: "_Demand", now: float, run_seconds: float
    ) -> float:
        """Return the seconds that a large response waits for the link of ``view``.

        The request waits for a slot and runs for ``run_seconds`` before. Meanwhile, and
        since the last load report, the link has carried others.
        """
        size = demand.response_kb * 1000
        if size <= SMALL_RESPONSE_BYTES or view.record.host == self.own_host:
            return 0.0
        transfer = size / max(1.0, view.record.link_mbps * BYTES_PER_MEGABIT)
        busy = view.forwarded_since_load * transfer
        if view.load is not None:
            busy += view.load.link_seconds - (now - view.load_received_at)
        return transfer + max(0.0, busy - run_seconds)

    def _cheapest(self, choices: Iterable[Choice]) -> Choice | None:
        """Return a random one of the choices within ``TIE_COST`` of the lowest cost."""
        by_cost = sorted(choices, key=lambda choice: choice.cost)
        if not by_cost:
            return None
        max_cost = by_cost[0].cost + TIE_COST
        return self.random.choice([each for each in by_cost if each.cost <= max_cost])


@dataclass(frozen=True, slots=True, kw_only=True)
class _Demand:
    """What the cost of a request depends on, besides the VM.

    Its route, the seconds until its latency objective and deadline, and the expected
    size of the request and its response, together and of the response alone.
    """

    route: str
    time_to_objective: float
    remaining_time: float
    kilobytes: float
    response_kb: float


def probability_longer(limit: float, mean: float) -> float:
    """Return the probability that a service time with mean ``mean`` exceeds ``limit``.

    Both are in seconds; service times are log-normal.
    """
    if limit <= 0:
        return 1.0
    if mean <= 0:
        return 0.0
    deviations = (
        math.log(limit / mean) + LOG_SERVICE_TIME_DEVIATION**2 / 2
    ) / LOG_SERVICE_TIME_DEVIATION
    return 0.5 * math.erfc(deviations / math.sqrt(2))
