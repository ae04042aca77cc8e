"""What responses say about their targets beside the answer."""

from papayacrank.kernel import Clock, log_event
from papayacrank.permits import PermitPort, RateKnowledge
from papayacrank.transport import Timers

from ._events import TARGET_LEAVING, WEIGHTS_ASSUMED
from ._fleet_state import FleetState
from ._job import Attempt, Job

# Time for which a refusal shows that a target runs the named version of its weights.
# After it, the view of the leader is up to date.
ASSUMED_WEIGHTS_MS = 2_000
SERVER_ERROR = 500
SERVICE_UNAVAILABLE = 503


class TargetSignals:
    """Applies weights, removal notices, pauses and limits that responses state.

    Parameters
    ----------
    fleet : FleetState
        Targets.
    permits : PermitPort
        Permits for targets with a request rate limit.
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    """

    def __init__(
        self, fleet: FleetState, permits: PermitPort, clock: Clock, timers: Timers
    ):
        self._fleet = fleet
        self._permits = permits
        self._clock = clock
        self._timers = timers

    def record_failure(self, job: Job, attempt: Attempt, now_ms: int) -> None:
        peers = [
            target.name
            for target in self._fleet.table.find_by_service(job.service.name)
        ]
        self._fleet.health.on_failure(attempt.target.name, peers, now_ms)
        self._fleet.rollouts.on_failed(attempt)

    def observe_weights(self, job: Job, attempt: Attempt) -> None:
        """Update the version of the weights of a target from its response."""
        metadata = attempt.metadata
        model, name = job.request.model, attempt.target.name
        if model is None or metadata.target_name not in (None, name):
            return
        if metadata.weights_version is not None:
            self._fleet.table.observe_weights(name, model, metadata.weights_version)
            return
        if not metadata.wrong_target or metadata.target_name != name:
            return
        # The engine refuses the version that the table shows for it; assume for some
        # time that it runs the current one.
        version = self._fleet.weights.get(model, 0)
        refused = attempt.target.weights.get(model, 0)
        if self._fleet.table.assume_weights(name, model, version, refused):
            log_event(WEIGHTS_ASSUMED, target=name, model=model, version=version)
            self._timers.set(
                f"assumed-weights {name} {model}",
                self._clock.now_ms() + ASSUMED_WEIGHTS_MS,
                lambda: self._fleet.table.forget_assumed_weights(name, model),
            )

    def apply(self, job: Job, attempt: Attempt) -> None:
        """Apply the removal notice, pause or rate limit that a response carries."""
        metadata, now_ms = attempt.metadata, self._clock.now_ms()
        name = metadata.target_name or attempt.target.name
        if metadata.is_leaving and self._fleet.table.mark_leaving(name):
            log_event(TARGET_LEAVING, target=name, status=attempt.status)
        self._observe_rate(job, attempt, name)
        if name == attempt.target.name and not metadata.wrong_target:
            is_full = metadata.not_run and attempt.status == SERVICE_UNAVAILABLE
            self._fleet.refusal_limits.on_response(
                attempt.target.service, name, metadata.refusal_limit, is_full, now_ms
            )
        if metadata.pause_ms is not None:
            self._fleet.pauses.on_pause_requested(name, metadata.pause_ms, now_ms)
        elif not metadata.wrong_target and attempt.status < SERVER_ERROR:
            self._fleet.pauses.on_success(name, now_ms)

    def _observe_rate(self, job: Job, attempt: Attempt, name: str) -> None:
        """Apply the request rate limit that a response states, or that it states none.

        Parameters
        ----------
        job : Job
            Request.
        attempt : Attempt
            Attempt that got the response.
        name : str
            Target that sent the response.
        """
        metadata = attempt.metadata
        if metadata.wrong_target and metadata.target_name is None:
            return
        target = self._fleet.table.find(name)
        is_own = name == attempt.target.name
        belongs = is_own and metadata.request_id == job.request.request_id
        self._permits.observe(
            name,
            target.born_ms if target is not None else 0,
            metadata.rate,
            attempt.rate_knowledge if is_own else RateKnowledge(),
            belongs and metadata.is_valid and 200 <= attempt.status < 300,
            job.request.request_id,
        )
