"""State of one forwarded request."""

from dataclasses import dataclass, field

from papayacrank.messages import FleetTarget, Route, ServiceProfile, WorkspaceProfile
from papayacrank.transport import HttpExchange

from ._base import ForwardRequest, ResponseMetadata
from ._event_stream import EventSplitter
from ._headers import HeaderList
from ._placement import Choice
from ._target_port import TargetCall


@dataclass(eq=False)
class Attempt:
    """One sending of a request to a target.

    Parameters
    ----------
    prefill_tokens, memory_tokens : int
        What the attempt adds to the load of its target.
    salt : str
        Cache salt, empty for plain services.
    store : str
        Service of the store that the prompt is saved to; empty if none.
    facts : ResponseMetadata
        What the head of the answer says.
    has_first_event : bool
        Whether an event or the head of a plain answer arrived.
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


@dataclass(eq=False)
class Job:
    """A request from its admission to its final answer.

    Parameters
    ----------
    number : int
        Unique in the process.
    deadline_at_ms : int
        Time by which the caller has its final answer.
    runs : int
        Attempts that may have run.
    sent_to : set of str
        Targets that the request was sent to.
    last_event_id : str or None
        Id of the last event that the caller has.
    ledger_age_ms : int or None
        Age of the answer of the ledger by which the request was refused.
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
    last_event_id: str | None = None
    has_events: bool = False
    first_event_ms: int | None = None
    last_failure: str = ""
    ledger_age_ms: int | None = None
    is_done: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have begun to work on the request."""
        return self.runs > 0
