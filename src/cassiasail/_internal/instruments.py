"""Counters, gauges and histograms that load the Prometheus library at the first scrape.

A daemon is restarted more often than it is asked for its metrics, and importing the
library takes a fifth of its start. The library still writes the text.
"""

from bisect import bisect_left
from collections.abc import Iterator, Sequence
from itertools import accumulate
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from prometheus_client.core import Metric

DEFAULT_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
INFINITY = float("inf")

LabelValues = tuple[str, ...]


class Instrument(Protocol):
    """Anything that a registry can write."""

    def family(self) -> "Metric":
        """Return the present values in the form of the Prometheus library."""
        ...


class Registry:
    """All instruments of one process."""

    def __init__(self) -> None:
        self._instruments: list[Instrument] = []

    def add(self, instrument: Instrument) -> None:
        """Have ``instrument`` written with the others."""
        self._instruments.append(instrument)

    def collect(self) -> Iterator["Metric"]:
        """Yield the present values; called by the Prometheus library."""
        for each in self._instruments:
            yield each.family()

    def text(self) -> tuple[bytes, str]:
        """Return the values in the text format, and its content type."""
        from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry
        from prometheus_client.exposition import generate_latest

        collectors = CollectorRegistry()
        collectors.register(self)
        return generate_latest(collectors), CONTENT_TYPE_LATEST


class Value:
    """One number of a counter or gauge."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0.0

    def inc(self, amount: float = 1.0) -> None:
        """Add ``amount``."""
        self.value += amount

    def set(self, value: float) -> None:
        """Replace the number of a gauge."""
        self.value = float(value)


class Distribution:
    """Observations of a histogram by bucket."""

    __slots__ = ("_bounds", "counts", "total")

    def __init__(self, bounds: Sequence[float]) -> None:
        self._bounds = bounds
        self.counts = [0] * len(bounds)
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Record ``value``."""
        self.counts[bisect_left(self._bounds, value)] += 1
        self.total += value


class _Labelled:
    """Children of an instrument by the values of their labels."""

    def __init__(
        self, name: str, text: str, labels: Sequence[str] = (), *, registry: Registry
    ) -> None:
        self._name = name
        self._text = text
        self._labelnames = tuple(labels)
        self._child_by_labels: dict[LabelValues, Any] = {}
        if not self._labelnames:
            self._child(())
        registry.add(self)

    def _new_child(self) -> Any:
        return Value()

    def _child(self, values: LabelValues) -> Any:
        child = self._child_by_labels.get(values)
        if child is None:
            if len(values) != len(self._labelnames):
                raise ValueError(f"{self._name} has the labels {self._labelnames}")
            child = self._child_by_labels[values] = self._new_child()
        return child

    def family(self) -> "Metric":
        raise NotImplementedError


class Counter(_Labelled):
    """A number that only rises."""

    def labels(self, *values: object) -> Value:
        """Return the number for ``values`` of the labels."""
        child: Value = self._child(tuple(map(str, values)))
        return child

    def inc(self, amount: float = 1.0) -> None:
        """Add ``amount`` where there are no labels."""
        self.labels().inc(amount)

    def family(self) -> "Metric":
        from prometheus_client.core import CounterMetricFamily

        return self._filled(CounterMetricFamily)

    def _filled(self, kind: Any) -> "Metric":
        family: Metric = kind(self._name, self._text, labels=self._labelnames)
        for labels, child in self._child_by_labels.items():
            kind.add_metric(family, labels, child.value)
        return family


class Gauge(Counter):
    """A number that rises and falls."""

    def set(self, value: float) -> None:
        """Replace the number where there are no labels."""
        self.labels().set(value)

    def family(self) -> "Metric":
        from prometheus_client.core import GaugeMetricFamily

        return self._filled(GaugeMetricFamily)


class Histogram(_Labelled):
    """Observations counted by ``buckets``, which are upper bounds in rising order."""

    def __init__(
        self,
        name: str,
        text: str,
        labels: Sequence[str] = (),
        *,
        registry: Registry,
        buckets: Sequence[float] = DEFAULT_BUCKETS,
    ) -> None:
        self._bounds = (*map(float, buckets), INFINITY)
        super().__init__(name, text, labels, registry=registry)

    def labels(self, *values: object) -> Distribution:
        """Return the observations for ``values`` of the labels."""
        child: Distribution = self._child(tuple(map(str, values)))
        return child

    def observe(self, value: float) -> None:
        """Record ``value`` where there are no labels."""
        self.labels().observe(value)

    def family(self) -> "Metric":
        from prometheus_client.core import HistogramMetricFamily
        from prometheus_client.utils import floatToGoString

        family = HistogramMetricFamily(self._name, self._text, labels=self._labelnames)
        for labels, child in self._child_by_labels.items():
            bounds = map(floatToGoString, self._bounds)
            buckets = list(zip(bounds, accumulate(child.counts), strict=True))
            family.add_metric(labels, buckets, child.total)
        return family

    def _new_child(self) -> Distribution:
        return Distribution(self._bounds)
