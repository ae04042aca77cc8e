"""Interface of admission policies."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from expression import Result

from papayacrank.kernel import Failure


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A request that asks to be admitted.

    Parameters
    ----------
    request_id, workspace, service : str
        Identity, payer and service.
    tokens : int
        Tokens to reserve: prompt plus maximum output; 0 for plain services.
    expected_cost : float
        Expected work in tokens, with cached tokens at their lower cost.
    deadline_ms : int
        Absolute time by which the first token must arrive.
    priority : int
        Higher runs earlier within the workspace.
    weight : float
        Share of the workspace under contention.
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
    """The request may run; its tokens are reserved."""

    request: AdmissionRequest


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was given up on before it ran."""

    request: AdmissionRequest
    failure: Failure


class AdmissionPolicy(ABC):
    """Decides when queued requests run, and which are refused."""

    @abstractmethod
    def submit(self, request: AdmissionRequest, now_ms: int) -> Result[None, Failure]:
        """Queue a request, or refuse it at once.

        Parameters
        ----------
        request : AdmissionRequest
            Request to queue.
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        Result
            Error side: the failure with its verdict, always "not run".
        """

    @abstractmethod
    def poll(self, now_ms: int) -> list[Admitted | Refused]:
        """Return the requests that may run now or are given up on."""

    @abstractmethod
    def cancel(self, request_id: str) -> None:
        """Forget a queued request whose caller has left."""

    @abstractmethod
    def on_served(
        self, request_id: str, cached_tokens: int, computed_tokens: int, now_ms: int
    ) -> None:
        """Book the work of an admitted request that ended, also if it failed."""

    @abstractmethod
    def next_wakeup_ms(self, now_ms: int) -> int | None:
        """Return when `poll` must be called again, if nothing else happens."""
