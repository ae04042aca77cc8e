"""Request flow to a plain service."""

from papayacrank.admission import AdmissionPolicy, AdmissionRequest
from papayacrank.config import Service
from papayacrank.quarantine import name_request
from papayacrank.routing import Choice, RoutingRequest
from papayacrank.targets import (
    TargetFailure,
    TargetRequest,
    TargetTimeouts,
    TargetUsage,
)

from ._authentication import Caller
from ._context import EntryContext
from ._exchange import REQUEST_ID_HEADER, Exchange
from ._flow import FLOW_CHANNEL, RequestFlow
from ._responses import VERDICT_HEADER, Headers

SERVICE_DEADLINE_MS = 30_000
# Cost of one request in the fair queue. For engines the cost is a number of tokens; all
# plain requests cost the same.
PLAIN_REQUEST_COST = 1.0
# The target reports that it did not process the request, or that a server behind it
# failed.
RETRYABLE_STATUSES = frozenset({502, 503, 504})
_OWN_RESPONSE_HEADERS = frozenset(
    {
        "content-length",
        "date",
        "server",
        "idempotency-key",
        REQUEST_ID_HEADER.lower(),
        VERDICT_HEADER.lower(),
    }
)


class ServiceFlow(RequestFlow):
    """Serves a request to a plain service, with retries if it is idempotent.

    Parameters
    ----------
    context, exchange, caller, service
        As for `RequestFlow`.
    target_path : str
        Path and query sent to the target, as received from the caller.
    idempotent : bool
        Whether the request may be sent more than once.
    """

    def __init__(
        self,
        context: EntryContext,
        exchange: Exchange,
        caller: Caller | None,
        service: Service,
        target_path: str,
        idempotent: bool = True,
    ):
        super().__init__(
            context, exchange, caller, service, idempotent, SERVICE_DEADLINE_MS
        )
        request = exchange.request
        self._parts.names = (
            name_request(self.workspace, request.method, target_path, request.body),
        )
        self._target_path = target_path
        self._idempotent = idempotent
        self._status = 0
        self._headers: Headers = []
        self._body = bytearray()

    @property
    def _admission(self) -> AdmissionPolicy:
        return self._context.plain_admission

    def _build_admission(self) -> AdmissionRequest:
        return AdmissionRequest(
            request_id=self.request_id,
            workspace=self.workspace,
            service=self._service.name,
            tokens=0,
            expected_cost=PLAIN_REQUEST_COST,
            deadline_ms=self._deadline_at_ms,
            weight=self._find_weight(),
        )

    def _find_weight(self) -> float:
        configuration = self._context.contact.configuration
        workspace = configuration.find_workspace(self.workspace)
        return workspace.weight if workspace else 1.0

    def _build_routing(self) -> RoutingRequest:
        return RoutingRequest(
            request_id=self._next_attempt_id(),
            service=self._service.name,
            workspace=self.workspace,
            deadline_ms=self._deadline_at_ms,
            excluded=self._excluded,
        )

    def _build_attempt(self, attempt_id: str, choice: Choice) -> TargetRequest:
        timings = self._context.settings.timings
        request = self._exchange.request
        self._status = 0
        self._body.clear()
        return TargetRequest(
            request_id=attempt_id,
            channel=FLOW_CHANNEL,
            address=self._find_target_address(choice.target),
            method=request.method,
            path=self._target_path,
            headers=self._target_headers(),
            body=request.body,
            idempotent=self._idempotent,
            pass_headers=frozenset({"idempotency-key", "cookie"}),
            echo_id=self.request_id,
            max_body_bytes=self._context.settings.limits.max_body_bytes,
            timeouts=TargetTimeouts(
                connect_ms=timings.target_connect_timeout_ms,
                first_byte_ms=timings.first_token_timeout_ms,
                first_token_ms=timings.first_token_timeout_ms,
                progress_ms=timings.progress_timeout_ms,
            ),
        )

    def _target_headers(self) -> tuple[tuple[str, str], ...]:
        return tuple(self._exchange.request.headers.items())

    def on_headers(self, status: int, headers: Headers) -> None:
        """Buffer status and headers of the response."""
        self._context.router.on_first_token(self._attempt_id, self._now_ms())
        self._status = status
        self._headers = [
            (name, value)
            for name, value in headers
            if name.lower() not in _OWN_RESPONSE_HEADERS
        ]

    def on_data(self, data: bytes) -> None:
        """Buffer a part of the body, whose size the target client limits."""
        self._body += data

    def on_finished(self, usage: TargetUsage | None) -> None:
        """Send the response, or retry if the target was unavailable."""
        if self._status in RETRYABLE_STATUSES and self._idempotent:
            self._handle_unavailable()
            return
        self._finish_attempt()
        self._respond()

    def _handle_unavailable(self) -> None:
        target = self._choice.target
        self._state.on_attempt_failed(bytes_written=True)
        self._context.router.on_finished(self._attempt_id, False, self._now_ms())
        self._clear_attempt()
        self._add_step(f"{target} answered with status {self._status}")
        if self._may_retry(TargetFailure("unavailable", True)):
            self._retry_on_other_target(target)
        else:
            self._respond()

    def _respond(self) -> None:
        self._add_step(f"answered with status {self._status}")
        self._exchange.respond(self._status, self._headers, bytes(self._body))
        self._end("served", None)

    def _handle_attempt_failure(self, target: str, failure: TargetFailure) -> None:
        if self._parts.may_repeat and self._may_retry(failure):
            self._retry_on_other_target(target)
        else:
            self._fail_with_target_error(target, failure)

    def _count_tokens(self) -> tuple[int, int, int]:
        return 0, 0, 0
