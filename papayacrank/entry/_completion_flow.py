"""Request flow of a completion."""

from papayacrank.admission import AdmissionPolicy, AdmissionRequest
from papayacrank.cache import hash_prompt
from papayacrank.config import Assistant, Service, Workspace
from papayacrank.quarantine import name_request
from papayacrank.routing import Choice, RoutingRequest
from papayacrank.targets import (
    Delivery,
    ResumeStep,
    StreamAssembler,
    TargetFailure,
    TargetRequest,
    TargetTimeouts,
    TargetUsage,
    encode_tokens,
)

from ._authentication import Caller
from ._completion_encoder import CompletionEncoder
from ._completion_request import CompletionRequest
from ._context import EntryContext
from ._engine_body import EngineFields, encode_engine_body
from ._exchange import Exchange
from ._flow import CALLER_ERROR_STATUSES, FLOW_CHANNEL, RequestFlow
from ._prompt_parts import name_shared_parts
from ._responses import JSON_TYPE, Headers

COMPLETIONS_PATH = "/v1/chat/completions"
CANCEL_PATH = "/v1/cancel"
LOAD_PATH = "/v1/load"
TOKEN_BYTES = 4
CACHED_TOKEN_COST = 0.1
# The first token may be written just before a crash, which then loses the second one.
TOKENS_PAST_BEGINNING = 2
RESUME_REASON = "resume"
# An engine that still has the stream resumes it immediately. A hung one must not use up
# the whole first-token timeout before the stream moves to another engine.
RESUME_TIMEOUT_MS = 2_000
# After these failures the engine is reachable and may still have the request, so the
# stream can be resumed on it.
_RESUMABLE_CODES = frozenset(
    {"connection_lost", "truncated_answer", "progress_timeout", "offset_gap"}
)


