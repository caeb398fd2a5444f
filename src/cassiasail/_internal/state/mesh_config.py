"""Routing configuration of the sidecars: routes, services and client limits.

A configuration is validated as a whole and applied as a whole: one fault rejects all
of it. ``Version`` orders the configurations; a daemon never applies one with a lower
version than the configuration in force.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum

from ..ids import ServiceName, Version
from .client_accounts import ClientAccounts

DEFAULT_MAX_ATTEMPTS = 1


class RetrySafety(Enum):
    """Whether a request that a target may have executed may be retried.

    ``SAFE`` requests may be. ``UNSAFE`` ones are retried only if it is certain that no
    target executed them.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """One service of a traffic split; its share is proportional to ``weight``."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class MeshRoute:
    """How requests to one host and path prefix are served; times in seconds.

    ``timeout`` bounds the whole request and ``latency_objective`` is the latency within
    which a response is worth most to the client. ``priority`` 0 is the most urgent.
    ``max_attempts`` bounds how often one request is dispatched to a target; attempts
    that a host daemon refused before the dispatch don't count. ``unknown_kind`` is the
    kind of the route if this build doesn't know it; such a route is unsafe. Requests on
    a ``public`` route need no key of a client account.
    """

    name: str
    host: str
    prefix: str
    retry_safety: RetrySafety
    timeout: float
    latency_objective: float
    priority: int
    max_attempts: int
    split: tuple[WeightedService, ...]
    unknown_kind: str | None = None
    public: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class MeshService:
    """A service; ``max_connections`` bounds the connections to each of its targets.

    The bound is on the connections of all clients together.
    """

    name: ServiceName
    health_path: str
    max_connections: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientLimits:
    """Size limits of requests and timeouts of client connections.

    ``header_seconds`` bounds the time until the header is complete, ``idle_seconds``
    the time without data. The defaults apply to connections of other daemons, and to
    clients until a configuration is applied.
    """

    header_bytes: int = 16 << 10
    body_bytes: int = 64 << 20
    header_seconds: float = 10.0
    idle_seconds: float = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class MeshConfig:
    """One version of the configuration; ``match`` finds the route of a request.

    ``accounts`` is None if the configuration has no client accounts; requests then need
    no key.
    """

    version: Version
    routes: tuple[MeshRoute, ...]
    service_by_name: Mapping[ServiceName, MeshService]
    limits: ClientLimits
    accounts: ClientAccounts | None = None
    _routes_by_host: Mapping[str, Mapping[str, MeshRoute]] = field(
        init=False, repr=False, compare=False
    )

    def __post_init__(self) -> None:
        routes_by_host: dict[str, dict[str, MeshRoute]] = {}
        for route in self.routes:
            routes_by_host.setdefault(route.host, {})[route.prefix] = route
        object.__setattr__(self, "_routes_by_host", routes_by_host)

    def match(self, host: str, path: str) -> MeshRoute | None:
        """Return the route whose prefix of ``path`` is longest, None if none matches.

        Prefixes begin and end with a slash, so only prefixes of ``path`` that end with
        a slash are looked up. The cost grows with the depth of the path and not with
        the number of routes.
        """
        route_by_prefix = self._routes_by_host.get(host)
        if route_by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = route_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigRejected:
    """Result for a configuration that is not applied, with all its faults."""

    faults: tuple[str, ...]


def find_faults(config: MeshConfig) -> Iterator[str]:
    """Yield a message for each fault for which ``config`` must be rejected."""
    seen_keys: set[tuple[str, str]] = set()
    for route in config.routes:
        yield from _find_route_faults(route, config.service_by_name)
        key = (route.host, route.prefix)
        if key in seen_keys:
            yield f"route {route.name}: host and prefix equal those of another route"
        seen_keys.add(key)
    if config.accounts is not None:
        yield from config.accounts.find_faults()


def _find_route_faults(
    route: MeshRoute, services: Mapping[ServiceName, MeshService]
) -> Iterator[str]:
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield f"route {route.name}: prefix {route.prefix!r} must be between slashes"
    if route.timeout <= 0:
        yield f"route {route.name}: timeout must be positive"
    if route.latency_objective <= 0:
        yield f"route {route.name}: latency objective must be positive"
    if route.max_attempts < 1:
        yield f"route {route.name}: max attempts must be at least 1"
    if not route.split:
        yield f"route {route.name}: no service is named"
    for part in route.split:
        if part.service not in services:
            yield f"route {route.name}: service {part.service} is not configured"
        if part.weight < 0:
            yield f"route {route.name}: negative weight for {part.service}"
    if route.split and sum(part.weight for part in route.split) <= 0:
        yield f"route {route.name}: at least one weight must be positive"


def validate(config: MeshConfig) -> MeshConfig | ConfigRejected:
    """Return ``config``, or all its faults if it has any."""
    faults = tuple(find_faults(config))
    return ConfigRejected(faults=faults) if faults else config


class SplitState:
    """Distributes the requests of each route over its services by their weights.

    Uses smooth weighted round robin, without randomness: over any sequence of requests
    the count of each service is within one request of its share.
    """

    def __init__(self) -> None:
        self._credit_by_route: dict[str, tuple[Version, dict[ServiceName, float]]] = {}

    def choose(self, route: MeshRoute, version: Version) -> ServiceName:
        """Return the service of the next request on ``route``."""
        if len(route.split) == 1:
            return route.split[0].service
        credit_version, credit_by_service = self._credit_by_route.get(
            route.name, (version, {})
        )
        if credit_version != version:
            # Services removed from the split must not keep credit for later requests.
            credit_by_service = _credit_of_split(credit_by_service, route.split)
        total = sum(part.weight for part in route.split)
        for part in route.split:
            credit = credit_by_service.get(part.service, 0.0)
            credit_by_service[part.service] = credit + part.weight / total
        chosen = max(route.split, key=lambda part: credit_by_service[part.service])
        credit_by_service[chosen.service] -= 1.0
        self._credit_by_route[route.name] = (version, credit_by_service)
        return chosen.service


def _credit_of_split(
    credit_by_service: Mapping[ServiceName, float],
    split: Iterable[WeightedService],
) -> dict[ServiceName, float]:
    """Return the credit of each service in ``split``, 0 for new ones."""
    return {part.service: credit_by_service.get(part.service, 0.0) for part in split}
