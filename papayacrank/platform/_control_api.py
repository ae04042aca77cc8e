"""HTTP API of a control process for the operators of the platform."""

import json
from collections.abc import Callable
from typing import Any

from pydantic import Field, ValidationError

from papayacrank.kernel import Failure, log_event
from papayacrank.messages import FileRouting, NameWeights, ReadState
from papayacrank.transport import ExchangeListener, HttpExchange

from ._configuration import (
    NO_TOLERANCE,
    ConfigurationError,
    RateTolerance,
    read_configuration,
)
from ._events import CONFIGURATION_REFUSED, OPERATOR_ANSWERED
from ._wire_model import Integer, StrictWireModel

# Operators retry on another machine after 1 s without a response.
SUBMIT_TIMEOUT_MS = 850
JSON_HEADERS = [(b"content-type", b"application/json")]
RETRY_HEADERS = [*JSON_HEADERS, (b"retry-after", b"0.2")]


class _VersionRequest(StrictWireModel):
    model: str
    version: Integer = Field(ge=1)


class ControlApi(ExchangeListener):
    """Translates calls of operators to commands of the control group.

    Parameters
    ----------
    submit : Callable
        `ControlProcess.submit`.
    tolerance : RateTolerance
        Amount by which quotas may be exceeded.
    """

    def __init__(
        self,
        submit: Callable[[Any, Callable, int], None],
        tolerance: RateTolerance = NO_TOLERANCE,
    ):
        self._submit = submit
        self._tolerance = tolerance
        self._routes = {
            ("POST", "/v1/configuration/put"): self._put_configuration,
            ("GET", "/v1/configuration/get"): self._get_configuration,
            ("POST", "/v1/version-put"): self._put_version,
        }

    def on_exchange(self, exchange: HttpExchange) -> None:
        """Handle a call of an operator."""
        path = exchange.head.target.split("?", 1)[0]
        handle = self._routes.get((exchange.head.method, path))
        if handle is None:
            _respond(exchange, 404, {"error": "unknown call"})
            return
        handle(exchange)

    def _put_configuration(self, exchange: HttpExchange) -> None:
        try:
            configuration = read_configuration(exchange.body, self._tolerance)
        except ConfigurationError as error:
            log_event(CONFIGURATION_REFUSED, error=str(error))
            _respond(exchange, 400, {"error": str(error)})
            return
        command = FileRouting(configuration, exchange.body)
        self._submit_command(
            exchange, command, lambda result: {"version": result.version}
        )

    def _put_version(self, exchange: HttpExchange) -> None:
        try:
            named = _VersionRequest.model_validate_json(exchange.body)
        except ValidationError as error:
            _respond(exchange, 400, {"error": error.errors()[0]["msg"]})
            return
        command = NameWeights(named.model, named.version)
        self._submit_command(exchange, command, lambda result: {})

    def _get_configuration(self, exchange: HttpExchange) -> None:
        def finish(outcome) -> None:
            if outcome.is_error():
                _respond_failure(exchange, outcome.error)
                return
            view = json.loads(outcome.ok.document)
            if not view["version"]:
                _respond(exchange, 503, {"error": "no configuration yet"})
                return
            exchange.respond(200, JSON_HEADERS, view["source"].encode())

        self._submit(ReadState("routing"), finish, SUBMIT_TIMEOUT_MS)

    def _submit_command(
        self, exchange: HttpExchange, command: Any, describe: Callable
    ) -> None:
        def finish(outcome) -> None:
            if outcome.is_error():
                _respond_failure(exchange, outcome.error)
            else:
                _respond(exchange, 200, describe(outcome.ok))

        self._submit(command, finish, SUBMIT_TIMEOUT_MS)


def _respond_failure(exchange: HttpExchange, failure: Failure) -> None:
    """Send an error response for a failed command, which the operator may retry."""
    status = failure.status if failure.status in (400, 413) else 503
    log_event(
        OPERATOR_ANSWERED,
        path=exchange.head.target,
        status=status,
        code=failure.code,
    )
    exchange.respond(
        status, RETRY_HEADERS, json.dumps({"error": failure.code}).encode()
    )


def _respond(exchange: HttpExchange, status: int, body: dict) -> None:
    log_event(OPERATOR_ANSWERED, path=exchange.head.target, status=status, **body)
    exchange.respond(status, JSON_HEADERS, json.dumps(body).encode())
