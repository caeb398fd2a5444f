"""Matching of routes, checks of configurations, and traffic splits."""

from collections import Counter
from dataclasses import replace

import pytest

from cassiasail._internal.ids import ServiceName, Version
from cassiasail._internal.state.mesh_config import (
    ConfigRejected,
    MeshRoute,
    SplitState,
    WeightedService,
    checked,
)
from tests.lib.meshes import ONE, ROUTE, TWO, config_of


def test_the_longest_prefix_wins() -> None:
    """Guards against a request on the route of a shorter prefix."""
    known = config_of(ROUTE, replace(ROUTE, name="longer", prefix="/a/b/"))
    found = known.match("h", "/a/b/c")
    assert found is not None
    assert found.name == "longer"
    assert known.match("h", "/a/bc") == ROUTE
    assert known.match("h", "/a") is None
    assert known.match("other", "/a/b") is None


def test_a_prefix_of_all_paths_matches_any() -> None:
    """Guards against a catch-all route that matches nothing."""
    assert config_of(replace(ROUTE, prefix="/")).match("h", "/x") is not None


@pytest.mark.parametrize(
    "route",
    [
        replace(ROUTE, prefix="a/"),
        replace(ROUTE, timeout=0),
        replace(ROUTE, objective=-1),
        replace(ROUTE, attempts=0),
        replace(ROUTE, split=()),
        replace(ROUTE, split=(WeightedService(service=ServiceName("x"), weight=1),)),
        replace(ROUTE, split=(WeightedService(service=ONE, weight=0),)),
        replace(ROUTE, split=(WeightedService(service=ONE, weight=-1),)),
    ],
)
def test_a_faulty_configuration_is_not_taken(route: MeshRoute) -> None:
    """Guards against a bad version that is applied in part."""
    result = checked(config_of(ROUTE, replace(route, name="bad", host="h2")))
    assert isinstance(result, ConfigRejected)


def test_two_routes_of_one_prefix_are_rejected() -> None:
    """Guards against a route that depends on the order of the document."""
    result = checked(config_of(ROUTE, replace(ROUTE, name="twin")))
    assert isinstance(result, ConfigRejected)


def test_a_split_keeps_its_weights_at_any_length() -> None:
    """Guards against a share that strays from its weight over a short time."""
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


def test_a_new_version_drops_the_credit_of_removed_parts() -> None:
    """Guards against a request to a service that left the split."""
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
