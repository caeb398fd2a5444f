"""Choice of the VM whose target runs a request.

Every candidate has a cost in units of one late answer: how likely its answer comes
after the latency objective, how likely it fails, and what the bytes to it cost. A
near target is preferred until it would probably be late.
"""

import asyncio
import math
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from random import Random

from ...ids import DataCentre, Region, ServiceName
from ...protocol.exchanges import Address, parse_address
from ...state.calls import HostLoad
from ...state.hosts import HostId, HostRecord, TargetState
from .admission import FIRST_SECONDS, RunningMean
from .following import PeerOrder

# Bytes between data centres are paid for by volume, and those between regions share
# one slow link. For the user for whom they are dearest a request and its answer, about
# 6 KB, cost this part of a late answer.
CROSS_DATA_CENTRE_COST = 0.85
CROSS_REGION_COST = 1.0
LATE_COST = 1.0
FAILURE_COST = 1.5
# Service times spread like a log-normal distribution; the users' sheets have a spread
# of its logarithm between 0.5 and 0.8.
SPREAD = 0.65
# Latency still decides between targets that are all in time.
LATENCY_COST = 0.1
# Costs closer than this are equal; chance then keeps the daemons from choosing alike.
TIE_COST = 0.02
# A load report says little about the present after this time.
LOAD_SECONDS = 2.0
# How long a VM is avoided whose daemon answers but has no target to offer; asking again
# costs one round trip.
NO_TARGET_SECONDS = 0.5
# VMs asked for tables when the store does not answer: in the own data centre, and in
# the others, where the bytes are dear.
NEAR_SOURCES = 2
FAR_SOURCES = 2


class Distance(IntEnum):
    """How far a VM is from this one."""

    SAME_DATA_CENTRE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


_COST_BY_DISTANCE = {
    Distance.SAME_DATA_CENTRE: 0.0,
    Distance.SAME_REGION: CROSS_DATA_CENTRE_COST,
    Distance.OTHER_REGION: CROSS_REGION_COST,
}


@dataclass(slots=True, kw_only=True)
class HostView:
    """One VM as this daemon knows it; times are loop times in seconds."""

    record: HostRecord
    version: int
    address: Address
    distance: Distance
    load: HostLoad | None = None
    load_at: float = 0.0
    # Own requests there now, and those sent since the last load report.
    in_flight: int = 0
    sent_since_load: int = 0
    # Service time in relation to the mean of the route over all targets.
    slowness: float = 1.0
    # Did not answer; cleared by a probe or by a new record of the VM.
    suspected: bool = False
    avoided_until: float = 0.0
    removed: bool = False

    @property
    def is_trusted(self) -> bool:
        """Whether it has a target to use and is not under suspicion."""
        return self.record.state is TargetState.READY and not self.suspected

    def expected_wait(self, now: float) -> float:
        """Return the seconds that a request sent now would wait for a slot."""
        load = self.load
        if load is None or now - self.load_at > LOAD_SECONDS:
            slots, seconds = self.record.slots, FIRST_SECONDS
            ahead = self.in_flight
            if load is not None:
                seconds = load.seconds
        else:
            slots, seconds = load.slots, load.seconds
            ahead = load.running + load.waiting + self.sent_since_load
        return max(0, ahead + 1 - slots) * seconds / slots


@dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """A chosen VM and what was expected of it; times in seconds."""

    view: HostView
    seconds: float
    cost: float


