"""State of one forwarded request."""

from dataclasses import dataclass, field
from functools import cached_property

from papayacrank.costs import Work
from papayacrank.messages import FleetTarget, Route, ServiceProfile, WorkspaceProfile
from papayacrank.permits import Permit, RateKnowledge
from papayacrank.quarantine import name_request
from papayacrank.transport import HttpExchange

from ._base import ForwardRequest, ResponseMetadata
from ._event_stream import EventSplitter
from ._headers import HeaderList
from ._placement import Choice
from ._stream_position import ResumedRun, StreamPosition
from ._target_call import TargetCall


@dataclass(eq=False)
class Attempt:
    """One attempt to run a request at a target.

    Parameters
    ----------
    target : FleetTarget
        Target as known when the request was sent.
    choice : Choice
        Placement decision, kept for the log.
    call : TargetCall
        Call at the port.
    sent_ms : int
        Time of sending in milliseconds.
    prefill_tokens, memory_tokens : int
        Load that the attempt adds to its target, in tokens.
    salt : str
        Cache salt; empty for plain services.
    store : str
        Store service that the prompt is saved to; empty if none.
    status : int
        HTTP status of the response; 0 before its head.
    headers : list of (bytes, bytes)
        Headers of the response.
    metadata : ResponseMetadata
        Parsed head of the response.
    body : bytearray
        Buffered body of a response that is not streamed.
    splitter : EventSplitter
        Splitter of the event stream.
    has_first_event : bool
        Whether the first event of a stream arrived.
    is_stream : bool
        Whether the response is forwarded event by event.
    resumed_run : ResumedRun or None
        Check of an attempt that continues a stream of which the caller has events; None
        for other attempts.
    skipped_response : bool
        Whether the connection returned a response that was not accepted.
    permit : Permit or None
        Permit of the attempt, if its target has a request rate limit.
    number : int
        Number of the attempt within its request, from 1.
    is_silent : bool
        Whether the response is overdue.
    rate_knowledge : RateKnowledge
        What was known about the limit of the target at the time of sending.
    events : int
        Number of events of the stream so far.
    is_begun : bool
        Whether the response was written past its beginning.
    is_suspect : bool
        Whether the request may have crashed the target.
    trial : int
        Number of the trial under which the request was sent; 0 if none.
    work : Work or None
        Work of the request at its target, from which times are learned.
    first_event_ms : int
        Time of the first event in milliseconds; 0 before it.
    decode_tokens : int
        Expected events that have not arrived.
    """

    target: FleetTarget
    choice: Choice
    call: TargetCall
    sent_ms: int
    prefill_tokens: int = 0
    memory_tokens: int = 0
    salt: str = ""
    store: str = ""
    status: int = 0
    headers: HeaderList = field(default_factory=list)
    metadata: ResponseMetadata = ResponseMetadata()
    body: bytearray = field(default_factory=bytearray)
    splitter: EventSplitter = field(default_factory=EventSplitter)
    has_first_event: bool = False
    is_stream: bool = False
    resumed_run: ResumedRun | None = None
    skipped_response: bool = False
    permit: Permit | None = None
    number: int = 1
    is_silent: bool = False
    rate_knowledge: RateKnowledge = RateKnowledge()
    events: int = 0
    is_begun: bool = False
    is_suspect: bool = False
    trial: int = 0
    work: Work | None = None
    first_event_ms: int = 0
    decode_tokens: int = 0


