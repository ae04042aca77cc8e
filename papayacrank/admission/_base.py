"""Interface of admission policies."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from expression import Result

from papayacrank.kernel import Failure


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A request to be admitted.

    Parameters
    ----------
    request_id, workspace, service : str
        Identity, workspace whose budget is charged, and service.
    tokens : int
        Tokens to reserve: prompt plus maximum output; 0 for plain services.
    expected_cost : float
        Expected cost in tokens, in which cached tokens cost less.
    deadline_ms : int
        Time by which the first token must arrive, on the clock of `now_ms`.
    priority : int
        Requests of higher priority run first within the workspace.
    weight : float
        Weight of the workspace under contention.
    """

    request_id: str
    workspace: str
    service: str
    tokens: int
    expected_cost: float
    deadline_ms: int
    priority: int = 0
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Admitted:
    """Decision that a request may run; its tokens are reserved."""

    request: AdmissionRequest


@dataclass(frozen=True, slots=True)
class Refused:
    """Decision that a queued request is refused before it ran."""

    request: AdmissionRequest
    failure: Failure


class AdmissionPolicy(ABC):
    """Decides when queued requests run and which are refused."""

    @abstractmethod
    def submit(self, request: AdmissionRequest, now_ms: int) -> Result[None, Failure]:
        """Queue a request, or refuse it immediately.

        Parameters
        ----------
        request : AdmissionRequest
            Request to queue.
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        Result
            None if the request is queued, otherwise a failure, whose verdict is always
            "not run".
        """

    @abstractmethod
    def poll(self, now_ms: int) -> list[Admitted | Refused]:
        """Return the requests that may run now or are refused."""

    @abstractmethod
    def cancel(self, request_id: str) -> None:
        """Remove a queued request whose caller has disconnected."""

    @abstractmethod
    def on_served(
        self, request_id: str, cached_tokens: int, computed_tokens: int, now_ms: int
    ) -> None:
        """Record the work of an admitted request that has ended, even if it failed."""

    @abstractmethod
    def next_wakeup_ms(self, now_ms: int) -> int | None:
        """Return when `poll` must be called next, unless another event triggers it.

        None if no request is queued.
        """
