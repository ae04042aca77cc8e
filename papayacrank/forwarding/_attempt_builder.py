"""Construction of attempts: placement requests, headers and calls to targets."""

from dataclasses import replace

from papayacrank.costs import Work, queued_events
from papayacrank.kernel import Clock
from papayacrank.messages import FleetTarget, RequestKind, ServiceProfile
from papayacrank.permits import Permit, PermitPort

from ._base import CallerProtocol, Dispatch, ForwardRequest
from ._fleet_state import FleetState
from ._job import Attempt, Job
from ._placement import Choice, PlacementRequest, build_cache_salt
from ._settings import ForwardingSettings
from ._stream_position import ResumedRun
from ._target_call import CallListener, StartCheck, TargetCall

URGENCY_STEPS = 3
MAX_URGENCY = 9


class AttemptBuilder:
    """Builds what is needed to place a request and to send it to a target.

    Parameters
    ----------
    settings : ForwardingSettings
        Settings.
    fleet : FleetState
        Targets, weights and routes.
    protocol : CallerProtocol
        HTTP representation of requests.
    permits : PermitPort
        Permits for targets with a request rate limit.
    listener : CallListener
        Receiver of the responses.
    clock : Clock
        Clock of the process.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        fleet: FleetState,
        protocol: CallerProtocol,
        permits: PermitPort,
        listener: CallListener,
        clock: Clock,
    ):
        self._settings = settings
        self._fleet = fleet
        self._protocol = protocol
        self._permits = permits
        self._listener = listener
        self._clock = clock

    def choose_store(self, job: Job) -> ServiceProfile | None:
        """Return the store for a prompt; None for plain services or if none is up."""
        if job.service.engine is None:
            return None
        return self._fleet.index.choose_store(
            job.request.shared_parts, self._fleet.unavailable_stores
        )

    def build_placement_request(
        self, job: Job, store: ServiceProfile | None, now_ms: int
    ) -> PlacementRequest:
        request = job.request
        if job.service.engine is None:
            return PlacementRequest(
                job.service,
                release=job.release,
                route=job.route.name,
                may_use_new=self._fleet.rollouts.may_use_new(job),
            )
        newest = self._fleet.weights.get(request.model, 0)
        since_ms = self._fleet.weights_since_ms.get(request.model, now_ms)
        return PlacementRequest(
            job.service,
            request.model,
            request.tokens,
            request.prompt_tokens or 0,
            request.shared_parts,
            self._salt_base(job),
            newest,
            now_ms - since_ms,
            self._settings.max_old_weights_ms,
            job.route.objective_ms,
            now_ms - job.arrived_ms,
            store.name if store is not None else "",
            job.release,
            job.route.name,
            urgency_of(job),
            self._fleet.rollouts.may_use_new(job),
        )

    def build(
        self,
        job: Job,
        choice: Choice,
        store: ServiceProfile | None,
        now_ms: int,
        remaining_ms: int,
        permit: Permit | None = None,
    ) -> Attempt:
        """Return the attempt to run a request at the chosen target.

        Parameters
        ----------
        job : Job
            Request.
        choice : Choice
            Placement decision.
        store : ServiceProfile or None
            Store that the prompt is fetched from and saved to.
        now_ms : int
            Current time in milliseconds.
        remaining_ms : int
            Time in milliseconds until the deadline of the request.
        permit : Permit, optional
            Permit, if the target has a request rate limit.
        """
        target = choice.target
        dispatch, salt = self._build_dispatch(job, choice, store, remaining_ms)
        call = TargetCall(
            target.address,
            job.request.method,
            job.request.target,
            self._protocol.target_headers(job.request, dispatch),
            job.exchange.body,
            self._listener,
            self._connection_limit(job),
            needs_new_connection=self._needs_new_connection(job, target, now_ms),
            send_before_ms=permit.until_ms if permit is not None else None,
            start_check=self._build_start_check(job, target),
            state=job,
        )
        work = self._build_work(job, choice)
        resume_after = job.position.last_event_id
        return Attempt(
            target,
            choice,
            call,
            now_ms,
            prefill_tokens=choice.missing_tokens,
            memory_tokens=job.request.tokens,
            salt=salt,
            store=store.name if dispatch.save_to is not None else "",
            is_stream=job.route.kind is RequestKind.STREAM,
            resumed_run=ResumedRun() if resume_after is not None else None,
            permit=permit,
            number=job.tries + 1,
            rate_knowledge=self._permits.client.knowledge_of(target.name),
            work=work,
            decode_tokens=int(work.output_events),
        )

    def _build_work(self, job: Job, choice: Choice) -> Work:
        """Return the work of a request at the chosen target."""
        name, request, load = job.service.name, job.request, choice.load
        if job.service.engine is None:
            return Work(
                name,
                job.route.name,
                is_engine=False,
                running=load.running,
                slots=choice.target.slots,
            )
        slots = job.service.engine.slots
        return Work(
            name,
            job.route.name,
            True,
            urgency_of(job),
            choice.missing_tokens,
            load.prefill_tokens,
            choice.fetch_tokens,
            load.running,
            slots,
            queued_events(load.running, load.decode_tokens, slots),
            self._fleet.costs.outputs.expect(
                job.route.name, request.output_tokens, request.expected_output_tokens
            ),
        )

    def _build_start_check(self, job: Job, target: FleetTarget) -> StartCheck | None:
        """Return the check of a target at which a stream goes on.

        A target may have restarted with another release since the view was built.
        """
        if job.release is None or not target.born_ms:
            return None
        query = self._protocol.build_start_query(target.name)
        if query is None:
            return None
        return StartCheck(
            target.name,
            target.born_ms,
            query.method,
            query.target,
            query.headers,
            self._protocol.read_start,
        )

    def _build_dispatch(
        self, job: Job, choice: Choice, store: ServiceProfile | None, remaining_ms: int
    ) -> tuple[Dispatch, str]:
        target, request = choice.target, job.request
        workspace = job.workspace.name if job.workspace else None
        dispatch = Dispatch(
            target.name,
            remaining_ms,
            workspace,
            resume_after=job.position.last_event_id,
        )
        if job.service.engine is None:
            return dispatch, ""
        version = target.weights.get(request.model, 0)
        salt = build_cache_salt(self._salt_base(job), version)
        address = store.store.address if store is not None else None
        is_stored = store is None or self._is_stored(request, salt, store.name)
        dispatch = replace(
            dispatch,
            urgency=urgency_of(job),
            cache_salt=salt,
            weights_version=version,
            fetch_from=address,
            save_to=None if is_stored else address,
        )
        return dispatch, salt

    def _salt_base(self, job: Job) -> str:
        """Return the prefix of the cache salt by the configuration in force.

        The one at admission may be outdated when a request is sent again.
        """
        workspace = job.workspace.name if job.workspace is not None else None
        return self._fleet.index.cache_salt_base(workspace)

    def _is_stored(self, request: ForwardRequest, salt: str, store: str) -> bool:
        """Whether a store has all shared parts; saving them again would load its link.

        Only parts that this instance knows of are counted.
        """
        now_ms = self._clock.now_ms()
        return all(
            self._fleet.parts.stores.has(store, salt, part.name, now_ms)
            for part in request.shared_parts
        )

    def _connection_limit(self, job: Job) -> int:
        limit = job.service.max_connections
        return max(2, limit // (self._fleet.instances + 1)) if limit else 64

    def _needs_new_connection(self, job: Job, target: FleetTarget, now_ms: int) -> bool:
        """Whether a response could be taken for one to another sending of a request."""
        return (
            target.address in job.sent_to
            or not job.request.request_id
            or self._fleet.unidentified.requires_new_connection(target.name, now_ms)
        )


def urgency_of(job: Job) -> int:
    """Return the urgency; the workspace's priority outranks that of the route."""
    rank = job.route.priority
    if job.workspace is not None and job.workspace.priority is not None:
        rank += URGENCY_STEPS * job.workspace.priority
    return min(MAX_URGENCY, max(0, rank))