@dataclass(eq=False)
class Job:
    """State of a request from its admission to its final response.

    Parameters
    ----------
    number : int
        Identifier, unique in the process.
    exchange : HttpExchange
        Request and response of the caller.
    arrived_ms : int
        Time of arrival in milliseconds.
    deadline_at_ms : int
        Time by which the caller must have its final response, in milliseconds.
    cost : int
        Tokens or requests charged to the quota of the workspace.
    runs : int
        Number of attempts that may have run.
    tries : int
        Number of attempts with any outcome.
    excluded : set of str
        Targets that must not get the request again.
    sent_to : set of str
        Addresses that the request was sent to.
    attempt : Attempt or None
        Attempt in progress.
    silent_attempt : Attempt or None
        Earlier attempt without a response, which goes on until the target of `attempt`
        takes the request.
    position : StreamPosition
        Events of the stream that the caller has.
    has_events : bool
        Whether any event was sent to the caller.
    first_event_ms : int or None
        Time of the first event in milliseconds.
    last_failure : str
        Code of the last failed attempt; empty if none.
    ledger_age_ms : int or None
        Age in milliseconds of the ledger's last reply, if the request was refused by
        its rate.
    rate_refusal : str or None
        Why the request was refused by its rate.
    permit_requests : int
        Number of permits requested for the request.
    permit_wait_ms : int
        Time for which the request has waited for permits, in milliseconds.
    refused_permits : list of str
        Targets for which the request got no permit.
    limited_targets : list of str
        Some targets with a request rate limit, if the request was refused.
    load_refusal : str or None
        Why the request was refused because targets are behind.
    is_load_admitted : bool
        Whether the request was admitted although targets may be behind.
    forecast_wait_ms : int
        Last forecast of the time in the queue of an engine, in milliseconds.
    is_drawn : bool or None
        Whether the request is one of the share of a new release; None before that is
        drawn.
    release : str or None
        Release that began the stream of the request; None before its first event.
    begun_on_ms : int or None
        Time at which the connection was opened that brought the first event of the
        stream; None if another request began it.
    begun_at : FleetTarget or None
        Target that sent that event, as known then; None once another one goes on.
    is_begun : bool
        Whether any response to the request was written past its beginning.
    crashes : int
        Number of crashes of targets that the request may have caused.
    trial : int
        Number of the trial for the next attempt; 0 if none.
    is_done : bool
        Whether the request has its final outcome.
    awaits_grant : bool
        Whether the request waits for a grant of tokens.
    """

    number: int
    exchange: HttpExchange
    request: ForwardRequest
    route: Route
    service: ServiceProfile
    workspace: WorkspaceProfile | None
    arrived_ms: int
    deadline_at_ms: int
    cost: int = 0
    runs: int = 0
    tries: int = 0
    excluded: set[str] = field(default_factory=set)
    sent_to: set[str] = field(default_factory=set)
    attempt: Attempt | None = None
    silent_attempt: Attempt | None = None
    position: StreamPosition = field(default_factory=StreamPosition)
    has_events: bool = False
    first_event_ms: int | None = None
    last_failure: str = ""
    ledger_age_ms: int | None = None
    rate_refusal: str | None = None
    permit_requests: int = 0
    permit_wait_ms: int = 0
    refused_permits: list[str] = field(default_factory=list)
    limited_targets: list[str] = field(default_factory=list)
    load_refusal: str | None = None
    is_load_admitted: bool = False
    forecast_wait_ms: int = 0
    is_drawn: bool | None = None
    release: str | None = None
    begun_on_ms: int | None = None
    begun_at: FleetTarget | None = None
    is_begun: bool = False
    crashes: int = 0
    trial: int = 0
    is_done: bool = False
    awaits_grant: bool = False

    @property
    def quota_id(self) -> str:
        """Identifier of the request for quota and permits."""
        return str(self.number)

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have started to run the request."""
        return self.runs > 0

    @property
    def can_resume(self) -> bool:
        """Whether another run can continue the stream."""
        return self.position.is_known and self.position.last_event_id is not None

    @property
    def workspace_name(self) -> str:
        """Name of the caller's workspace; empty on routes without a key."""
        return self.workspace.name if self.workspace is not None else ""

    @cached_property
    def suspect_names(self) -> tuple[str, ...]:
        """Names of the request and of its shared parts, for the quarantine."""
        request = self.request
        return (
            name_request(
                self.workspace_name, request.method, request.target, self.exchange.body
            ),
            *(part.name for part in request.shared_parts),
        )

    def attempt_of(self, call: TargetCall) -> Attempt:
        """Return the attempt of a call that is in progress."""
        silent = self.silent_attempt
        if silent is not None and silent.call is call:
            return silent
        return self.attempt


def time_limit_ms(request: ForwardRequest, route: Route) -> int:
    """Return the time within which a request must have its final response."""
    if request.deadline_ms is None:
        return route.timeout_ms
    return min(route.timeout_ms, request.deadline_ms)


def deadline_timer(job: Job) -> str:
    """Return the name of the timer for the deadline of a request."""
    return f"job:{job.number}:deadline"


def response_timer(job: Job, attempt: Attempt) -> str:
    """Return the name of the timer for the response to an attempt."""
    return f"job:{job.number}:watch:{attempt.number}"
