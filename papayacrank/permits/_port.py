"""Connects the permits of an entry process to its timers and to the leader."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from papayacrank.kernel import Clock, log_event
from papayacrank.messages import PermitReply, TargetRates
from papayacrank.transport import Timers

from ._client import (
    REPLY_TIMEOUT_MS,
    Permit,
    PermitClient,
    PermitDecision,
    PermitOutcome,
)
from ._events import PERMIT_REFUSED


class PermitPort:
    """Requests permits from the leader and reports decisions by callbacks.

    Parameters
    ----------
    client : PermitClient
        Limits and permits of this process.
    send : callable
        Sends a message to the leader; returns False if none is known.
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.

    Attributes
    ----------
    count : callable
        Called with each outcome, to count it in the metrics of the process: a value of
        `PermitOutcome` or ``"returned"``.
    """

    def __init__(
        self,
        client: PermitClient,
        send: Callable[[Any], bool],
        clock: Clock,
        timers: Timers,
    ):
        self._client = client
        self._send = send
        self._clock = clock
        self._timers = timers
        self.count: Callable[[str], None] = lambda outcome: None
        self._callbacks: dict[str, tuple[Callable[[PermitDecision], None], str]] = {}
        self._waiting: dict[str, Permit] = {}

    @property
    def client(self) -> PermitClient:
        """Limits and permits of this process."""
        return self._client

    def acquire(
        self,
        request_id: str,
        target: str,
        max_wait_ms: int,
        callback: Callable[[PermitDecision], None],
        log_id: str,
    ) -> None:
        """Request a permit; the callback gets the decision once it can be used.

        Parameters
        ----------
        request_id : str
            Identifier of the request in this process. The request must not wait for
            another permit.
        target : str
            Target with a limit.
        max_wait_ms : int
            Longest time that the request can wait for the permit.
        callback : callable
            Called with the decision, never before this method returns.
        log_id : str
            Identifier of the request in the log.
        """
        now_ms = self._clock.now_ms()
        self._callbacks[request_id] = (callback, log_id)
        message = self._client.request(request_id, target, max_wait_ms, now_ms)
        timeout_ms = REPLY_TIMEOUT_MS if self._send(message) else 0
        self._timers.set(
            _reply_timer(request_id),
            now_ms + timeout_ms,
            lambda: self._abandon(request_id),
        )

    def cancel(self, request_id: str) -> None:
        """Forget a request that needs no permit any more; unknown ones are ignored."""
        if self._callbacks.pop(request_id, None) is None:
            return
        self._client.cancel(request_id)
        self._timers.cancel(_reply_timer(request_id))
        self._timers.cancel(_start_timer(request_id))
        permit = self._waiting.pop(request_id, None)
        if permit is not None:
            self.give_back(permit)

    def give_back(self, permit: Permit) -> None:
        """Return a permit whose request was certainly not sent."""
        messages = self._client.give_back(permit, self._clock.now_ms())
        if messages:
            self.count("returned")
        self._send_all(messages)

    def receive(self, message: Any) -> None:
        """Handle a message of the leader; other messages are ignored."""
        if isinstance(message, TargetRates):
            self._client.apply_rates(message)
        elif isinstance(message, PermitReply):
            decision, messages = self._client.receive(message, self._clock.now_ms())
            self._send_all(messages)
            if decision is not None:
                self._on_decision(decision)

    def observe(self, *arguments: Any) -> None:
        """Handle what a response states; parameters as of `PermitClient.observe`."""
        self._send_all(self._client.observe(*arguments, self._clock.now_ms()))

    def poll(self, term: int) -> None:
        """Report limits that the leader of a term has not confirmed."""
        self._client.set_term(term)
        self._send_all(self._client.poll(self._clock.now_ms()))

    def _on_decision(self, decision: PermitDecision) -> None:
        permit = decision.permit
        now_ms = self._clock.now_ms()
        self._timers.cancel(_reply_timer(decision.request_id))
        if permit is not None and permit.from_ms > now_ms:
            self._waiting[decision.request_id] = permit
            self._timers.set(
                _start_timer(decision.request_id),
                permit.from_ms,
                lambda: self._call_back(decision),
            )
            return
        self._call_back(decision)

    def _call_back(self, decision: PermitDecision) -> None:
        self._waiting.pop(decision.request_id, None)
        known = self._callbacks.pop(decision.request_id, None)
        if known is None:
            return
        callback, log_id = known
        permit = decision.permit
        if permit is not None and permit.until_ms <= self._clock.now_ms():
            decision = replace(decision, outcome=PermitOutcome.LAPSED, permit=None)
        self.count(decision.outcome.value)
        if decision.outcome not in (PermitOutcome.GRANTED, PermitOutcome.UNLIMITED):
            now_ms = self._clock.now_ms()
            log_event(
                PERMIT_REFUSED,
                request_id=log_id,
                target=decision.target,
                reason=decision.outcome.value,
                per_s=self._client.rate_of(decision.target),
                free_in_ms=self._client.wait_ms(decision.target, now_ms),
            )
        callback(decision)

    def _abandon(self, request_id: str) -> None:
        decision = self._client.abandon(request_id, self._clock.now_ms())
        if decision is not None:
            self._on_decision(decision)

    def _send_all(self, messages: list[Any]) -> None:
        for message in messages:
            self._send(message)


def _reply_timer(request_id: str) -> str:
    return f"permits:reply:{request_id}"


def _start_timer(request_id: str) -> str:
    return f"permits:start:{request_id}"
