"""Request flow of a non-idempotent action."""

import hashlib

from expression import Result

from papayacrank.config import Service
from papayacrank.kernel import Failure, Verdict, hash_fields
from papayacrank.messages import (
    AbandonAction,
    ActionRecord,
    BeginAction,
    FinishAction,
)
from papayacrank.permits import PermitDecision
from papayacrank.quarantine import TrialDecision
from papayacrank.targets import TargetFailure

from ._authentication import Caller
from ._context import EntryContext
from ._exchange import Exchange
from ._idempotency_key import IDEMPOTENCY_KEY_HEADER
from ._request_state import Phase, RecordClosing
from ._responses import VERDICT_HEADER
from ._service_flow import ServiceFlow

BEGIN_TIMEOUT_MS = 3_000
# The response is recorded before it is sent to the caller, so that it survives the loss
# of this process. If the control group doesn't confirm the record within this time, the
# response is sent anyway.
RECORD_TIMEOUT_MS = 2_000
MAX_RECORDED_BYTES = 64 * 1024
DEFAULT_CONTENT_TYPE = "application/octet-stream"
REPLAYED_HEADER = "Idempotency-Replayed"
ACTION_RETRY_MS = 1_000
_DETACHABLE_PHASES = (Phase.RECORDING, Phase.ATTEMPTING, Phase.RESPONSE_COMPLETE)


def compute_fingerprint(service: str, method: str, target: str, body: bytes) -> str:
    """Return a digest of an action's content.

    The control group compares it to detect an idempotency key that is used again for
    another request.
    """
    digest = hashlib.blake2b(digest_size=32)
    hash_fields(digest, service.encode(), method.encode(), target.encode(), body)
    return digest.hexdigest()


