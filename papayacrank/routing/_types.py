"""Inputs and outputs of routing decisions."""

from dataclasses import dataclass

LIVE = "live"
LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class RoutingRequest:
    """Properties of a request that routing depends on.

    Parameters
    ----------
    request_id : str
        Unique among the requests in flight at this instance.
    service, workspace : str
        Names from the configuration.
    blocks : tuple of int
        Block hashes of the prompt; empty for plain services.
    prompt_tokens, max_output_tokens : int
        Number of prompt tokens and maximum number of output tokens; 0 for plain
        services.
    deadline_ms : int
        Time by which the response must be complete, on the caller's clock.
    priority : int
        Priority passed to the engine.
    excluded : frozenset of str
        Targets that must not be selected, for example after a failed attempt.
    max_permit_wait_ms : int
        Longest time that the request may wait for a permit of a target with a request
        rate limit; such targets are not selected if it is negative.
    required : str or None
        Only target that may be selected; None for any.
    """

    request_id: str
    service: str
    workspace: str
    blocks: tuple[int, ...] = ()
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    deadline_ms: int = 0
    priority: int = 0
    excluded: frozenset[str] = frozenset()
    max_permit_wait_ms: int = 0
    required: str | None = None


@dataclass(frozen=True, slots=True)
class TargetView:
    """A target as the feed describes it.

    Parameters
    ----------
    state : str
        Only ``"live"`` targets receive new requests.
    incarnation : int
        Latest known incarnation, 0 if unknown.
    weights_version : str
        Required version of the weights; empty for plain services.
    """

    name: str
    address: str
    failure_domain: str
    state: str = LIVE
    incarnation: int = 0
    weights_version: str = ""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an engine, as of its last sampling.

    Parameters
    ----------
    running, waiting : int
        Number of requests in the batch and in the queue.
    queued_prefill_tokens : int
        Number of prompt tokens that the engine has not computed yet.
    """

    incarnation: int
    weights_version: str
    running: int
    waiting: int
    queued_prefill_tokens: int


@dataclass(frozen=True, slots=True)
class Choice:
    """Result of a routing decision.

    Parameters
    ----------
    target : str
        Name of the selected target.
    matched_blocks : int
        Number of leading blocks that are expected in its cache.
    expected_ttft_ms : float
        Expected time to first token in milliseconds.
    kv_source : str or None
        Engine from which the target imports the blocks beyond its own.
    reason : str
        ``"only"``, ``"match"``, ``"load"``, ``"spread"``, ``"import"``, ``"trial"``
        or ``"policy"``.
    """

    target: str
    matched_blocks: int
    expected_ttft_ms: float
    kv_source: str | None
    reason: str
