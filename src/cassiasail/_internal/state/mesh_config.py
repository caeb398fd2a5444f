"""The routing configuration of the mesh: routes, services and client limits.

A configuration is checked as a whole and taken as a whole. ``Version`` orders the
configurations; a daemon never goes back to a lower one.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum

from ..ids import ServiceName, Version

DEFAULT_ATTEMPTS = 1


class Repeatable(Enum):
    """What may be repeated: ``SAFE`` requests any time, ``UNSAFE`` ones never."""

    SAFE = "safe"
    UNSAFE = "unsafe"


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """One part of a traffic split; the shares are proportional to the weights."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class MeshRoute:
    """How requests to one host and path prefix are served; times in seconds.

    ``objective`` is the latency within which an answer is worth most, ``rank`` the
    urgency with 0 as the most urgent, ``attempts`` the number of targets that one
    request may be sent to.
    """

    name: str
    host: str
    prefix: str
    repeatable: Repeatable
    timeout: float
    objective: float
    rank: int
    attempts: int
    split: tuple[WeightedService, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class MeshService:
    """A service; ``max_connections`` bounds those to one target by all callers."""

    name: ServiceName
    health_path: str
    max_connections: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientLimits:
    """What a client may send and how long it may take; times in seconds.

    The defaults hold for other daemons, and for clients until a configuration is known.
    """

    header_bytes: int = 16 << 10
    body_bytes: int = 64 << 20
    header_seconds: float = 10.0
    idle_seconds: float = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class MeshConfig:
    """A whole configuration."""

    version: Version
    routes: tuple[MeshRoute, ...]
    service_by_name: Mapping[ServiceName, MeshService]
    limits: ClientLimits
    _routes_by_host: Mapping[str, Mapping[str, MeshRoute]] = field(
        init=False, repr=False, compare=False
    )

    def __post_init__(self) -> None:
        by_host: dict[str, dict[str, MeshRoute]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, {})[route.prefix] = route
        object.__setattr__(self, "_routes_by_host", by_host)

    def match(self, host: str, path: str) -> MeshRoute | None:
        """Return the route with the longest prefix of ``path``, None without one.

        Prefixes begin and end with a slash, so only the ends of segments are looked
        up: the cost follows the depth of the path and not the number of routes.
        """
        by_prefix = self._routes_by_host.get(host)
        if by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigRejected:
    """A configuration that is not taken, with all its faults."""

    faults: tuple[str, ...]


def faults_of(config: MeshConfig) -> Iterator[str]:
    """Yield what makes ``config`` unfit to be taken."""
    seen: set[tuple[str, str]] = set()
    for route in config.routes:
        yield from _route_faults(route, config.service_by_name)
        key = (route.host, route.prefix)
        if key in seen:
            yield f"route {route.name}: host and prefix are those of another route"
        seen.add(key)


def _route_faults(
    route: MeshRoute, services: Mapping[ServiceName, MeshService]
) -> Iterator[str]:
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield f"route {route.name}: prefix {route.prefix!r} lacks a slash at an end"
    if route.timeout <= 0:
        yield f"route {route.name}: the timeout is not positive"
    if route.objective <= 0:
        yield f"route {route.name}: the latency objective is not positive"
    if route.attempts < 1:
        yield f"route {route.name}: fewer than one attempt"
    if not route.split:
        yield f"route {route.name}: no service"
    for part in route.split:
        if part.service not in services:
            yield f"route {route.name}: service {part.service} is not configured"
        if part.weight < 0:
            yield f"route {route.name}: negative weight of {part.service}"
    if route.split and sum(part.weight for part in route.split) <= 0:
        yield f"route {route.name}: no weight above zero"


def checked(config: MeshConfig) -> MeshConfig | ConfigRejected:
    """Return ``config`` if it has no faults."""
    faults = tuple(faults_of(config))
    return ConfigRejected(faults=faults) if faults else config


class SplitState:
    """Distribution of the requests of each split route by its weights.

    Smooth weighted round robin: any run of requests keeps the shares to within one
    request for each part, without randomness.
    """

    def __init__(self) -> None:
        self._credit_by_route: dict[str, tuple[Version, dict[ServiceName, float]]] = {}

    def choose(self, route: MeshRoute, version: Version) -> ServiceName:
        """Return the service of the next request on ``route``."""
        if len(route.split) == 1:
            return route.split[0].service
        known, credit_by_service = self._credit_by_route.get(route.name, (version, {}))
        if known != version:
            # Credit of services that left the split must not count on.
            credit_by_service = _kept(credit_by_service, route.split)
        total = sum(part.weight for part in route.split)
        for part in route.split:
            old = credit_by_service.get(part.service, 0.0)
            credit_by_service[part.service] = old + part.weight / total
        chosen = max(route.split, key=lambda part: credit_by_service[part.service])
        credit_by_service[chosen.service] -= 1.0
        self._credit_by_route[route.name] = (version, credit_by_service)
        return chosen.service


def _kept(
    credit_by_service: Mapping[ServiceName, float],
    split: Iterable[WeightedService],
) -> dict[ServiceName, float]:
    return {part.service: credit_by_service.get(part.service, 0.0) for part in split}
