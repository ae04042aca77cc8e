"""Data classes of requests and responses, and the interface of the wire protocol."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from papayacrank.kernel import Failure
from papayacrank.permits import RateStatement
from papayacrank.transport import RequestHead

from ._headers import HeaderList


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Segment of a prompt whose KV cache entries other requests may reuse.

    Parameters
    ----------
    name : str
        Content identifier; equal names mean equal content.
    tokens : int
        Length of the part in tokens.
    """

    name: str
    tokens: int


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Parsed head of a caller's request.

    Parameters
    ----------
    request_id : str
        Identifier of this attempt of the caller.
    method : str
        HTTP method.
    target : str
        HTTP request target, path and query, forwarded unchanged.
    host : str
        Host name without port.
    path : str
        Path without the query.
    headers : list of (bytes, bytes)
        Headers to forward.
    deadline_ms : int or None
        Timeout of the caller in milliseconds, counted from when it sent the request.
    key : str or None
        API key of a workspace.
    model : str or None
        Requested model; None for plain services.
    prompt_tokens, output_tokens : int or None
        Prompt length and output limit in tokens; None if not stated.
    parts : tuple of PromptPart
        Parts of the prompt in order; the last one is not shared with other requests.
    resume_after : str or None
        Id of the last event that the caller received.
    begun_by : str or None
        Identifier of the caller's attempt that brought the first event.
    is_relayed : bool
        Whether another instance passed the request on.
    expected_output_tokens : int or None
        Number of output tokens that the caller expects; None if not stated.
    prior_runs : int
        Number of targets that may have run the request before another instance passed
        it on.
    """

    request_id: str
    method: str
    target: str
    host: str
    path: str
    headers: HeaderList
    deadline_ms: int | None = None
    key: str | None = None
    model: str | None = None
    prompt_tokens: int | None = None
    output_tokens: int | None = None
    parts: tuple[PromptPart, ...] = ()
    resume_after: str | None = None
    begun_by: str | None = None
    is_relayed: bool = False
    expected_output_tokens: int | None = None
    prior_runs: int = 0

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Parts that other requests may also contain."""
        return self.parts[:-1]

    @property
    def tokens(self) -> int:
        """Stated prompt and output tokens in total."""
        return (self.prompt_tokens or 0) + (self.output_tokens or 0)


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Metadata that the system adds to a request it sends to a target.

    Parameters
    ----------
    target_name : str
        Identity of the target process; a process with another one must refuse the
        request.
    deadline_ms : int
        Remaining time in milliseconds.
    workspace : str or None
        Workspace of the caller; None on routes without a key.
    urgency : int or None
        Scheduling rank from 0, the most urgent, to 9; engines only.
    cache_salt : str or None
        Salt that separates cache entries of weight versions and isolated workspaces.
    weights_version : int or None
        Version of the weights that the engine must run; it refuses the request
        otherwise.
    fetch_from, save_to : str or None
        Address of the prompt store to load cached parts from, and to save them to.
    resume_after : str or None
        Id of the last event that the caller received.
    """

    target_name: str
    deadline_ms: int
    workspace: str | None = None
    urgency: int | None = None
    cache_salt: str | None = None
    weights_version: int | None = None
    fetch_from: str | None = None
    save_to: str | None = None
    resume_after: str | None = None


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Parsed head of a target's response.

    Parameters
    ----------
    request_id : str or None
        Request that the response belongs to, if stated.
    not_run : bool
        Whether the target states that it did not run the request.
    wrong_target : bool
        Whether the address belongs to another target now, or the engine runs another
        version of the weights.
    is_valid : bool
        Whether the head has the form that targets produce; False for a corrupted
        response.
    is_event_stream : bool
        Whether the body is declared as a stream of events.
    target_name : str or None
        Target that sent the response, if stated.
    weights_version : int or None
        Version of the weights, if stated.
    is_leaving : bool
        Whether the target announces its removal.
    pause_ms : int or None
        Time in milliseconds for which the target accepts no requests from this
        instance, if stated.
    rate : RateStatement or None
        Request rate limit of the target, if stated.
    refusal_limit : float or None
        Refusals for want of room in a second that the target bears, if stated.
    promises_not_run : bool
        Whether callers take the status as a promise that the request has not run.
    """

    request_id: str | None = None
    not_run: bool = False
    wrong_target: bool = False
    is_valid: bool = True
    is_event_stream: bool = False
    target_name: str | None = None
    weights_version: int | None = None
    is_leaving: bool = False
    pause_ms: int | None = None
    rate: RateStatement | None = None
    refusal_limit: float | None = None
    promises_not_run: bool = False


@dataclass(frozen=True, slots=True)
class CallerResponse:
    """Response that the system itself sends to a caller."""

    status: int
    headers: HeaderList = field(default_factory=list)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class StartQuery:
    """Request by which a target states when it was started."""

    method: str
    target: str
    headers: HeaderList


class CallerProtocol(ABC):
    """Interface of the HTTP representation used by callers and targets."""

    @abstractmethod
    def read_request(self, head: RequestHead) -> ForwardRequest | Failure:
        """Parse the head of a request; return a failure if it is refused."""

    @abstractmethod
    def target_headers(self, request: ForwardRequest, dispatch: Dispatch) -> HeaderList:
        """Return the headers of a request to a target, without framing headers."""

    @abstractmethod
    def relay_headers(
        self, head: RequestHead, remaining_ms: int, prior_runs: int
    ) -> HeaderList:
        """Return the headers of a request that is passed on to another instance.

        Parameters
        ----------
        head : RequestHead
            Head of the request as the caller sent it.
        remaining_ms : int
            Remaining time of the request in milliseconds.
        prior_runs : int
            Number of targets that may have run the request.
        """

    @abstractmethod
    def read_response(self, status: int, headers: HeaderList) -> ResponseMetadata:
        """Parse the head of a target's response."""

    def build_start_query(self, target_name: str) -> StartQuery | None:
        """Return the request for the start time of a target; None if there is none."""
        return None

    def read_start(self, status: int, body: bytes) -> int | None:
        """Return the start time in a response to a `StartQuery`, None if unknown."""
        return None

    @abstractmethod
    def build_failure(self, failure: Failure, request_id: str) -> CallerResponse:
        """Return the response that reports a failure."""

    @abstractmethod
    def build_addresses(self, addresses: list[str], keep_ms: int) -> CallerResponse:
        """Return the directory response.

        Parameters
        ----------
        addresses : list of str
            Addresses that callers may connect to.
        keep_ms : int
            Time in milliseconds for which callers may cache the response.
        """

    @abstractmethod
    def read_failure_domain(self, head: RequestHead) -> str:
        """Return the failure domain that a directory request states."""
