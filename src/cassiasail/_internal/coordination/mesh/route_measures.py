"""What a host daemon measures of the requests to its target, by route."""

from dataclasses import dataclass, field

from .running_mean import RunningMean

# Number of routes that are kept. A configuration has about 1,000 routes, but few of
# them lead to one service.
MAX_ROUTES = 256


@dataclass(slots=True, kw_only=True)
class RouteMeasures:
    """Means over the requests on one route: service time and size of the response."""

    service_seconds: RunningMean = field(default_factory=RunningMean)
    response_bytes: RunningMean = field(default_factory=lambda: RunningMean(initial=0))


class MeasuresByRoute:
    """The measures of each route; those of the route added first are dropped first."""

    def __init__(self) -> None:
        self._measures_by_route: dict[str, RouteMeasures] = {}

    def known(self, route: str | None) -> RouteMeasures | None:
        """Return the measures of ``route``, None if there are none."""
        return None if route is None else self._measures_by_route.get(route)

    def of(self, route: str) -> RouteMeasures:
        """Return the measures of ``route``, new ones if there are none."""
        measures = self._measures_by_route.get(route)
        if measures is None:
            if len(self._measures_by_route) >= MAX_ROUTES:
                del self._measures_by_route[next(iter(self._measures_by_route))]
            measures = self._measures_by_route[route] = RouteMeasures()
        return measures

    def clear(self) -> None:
        """Forget all measures: a new incarnation of the target may be different."""
        self._measures_by_route.clear()
