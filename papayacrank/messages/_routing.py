"""Routes, services and workspaces of the forwarded traffic."""

from enum import StrEnum

import msgspec


class RequestKind(StrEnum):
    """What may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class ServiceShare(msgspec.Struct, frozen=True):
    """Part of a route's requests that goes to a service.

    Attributes
    ----------
    weight : int
        Relative to the other shares of the route.
    """

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True):
    """How requests of one host and path prefix are forwarded.

    Attributes
    ----------
    prefix : str
        Path prefix that begins and ends with a slash; the longest one wins.
    timeout_ms : int
        Longest time that a caller is kept waiting.
    objective_ms : int
        Time to the answer, or to the first event of a stream, that is on time.
    max_gap_ms : int
        Longest pause between two events of a stream that is on time; 0 for others.
    max_attempts : int
        Targets that may run one request of a caller.
    priority : int
        Rank, 0 is the highest.
    public : bool
        Whether no key is needed.
    resumable : bool
        Whether a stream may continue at another target.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    shares: tuple[ServiceShare, ...]
    timeout_ms: int
    objective_ms: int
    max_attempts: int = 1
    priority: int = 0
    public: bool = False
    resumable: bool = False
    max_gap_ms: int = 0

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.resumable


class EngineProfile(msgspec.Struct, frozen=True):
    """Published properties of the engines of a service.

    Attributes
    ----------
    memory_tokens : int
        Tokens that running requests and cached prompt parts share.
    token_bytes : int
        Size of the cache of one token.
    link_mbps : float
        Bandwidth of an engine's link for transfers of cache.
    models : tuple of str
        Models that the engines serve.
    """

    slots: int
    memory_tokens: int
    token_bytes: int = 0
    link_mbps: float = 0.0
    models: tuple[str, ...] = ()


class StoreProfile(msgspec.Struct, frozen=True):
    """A store of cached prompt parts."""

    address: str
    failure_domain: str
    memory_tokens: int = 0


class ServiceProfile(msgspec.Struct, frozen=True):
    """A service as the configuration describes it.

    Attributes
    ----------
    max_connections : int
        Connections that one target accepts from all callers together; 0 if unknown.
    engine : EngineProfile or None
        Set if the targets serve a model.
    store : StoreProfile or None
        Set if the service is a store, which serves no requests.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    engine: EngineProfile | None = None
    store: StoreProfile | None = None


class WorkspaceProfile(msgspec.Struct, frozen=True):
    """A workspace with the digests of its keys and its budget.

    Attributes
    ----------
    key_digests : tuple of str
        Hexadecimal BLAKE2b-256 digests.
    priority : int or None
        Rank that precedes that of the route; None if the route's rank counts.
    isolated : bool
        Whether no cache may be shared with other workspaces.
    rate_per_s, burst : int
        Budget over all instances; a rate of 0 means no limit.
    default_cost : int
        Tokens counted for a request that does not state its size.
    counts_tokens : bool
        Whether the budget counts tokens; otherwise it counts requests.
    tolerance : int
        What may be admitted beyond the burst, so that requests within the budget are
        not refused because a part of it lies unused at other instances.
    """

    name: str
    key_digests: tuple[str, ...]
    priority: int | None = None
    isolated: bool = False
    rate_per_s: int = 0
    burst: int = 0
    default_cost: int = 1
    counts_tokens: bool = True
    tolerance: int = 0


class CallerLimits(msgspec.Struct, frozen=True):
    """Bounds on what a caller may send, and how slowly."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class RoutingConfiguration(msgspec.Struct, frozen=True):
    """Complete description of the forwarded traffic; the highest version wins."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceProfile, ...] = ()
    workspaces: tuple[WorkspaceProfile, ...] = ()
    limits: CallerLimits = CallerLimits()
