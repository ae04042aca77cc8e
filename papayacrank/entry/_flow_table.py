"""Table of the request flows in progress."""

from papayacrank.admission import AdmissionPolicy, Admitted
from papayacrank.kernel import Clock, log_event
from papayacrank.transport import Timers

from ._events import FLOW_FAILED
from ._flow import RequestFlow

ADMISSION_TIMER = "entry/admission"


class FlowTable:
    """Index of flows by request, attempt and key, which also polls admission.

    The number of connections limits the number of flows.

    Parameters
    ----------
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    policies : tuple of AdmissionPolicy
        Admission queues to poll.
    on_polled : Callable
        Called after each poll, for example to request a larger share immediately.
    """

    def __init__(
        self,
        clock: Clock,
        timers: Timers,
        policies: tuple[AdmissionPolicy, ...],
        on_polled=lambda: None,
    ):
        self._clock = clock
        self._timers = timers
        self._policies = policies
        self._on_polled = on_polled
        self._flows: dict[str, RequestFlow] = {}
        self._flows_by_attempt: dict[str, RequestFlow] = {}
        self._is_polling = False
        self._poll_again = False

    def __len__(self) -> int:
        return len(self._flows)

    @property
    def paused_streams(self) -> int:
        """Number of streams paused because their callers are slow."""
        return sum(1 for flow in self._flows.values() if flow.is_paused)

    def add(self, flow: RequestFlow) -> None:
        """Register a flow."""
        self._flows[flow.request_id] = flow

    def remove(self, flow: RequestFlow) -> None:
        """Remove a flow that has ended and admit queued requests in its place."""
        if self._flows.pop(flow.request_id, None) is not None:
            self.poll_admission()

    def find(self, request_id: str) -> RequestFlow | None:
        """Return the flow of a request, or None."""
        return self._flows.get(request_id)

    def add_attempt(self, attempt_id: str, flow: RequestFlow) -> None:
        """Route the events of an attempt to a flow."""
        self._flows_by_attempt[attempt_id] = flow

    def remove_attempt(self, attempt_id: str | None) -> None:
        """Ignore further events of an attempt."""
        self._flows_by_attempt.pop(attempt_id, None)

    def find_attempt(self, attempt_id: str) -> RequestFlow | None:
        """Return the flow of an attempt in progress, or None."""
        return self._flows_by_attempt.get(attempt_id)

    def list_with_key(self, key_id: str) -> list[RequestFlow]:
        """Return the flows whose caller authenticated with this key."""
        return [f for f in self.list_authenticated() if f.caller.key_id == key_id]

    def list_authenticated(self) -> list[RequestFlow]:
        """Return the flows whose caller authenticated with any key."""
        return [flow for flow in self._flows.values() if flow.caller is not None]

    def call(self, flow: RequestFlow, method: str, *args) -> None:
        """Call a method of a flow; an exception only ends that request."""
        try:
            getattr(flow, method)(*args)
        except Exception as error:
            text = f"{type(error).__name__}: {error}"
            log_event(FLOW_FAILED, request_id=flow.request_id, error=text)
            self._abort(flow)

    def _abort(self, flow: RequestFlow) -> None:
        try:
            flow.abort()
        except Exception as error:
            # The state of the flow is undefined now; it must not block a planned stop.
            text = f"{type(error).__name__}: {error}"
            log_event(FLOW_FAILED, request_id=flow.request_id, error=text)
            self._flows.pop(flow.request_id, None)

    def poll_admission(self) -> None:
        """Admit or refuse queued requests.

        A call from within a poll doesn't recurse, but makes the outer call poll again.
        """
        self._poll_again = True
        if self._is_polling:
            return
        self._is_polling = True
        try:
            while self._poll_again:
                self._poll_again = False
                self._poll_once()
        finally:
            self._is_polling = False
        self._schedule_next_poll()
        self._on_polled()

    def _poll_once(self) -> None:
        now_ms = self._clock.now_ms()
        for policy in self._policies:
            for decision in policy.poll(now_ms):
                flow = self._flows.get(decision.request.request_id)
                if flow is None:
                    continue
                if isinstance(decision, Admitted):
                    self.call(flow, "on_admitted")
                else:
                    self.call(flow, "fail", decision.failure)

    def _schedule_next_poll(self) -> None:
        now_ms = self._clock.now_ms()
        times = [policy.next_wakeup_ms(now_ms) for policy in self._policies]
        times = [at_ms for at_ms in times if at_ms is not None]
        if times:
            self._timers.set(ADMISSION_TIMER, min(times), self.poll_admission)
        else:
            self._timers.cancel(ADMISSION_TIMER)
