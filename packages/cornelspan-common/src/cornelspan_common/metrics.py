"""OpenTelemetry metrics, served in Prometheus format by tornado.

Hot paths increment plain integer attributes, and OpenTelemetry reads them only on a
scrape, because a call of its counters costs about as much as forwarding a packet.
"""

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import tornado.web
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import CONTENT_TYPE_LATEST, REGISTRY, generate_latest
from tornado.httpserver import HTTPServer

from cornelspan_common.settings import Address

Reading = Callable[[], float]


@dataclass(frozen=True, slots=True)
class LabelledValue:
    """One value of a metric with labels."""

    labels: dict[str, str]
    value: float


class Metrics:
    """The metrics of one process; each has a callback that reads its value."""

    def __init__(self) -> None:
        self.provider = MeterProvider(metric_readers=[PrometheusMetricReader()])
        self.meter = self.provider.get_meter("cornelspan")

    def count(self, name: str, description: str, reading: Reading) -> None:
        """Register a counter, whose value never decreases."""
        self.meter.create_observable_counter(
            name, callbacks=[_callback(reading)], description=description
        )

    def gauge(self, name: str, description: str, reading: Reading) -> None:
        """Register a gauge, whose value may rise and fall."""
        self.meter.create_observable_gauge(
            name, callbacks=[_callback(reading)], description=description
        )

    def labelled_gauge(
        self, name: str, description: str, readings: Callable[[], list[LabelledValue]]
    ) -> None:
        """Register a gauge with one value for each set of labels."""

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            return [Observation(each.value, each.labels) for each in readings()]

        self.meter.create_observable_gauge(
            name, callbacks=[observe], description=description
        )


class ScrapeHandler(tornado.web.RequestHandler):
    """``GET /metrics`` in Prometheus text format."""

    def get(self) -> None:
        """Answer with the current values."""
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.write(generate_latest(REGISTRY))


@contextmanager
def metrics_endpoint(address: Address | None) -> Iterator[None]:
    """Serve ``/metrics`` at an address, if it is given, while the context is open."""
    if address is None:
        yield
        return
    server = HTTPServer(tornado.web.Application([("/metrics", ScrapeHandler)]))
    server.listen(address.port, address.host)
    try:
        yield
    finally:
        server.stop()


def _callback(
    reading: Reading,
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    def observe(options: CallbackOptions) -> Iterable[Observation]:
        yield Observation(reading())

    return observe
