"""Endpoints of an entry process beside that for the requests of callers."""

from collections.abc import Callable

from papayacrank.transport import ExchangeListener, HttpExchange

from ._base import CallerProtocol
from ._metrics import ForwardingMetrics

ADDRESS_TTL_MS = 1_000


class ReadinessEndpoint(ExchangeListener):
    """Tells whether the process accepts callers.

    Parameters
    ----------
    is_serving : callable
        Returns whether it does.
    """

    def __init__(self, is_serving: Callable[[], bool]):
        self._is_serving = is_serving

    def on_exchange(self, exchange: HttpExchange) -> None:
        """Respond with 200 while the process accepts callers, with 503 otherwise."""
        exchange.respond(200 if self._is_serving() else 503, [])


class DirectoryEndpoint(ExchangeListener):
    """Tells callers which addresses they may connect to.

    Parameters
    ----------
    addresses_for : callable
        Returns the addresses for a failure domain and the address of a caller.
    protocol : CallerProtocol
        HTTP representation of requests and responses.
    """

    def __init__(
        self, addresses_for: Callable[[str, str], list[str]], protocol: CallerProtocol
    ):
        self._addresses_for = addresses_for
        self._protocol = protocol

    def on_exchange(self, exchange: HttpExchange) -> None:
        """Respond with the addresses, with 503 if there are none."""
        domain = self._protocol.read_failure_domain(exchange.head)
        addresses = self._addresses_for(domain, exchange.peer)
        if not addresses:
            exchange.respond(503, [])
            return
        response = self._protocol.build_addresses(addresses, ADDRESS_TTL_MS)
        exchange.respond(response.status, response.headers, response.body)


class MetricsEndpoint(ExchangeListener):
    """Serves the metrics of the process.

    Parameters
    ----------
    metrics : ForwardingMetrics
        Metrics.
    """

    def __init__(self, metrics: ForwardingMetrics):
        self._metrics = metrics

    def on_exchange(self, exchange: HttpExchange) -> None:
        """Respond with the metrics in the Prometheus text format."""
        content_type = (b"content-type", b"text/plain; version=0.0.4; charset=utf-8")
        exchange.respond(200, [content_type], self._metrics.render())
