"""HTTP API of a control process for the operators of the platform."""

import json
from collections.abc import Callable
from typing import Any
from urllib.parse import unquote

from pydantic import Field, ValidationError

from papayacrank.kernel import Failure, log_event
from papayacrank.messages import FileRouting, NameWeights, ReadState, StartRollout
from papayacrank.transport import ExchangeListener, HttpExchange

from ._configuration import (
    NO_TOLERANCE,
    ConfigurationError,
    RateTolerance,
    read_configuration,
)
from ._events import CONFIGURATION_REFUSED, OPERATOR_ANSWERED
from ._wire_model import Integer, StrictWireModel, WireName

# Operators retry on another machine after 1 s without a response.
SUBMIT_TIMEOUT_MS = 850
JSON_HEADERS = [(b"content-type", b"application/json")]
MS_PER_SECOND = 1000
MAX_ROLLOUT_S = 24 * 60 * 60
ROLLOUTS_PATH = "/v1/rollouts/"
GET_SUFFIX = "/get"
# Refusals of a command that a later attempt would get too. All others become 503, so
# that the operator tries again.
FINAL_STATUSES = (400, 413)
FINAL_ROLLOUT_STATUSES = (400, 404, 409)
RETRY_HEADERS = [*JSON_HEADERS, (b"retry-after", b"0.2")]


class _VersionRequest(StrictWireModel):
    model: str
    version: Integer = Field(ge=1)


class _RolloutRequest(StrictWireModel):
    service: WireName
    to: WireName
    duration_s: float = Field(gt=0, le=MAX_ROLLOUT_S)


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
            ("POST", "/v1/rollouts/start"): self._start_rollout,
        }

    def on_exchange(self, exchange: HttpExchange) -> None:
        """Handle a call of an operator."""
        path = exchange.head.target.split("?", 1)[0]
        handle = self._routes.get((exchange.head.method, path))
        service = _find_rollout_service(exchange.head.method, path)
        if service:
            self._get_rollout(exchange, service)
            return
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

    def _start_rollout(self, exchange: HttpExchange) -> None:
        try:
            order = _RolloutRequest.model_validate_json(exchange.body)
        except ValidationError as error:
            _respond(exchange, 400, {"error": error.errors()[0]["msg"]})
            return
        duration_ms = max(1, round(order.duration_s * MS_PER_SECOND))
        command = StartRollout(order.service, order.to, duration_ms)
        self._submit_command(
            exchange, command, lambda result: {}, FINAL_ROLLOUT_STATUSES
        )

    def _get_rollout(self, exchange: HttpExchange, service: str) -> None:
        def finish(outcome) -> None:
            if outcome.is_error():
                # A leader of an older build refuses the read; a later one may not.
                _respond_failure(exchange, outcome.error, ())
                return
            rollouts = json.loads(outcome.ok.document)
            found = next((r for r in rollouts if r["service"] == service), None)
            if found is None:
                _respond(exchange, 404, {"error": "no rollout"})
                return
            _respond(exchange, 200, {"state": found["state"], "to": found["release"]})

        self._submit(ReadState("rollouts"), finish, SUBMIT_TIMEOUT_MS)

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
        self,
        exchange: HttpExchange,
        command: Any,
        describe: Callable,
        final: tuple[int, ...] = FINAL_STATUSES,
    ) -> None:
        def finish(outcome) -> None:
            if outcome.is_error():
                _respond_failure(exchange, outcome.error, final)
            else:
                _respond(exchange, 200, describe(outcome.ok))

        self._submit(command, finish, SUBMIT_TIMEOUT_MS)


def _find_rollout_service(method: str, path: str) -> str:
    """Return the service whose rollout is read, empty if the call is another one."""
    is_read = path.startswith(ROLLOUTS_PATH) and path.endswith(GET_SUFFIX)
    if method != "GET" or not is_read:
        return ""
    return unquote(path.removeprefix(ROLLOUTS_PATH).removesuffix(GET_SUFFIX))


def _respond_failure(
    exchange: HttpExchange, failure: Failure, final: tuple[int, ...] = FINAL_STATUSES
) -> None:
    """Send an error response for a failed command.

    The operator may retry unless the status of the failure is one of `final`.
    """
    status = failure.status if failure.status in final else 503
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
