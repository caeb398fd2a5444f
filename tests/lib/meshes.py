"""A route and a sidecar configuration for tests to modify."""

from cassiasail._internal.ids import ServiceName, Version
from cassiasail._internal.state.mesh_config import (
    ClientLimits,
    MeshConfig,
    MeshRoute,
    MeshService,
    RetrySafety,
    WeightedService,
)

ONE, TWO = ServiceName("one"), ServiceName("two")
ROUTE = MeshRoute(
    name="r",
    host="h",
    prefix="/a/",
    retry_safety=RetrySafety.SAFE,
    timeout=2.0,
    latency_objective=1.0,
    priority=1,
    max_attempts=2,
    split=(WeightedService(service=ONE, weight=1),),
)


def config_of(*routes: MeshRoute) -> MeshConfig:
    """Return a configuration of ``routes`` with the services ``ONE`` and ``TWO``."""
    services = {
        name: MeshService(name=name, health_path="/healthz", max_connections=10)
        for name in (ONE, TWO)
    }
    return MeshConfig(
        version=Version(1),
        routes=routes,
        service_by_name=services,
        limits=ClientLimits(),
    )
