"""Requests, answers and the protocol towards callers and targets."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from papayacrank.kernel import Failure
from papayacrank.transport import RequestHead

from ._headers import HeaderList


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Part of a prompt that requests may share.

    Parameters
    ----------
    name : str
        Identity of the content.
    """

    name: str
    tokens: int


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """What the head of a caller's request says.

    Parameters
    ----------
    request_id : str
        Id of this attempt of the caller.
    target : str
        Path with query, forwarded unchanged.
    path : str
        Path without query.
    headers : list of (bytes, bytes)
        Headers to forward.
    deadline_ms : int or None
        Time for which the caller waits, from its sending.
    key : str or None
        Key of a workspace.
    model : str or None
        Model that the request is for; None for plain services.
    prompt_tokens, output_tokens : int or None
        Size of the prompt and limit of the output; None if not stated.
    parts : tuple of PromptPart
        Parts of the prompt in order; the last one is the request's own.
    resume_after : str or None
        Id of the last event that the caller has.
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

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Parts that other requests may have, too."""
        return self.parts[:-1]

    @property
    def tokens(self) -> int:
        """Tokens of the whole run, as far as stated."""
        return (self.prompt_tokens or 0) + (self.output_tokens or 0)


@dataclass(frozen=True, slots=True)
class Dispatch:
    """What the system adds to a request that it sends to a target.

    Parameters
    ----------
    target_name : str
        Only this start of the target may run the request.
    deadline_ms : int
        Time that is left.
    urgency : int or None
        Rank from 0, the most urgent, to 9; engines only.
    cache_salt : str or None
        Text that separates the caches of versions and isolated workspaces.
    weights_version : int or None
        Only this version of the weights may run the request.
    fetch_from, save_to : str or None
        Addresses of stores of cached parts.
    resume_after : str or None
        Id of the last event that the caller has.
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
class AnswerFacts:
    """What the head of a target's answer says.

    Parameters
    ----------
    request_id : str or None
        Request that is answered, if stated.
    not_run : bool
        Whether the target states that it did not run the request.
    wrong_target : bool
        Whether another target has the address, or other weights are in force.
    is_whole : bool
        Whether the head is one that a target gives; a spoiled answer is none.
    target_name : str or None
        Target that answered, if stated.
    weights_version : int or None
        Version of the weights, if stated.
    is_leaving : bool
        Whether the target says that it is being removed.
    pause_ms : int or None
        Time for which the target wants nothing from this instance, if stated.
    """

    request_id: str | None = None
    not_run: bool = False
    wrong_target: bool = False
    is_whole: bool = True
    target_name: str | None = None
    weights_version: int | None = None
    is_leaving: bool = False
    pause_ms: int | None = None


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """Answer of the system itself."""

    status: int
    headers: HeaderList = field(default_factory=list)
    body: bytes = b""


class CallerProtocol(ABC):
    """Wire form of what callers and targets send and receive."""

    @abstractmethod
    def read_request(self, head: RequestHead) -> ForwardRequest | Failure:
        """Return what a request says, or why it is refused."""

    @abstractmethod
    def target_headers(self, request: ForwardRequest, dispatch: Dispatch) -> HeaderList:
        """Return the headers of a request to a target, without framing."""

    @abstractmethod
    def read_answer(self, status: int, headers: HeaderList) -> AnswerFacts:
        """Return what the head of a target's answer says."""

    @abstractmethod
    def build_failure(self, failure: Failure, request_id: str) -> CallerAnswer:
        """Return the answer that reports a failure."""

    @abstractmethod
    def build_addresses(self, addresses: list[str], keep_ms: int) -> CallerAnswer:
        """Return the answer that tells a caller where to connect."""

    @abstractmethod
    def read_whereabouts(self, head: RequestHead) -> str:
        """Return the failure domain of a caller that asks where to connect."""
