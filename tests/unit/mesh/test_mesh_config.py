"""Route matching, validation of configurations, and traffic splits."""

from collections import Counter
from dataclasses import replace

import pytest

from cassiasail._internal.ids import ServiceName, Version
from cassiasail._internal.state.mesh_config import (
    ConfigRejected,
    MeshRoute,
    SplitState,
    WeightedService,
    validate,
)
from tests.lib.meshes import ONE, ROUTE, TWO, config_of


def test_route_with_the_longest_prefix_matches() -> None:
    """Guards against a request that gets the route of a shorter prefix."""
    config = config_of(ROUTE, replace(ROUTE, name="longer", prefix="/a/b/"))
    route = config.match("h", "/a/b/c")
    assert route is not None
    assert route.name == "longer"
    assert config.match("h", "/a/bc") == ROUTE
    assert config.match("h", "/a") is None
    assert config.match("other", "/a/b") is None


def test_root_prefix_matches_any_path() -> None:
    """Guards against a catch-all route that matches nothing."""
    assert config_of(replace(ROUTE, prefix="/")).match("h", "/x") is not None


@pytest.mark.parametrize(
    "route",
    [
        replace(ROUTE, prefix="a/"),
        replace(ROUTE, timeout=0),
        replace(ROUTE, latency_objective=-1),
        replace(ROUTE, max_attempts=0),
        replace(ROUTE, split=()),
        replace(ROUTE, split=(WeightedService(service=ServiceName("x"), weight=1),)),
        replace(ROUTE, split=(WeightedService(service=ONE, weight=0),)),
        replace(ROUTE, split=(WeightedService(service=ONE, weight=-1),)),
    ],
)
def test_configuration_with_one_faulty_route_is_rejected(route: MeshRoute) -> None:
    """Guards against a faulty version that is applied in part."""
    result = validate(config_of(ROUTE, replace(route, name="bad", host="h2")))
    assert isinstance(result, ConfigRejected)


def test_two_routes_with_the_same_host_and_prefix_are_rejected() -> None:
    """Guards against a choice of route that depends on the order in the document."""
    result = validate(config_of(ROUTE, replace(ROUTE, name="duplicate")))
    assert isinstance(result, ConfigRejected)


def test_split_shares_follow_the_weights_after_any_number_of_requests() -> None:
    """Guards against shares that differ from the weights over few requests."""
    split = (
        WeightedService(service=ONE, weight=90),
        WeightedService(service=TWO, weight=10),
    )
    state = SplitState()
    route = replace(ROUTE, split=split)
    counts: Counter[ServiceName] = Counter()
    for number in range(1, 200):
        counts[state.choose(route, Version(1))] += 1
        assert abs(counts[TWO] - number / 10) <= 1


def test_new_version_drops_the_credit_of_removed_services() -> None:
    """Guards against a request to a service that was removed from the split."""
    state = SplitState()
    before = (
        WeightedService(service=ONE, weight=1),
        WeightedService(service=TWO, weight=1),
    )
    state.choose(replace(ROUTE, split=before), Version(1))
    three = ServiceName("three")
    after = (
        WeightedService(service=ONE, weight=1),
        WeightedService(service=three, weight=1),
    )
    chosen = {state.choose(replace(ROUTE, split=after), Version(2)) for _ in range(4)}
    assert chosen == {ONE, three}
