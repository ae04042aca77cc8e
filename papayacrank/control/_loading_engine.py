"""State of one engine in the rollout of model weights."""

from dataclasses import dataclass, field
from enum import Enum

from ._open_call import OpenCall
from ._target_protocol import ListedTarget


class Phase(Enum):
    """Phase of the load of one engine."""

    IDLE = "idle"
    DRAINING = "draining"
    CHECKING = "checking"
    LOADING = "loading"
    CONFIRMING = "confirming"


IN_SERVICE = (Phase.IDLE, Phase.CONFIRMING)


@dataclass(slots=True)
class LoadingEngine:
    """Engine with the phase of its load and what is known of its weights.

    Parameters
    ----------
    target : ListedTarget
        Engine as listed.
    phase : Phase
        Phase of the load.
    since_ms, next_ms : int
        Begin of the phase and time of its next action, in milliseconds.
    call : OpenCall
        Call whose result is awaited.
    orders : int or None
        Number of orders that the engine has accepted, None if unknown.
    weights : dict of str to int or None
        Version by model as observed, None if only the list is known.
    observed_ms : int
        Time of that observation in milliseconds.
    ordered_model, ordered_version : str, int
        Content of the last order.
    ordered_ms : dict of str to int
        Time of the last order of each model, in milliseconds.
    accepted_ms : int or None
        Time at which the order in progress was accepted, in milliseconds.
    draining_since_ms : int
        Time from which entry processes send no new requests, in milliseconds.
    blocked_until_ms, paused_until_ms : int
        Times until which the engine is not selected and gets no calls.
    is_replaced : bool
        Whether another process uses the address of the engine.
    """

    target: ListedTarget
    phase: Phase = Phase.IDLE
    since_ms: int = 0
    next_ms: int = 0
    call: OpenCall = field(default_factory=OpenCall)
    orders: int | None = None
    weights: dict[str, int] | None = None
    observed_ms: int = 0
    ordered_model: str = ""
    ordered_version: int = 0
    ordered_ms: dict[str, int] = field(default_factory=dict)
    accepted_ms: int | None = None
    draining_since_ms: int = 0
    blocked_until_ms: int = 0
    paused_until_ms: int = 0
    is_replaced: bool = False

    def enter(self, phase: Phase, now_ms: int, delay_ms: int = 0) -> None:
        """Enter a phase; its first action is due after a delay."""
        self.phase = phase
        self.since_ms = now_ms
        self.next_ms = now_ms + delay_ms

    def mark_loaded(self, now_ms: int) -> None:
        """Record that the engine runs the ordered version of the ordered model."""
        weights = dict(self.known_weights)
        known_version = weights.get(self.ordered_model)
        if known_version is not None:
            weights[self.ordered_model] = max(known_version, self.ordered_version)
        self.weights = weights
        self.observed_ms = now_ms

    @property
    def known_weights(self) -> dict[str, int]:
        """Version by model, observed at the engine or taken from the list."""
        return self.target.weights if self.weights is None else self.weights

    def find_lags(self, desired_versions: dict[str, int]) -> dict[str, int]:
        """Return how many versions each outdated model is behind the desired one."""
        return {
            model: desired_versions[model] - version
            for model, version in self.known_weights.items()
            if version < desired_versions.get(model, 0)
        }

    def select_model(self, desired_versions: dict[str, int]) -> str | None:
        """Return the outdated model that was ordered longest ago; None if none is.

        Models take turns, so that one with frequent new versions delays no other.
        """
        lags = self.find_lags(desired_versions)
        return min(
            lags,
            key=lambda model: (self.ordered_ms.get(model, 0), -lags[model], model),
            default=None,
        )
