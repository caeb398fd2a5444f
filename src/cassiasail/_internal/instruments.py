"""Counters, gauges and histograms that import the Prometheus library only on a scrape.

The import takes a fifth of the start time of a daemon, and daemons are restarted more
often than they are scraped. The library still writes the text format.
"""

from bisect import bisect_left
from collections.abc import Iterator, Sequence
from itertools import accumulate
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from prometheus_client.core import Metric

# Upper bounds of the buckets of a histogram; one more bucket counts larger values.
DEFAULT_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
INFINITY = float("inf")

LabelValues = tuple[str, ...]


class Instrument(Protocol):
    """A metric that a registry can export."""

    def family(self) -> "Metric":
        """Return the current values as a metric family of the Prometheus library."""
        ...


class Registry:
    """All instruments of one process."""

    def __init__(self) -> None:
        self._instruments: list[Instrument] = []

    def add(self, instrument: Instrument) -> None:
        """Register ``instrument`` for export."""
        self._instruments.append(instrument)

    def collect(self) -> Iterator["Metric"]:
        """Yield the current values. The Prometheus library calls this method."""
        for instrument in self._instruments:
            yield instrument.family()

    def text(self) -> tuple[bytes, str]:
        """Return the current values in the Prometheus text format, with its type."""
        from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry
        from prometheus_client.exposition import generate_latest

        collectors = CollectorRegistry()
        collectors.register(self)
        return generate_latest(collectors), CONTENT_TYPE_LATEST


class Value:
    """The number of a counter or gauge for one set of label values."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0.0

    def inc(self, amount: float = 1.0) -> None:
        """Add ``amount``."""
        self.value += amount

    def set(self, value: float) -> None:
        """Set the number of a gauge to ``value``."""
        self.value = float(value)


class Distribution:
    """The observations of a histogram for one set of label values.

    ``counts`` has the number of observations in each bucket, ``total`` is their sum.
    """

    __slots__ = ("_bounds", "counts", "total")

    def __init__(self, bounds: Sequence[float]) -> None:
        self._bounds = bounds
        self.counts = [0] * len(bounds)
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Count ``value`` in its bucket and add it to the sum."""
        self.counts[bisect_left(self._bounds, value)] += 1
        self.total += value


class _LabelledInstrument:
    """An instrument with one child for each combination of label values.

    Without labels it has one child from the start, so that it is exported before its
    first use.
    """

    def __init__(
        self,
        name: str,
        help_text: str,
        labels: Sequence[str] = (),
        *,
        registry: Registry,
    ) -> None:
        self._name = name
        self._help_text = help_text
        self._labelnames = tuple(labels)
        self._child_by_labels: dict[LabelValues, Any] = {}
        if not self._labelnames:
            self._get_or_create_child(())
        registry.add(self)

    def _new_child(self) -> Any:
        return Value()

    def _get_or_create_child(self, values: LabelValues) -> Any:
        child = self._child_by_labels.get(values)
        if child is None:
            if len(values) != len(self._labelnames):
                raise ValueError(
                    f"{self._name} requires values of the labels {self._labelnames}"
                )
            child = self._child_by_labels[values] = self._new_child()
        return child

    def family(self) -> "Metric":
        raise NotImplementedError


class Counter(_LabelledInstrument):
    """A number that only increases."""

    def labels(self, *values: object) -> Value:
        """Return the number for the label values ``values``."""
        child: Value = self._get_or_create_child(tuple(map(str, values)))
        return child

    def inc(self, amount: float = 1.0) -> None:
        """Add ``amount`` to the number of a metric without labels."""
        self.labels().inc(amount)

    def family(self) -> "Metric":
        from prometheus_client.core import CounterMetricFamily

        return self._build_family(CounterMetricFamily)

    def _build_family(self, family_type: Any) -> "Metric":
        family: Metric = family_type(
            self._name, self._help_text, labels=self._labelnames
        )
        for labels, child in self._child_by_labels.items():
            family_type.add_metric(family, labels, child.value)
        return family


class Gauge(Counter):
    """A number that increases and decreases."""

    def set(self, value: float) -> None:
        """Set the number of a metric without labels to ``value``."""
        self.labels().set(value)

    def family(self) -> "Metric":
        from prometheus_client.core import GaugeMetricFamily

        return self._build_family(GaugeMetricFamily)


class Histogram(_LabelledInstrument):
    """Observations counted in buckets, whose upper bounds rise in ``buckets``."""

    def __init__(
        self,
        name: str,
        help_text: str,
        labels: Sequence[str] = (),
        *,
        registry: Registry,
        buckets: Sequence[float] = DEFAULT_BUCKETS,
    ) -> None:
        self._bounds = (*map(float, buckets), INFINITY)
        super().__init__(name, help_text, labels, registry=registry)

    def labels(self, *values: object) -> Distribution:
        """Return the observations for the label values ``values``."""
        child: Distribution = self._get_or_create_child(tuple(map(str, values)))
        return child

    def observe(self, value: float) -> None:
        """Record ``value`` in a metric without labels."""
        self.labels().observe(value)

    def family(self) -> "Metric":
        from prometheus_client.core import HistogramMetricFamily
        from prometheus_client.utils import floatToGoString

        family = HistogramMetricFamily(
            self._name, self._help_text, labels=self._labelnames
        )
        for labels, child in self._child_by_labels.items():
            bounds = map(floatToGoString, self._bounds)
            buckets = list(zip(bounds, accumulate(child.counts), strict=True))
            family.add_metric(labels, buckets, child.total)
        return family

    def _new_child(self) -> Distribution:
        return Distribution(self._bounds)
