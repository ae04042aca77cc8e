"""Base class of the flows of requests to targets."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from papayacrank.admission import AdmissionPolicy, AdmissionRequest
from papayacrank.config import Service, TargetAddress
from papayacrank.kernel import Failure, Verdict
from papayacrank.permits import (
    ANY_PERMIT_WAIT_MS,
    MAX_PERMIT_REQUESTS,
    NO_PERMITS,
    Permit,
    PermitDecision,
    PermitOutcome,
    RateKnowledge,
    RateStatement,
)
from papayacrank.quarantine import TrialDecision
from papayacrank.routing import Choice, RoutingRequest
from papayacrank.targets import TargetFailure, TargetRequest, TargetUsage

from ._authentication import Caller
from ._context import EntryContext
from ._exchange import Exchange
from ._part_trials import PartTrials
from ._request_state import Phase, RequestStateMachine
from ._responses import Headers

FLOW_CHANNEL = "entry"
PUBLIC_WORKSPACE = "(public)"
MAX_ATTEMPTS = 4
MAX_MESSAGE_CHARACTERS = 200
DEADLINE_CODE = "deadline_exceeded"
# Part of the remaining time of a request that one wait for a permit may take.
PERMIT_WAIT_DIVISOR = 4
# The connection ended although no deadline had passed.
LOST_CONNECTION_CODES = frozenset(
    {"connect_failed", "connection_lost", "truncated_answer", "write_failed"}
)
# The target rejected the content of the request, so a retry would not help.
CALLER_ERROR_STATUSES = frozenset({400, 413, 422})


def is_system_refusal(failure: Failure) -> bool:
    """Return whether a refusal is caused by the system and not by the caller."""
    return failure.status >= 500


class RequestFlow(ABC):
    """Flow of one request from admission to its response.

    Parameters
    ----------
    context : EntryContext
        Shared components.
    exchange : Exchange
        Request and the means to respond to it.
    caller : Caller or None
        Authenticated sender; None on public paths.
    service : Service
        Requested service.
    idempotent : bool
        Whether the request may be sent more than once.
    deadline_ms : int
        Time allowed for the whole request, in milliseconds.
    """

    def __init__(
        self,
        context: EntryContext,
        exchange: Exchange,
        caller: Caller | None,
        service: Service,
        idempotent: bool,
        deadline_ms: int,
    ):
        self._context = context
        self._exchange = exchange
        self._caller = caller
        self._service = service
        self._state = RequestStateMachine(idempotent)
        self._arrived_ms = context.clock.now_ms()
        self._deadline_at_ms = self._arrived_ms + deadline_ms
        self._excluded: frozenset[str] = frozenset()
        self._addresses: dict[str, str] = {}
        self._choice: Choice | None = None
        self._attempt_id: str | None = None
        self._permit: Permit | None = None
        self._permit_requests = 0
        self._on_permit_decision: Callable[[PermitDecision], None] | None = None
        self._rate_knowledge = RateKnowledge()
        self._is_admitted = False
        self._is_outcome_recorded = False
        self._ended = False
        self._record = context.records.open(
            exchange.public_id, self.workspace, service.name, self._arrived_ms
        )
        self._parts = PartTrials(
            context.quarantine,
            context.crash_checks,
            context.clock,
            self.request_id,
            exchange.public_id,
            self.workspace,
            self._add_step,
        )

    @property
    def request_id(self) -> str:
        """Identifier of the request within the process."""
        return self._exchange.request_id

    @property
    def workspace(self) -> str:
        """Workspace that the request is charged to."""
        return self._caller.workspace if self._caller else PUBLIC_WORKSPACE

    @property
    def caller(self) -> Caller | None:
        """Authenticated sender; None on public paths."""
        return self._caller

    @property
    def ended(self) -> bool:
        """Whether the flow has ended and released its resources."""
        return self._ended

    @property
    def is_paused(self) -> bool:
        """Whether reading from the target is paused because the caller is slow."""
        return False

    # Steps implemented by subclasses

    @property
    @abstractmethod
    def _admission(self) -> AdmissionPolicy:
        """Admission queue of the request."""

    @abstractmethod
    def _build_admission(self) -> AdmissionRequest:
        """Build the admission request."""

    @abstractmethod
    def _build_routing(self) -> RoutingRequest:
        """Build the request for the choice of a target."""

    @abstractmethod
    def _build_attempt(self, attempt_id: str, choice: Choice) -> TargetRequest:
        """Build the request that is sent to the target."""

    @abstractmethod
    def on_headers(self, status: int, headers: Headers) -> None:
        """Handle status and headers of the target's response."""

    def on_data(self, data: bytes) -> None:  # noqa: B027
        """Handle a part of the body of a plain response."""

    def on_token(self, offset: int, text: str) -> None:  # noqa: B027
        """Handle a token of a streamed completion."""

    @abstractmethod
    def on_finished(self, usage: TargetUsage | None) -> None:
        """Handle the end of the target's response."""

    @abstractmethod
    def _handle_attempt_failure(self, target: str, failure: TargetFailure) -> None:
        """Retry, resume or fail the request after a failed attempt."""

    @abstractmethod
    def _count_tokens(self) -> tuple[int, int, int]:
        """Return the numbers of prompt, cached and output tokens used."""

    def on_caller_ready(self) -> None:  # noqa: B027
        """Handle that a blocked caller accepts data again."""

    # Events

    def begin(self) -> None:
        """Start the flow by submitting the request for admission."""
        self._context.flows.add(self)
        self._set_timer("deadline", self._deadline_at_ms, "on_deadline")
        if self._caller is not None:
            self._context.usage.on_asked(self.workspace)
        self._state.on_queued()
        outcome = self._admission.submit(self._build_admission(), self._now_ms())
        if outcome.is_error():
            self.fail(outcome.error)
        else:
            self._context.flows.poll_admission()

    def on_admitted(self) -> None:
        """Run the request after its admission."""
        self._state.on_admitted()
        self._is_admitted = True
        self._add_step("admitted")
        self._context.retries.on_request(self._now_ms())
        self._run()

    def on_failed(self, failure: TargetFailure) -> None:
        """Handle the failure of the current attempt."""
        target = self._choice.target
        self._state.on_attempt_failed(failure.bytes_written)
        if not failure.bytes_written:
            self._give_back(self._permit)
        ok = None if self._is_health_neutral(failure) else False
        self._context.router.on_finished(self._attempt_id, ok, self._now_ms())
        self._clear_attempt()
        self._add_step(f"attempt at {target} failed: {failure.code}")
        self._check_crash(target, failure)
        if failure.bytes_written:
            self._parts.end_trial()
        self._handle_attempt_failure(target, failure)

    def on_rate(self, statement: RateStatement | None, is_success: bool) -> None:
        """Handle the request rate limit that the head of a response states, if any."""
        self._context.permits.observe(
            self._choice.target,
            0,
            statement,
            self._rate_knowledge,
            is_success,
            self._exchange.public_id,
        )

    def on_caller_left(self) -> None:
        """Cancel the request after the caller has disconnected."""
        if not self._ended:
            self._add_step("the caller left")
            self._cancel_attempt()
            self._end("left", None)

    def on_key_withdrawn(self) -> None:
        """Fail the request because its key was withdrawn."""
        text = "the key was withdrawn while the request was running"
        self.fail(self._state.fail("key_withdrawn", text, 401))

    def on_contact_lost(self, addresses: list[str]) -> None:
        """Fail the request because control contact was lost.

        Without contact the process would not learn that the key was withdrawn.
        """
        text = "control contact was lost while the request was running"
        details = {"addresses": addresses}
        self.fail(self._state.fail("no_control_contact", text, 503, details=details))

    def fail(self, failure: Failure) -> None:
        """End the request with a failure."""
        if self._ended:
            return
        self._add_step(f"failed: {failure.code} ({failure.verdict.value})")
        self._cancel_attempt(is_past_deadline=failure.code == DEADLINE_CODE)
        self._exchange.respond_failure(failure)
        self._end(failure.code, failure)

    def abort(self) -> None:
        """End the request after an internal error, in any state."""
        failure = self._state.fail("internal_error", "internal error", 500)
        self._exchange.respond_failure(failure)
        if not self._ended:
            self._cancel_attempt()
            self._end(failure.code, failure)

    # Helpers

    def _run(self) -> None:
        self._start_attempt()

    def _start_attempt(self, permit: Permit | None = None) -> None:
        """Choose a target and send the request, or request a permit of the target.

        Parameters
        ----------
        permit : Permit, optional
            Permit of the target that was chosen before, which is checked again.
        """
        if self._caller is not None and not self._has_contact():
            # The contact was checked when the request was accepted, but the process may
            # have been suspended since.
            self._give_back(permit)
            text = "control contact was lost before the request was sent"
            self._give_up(self._state.fail("no_control_contact", text, 503))
            return
        self._admit_parts(self._place_attempt, permit)

    def _place_attempt(self, permit: Permit | None) -> None:
        """Choose a target for a request whose prompt parts may be sent."""
        if permit is not None and self._send_with_permit(permit):
            return
        routing = self._limit_wait(self._build_routing())
        outcome = self._context.router.choose(routing, self._now_ms())
        if outcome.is_error() and self._excluded:
            # All targets have failed once; one of them may have recovered.
            self._excluded = frozenset()
            routing = self._limit_wait(self._build_routing())
            outcome = self._context.router.choose(routing, self._now_ms())
        if outcome.is_error():
            refused = outcome.error
            code, status = refused.code, refused.status
            self._give_up(
                self._state.fail(code, refused.message, status, refused.retry_after_ms)
            )
            return
        target = outcome.ok.target
        if self._context.permits.client.rate_of(target) is None:
            self._send_attempt(routing, outcome.ok)
            return
        self._request_permit(
            target, routing.max_permit_wait_ms, self._start_attempt, self._start_attempt
        )

    def _send_with_permit(self, permit: Permit) -> bool:
        """Send the request if its target can still take it, else return the permit."""
        routing = replace(
            self._build_routing(),
            max_permit_wait_ms=ANY_PERMIT_WAIT_MS,
            required=permit.target,
        )
        outcome = self._context.router.choose(routing, self._now_ms())
        if outcome.is_error():
            self._give_back(permit)
            return False
        self._send_attempt(routing, outcome.ok, permit)
        return True

    def _limit_wait(self, routing: RoutingRequest) -> RoutingRequest:
        """Set the longest time that a request may wait for a permit."""
        max_wait_ms = NO_PERMITS
        if self._permit_requests < MAX_PERMIT_REQUESTS:
            remaining_ms = self._deadline_at_ms - self._now_ms()
            max_wait_ms = max(0, remaining_ms // PERMIT_WAIT_DIVISOR)
        return replace(routing, max_permit_wait_ms=max_wait_ms)

    def _request_permit(
        self,
        target: str,
        max_wait_ms: int,
        on_granted: Callable[[Permit | None], None],
        on_refused: Callable[[], None],
    ) -> None:
        """Request a permit of a target.

        Parameters
        ----------
        target : str
            Target with a request rate limit.
        max_wait_ms : int
            Longest time to wait for the permit.
        on_granted : callable
            Called with the permit, or None if the limit has ended.
        on_refused : callable
            Called if there is no permit in time.
        """
        self._permit_requests += 1
        self._add_step(f"waits for a permit of {target}")

        def on_decision(decision: PermitDecision) -> None:
            if decision.outcome is PermitOutcome.GRANTED:
                on_granted(decision.permit)
            elif decision.outcome is PermitOutcome.UNLIMITED:
                on_granted(None)
            else:
                self._add_step(f"no permit of {target}: {decision.outcome.value}")
                on_refused()

        self._on_permit_decision = on_decision
        self._context.permits.acquire(
            self.request_id,
            target,
            max_wait_ms,
            self._make_guarded_callback("on_permit_decision"),
            self._exchange.public_id,
        )

    def on_permit_decision(self, decision: PermitDecision) -> None:
        """Continue with the decision on a permit."""
        self._on_permit_decision(decision)

    def _admit_parts(
        self,
        on_allowed: Callable[[Permit | None], None],
        permit: Permit | None = None,
    ) -> None:
        """Continue once the prompt parts may be sent, or refuse the request.

        Parameters
        ----------
        on_allowed : callable
            Called with the permit, or None if it was returned while the request waited
            for a trial.
        permit : Permit, optional
            Permit that the request holds.
        """
        if self._parts.may_send():
            on_allowed(permit)
            return
        self._give_back(permit)
        self._parts.acquire(
            lambda: on_allowed(None),
            self._refuse_parts,
            self._make_guarded_callback("on_trial_decision"),
        )

    def on_trial_decision(self, decision: TrialDecision) -> None:
        """Continue with the decision on a trial."""
        self._parts.on_decision(decision)

    def _refuse_parts(self, retry_after_ms: int | None) -> None:
        text = "targets have crashed on the request or on parts of its prompt"
        self._give_up(self._state.fail("quarantined", text, 503, retry_after_ms))

    def _check_crash(self, target: str, failure: TargetFailure) -> None:
        """Check whether a target has crashed on the request."""
        if failure.bytes_written and failure.code in LOST_CONNECTION_CODES:
            address = self._find_target_address(target)
            self._parts.on_lost(target, address, failure.opened_ms)

    def _give_back(self, permit: Permit | None) -> None:
        if permit is not None:
            self._context.permits.give_back(permit)

    def _send_attempt(
        self, routing: RoutingRequest, choice: Choice, permit: Permit | None = None
    ) -> None:
        now_ms = self._now_ms()
        self._state.on_attempt()
        self._choice = choice
        self._permit = permit
        self._rate_knowledge = self._context.permits.client.knowledge_of(choice.target)
        self._attempt_id = routing.request_id
        self._parts.begin(self._context.router.index.incarnation(choice.target) or 0)
        self._add_step(
            f"sent to {choice.target}: {choice.reason}, "
            f"{choice.matched_blocks} blocks cached"
        )
        self._context.router.on_sent(routing, choice, now_ms)
        self._context.flows.add_attempt(self._attempt_id, self)
        attempt = self._build_attempt(self._attempt_id, choice)
        if permit is not None:
            attempt = replace(attempt, send_before_ms=permit.until_ms)
        self._context.targets.submit(attempt)

    def _give_up(self, failure: Failure) -> None:
        """End a request that gets no further attempt."""
        self.fail(failure)

    def _next_attempt_id(self) -> str:
        return f"{self.request_id}.{self._state.attempts + 1}"

    def _find_target_address(self, target: str) -> str:
        """Return the address of a target, also of one that is configured no longer."""
        found = self._find_target(target)
        if found is not None:
            self._addresses[target] = found.address
        return self._addresses[target]

    def _list_targets(self) -> tuple[TargetAddress, ...]:
        """Return the targets now configured, and those when the request began."""
        configuration = self._context.contact.configuration
        current = configuration.find_service(self._service.name) or self._service
        return (*current.targets, *self._service.targets)

    def _find_target(self, name: str) -> TargetAddress | None:
        """Return the configuration of a target, None if it has none any more."""
        return next((t for t in self._list_targets() if t.name == name), None)

    def _finish_attempt(self) -> None:
        """Record an attempt that returned a complete response."""
        self._state.on_response_complete()
        self._parts.on_begun()
        self._context.router.on_finished(self._attempt_id, True, self._now_ms())
        self._clear_attempt()

    @staticmethod
    def _is_health_neutral(failure: TargetFailure) -> bool:
        """Return whether a failure says nothing about the health of the target."""
        if failure.status in CALLER_ERROR_STATUSES:
            return True
        return failure.code in ("invalid_request", "overloaded", "permit_expired")

    def _cancel_attempt(self, is_past_deadline: bool = False) -> None:
        """Cancel the current attempt.

        Only an attempt cancelled at the deadline counts as a failure of its target.
        """
        if self._attempt_id is None:
            return
        self._context.targets.cancel(self._attempt_id)
        ok = False if is_past_deadline else None
        self._context.router.on_finished(self._attempt_id, ok, self._now_ms())
        self._clear_attempt()
        self._parts.end_trial()

    def _clear_attempt(self) -> None:
        self._context.flows.remove_attempt(self._attempt_id)
        self._attempt_id = None

    def _may_retry(self, failure: TargetFailure) -> bool:
        """Return whether a retry is safe and within the retry budget.

        The budget limits the load that retries put on targets. An attempt of which
        no byte was written put no load on its target, so it is not charged.
        """
        if not self._state.may_repeat or self._state.attempts >= MAX_ATTEMPTS:
            return False
        if not failure.bytes_written:
            return True
        return self._context.retries.may_retry(self._now_ms())

    def _retry_on_other_target(self, target: str, kind: str = "retry") -> None:
        self._excluded |= {target}
        self._context.metrics.on_repeated(self._service.name, kind)
        self._start_attempt()

    def _fail_with_target_error(self, target: str, failure: TargetFailure) -> None:
        """End the request with the failure of the last attempt."""
        text = f"target {target} failed: {failure.code}"
        if failure.message:
            text = f"{text}: {failure.message[:MAX_MESSAGE_CHARACTERS]}"
        self._give_up(self._state.fail("target_failed", text, 502))

    def on_deadline(self) -> None:
        """Fail the request because its deadline has passed."""
        text = "the request did not end within its deadline"
        self.fail(self._state.fail(DEADLINE_CODE, text, 504))

    def _end(self, outcome: str, failure: Failure | None) -> None:
        """Release the resources of the request and record its outcome."""
        if self._ended:
            return
        self._ended = True
        now_ms = self._now_ms()
        verdict = self._state.verdict
        was_queued = self._state.phase is Phase.QUEUED
        self._state.end()
        prompt, cached, output = self._count_tokens()
        used = 0 if verdict is Verdict.NOT_RUN else prompt + output
        self._context.shares.settle(self.request_id, used, now_ms)
        if was_queued:
            self._admission.cancel(self.request_id)
        if self._is_admitted:
            ran = 0 if verdict is Verdict.NOT_RUN else 1
            computed = (prompt - cached + output) * ran
            self._admission.on_served(self.request_id, cached * ran, computed, now_ms)
        self._cancel_timer("deadline")
        self._context.permits.cancel(self.request_id)
        self._parts.close()
        if verdict is not Verdict.NOT_RUN:
            metrics = self._context.metrics
            metrics.on_tokens(self._service.name, prompt, cached, output)
        self._record_outcome(outcome, failure)
        self._context.flows.remove(self)

    def _record_outcome(self, outcome: str, failure: Failure | None) -> None:
        """Record the outcome that the caller sees in metrics and usage, once."""
        if self._is_outcome_recorded:
            return
        self._is_outcome_recorded = True
        self._context.metrics.on_ended(self._service.name, outcome)
        if self._caller is not None:
            self._record_usage(outcome, failure)

    def _record_usage(self, outcome: str, failure: Failure | None) -> None:
        usage = self._context.usage
        tokens = self._count_tokens()
        if failure is None and outcome in ("served", "replayed"):
            usage.on_served(self.workspace, *tokens, ttft_ms=self._ttft_ms())
        elif failure is None:
            text = "the caller left"
            left = Failure("caller_left", self._state.verdict, text, 499)
            usage.on_failed(self.workspace, left, *tokens)
        elif failure.verdict is Verdict.NOT_RUN:
            usage.on_refused(self.workspace, failure, is_system_refusal(failure))
        else:
            usage.on_failed(self.workspace, failure, *tokens)

    def _has_contact(self) -> bool:
        return self._context.contact.has_contact(self._now_ms())

    def _ttft_ms(self) -> int | None:
        return None

    def _now_ms(self) -> int:
        return self._context.clock.now_ms()

    def _add_step(self, text: str) -> None:
        self._record.add_step(self._now_ms(), text)

    def _set_timer(self, name: str, at_ms: int, method: str) -> None:
        timer = f"flow/{self.request_id}/{name}"
        self._context.timers.set(timer, at_ms, self._make_guarded_callback(method))

    def _make_guarded_callback(self, method: str):
        """Return a callback whose exceptions only end this request."""
        return partial(self._context.flows.call, self, method)

    def _cancel_timer(self, name: str) -> None:
        self._context.timers.cancel(f"flow/{self.request_id}/{name}")
