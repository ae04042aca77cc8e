"""Work of a request, and the time that it is expected to take."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Work:
    """Work of one request at one target when it is sent.

    Parameters
    ----------
    service, route : str
        Requested service and route.
    is_engine : bool
        Whether the target is an engine.
    urgency : int
        Scheduling rank from 0, the most urgent.
    prefill_tokens : int
        Prompt tokens that the engine computes.
    queued_tokens : int
        Prompt tokens of other requests that the engine still has to compute.
    fetch_tokens : int
        Prompt tokens that the engine fetches from a store.
    running : int
        Other requests that are open at the target.
    slots : int
        Requests that the target runs at the same time.
    queued_events : float
        Events that pass before the request gets a slot.
    output_events : float
        Expected events of the response.
    """

    service: str
    route: str = ""
    is_engine: bool = True
    urgency: int = 0
    prefill_tokens: int = 0
    queued_tokens: int = 0
    fetch_tokens: int = 0
    running: int = 0
    slots: int = 1
    queued_events: float = 0.0
    output_events: float = 0.0


@dataclass(frozen=True, slots=True)
class Expectation:
    """Expected times of a request, from sending on.

    Parameters
    ----------
    first_event_ms : float
        Time to the first event, or to the response of a plain service.
    queue_ms : float
        Part of it that other requests take.
    total_ms : float
        Time to the end of the response.
    """

    first_event_ms: float
    queue_ms: float = 0.0
    total_ms: float = 0.0


def queued_events(running: int, remaining_events: int, slots: int) -> float:
    """Return the events that pass at an engine before a further request gets a slot.

    Parameters
    ----------
    running : int
        Requests that are open at the engine.
    remaining_events : int
        Events that all of them together still have to return.
    slots : int
        Requests that the engine runs at the same time.
    """
    if slots <= 0 or running < slots:
        return 0.0
    return (running - slots + 1) * remaining_events / (running * slots)