class CompletionFlow(RequestFlow):
    """Serves a completion, with several attempts if necessary.

    An attempt that fails before the first token is retried on another engine within
    the retry budget. After the first token, the stream is resumed on the same engine;
    if that fails, another engine continues from the text already sent to the caller.

    Parameters
    ----------
    context, exchange, caller, service
        As for `RequestFlow`.
    completion : CompletionRequest
        Validated request.
    assistant : Assistant
        Assistant of the request; sets output limit, priority and deadline.
    workspace : Workspace
        Configuration of the caller's workspace.
    """

    def __init__(
        self,
        context: EntryContext,
        exchange: Exchange,
        caller: Caller,
        service: Service,
        completion: CompletionRequest,
        assistant: Assistant,
        workspace: Workspace,
    ):
        super().__init__(
            context, exchange, caller, service, True, assistant.deadline_ms
        )
        self._completion = completion
        self._assistant = assistant
        self._weight = workspace.weight
        tokens = encode_tokens(completion.text)
        self._prompt_tokens = len(tokens) // TOKEN_BYTES
        self._max_output = (
            completion.requested_output_tokens or assistant.default_max_output_tokens
        )
        self._prompt_blocks = hash_prompt(
            caller.workspace,
            service.model,
            service.weights_version,
            tokens,
            service.block_tokens,
        )
        request = exchange.request
        self._parts.names = (
            name_request(self.workspace, request.method, request.path, request.body),
            *name_shared_parts(
                service.model, completion.document["messages"], self._prompt_blocks
            ),
        )
        self._attempt_tokens = 0
        self._release: str | None = None
        self._assembler = StreamAssembler(self._max_output)
        self._encoder = CompletionEncoder(exchange.public_id, completion.model)
        self._usage: TargetUsage | None = None
        self._is_paused = False
        self._first_token_ms: int | None = None
        self._last_token_ms = 0

    @property
    def prompt_tokens(self) -> int:
        """Number of prompt tokens."""
        return self._prompt_tokens

    @property
    def max_output_tokens(self) -> int:
        """Maximum number of output tokens."""
        return self._max_output

    @property
    def is_paused(self) -> bool:
        """Whether reading from the engine is paused because the caller is slow."""
        return self._is_paused

    @property
    def _admission(self) -> AdmissionPolicy:
        return self._context.engine_admission

    def _build_admission(self) -> AdmissionRequest:
        matches = self._context.router.index.match(self._prompt_blocks)
        cached = max(matches.values(), default=0) * self._service.block_tokens
        cost = self._prompt_tokens - cached + CACHED_TOKEN_COST * cached
        return AdmissionRequest(
            request_id=self.request_id,
            workspace=self.workspace,
            service=self._service.name,
            tokens=self._prompt_tokens + self._max_output,
            expected_cost=cost + self._max_output,
            deadline_ms=self._deadline_at_ms,
            priority=self._assistant.priority,
            weight=self._weight,
        )

    def _build_routing(self) -> RoutingRequest:
        return RoutingRequest(
            request_id=self._next_attempt_id(),
            service=self._service.name,
            workspace=self.workspace,
            blocks=self._prompt_blocks,
            prompt_tokens=self._prompt_tokens,
            max_output_tokens=self._max_output,
            deadline_ms=self._deadline_at_ms,
            priority=self._assistant.priority,
            excluded=self._excluded | self._list_other_releases(),
        )

    def _list_other_releases(self) -> frozenset[str]:
        """Return the engines whose release differs from the one that began the stream.

        Engines of different releases write streams that do not fit together.
        """
        if self._release is None:
            return frozenset()
        return frozenset(
            item.name for item in self._list_targets() if item.release != self._release
        )

    def _build_attempt(self, attempt_id: str, choice: Choice) -> TargetRequest:
        self._attempt_tokens = 0
        resume_point = self._assembler.resume_point
        fields = EngineFields(
            request_id=self.request_id,
            cache_salt=self.workspace,
            priority=self._assistant.priority,
            weights_version=self._service.weights_version,
            max_tokens=self._max_output,
            resume_from=resume_point.offset,
            resume_text=resume_point.text,
            kv_source=choice.kv_source and self._find_target_address(choice.kv_source),
        )
        return TargetRequest(
            request_id=attempt_id,
            channel=FLOW_CHANNEL,
            address=self._find_target_address(choice.target),
            method="POST",
            path=COMPLETIONS_PATH,
            headers=(("Content-Type", JSON_TYPE),),
            body=encode_engine_body(self._completion.document, fields),
            stream=True,
            idempotent=True,
            first_offset=resume_point.offset,
            echo_id=self.request_id,
            cancel_path=CANCEL_PATH,
            probe_path=LOAD_PATH,
            timeouts=self._build_timeouts(choice.reason == RESUME_REASON),
        )

    def _build_timeouts(self, is_resume: bool) -> TargetTimeouts:
        timings = self._context.settings.timings
        first_token_ms = timings.first_token_timeout_ms
        if is_resume:
            first_token_ms = min(first_token_ms, RESUME_TIMEOUT_MS)
        return TargetTimeouts(
            connect_ms=timings.target_connect_timeout_ms,
            first_byte_ms=first_token_ms,
            first_token_ms=first_token_ms,
            progress_ms=timings.progress_timeout_ms,
        )

    def on_headers(self, status: int, headers: Headers) -> None:
        """Ignore the response head; the caller's response starts with a token."""

    def on_token(self, offset: int, text: str) -> None:
        """Send a token to the caller, exactly once and in order."""
        self._attempt_tokens += 1
        if self._attempt_tokens == TOKENS_PAST_BEGINNING:
            self._parts.on_begun()
        delivery = self._assembler.accept(offset, text)
        if delivery is Delivery.DUPLICATE:
            return
        if delivery is not Delivery.DELIVER:
            self._reject_attempt("offset_gap", f"token {offset} is out of order")
            return
        if self._release is None:
            target = self._find_target(self._choice.target)
            self._release = target.release if target is not None else ""
        self._observe_token()
        if not self._completion.stream:
            return
        self._exchange.start_stream()
        self._exchange.write(self._encoder.encode_token(offset, text))
        self._pause_if_blocked()

    def on_finished(self, usage: TargetUsage | None) -> None:
        """Send the end of the response, or all of it if it is not streamed."""
        if self._assembler.finish(usage.completion_tokens) is not Delivery.DELIVER:
            self._reject_attempt("truncated_answer", "tokens are missing at the end")
            return
        self._usage = usage
        self._finish_attempt()
        if self._completion.stream:
            self._exchange.start_stream()
            offset = self._assembler.next_offset
            self._exchange.write(self._encoder.encode_end(offset, usage))
            self._exchange.end_stream()
        else:
            text = self._assembler.resume_point.text
            body = self._encoder.encode_whole(text, usage)
            self._exchange.respond(200, [("Content-Type", JSON_TYPE)], body)
        self._add_step(f"answered: {usage.completion_tokens} tokens")
        self._end("served", None)

    def on_caller_ready(self) -> None:
        """Resume reading from the engine."""
        if self._is_paused and self._attempt_id is not None:
            self._context.targets.resume(self._attempt_id)
        self._is_paused = False

    def _handle_attempt_failure(self, target: str, failure: TargetFailure) -> None:
        self._is_paused = False
        if failure.status in CALLER_ERROR_STATUSES:
            text = f"the engine refused the request with status {failure.status}"
            self.fail(self._state.fail("refused_by_target", text, 400))
        elif not self._parts.may_repeat:
            self._fail_with_target_error(target, failure)
        elif self._assembler.next_offset:
            self._resume(target, failure)
        elif self._may_retry(failure):
            self._retry_on_other_target(target)
        else:
            self._fail_with_target_error(target, failure)

    def _resume(self, target: str, failure: TargetFailure) -> None:
        """Resume a stream of which the caller has already received a part.

        Resumes have their own limit per stream and are not charged to the retry
        budget: they replace work that was lost, and a refusal would break a response
        that has already started.
        """
        may_reuse_engine = failure.code in _RESUMABLE_CODES and self._is_target_live(
            target
        )
        step = self._assembler.next_step(target, may_reuse_engine)
        if step is ResumeStep.SAME_ENGINE:
            self._context.metrics.on_repeated(self._service.name, "resume")
            self._admit_parts(lambda _: self._resume_on_same_engine(target))
        elif step is ResumeStep.OTHER_ENGINE:
            self._retry_on_other_target(target, "move")
        else:
            self._fail_with_target_error(target, failure)

    def _resume_on_same_engine(self, target: str) -> None:
        choice = Choice(target, 0, 0.0, None, RESUME_REASON)
        if self._context.permits.client.rate_of(target) is None:
            self._send_attempt(self._build_routing(), choice)
            return
        self._request_permit(
            target,
            self._limit_wait(self._build_routing()).max_permit_wait_ms,
            lambda permit: self._send_attempt(self._build_routing(), choice, permit),
            lambda: self._retry_on_other_target(target, "move"),
        )

    def _is_target_live(self, target: str) -> bool:
        return self._context.contact.targets.get(target, "live") == "live"

    def _reject_attempt(self, code: str, message: str) -> None:
        """Cancel an attempt whose output is inconsistent with the tokens sent."""
        self._context.targets.cancel(self._attempt_id)
        self.on_failed(TargetFailure(code, True, message))

    def _observe_token(self) -> None:
        now_ms = self._now_ms()
        spent_tokens = 1
        if self._first_token_ms is None:
            spent_tokens += self._prompt_tokens
            self._first_token_ms = now_ms
            self._context.router.on_first_token(self._attempt_id, now_ms)
            ttft_ms = now_ms - self._arrived_ms
            self._context.metrics.on_first_token(self._service.name, ttft_ms)
            self._add_step("first token")
        else:
            gap_ms = now_ms - self._last_token_ms
            self._context.usage.on_token_gap(self.workspace, gap_ms)
        self._last_token_ms = now_ms
        self._context.shares.spend(self.request_id, spent_tokens, now_ms)

    def _pause_if_blocked(self) -> None:
        if self._exchange.is_blocked and not self._is_paused:
            self._is_paused = True
            self._context.targets.pause(self._attempt_id)

    def _count_tokens(self) -> tuple[int, int, int]:
        cached = self._usage.cached_tokens if self._usage else 0
        cached = min(cached, self._prompt_tokens)
        return self._prompt_tokens, cached, self._assembler.next_offset

    def _ttft_ms(self) -> int | None:
        if self._first_token_ms is None:
            return None
        return self._first_token_ms - self._arrived_ms