class ActionFlow(ServiceFlow):
    """Runs an action at most once.

    The record of the action is committed before a byte is sent. An action that may
    have reached the target is neither retried nor cancelled. If the caller
    disconnects, the deadline passes or the API key is withdrawn, the flow detaches
    from the caller: it still waits for the target and records the outcome.

    Parameters
    ----------
    context, exchange, caller, service, target_path
        As for `ServiceFlow`.
    idempotency_key : str
        Idempotency key from the caller, or a generated one.
    """

    def __init__(
        self,
        context: EntryContext,
        exchange: Exchange,
        caller: Caller | None,
        service: Service,
        target_path: str,
        idempotency_key: str,
    ):
        super().__init__(
            context, exchange, caller, service, target_path, idempotent=False
        )
        self._key = idempotency_key
        self._is_detached = False
        self._is_record_close_requested = False
        exchange.extra_headers.append((IDEMPOTENCY_KEY_HEADER, idempotency_key))

    def on_caller_left(self) -> None:
        """Detach from the caller once the action may have reached the target."""
        if self._state.phase in _DETACHABLE_PHASES:
            self._detach("left", None)
        else:
            super().on_caller_left()

    def fail(self, failure: Failure) -> None:
        """End the request; an action that may have been sent is only detached."""
        if self._state.phase in _DETACHABLE_PHASES:
            self._detach(failure.code, failure)
        else:
            super().fail(failure)

    def _target_headers(self) -> tuple[tuple[str, str], ...]:
        headers = super()._target_headers()
        forwarded = tuple(
            pair
            for pair in headers
            if pair[0].lower() != IDEMPOTENCY_KEY_HEADER.lower()
        )
        return (*forwarded, (IDEMPOTENCY_KEY_HEADER, self._key))

    def _detach(self, outcome: str, failure: Failure | None) -> None:
        if self._is_detached:
            return
        self._is_detached = True
        self._add_step(f"goes on without the caller: {outcome}")
        if failure is not None:
            self._exchange.respond_failure(failure)
        self._record_outcome(outcome, failure)

    def _run(self) -> None:
        """Commit the record of the action before anything is sent."""
        self._state.on_record_requested()
        request = self._exchange.request
        command = BeginAction(
            workspace=self.workspace,
            idempotency_key=self._key,
            fingerprint=compute_fingerprint(
                self._service.name, request.method, self._target_path, request.body
            ),
            service=self._service.name,
            owner=self._context.settings.instance,
            owner_boot=self._context.boot,
        )
        callback = self._make_guarded_callback("on_begin_result")
        self._context.submit_command(command, callback, BEGIN_TIMEOUT_MS)

    def on_begin_result(self, result: Result[ActionRecord, Failure]) -> None:
        """Handle the control group's decision whether the action may start."""
        if result.is_error():
            self._handle_begin_failure(result.error)
        elif not result.ok.started_now:
            self._state.on_record_refused()
            self._respond_from_record(result.ok)
        elif self._is_detached:
            self._add_step("not sent: the caller is gone")
            self._end("not_sent", None)
        else:
            self._add_step("recorded as started")
            self._start_attempt()

    def on_permit_decision(self, decision: PermitDecision) -> None:
        """Continue with the decision on a permit, unless the caller is gone."""
        if self._is_detached:
            self._give_back(decision.permit)
            self._add_step("not sent: the caller is gone")
            self._end("not_sent", None)
        else:
            super().on_permit_decision(decision)

    def on_trial_decision(self, decision: TrialDecision) -> None:
        """Continue with the decision on a trial, unless the caller is gone."""
        if self._is_detached:
            self._context.quarantine.end_trial(decision.trial)
            self._add_step("not sent: the caller is gone")
            self._end("not_sent", None)
        else:
            super().on_trial_decision(decision)

    def _handle_begin_failure(self, failure: Failure) -> None:
        if failure.verdict is Verdict.NOT_RUN:
            self._state.on_record_refused()
            status, code = failure.status, failure.code
            retry_after_ms = failure.retry_after_ms
        else:
            # The outcome is unknown, so the record may exist. Nothing was sent, so
            # `_end` abandons the record.
            status, code, retry_after_ms = 503, "control_unavailable", ACTION_RETRY_MS
        message = failure.message
        self._end_with_failure(self._state.fail(code, message, status, retry_after_ms))

    def _respond_from_record(self, record: ActionRecord) -> None:
        """Respond to a repeated request from the record of the first one."""
        self._add_step(f"repeat of an action that is {record.state}")
        has_response = record.body or not record.content_type
        if record.state == "finished" and has_response:
            self._replay(record)
        elif record.state == "finished":
            text = "the action has run; its answer was too large to be kept"
            self._end_with_failure(_build_conflict(record, "answer_not_kept", text))
        elif record.state == "started":
            text = "the action is in progress"
            self._end_with_failure(_build_conflict(record, "action_in_progress", text))
        else:
            text = "the outcome of the action is unknown; it is not run again"
            self._end_with_failure(_build_conflict(record, "action_unknown", text))

    def _replay(self, record: ActionRecord) -> None:
        headers = [(REPLAYED_HEADER, "true"), (VERDICT_HEADER, Verdict.RAN.value)]
        if record.content_type:
            headers.append(("Content-Type", record.content_type))
        if not self._is_detached:
            self._exchange.respond(record.status, headers, record.body)
        self._end("replayed", None)

    def _respond(self) -> None:
        """Record the response and send it once the record is confirmed."""
        self._is_record_close_requested = True
        self._set_timer(
            "record", self._now_ms() + RECORD_TIMEOUT_MS, "deliver_response"
        )
        recorded_body = (
            bytes(self._body) if len(self._body) <= MAX_RECORDED_BYTES else b""
        )
        self._context.record_closer.close(
            FinishAction(
                workspace=self.workspace,
                idempotency_key=self._key,
                owner=self._context.settings.instance,
                owner_boot=self._context.boot,
                status=self._status,
                content_type=self._content_type() if self._body else "",
                body=recorded_body,
            ),
            self._make_guarded_callback("on_recorded"),
        )

    def _content_type(self) -> str:
        """Return the content type to record.

        A record with an empty content type stands for a response without a body.
        """
        types = [v for n, v in self._headers if n.lower() == "content-type"]
        return types[0] if types else DEFAULT_CONTENT_TYPE

    def on_recorded(self, recorded: bool) -> None:
        """Handle the result of recording the response."""
        self._add_step(
            "answer recorded" if recorded else "answer could not be recorded"
        )
        if self._caller is not None:
            self._context.usage.on_action(self.workspace, finished=recorded)
        self.deliver_response()
        self._end("served", None)

    def deliver_response(self) -> None:
        """Send the response unless the flow is detached or the exchange is closed."""
        if self._is_detached or not self._exchange.is_open:
            return
        self._exchange.respond(self._status, self._headers, bytes(self._body))
        self._record_outcome("served", None)

    def _give_up(self, failure: Failure) -> None:
        self._end_with_failure(failure)

    def _may_retry(self, failure: TargetFailure) -> bool:
        return not self._is_detached and super()._may_retry(failure)

    def _end_with_failure(self, failure: Failure) -> None:
        """End a request that has no attempt in progress."""
        if not self._is_detached:
            self._exchange.respond_failure(failure)
        self._add_step(f"failed: {failure.code} ({failure.verdict.value})")
        self._end(failure.code, failure)

    def _end(self, outcome: str, failure: Failure | None) -> None:
        record_closing = self._state.record_closing
        if not self._is_record_close_requested:
            self._is_record_close_requested = True
            self._close_record(record_closing)
        self._cancel_timer("record")
        super()._end(outcome, failure)

    def _close_record(self, record_closing: RecordClosing) -> None:
        identity = {
            "workspace": self.workspace,
            "idempotency_key": self._key,
            "owner": self._context.settings.instance,
            "owner_boot": self._context.boot,
        }
        closer = self._context.record_closer
        if record_closing is RecordClosing.ABANDON:
            closer.close(AbandonAction(**identity), lambda recorded: None)
        elif record_closing is RecordClosing.UNKNOWN:
            if self._caller is not None:
                self._context.usage.on_action(self.workspace, finished=False)
            closer.close(FinishAction(**identity, status=0), lambda recorded: None)


def _build_conflict(record: ActionRecord, code: str, message: str) -> Failure:
    ran = record.state == "finished"
    verdict = Verdict.RAN if ran else Verdict.MAY_HAVE_RUN
    details = {"state": record.state, "status": record.status}
    retry_after_ms = ACTION_RETRY_MS if record.state == "started" else None
    return Failure(code, verdict, message, 409, retry_after_ms, details)
