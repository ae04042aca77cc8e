"""Calls of the leader to targets and the platform, independent of the wire format."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from enum import Enum

from papayacrank.permits import RateStatement

from ._effects import HttpCall, HttpResult


@dataclass(frozen=True, slots=True)
class ListedTarget:
    """Target on the platform's list.

    Parameters
    ----------
    name : str
        Identifier of this run of the target.
    born_ms : int
        Start time of the process; it changes when the target restarts under the same
        name.
    weights : dict of str to int
        Version of the loaded weights by model; empty for plain services.
    release : str
        Release of the target's software.
    """

    name: str
    address: str
    service: str
    failure_domain: str
    leaving: bool = False
    slots: int = 0
    born_ms: int = 0
    weights: dict[str, int] = field(default_factory=dict)
    release: str = ""


@dataclass(frozen=True, slots=True)
class ListingPage:
    """Page of the platform's list.

    Parameters
    ----------
    next_page : str or None
        Token of the following page; None on the last one.
    """

    targets: tuple[ListedTarget, ...]
    next_page: str | None = None


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """Status that an engine reports about itself.

    Parameters
    ----------
    busy : bool
        Whether the engine is executing an order.
    orders : int
        Number of orders accepted since the process started.
    """

    busy: bool
    orders: int
    weights: dict[str, int]
    born_ms: int = 0


class RunningRequestPolicy(Enum):
    """Treatment of the requests that run when an engine loads weights."""

    FINISH = "finish"
    CANCEL = "cancel"
    CONTINUE = "continue"


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """Order to load weights.

    Parameters
    ----------
    expected_orders : int or None
        Number of orders that the engine must have accepted before, so that it rejects a
        duplicate delivered late.
    fencing_token : int
        Fencing token, the term of the leader.
    """

    target: str
    address: str
    model: str
    version: int
    policy: RunningRequestPolicy
    holder: str
    fencing_token: int
    expected_orders: int | None = None


class OrderOutcome(Enum):
    """Response of a target to an order."""

    ACCEPTED = "accepted"
    ALREADY_LOADED = "holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"
    WRONG_TARGET = "wrong_target"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class TargetSignals:
    """Signals that a target attaches to its responses.

    Parameters
    ----------
    is_leaving : bool
        Whether the target is being removed.
    pause_ms : int or None
        Time for which this instance must send it nothing, if stated.
    rate : RateStatement or None
        Request rate limit, if stated.
    """

    is_leaving: bool = False
    pause_ms: int | None = None
    rate: RateStatement | None = None


class TargetProtocol(ABC):
    """Codec for the platform's list, engine status, orders and store checks."""

    @abstractmethod
    def build_listing(self, key: str, page: str | None) -> HttpCall:
        """Return the call that reads one page of the platform's list."""

    @abstractmethod
    def read_listing(self, result: HttpResult) -> ListingPage | str:
        """Return the page, or the reason for the failure."""

    @abstractmethod
    def build_status(self, key: str, target: str, address: str) -> HttpCall:
        """Return the call that reads the status of an engine."""

    @abstractmethod
    def read_status(self, result: HttpResult) -> EngineStatus | str:
        """Return the status, or the reason for the failure."""

    @abstractmethod
    def build_load(self, key: str, order: LoadOrder) -> HttpCall:
        """Return the call that sends an order."""

    @abstractmethod
    def read_load(self, result: HttpResult) -> OrderOutcome:
        """Return the outcome of an order."""

    @abstractmethod
    def read_signals(self, result: HttpResult) -> TargetSignals:
        """Return the signals in the response to a status request or an order."""

    @abstractmethod
    def build_store_check(self, key: str, address: str) -> HttpCall:
        """Return the call that reads the start number of a store."""

    @abstractmethod
    def read_store_check(self, result: HttpResult) -> int | str:
        """Return the positive start number, or the reason for the failure."""
