"""The metric classes, compared with those of the Prometheus library."""

import prometheus_client as library
import pytest
from prometheus_client.parser import text_string_to_metric_families

from cassiasail._internal import instruments


def samples_of(text: bytes) -> dict[tuple[str, tuple[tuple[str, str], ...]], float]:
    """Return all samples by name and labels, without creation times."""
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in text_string_to_metric_families(text.decode())
        for sample in family.samples
        if not sample.name.endswith("_created")
    }


def test_samples_are_the_same_as_those_of_the_library() -> None:
    """Guards against samples that differ from what Prometheus dashboards expect."""
    own_registry, library_registry = instruments.Registry(), library.CollectorRegistry()
    for module, registry in ((instruments, own_registry), (library, library_registry)):
        calls = module.Counter("calls", "Calls.", ["who", "how"], registry=registry)
        calls.labels("a", "b").inc()
        calls.labels("a", "b").inc(2)
        calls.labels("c", 7).inc()
        module.Counter("drops", "Drops.", registry=registry)
        level = module.Gauge("level", "Level.", registry=registry)
        level.set(3)
        times = module.Histogram(
            "times", "Times.", ["who"], registry=registry, buckets=(0.1, 1, 5)
        )
        for seconds in (0.05, 0.1, 0.5, 1.0, 9.0):
            times.labels("a").observe(seconds)
    text, content_type = own_registry.text()
    assert samples_of(text) == samples_of(library.generate_latest(library_registry))
    assert content_type == library.CONTENT_TYPE_LATEST


def test_wrong_number_of_label_values_is_refused() -> None:
    """Guards against time series with labels that are not documented."""
    counter = instruments.Counter("x", "X.", ["a"], registry=instruments.Registry())
    with pytest.raises(ValueError, match="labels"):
        counter.labels("1", "2")
