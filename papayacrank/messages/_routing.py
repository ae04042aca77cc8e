"""Configuration of routes, services and workspaces for forwarded traffic."""

from enum import StrEnum

import msgspec


class RequestKind(StrEnum):
    """Whether and how a request may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class ServiceShare(msgspec.Struct, frozen=True):
    """Share of a route's requests that is sent to a service.

    Attributes
    ----------
    weight : int
        Weight relative to the other shares of the route.
    """

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True):
    """How requests of one host and path prefix are forwarded.

    Attributes
    ----------
    prefix : str
        Path prefix that begins and ends with a slash; the longest match wins.
    timeout_ms : int
        Maximum time that a caller waits, in milliseconds.
    objective_ms : int
        Latency objective for the response or the first event of a stream, in
        milliseconds.
    max_gap_ms : int
        Latency objective for the gap between two events of a stream, in milliseconds;
        0 for requests that are not streams.
    max_attempts : int
        Maximum number of targets that may run one request.
    priority : int
        Priority; 0 is the highest.
    public : bool
        Whether requests need no key.
    resumable : bool
        Whether another target may resume an interrupted stream; has no meaning for
        other kinds of requests.
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
    def is_resumable(self) -> bool:
        """Whether a request is a stream that may be resumed."""
        return self.kind is RequestKind.STREAM and self.resumable

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.is_resumable

    @property
    def max_runs(self) -> int:
        """Maximum number of targets that may have run a request."""
        return self.max_attempts if self.is_repeatable else 1


class EngineProfile(msgspec.Struct, frozen=True):
    """Published properties of the engines of a service.

    Attributes
    ----------
    memory_tokens : int
        Capacity in tokens that running requests and cached prompt parts share.
    token_bytes : int
        Size of the cache entry of one token, in bytes.
    link_mbps : float
        Bandwidth of an engine's link for cache transfers.
    models : tuple of str
        Models that the engines serve.
    """

    slots: int
    memory_tokens: int
    token_bytes: int = 0
    link_mbps: float = 0.0
    models: tuple[str, ...] = ()


class StoreProfile(msgspec.Struct, frozen=True):
    """Configuration of a store of cached prompt parts."""

    address: str
    failure_domain: str
    memory_tokens: int = 0


class ServiceProfile(msgspec.Struct, frozen=True):
    """Configuration of a service.

    Attributes
    ----------
    max_connections : int
        Maximum number of connections that one target accepts in total; 0 if unknown.
    engine : EngineProfile or None
        Properties of the engines if the targets serve a model, otherwise None.
    store : StoreProfile or None
        Set if the service is a store, which serves no requests, otherwise None.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    engine: EngineProfile | None = None
    store: StoreProfile | None = None


class WorkspaceProfile(msgspec.Struct, frozen=True):
    """Key digests, priority and budget of a workspace.

    Attributes
    ----------
    key_digests : tuple of str
        Hexadecimal BLAKE2b-256 digests.
    priority : int or None
        Priority that overrides the priority of the route; None to keep the latter.
    isolated : bool
        Whether caches must not be shared with other workspaces.
    rate_per_s, burst : int
        Rate limit and burst size over all instances; a rate of 0 means no limit.
    default_cost : int
        Tokens charged for a request that does not state its size.
    counts_tokens : bool
        Whether the budget counts tokens; otherwise it counts requests.
    tolerance : int
        Amount that may be admitted beyond the burst, so that requests within the
        budget are not refused because other instances hold an unused part of it.
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
    """Size limits and timeouts for the requests of callers."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class RoutingConfiguration(msgspec.Struct, frozen=True):
    """Complete routing configuration; the highest version is the active one.

    Attributes
    ----------
    cache_epoch : int
        Epoch of the prompt parts that workspaces share; set by the control group.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceProfile, ...] = ()
    workspaces: tuple[WorkspaceProfile, ...] = ()
    limits: CallerLimits = CallerLimits()
    cache_epoch: int = 0
