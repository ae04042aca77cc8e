"""Requests that end before their response: deadlines, lost callers, stops."""

from papayacrank.transport import HttpExchange

from ._attempts import AttemptRunner
from ._gate import RequestGate
from ._job import Job
from ._open_requests import RETRY_ELSEWHERE_MS, OpenRequests
from ._overdue import OverdueAttempts
from ._relay import Relay, RelayedRequest
from ._target_port import TargetPort


class RequestInterruptions:
    """Ends requests whose caller, time or process is gone.

    Parameters
    ----------
    requests : OpenRequests
        Requests without a final response.
    gate : RequestGate
        Requests that are held until the process is ready.
    runner : AttemptRunner
        Ends attempts.
    overdue : OverdueAttempts
        Attempts beside others.
    port : TargetPort
        Connections to targets.
    relay : Relay
        Requests that were passed on to other instances.
    """

    def __init__(
        self,
        requests: OpenRequests,
        gate: RequestGate,
        runner: AttemptRunner,
        overdue: OverdueAttempts,
        port: TargetPort,
        relay: Relay,
    ):
        self._requests = requests
        self._gate = gate
        self._runner = runner
        self._overdue = overdue
        self._port = port
        self._relay = relay

    def end_open_requests(self) -> None:
        """End all requests before the process does.

        Requests without a response get a failure; a stream that has begun is cut.
        """
        self._relay.end_open_requests()
        for job in list(self._requests.jobs.values()):
            self._overdue.end_silent_attempt(job, "stopped")
            attempt = job.attempt
            if attempt is not None:
                self._port.cancel(attempt.call)
                self._runner.end_attempt(
                    job, attempt, "stopped", attempt.call.bytes_written
                )
                job.runs += attempt.call.bytes_written
            text = "this instance has stopped"
            self._requests.give_up(job, "stopped", text, RETRY_ELSEWHERE_MS)
        self._gate.refuse_held_requests()

    def on_caller_left(self, exchange: HttpExchange) -> None:
        """Cancel the request of a caller that disconnected."""
        if isinstance(exchange.state, RelayedRequest):
            self._relay.on_caller_left(exchange.state)
            return
        job: Job | None = exchange.state
        if job is None or job.is_done:
            return
        self._overdue.end_silent_attempt(job, "caller_left")
        attempt = job.attempt
        if attempt is not None:
            self._port.cancel(attempt.call)
            self._runner.close_attempt(job, attempt)
        self._requests.finish(job, attempt, "caller_left", 0)

    def on_deadline(self, job: Job) -> None:
        if job.is_done:
            return
        self._overdue.end_silent_attempt(job, "deadline")
        attempt = job.attempt
        if attempt is not None:
            self._port.cancel(attempt.call)
            self._runner.end_attempt(
                job, attempt, "deadline", attempt.call.bytes_written
            )
            if attempt.call.bytes_written:
                job.runs += 1
        self._requests.give_up(job, "deadline", "the time of the request is over")