@dataclass(slots=True, kw_only=True)
class Fleet:
    """All VMs that this daemon knows, and what it learnt about them.

    ``own_host``, ``own_address`` and ``own_link_mbps`` are those of this VM, whose own
    record is known only after its target has reported.
    """

    data_centre: DataCentre
    region: Region
    own_host: HostId
    own_address: str
    own_link_mbps: int
    random: Random
    view_by_host: dict[HostId, HostView] = field(default_factory=dict)
    _time_by_route: dict[str, RunningMean] = field(default_factory=dict)

    def update(self, record: HostRecord, version: int) -> None:
        """Take a new or changed record, stored as ``version``."""
        if not self._owns_address(record, version):
            return
        known = self.view_by_host.get(record.host)
        try:
            address = parse_address(record.address)
        except ValueError:
            return
        if known is not None and known.address == address:
            if known.record.target != record.target:
                known.load, known.slowness = None, 1.0
            if known.record != record:
                known.suspected, known.avoided_until = False, 0.0
            known.record, known.version = record, version
            return
        if known is not None:
            known.removed = True
        self.view_by_host[record.host] = HostView(
            record=record,
            version=version,
            address=address,
            distance=self._distance_to(record),
        )

    def _owns_address(self, record: HostRecord, version: int) -> bool:
        """Drop the VM that had the address of ``record`` before; false if it is newer.

        The address of a VM that is gone may be given to another one, while the record
        of the former stays in the store.
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

    def remove(self, host: HostId) -> None:
        """Forget a VM."""
        view = self.view_by_host.pop(host, None)
        if view is not None:
            view.removed = True

    def serving(self, service: ServiceName) -> Iterator[HostView]:
        """Yield the VMs whose target of ``service`` takes new requests."""
        for view in self.view_by_host.values():
            record = view.record
            if record.service == service and record.state is TargetState.READY:
                yield view

    def relay_order(self) -> PeerOrder:
        """Return whom to ask for tables of the store, in the order of this VM.

        The VMs of a data centre are ordered by the rate of their links, the widest
        first, because the first ones serve all others. Those before this VM are asked
        first; some of the others only if the store does not answer. A VM without a
        target is mostly gone, and asking it would cost the time of a lost connection.
        """
        others = [
            view
            for view in self.view_by_host.values()
            if view.record.host != self.own_host
            and view.record.address != self.own_address
            and view.record.state is not TargetState.ABSENT
            and not view.suspected
        ]
        near = sorted(
            (-view.record.link_mbps, view.record.host, view.address)
            for view in others
            if view.distance is Distance.SAME_DATA_CENTRE
        )
        own = (-self.own_link_mbps, self.own_host)
        before = tuple(address for *place, address in near if tuple(place) < own)
        behind = [address for *place, address in near if tuple(place) > own]
        far = [
            view.address
            for view in others
            if view.distance is not Distance.SAME_DATA_CENTRE
        ]
        return PeerOrder(
            preferred=before,
            fallback=tuple(behind[:NEAR_SOURCES] + far[:FAR_SOURCES]),
        )

    def choose(
        self,
        service: ServiceName,
        *,
        route: str,
        objective: float,
        left: float,
        excluded: Collection[HostId],
    ) -> Choice | None:
        """Return the cheapest VM outside ``excluded``, None if there is none.

        ``objective`` is in seconds from now. Suspected VMs are taken only if there
        is no other.
        """
        now = asyncio.get_running_loop().time()
        views = [
            view for view in self.serving(service) if view.record.host not in excluded
        ]
        trusted = [
            view for view in views if not view.suspected and view.avoided_until <= now
        ]
        aim = _Aim(route=route, objective=objective, left=left)
        choices = [self._rate(view, aim, now) for view in trusted or views]
        return self._cheapest(choices)

    def expected_seconds(self, route: str) -> float:
        """Return the mean service time on ``route`` in seconds."""
        return self._time_by_route.setdefault(route, RunningMean()).seconds

    def answered(self, view: HostView, route: str, ran: float) -> None:
        """Record that a request on ``route`` took ``ran`` seconds of its target."""
        self._time_by_route.setdefault(route, RunningMean()).add(ran)
        view.suspected = False

    def reported(self, view: HostView, route: str, load: HostLoad) -> None:
        """Take over the load that a VM reports with a reply on ``route``.

        The daemon there knows the speed of its target from the requests of all
        others; this one sends it too few to tell.
        """
        view.load = load
        usual = self._time_by_route.get(route)
        if usual is not None and load.route_seconds > 0:
            view.slowness = load.route_seconds / max(usual.seconds, 1e-3)
        view.load_at = asyncio.get_running_loop().time()
        view.sent_since_load = 0

    def avoid(self, view: HostView) -> None:
        """Avoid for a short time a VM that has no target to offer."""
        now = asyncio.get_running_loop().time()
        view.avoided_until = now + NO_TARGET_SECONDS

    def _distance_to(self, record: HostRecord) -> Distance:
        if record.data_centre == self.data_centre:
            return Distance.SAME_DATA_CENTRE
        if record.region == self.region:
            return Distance.SAME_REGION
        return Distance.OTHER_REGION

    def _rate(self, view: HostView, aim: "_Aim", now: float) -> Choice:
        wait = view.expected_wait(now)
        seconds = self.expected_seconds(aim.route) * view.slowness
        failing = view.load.failing if view.load is not None else 0.0
        age = now - view.load_at
        if age > LOAD_SECONDS:
            failing *= LOAD_SECONDS / age
        unfinished = share_longer(aim.left - wait, seconds)
        cost = (
            _COST_BY_DISTANCE[view.distance]
            + LATE_COST * share_longer(aim.objective - wait, seconds)
            + LATENCY_COST * min((wait + seconds) / max(aim.left, 1e-3), 1.0)
            + FAILURE_COST * max(failing, unfinished)
        )
        return Choice(view=view, seconds=seconds, cost=cost)

    def _cheapest(self, choices: Iterable[Choice]) -> Choice | None:
        ranked = sorted(choices, key=lambda choice: choice.cost)
        if not ranked:
            return None
        limit = ranked[0].cost + TIE_COST
        return self.random.choice([each for each in ranked if each.cost <= limit])


@dataclass(frozen=True, slots=True, kw_only=True)
class _Aim:
    """What a request is to meet; times in seconds from now."""

    route: str
    objective: float
    left: float


def share_longer(limit: float, mean: float) -> float:
    """Return the share of service times around ``mean`` that exceed ``limit``."""
    if limit <= 0:
        return 1.0
    if mean <= 0:
        return 0.0
    deviations = (math.log(limit / mean) + SPREAD**2 / 2) / SPREAD
    return 0.5 * math.erfc(deviations / math.sqrt(2))
