"""Parsing of the configuration documents that operators of the platform send."""

from dataclasses import dataclass
from typing import Literal

from pydantic import Field, ValidationError, model_validator

from papayacrank.control import digest_key
from papayacrank.messages import (
    CallerLimits,
    EngineProfile,
    RequestKind,
    Route,
    RoutingConfiguration,
    ServiceProfile,
    ServiceShare,
    StoreProfile,
    WorkspaceProfile,
)

from ._wire_model import MAX_INTEGER, Integer, WireModel

_KINDS = {
    "safe": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAM,
}


# The other half is reserved for partitioned instances, which continue to spend their
# own share of the quota.
USED_TOLERANCE_FRACTION = 0.5


@dataclass(frozen=True)
class RateTolerance:
    """Amount by which the platform lets a tenant exceed its quota.

    In a window, ``(rate x window + burst) x (1 + overage) + slack`` may be admitted.

    Parameters
    ----------
    window_s : float
        Length of the window in seconds.
    overage : float
        Excess as a fraction of the quota of the window.
    slack : float
        Constant excess in the unit of the quota.
    """

    window_s: float = 0.0
    overage: float = 0.0
    slack: float = 0.0

    def extra_burst(self, rate_per_s: float, burst: float) -> int:
        """Return the amount that may be admitted in addition to the burst."""
        allowed = self.overage * (rate_per_s * self.window_s + burst) + self.slack
        return int(USED_TOLERANCE_FRACTION * allowed)


NO_TOLERANCE = RateTolerance()


class ConfigurationError(ValueError):
    """The configuration document is invalid; the message names the field."""


class _Split(WireModel):
    service: str
    weight: Integer = Field(ge=0)


class _Route(WireModel):
    name: str = ""
    host: str
    path_prefix: str
    kind: Literal["safe", "unsafe", "streaming"]
    timeout_ms: Integer = Field(ge=1)
    target_latency_ms: Integer = 500
    priority: Integer = 0
    service: str | None = None
    traffic_split: list[_Split] = []
    max_attempts: Integer = 1
    public: bool = False
    resumable: bool = False
    target_gap_ms: Integer = 0

    @model_validator(mode="after")
    def _check_shares(self):
        if not self.traffic_split and self.service is None:
            raise ValueError("neither service nor traffic_split is given")
        if self.traffic_split and not sum(s.weight for s in self.traffic_split):
            raise ValueError("the weights of traffic_split add up to 0")
        return self

    def shares(self) -> tuple[ServiceShare, ...]:
        """Return the services of the route with a positive weight."""
        if not self.traffic_split:
            return (ServiceShare(self.service, 1),)
        split = [s for s in self.traffic_split if s.weight]
        return tuple(ServiceShare(s.service, s.weight) for s in split)

    def referenced_services(self) -> set[str]:
        """Return the names of all services that the route references."""
        named = {s.service for s in self.traffic_split}
        return named | ({self.service} if self.service is not None else set())


class _ModelName(WireModel):
    name: str


class _Engine(WireModel):
    slots: Integer = 1
    kv_capacity_tokens: Integer = 0
    kv_token_bytes: Integer = 0
    link_mbps: float = 0.0
    models: list[_ModelName] = []


class _Service(WireModel):
    name: str
    health_path: str = ""
    max_connections: Integer = 0
    engine: _Engine | None = None
    # Address of a store of cached prompt parts, which is not in the target list.
    kv_store_addr: str | None = None
    zone: str = ""
    kv_capacity_tokens: Integer = 0


class _Limits(WireModel):
    max_header_bytes: Integer = Field(default=16_384, ge=1)
    max_body_bytes: Integer = Field(default=4_194_304, ge=1)
    header_timeout_ms: Integer = Field(default=3_000, ge=1)
    idle_timeout_ms: Integer = Field(default=15_000, ge=1)


class _Tenant(WireModel):
    name: str
    api_keys: list[str] = []
    priority: Integer | None = None
    unit: str = ""
    # Cost of a request without a token count.
    uncached_tokens: Integer = 1
    isolated: bool = False
    rate_per_s: float = Field(default=0, ge=0, le=MAX_INTEGER)
    burst: float = Field(default=0, ge=0, le=MAX_INTEGER)


class _Document(WireModel):
    version: Integer = Field(ge=1)
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = _Limits()
    tenants: list[_Tenant] = []

    @model_validator(mode="after")
    def _check_references(self):
        services = {service.name for service in self.services}
        seen_routes = set()
        for route in self.routes:
            unknown = sorted(route.referenced_services() - services)
            if unknown:
                raise ValueError(f"route {route.name}: unknown service {unknown[0]}")
            route_key = (route.host.lower(), route.path_prefix)
            if route_key in seen_routes:
                raise ValueError(f"two routes share {route.host}{route.path_prefix}")
            seen_routes.add(route_key)
        owners: dict[str, str] = {}
        for tenant in self.tenants:
            for key in tenant.api_keys:
                if owners.setdefault(key, tenant.name) != tenant.name:
                    raise ValueError(f"{owners[key]} and {tenant.name} share a key")
        return self


def read_configuration(
    source: bytes, tolerance: RateTolerance = NO_TOLERANCE
) -> RoutingConfiguration:
    """Parse and validate a configuration document.

    Parameters
    ----------
    source : bytes
        Document in JSON.
    tolerance : RateTolerance
        Amount by which quotas may be exceeded.

    Raises
    ------
    ConfigurationError
        If the document is invalid.
    """
    try:
        document = _Document.model_validate_json(source)
    except ValidationError as error:
        first = error.errors()[0]
        where = ".".join(map(str, first["loc"])) or "document"
        raise ConfigurationError(f"{where}: {first['msg']}") from error
    return RoutingConfiguration(
        document.version,
        tuple(_build_route(route) for route in document.routes),
        tuple(_build_service(service) for service in document.services),
        tuple(_build_workspace(tenant, tolerance) for tenant in document.tenants),
        CallerLimits(**document.limits.model_dump()),
    )


def _build_route(route: _Route) -> Route:
    return Route(
        route.name,
        route.host.lower(),
        route.path_prefix,
        _KINDS[route.kind],
        route.shares(),
        route.timeout_ms,
        max(1, route.target_latency_ms),
        max(1, route.max_attempts),
        route.priority,
        route.public,
        route.resumable,
        route.target_gap_ms,
    )


def _build_service(service: _Service) -> ServiceProfile:
    engine = store = None
    if service.engine is not None:
        engine = EngineProfile(
            service.engine.slots,
            service.engine.kv_capacity_tokens,
            service.engine.kv_token_bytes,
            service.engine.link_mbps,
            tuple(model.name for model in service.engine.models),
        )
    if service.kv_store_addr:
        store = StoreProfile(
            service.kv_store_addr, service.zone, service.kv_capacity_tokens
        )
    return ServiceProfile(
        service.name, service.health_path, service.max_connections, engine, store
    )


def _build_workspace(tenant: _Tenant, tolerance: RateTolerance) -> WorkspaceProfile:
    return WorkspaceProfile(
        tenant.name,
        tuple(digest_key(key) for key in tenant.api_keys),
        tenant.priority,
        tenant.isolated,
        # A rate of 0 means no limit.
        max(1, int(tenant.rate_per_s)) if tenant.rate_per_s else 0,
        int(tenant.burst),
        max(1, tenant.uncached_tokens),
        tenant.unit == "tokens",
        tolerance.extra_burst(tenant.rate_per_s, tenant.burst),
    )
