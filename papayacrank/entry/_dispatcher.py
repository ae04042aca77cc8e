"""Dispatches caller requests and target responses to the request flows."""

import json
from datetime import UTC, datetime

from circuits import BaseComponent, handler
from expression import Error, Ok, Result

from papayacrank.config import Service, ServiceKind
from papayacrank.kernel import Failure, Verdict, log_event

from ._action_flow import ActionFlow
from ._authentication import Caller, authenticate, find_exposed_key
from ._completion_flow import COMPLETIONS_PATH, CompletionFlow
from ._completion_request import (
    CompletionRequest,
    check_size,
    find_assistant,
    parse_completion,
)
from ._context import EntryContext
from ._events import FLOW_FAILED
from ._exchange import Exchange
from ._flow import FLOW_CHANNEL, RequestFlow, is_system_refusal
from ._idempotency_key import IDEMPOTENCY_KEY_HEADER, resolve_key
from ._responses import JSON_TYPE
from ._route_response import build_route, list_other_addresses, list_serving
from ._service_flow import ServiceFlow

SERVICES_PREFIX = "/v1/services/"
EXPLAIN_PREFIX = "/v1/explain/"
UNAVAILABLE_RETRY_MS = 1_000
DEFAULT_KEEP_MS = 5_000


class Dispatcher(BaseComponent):
    """Serves the built-in paths and starts a request flow for all others.

    Parameters
    ----------
    context : EntryContext
        Shared components.
    """

    channel = FLOW_CHANNEL

    def __init__(self, context: EntryContext):
        super().__init__()
        self._context = context
        self._rotation = context.boot
        self._status = "starting"

    @property
    def status(self) -> str:
        """``"starting"``, ``"serving"`` or ``"draining"``."""
        return self._status

    def set_status(self, status: str) -> None:
        """Set the status; requests for targets are refused while starting."""
        self._status = status

    # Caller events

    @handler("caller_request", channel="web")
    def _on_caller_request(self, exchange):
        try:
            flow = self._dispatch(exchange)
        except Exception as error:
            text = f"{type(error).__name__}: {error}"
            log_event(FLOW_FAILED, request_id=exchange.request_id, error=text)
            exchange.respond_failure(_internal_error())
            return
        if flow is not None:
            self._context.flows.call(flow, "begin")

    @handler("caller_left", channel="web")
    def _on_caller_left(self, exchange):
        self._call(exchange.request_id, "on_caller_left")

    @handler("caller_ready", channel="web")
    def _on_caller_ready(self, exchange):
        self._call(exchange.request_id, "on_caller_ready")

    # Target events

    @handler("target_headers")
    def _on_target_headers(self, attempt_id, status, headers):
        self._call_attempt(attempt_id, "on_headers", status, headers)

    @handler("target_rate")
    def _on_target_rate(self, attempt_id, statement, is_success):
        self._call_attempt(attempt_id, "on_rate", statement, is_success)

    @handler("target_data")
    def _on_target_data(self, attempt_id, data):
        self._call_attempt(attempt_id, "on_data", data)

    @handler("target_token")
    def _on_target_token(self, attempt_id, offset, text):
        self._call_attempt(attempt_id, "on_token", offset, text)

    @handler("target_finished")
    def _on_target_finished(self, attempt_id, usage):
        self._call_attempt(attempt_id, "on_finished", usage)

    @handler("target_failed")
    def _on_target_failed(self, attempt_id, failure):
        self._call_attempt(attempt_id, "on_failed", failure)

    def _call(self, request_id: str, method: str, *args) -> None:
        flow = self._context.flows.find(request_id)
        if flow is not None:
            self._context.flows.call(flow, method, *args)

    def _call_attempt(self, attempt_id: str, method: str, *args) -> None:
        flow = self._context.flows.find_attempt(attempt_id)
        if flow is not None:
            self._context.flows.call(flow, method, *args)

    # Routing by path

    def _dispatch(self, exchange: Exchange) -> RequestFlow | None:
        """Respond to a request, or return the flow that will serve it.

        The returned flow has not been started, so nothing has been sent to a target.
        """
        request = exchange.request
        path = request.path
        if path.startswith(SERVICES_PREFIX):
            return self._prepare(exchange, self._prepare_service)
        if path == COMPLETIONS_PATH and request.method == "POST":
            return self._prepare(exchange, self._prepare_completion)
        self._serve_own_path(exchange)
        return None

    def _serve_own_path(self, exchange: Exchange) -> None:
        request = exchange.request
        path = request.path
        if request.method not in ("GET", "HEAD"):
            exchange.respond_failure(_unknown_path())
        elif path == "/v1/route":
            self._serve_route(exchange)
        elif path == "/health":
            self._serve_health(exchange)
        elif path == "/metrics":
            metrics = self._context.metrics
            headers = [("Content-Type", metrics.content_type)]
            exchange.respond(200, headers, metrics.render())
        elif path.startswith(EXPLAIN_PREFIX):
            self._serve_explain(exchange, path.removeprefix(EXPLAIN_PREFIX))
        else:
            exchange.respond_failure(_unknown_path())

    def _serve_route(self, exchange: Exchange) -> None:
        context = self._context
        is_available = self._status == "serving" and self._has_contact()
        own = context.settings.instance
        serving = list_serving(
            context.contact.instances, own, include_self=is_available
        )
        configuration = context.contact.configuration
        keep_ms = configuration.keep_route_ms if configuration else DEFAULT_KEEP_MS
        self._rotation += 1
        _respond_json(exchange, 200, build_route(serving, self._rotation, keep_ms))

    def _serve_health(self, exchange: Exchange) -> None:
        contact = self._has_contact()
        document = {
            "status": self._status,
            "control_contact": contact,
            "configuration_version": self._context.contact.configuration_version,
            "requests_in_progress": len(self._context.flows),
        }
        is_available = self._status == "serving" and contact
        _respond_json(exchange, 200 if is_available else 503, document)

    def _serve_explain(self, exchange: Exchange, request_id: str) -> None:
        """Return the record of a request.

        Over the loopback interface no key is needed. Other callers only see requests
        of their own workspace.
        """
        record = self._context.records.find(request_id)
        if not exchange.peer.startswith("127."):
            caller = self._authenticate(exchange)
            if caller.is_error():
                exchange.respond_failure(caller.error)
                return
            if record is not None and record.workspace != caller.ok.workspace:
                record = None
        if record is None:
            text = "no record of this request on this instance"
            failure = Failure("unknown_request", Verdict.NOT_RUN, text, 404)
            exchange.respond_failure(failure)
            return
        document = {
            "request_id": record.request_id,
            "workspace": record.workspace,
            "service": record.service,
            "steps": [{"at_ms": at_ms, "step": text} for at_ms, text in record.steps],
        }
        _respond_json(exchange, 200, document)

    def _prepare(self, exchange: Exchange, prepare) -> RequestFlow | None:
        prepared = prepare(exchange)
        if prepared.is_error():
            self._count_refusal(exchange, prepared.error)
            exchange.respond_failure(prepared.error)
            return None
        return prepared.ok

    def _count_refusal(self, exchange: Exchange, failure: Failure) -> None:
        """Count a refused request of a known workspace that never became a flow."""
        if exchange.workspace is not None:
            usage = self._context.usage
            usage.on_asked(exchange.workspace)
            usage.on_refused(exchange.workspace, failure, is_system_refusal(failure))

    def _prepare_completion(
        self, exchange: Exchange
    ) -> Result[CompletionFlow, Failure]:
        caller = self._authenticate(exchange)
        if caller.is_error():
            return caller
        parsed = parse_completion(exchange.request.body)
        if parsed.is_error():
            return parsed
        return self._build_completion(exchange, caller.ok, parsed.ok)

    def _build_completion(
        self, exchange: Exchange, caller: Caller, completion: CompletionRequest
    ) -> Result[CompletionFlow, Failure]:
        configuration = self._context.contact.configuration
        service = configuration.find_model(completion.model)
        if service is None:
            return Error(_refuse("unknown_model", "no service has this model", 404))
        workspace = configuration.find_workspace(caller.workspace)
        if workspace is None or service.name not in workspace.services:
            return Error(_access_denied(service.name))
        assistant = find_assistant(
            configuration.assistants, service, completion.assistant
        )
        if assistant is None:
            return Error(_refuse("unknown_assistant", "unknown assistant", 400))
        flow = CompletionFlow(
            self._context, exchange, caller, service, completion, assistant, workspace
        )
        too_large = check_size(
            flow.prompt_tokens,
            self._context.settings.limits,
            workspace.burst_tokens,
            flow.max_output_tokens,
        )
        return Ok(flow) if too_large is None else Error(too_large)

    def _prepare_service(self, exchange: Exchange) -> Result[ServiceFlow, Failure]:
        request = exchange.request
        name, path = _split_service_path(request.path)
        raw_name, raw_path = _split_service_path(request.target)
        configuration = self._context.contact.configuration
        service = configuration.find_service(name) if configuration else None
        is_available = service is not None and service.kind is ServiceKind.PLAIN
        rule = service.find_rule(request.method, path) if is_available else None
        is_public = rule is not None and rule.public
        caller = self._identify(exchange, is_public)
        if caller.is_error():
            return caller
        if not is_available or raw_name != name:
            return Error(_refuse("unknown_service", "unknown service", 404))
        if caller.ok is not None and not self._may_use(caller.ok, service):
            return Error(_access_denied(name))
        if rule.idempotent:
            context = self._context
            return Ok(ServiceFlow(context, exchange, caller.ok, service, raw_path))
        return self._build_action(exchange, caller.ok, service, raw_path)

    def _build_action(
        self,
        exchange: Exchange,
        caller: Caller | None,
        service: Service,
        target_path: str,
    ) -> Result[ActionFlow, Failure]:
        header = exchange.request.headers.get(IDEMPOTENCY_KEY_HEADER)
        key = resolve_key(header, datetime.now(UTC))
        if key.is_error():
            return key
        return Ok(
            ActionFlow(self._context, exchange, caller, service, target_path, key.ok)
        )

    # Access

    def _identify(
        self, exchange: Exchange, is_public: bool
    ) -> Result[Caller | None, Failure]:
        """Authenticate the caller, except on public paths.

        Public paths work without control contact, and their requests have no caller.
        """
        if not is_public:
            return self._authenticate(exchange)
        unavailable = self._check_availability(needs_contact=False)
        if unavailable is not None:
            return Error(unavailable)
        exposed = find_exposed_key(exchange.request, self._context.contact)
        return Ok(None) if exposed is None else Error(exposed)

    def _authenticate(self, exchange: Exchange) -> Result[Caller, Failure]:
        unavailable = self._check_availability(needs_contact=True)
        if unavailable is not None:
            return Error(unavailable)
        caller = authenticate(exchange.request, self._context.contact)
        if caller.is_ok():
            exchange.workspace = caller.ok.workspace
        return caller

    def _check_availability(self, needs_contact: bool) -> Failure | None:
        if self._status == "starting":
            text = "this instance is starting"
            return self._refuse_unavailable("starting", text)
        if needs_contact and not self._has_contact():
            text = "this instance has no contact with the control group"
            return self._refuse_unavailable("no_control_contact", text)
        return None

    def _refuse_unavailable(self, code: str, text: str) -> Failure:
        details = {"addresses": self.list_other_addresses()}
        retry_after_ms = UNAVAILABLE_RETRY_MS
        return Failure(code, Verdict.NOT_RUN, text, 503, retry_after_ms, details)

    def list_other_addresses(self) -> list[str]:
        """Return addresses of other instances that a caller can try."""
        self._rotation += 1
        contact = self._context.contact
        own = self._context.settings.instance
        return list_other_addresses(contact.instances, own, self._rotation)

    def _has_contact(self) -> bool:
        contact = self._context.contact
        has_contact = contact.has_contact(self._context.clock.now_ms())
        return has_contact and contact.configuration is not None

    def _may_use(self, caller: Caller, service: Service) -> bool:
        configuration = self._context.contact.configuration
        workspace = configuration.find_workspace(caller.workspace)
        return workspace is not None and service.name in workspace.services


def _split_service_path(path: str) -> tuple[str, str]:
    """Return the service name and the remaining path including the query."""
    rest = path.removeprefix(SERVICES_PREFIX)
    end = min((i for i in (rest.find("/"), rest.find("?")) if i >= 0), default=None)
    if end is None:
        return rest, "/"
    inner = rest[end:]
    return rest[:end], inner if inner.startswith("/") else "/" + inner


def _respond_json(exchange: Exchange, status: int, document: dict) -> None:
    headers = [("Content-Type", JSON_TYPE), ("Cache-Control", "no-store")]
    exchange.respond(status, headers, json.dumps(document).encode())


def _refuse(code: str, message: str, status: int) -> Failure:
    return Failure(code, Verdict.NOT_RUN, message, status)


def _unknown_path() -> Failure:
    return _refuse("unknown_path", "unknown path or method", 404)


def _access_denied(service: str) -> Failure:
    return _refuse("no_access", f"the workspace may not use {service}", 403)


def _internal_error() -> Failure:
    return Failure("internal_error", Verdict.NOT_RUN, "internal error", 500)
