"""What the leader asks of targets and of the platform, apart from its wire form."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from enum import Enum

from ._effects import HttpCall, HttpResult


@dataclass(frozen=True, slots=True)
class ListedTarget:
    """A target as the platform lists it.

    Parameters
    ----------
    name : str
        Identity of this start of the target.
    born_ms : int
        Start of the process, which changes when it restarts under its name.
    weights : dict of str to int
        Version of the weights by model; empty for plain services.
    """

    name: str
    address: str
    service: str
    failure_domain: str
    leaving: bool = False
    slots: int = 0
    born_ms: int = 0
    weights: dict[str, int] = field(default_factory=dict)


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
    """What an engine reports about itself.

    Parameters
    ----------
    busy : bool
        Whether an order is being carried out.
    orders : int
        Orders accepted since the start.
    """

    busy: bool
    orders: int
    weights: dict[str, int]
    born_ms: int = 0


class RunningRequestPolicy(Enum):
    """What happens to running requests when weights are loaded."""

    FINISH = "finish"
    CANCEL = "cancel"
    CONTINUE = "continue"


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """Order to load weights.

    Parameters
    ----------
    expected_orders : int or None
        Number of accepted orders at which the order may be carried out; a copy that
        arrives late is then ignored.
    fencing_token : int
        Token of the leader's term.
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
    """Answer of a target to an order."""

    ACCEPTED = "accepted"
    ALREADY_LOADED = "holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"
    WRONG_TARGET = "wrong_target"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class TargetSignals:
    """What a target asks of its callers with any answer.

    Parameters
    ----------
    is_leaving : bool
        Whether the target is being removed.
    pause_ms : int or None
        Time for which it wants nothing from this instance, if stated.
    """

    is_leaving: bool = False
    pause_ms: int | None = None


class TargetProtocol(ABC):
    """Wire form of the platform's list, engine reports, orders and store checks."""

    @abstractmethod
    def build_listing(self, key: str, page: str | None) -> HttpCall:
        """Return the call that reads a page of the platform's list."""

    @abstractmethod
    def read_listing(self, result: HttpResult) -> ListingPage | str:
        """Return the page, or why there is none."""

    @abstractmethod
    def build_status(self, key: str, target: str, address: str) -> HttpCall:
        """Return the call that reads the status of an engine."""

    @abstractmethod
    def read_status(self, result: HttpResult) -> EngineStatus | str:
        """Return the status, or why there is none."""

    @abstractmethod
    def build_load(self, key: str, order: LoadOrder) -> HttpCall:
        """Return the call that sends an order."""

    @abstractmethod
    def read_load(self, result: HttpResult) -> OrderOutcome:
        """Return the answer to an order."""

    @abstractmethod
    def read_signals(self, result: HttpResult) -> TargetSignals:
        """Return what the answer to a status reading or an order asks for."""

    @abstractmethod
    def build_store_check(self, key: str, address: str) -> HttpCall:
        """Return the call that asks a store which start of it is running."""

    @abstractmethod
    def read_store_check(self, result: HttpResult) -> int | str:
        """Return the positive number of the store's start, or why there is none."""
