"""The fleet-wide configuration that the control group replicates."""

import json
from enum import StrEnum
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, model_validator

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,63}$")]
Address = Annotated[str, Field(pattern=r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$")]
Release = Annotated[str, Field(max_length=64)]

MAX_TOKENS_PER_REQUEST = 1_000_000


class StrictModel(BaseModel):
    """Immutable model that rejects unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ServiceKind(StrEnum):
    """Kind of the targets of a service."""

    ENGINE = "engine"
    PLAIN = "plain"


class FailureDomain(StrictModel):
    """A failure domain and its one-way latency to other failure domains."""

    name: Name
    latency_ms: float = Field(default=1.0, ge=0, description="one way, in ms")


class TargetAddress(StrictModel):
    """Addresses and capabilities of a target.

    Attributes
    ----------
    events_address, replay_address : str or None
        ZeroMQ addresses of the cache event stream and its replay; engines only.
    checks_fencing : bool
        Whether the target rejects orders with an outdated fencing token.
    release : str
        Release of the target's software; a stream goes on only at targets of the
        release that began it.
    """

    name: Name
    address: Address
    failure_domain: Name
    events_address: Address | None = None
    replay_address: Address | None = None
    checks_fencing: bool = False
    release: Release = ""


class PathRule(StrictModel):
    """Rule for requests to a plain service whose path is `prefix` or below it.

    Attributes
    ----------
    methods : list of str
        HTTP methods that the rule applies to; empty for all.
    idempotent : bool
        Whether a request may be sent to targets more than once.
    public : bool
        Whether the path can be requested without an API key.
    """

    prefix: str = Field(pattern=r"^/")
    methods: list[str] = []
    idempotent: bool = False
    public: bool = False

    def matches(self, method: str, path: str) -> bool:
        """Return whether the rule applies; the prefix matches whole path segments."""
        if self.methods and method not in self.methods:
            return False
        prefix = self.prefix.rstrip("/")
        return path == prefix or path.startswith(prefix + "/")


class Service(StrictModel):
    """A service and its targets.

    Attributes
    ----------
    model : str or None
        Model name in the requests of callers; engines only.
    weights_version : str
        Version of the weights that responses must come from; engines only.
    block_tokens : int
        Number of tokens in one cache block.
    rules : list of PathRule
        Rules of a plain service. The rule with the longest matching prefix applies; a
        path without a rule is neither idempotent nor public.
    """

    name: Name
    kind: ServiceKind
    targets: list[TargetAddress] = Field(min_length=1)
    model: str | None = None
    weights_version: str = "1"
    block_tokens: int = Field(default=2048, ge=1, le=65_536)
    rules: list[PathRule] = []

    @model_validator(mode="after")
    def _check_kind(self):
        if self.kind is ServiceKind.ENGINE and self.model is None:
            raise ValueError("an engine service needs a model")
        return self

    def find_rule(self, method: str, path: str) -> PathRule:
        """Return the rule with the longest matching prefix, or a default rule."""
        matching = [rule for rule in self.rules if rule.matches(method, path)]
        if not matching:
            return PathRule(prefix="/")
        return max(matching, key=lambda rule: len(rule.prefix))


class Assistant(StrictModel):
    """A use case of a model with its own service-level objective.

    Attributes
    ----------
    ttft_objective_ms : int
        Time to first token that 95 of 100 requests must not exceed, in milliseconds.
    default_max_output_tokens : int
        Limit for requests that do not state one.
    """

    name: Name
    service: Name
    ttft_objective_ms: int = Field(default=2_000, ge=1)
    deadline_ms: int = Field(default=60_000, ge=1)
    default_max_output_tokens: int = Field(default=512, ge=1)
    priority: int = Field(default=0, ge=-10, le=10)


class Workspace(StrictModel):
    """A workspace with its limits and services.

    Attributes
    ----------
    rate_tokens_per_s, burst_tokens : int
        Refill rate and size of the token bucket, which all instances share.
    weight : float
        Relative share under contention.
    """

    name: Name
    rate_tokens_per_s: int = Field(ge=1)
    burst_tokens: int = Field(ge=1)
    weight: float = Field(default=1.0, gt=0)
    services: list[Name]


class Goals(StrictModel):
    """Weights of the routing objectives; only their ratios matter."""

    hit_rate: float = Field(default=1.0, ge=0)
    recompute: float = Field(default=1.0, ge=0)
    tail: float = Field(default=1.0, ge=0)
    fairness: float = Field(default=1.0, ge=0)


class Configuration(StrictModel):
    """Configuration of the fleet, which operators change as a whole."""

    deployment: Name
    failure_domains: list[FailureDomain] = Field(min_length=1)
    services: list[Service] = Field(min_length=1)
    assistants: list[Assistant] = []
    workspaces: list[Workspace] = Field(min_length=1)
    goals: Goals = Goals()
    routing_policy: str = "papayacrank"
    keep_route_ms: int = Field(default=5_000, ge=100)
    availability_objective: float = Field(default=0.999, gt=0, lt=1)

    @model_validator(mode="after")
    def _check_references(self):
        _require_unique("service", [s.name for s in self.services])
        _require_unique("workspace", [w.name for w in self.workspaces])
        _require_unique("target", [t.name for s in self.services for t in s.targets])
        services = {s.name for s in self.services}
        domains = {d.name for d in self.failure_domains}
        for workspace in self.workspaces:
            _require_known("service", workspace.services, services)
        _require_known("service", [a.service for a in self.assistants], services)
        target_domains = [t.failure_domain for s in self.services for t in s.targets]
        _require_known("failure domain", target_domains, domains)
        return self

    def find_service(self, name: str) -> Service | None:
        """Return the service with this name, or None."""
        return next((s for s in self.services if s.name == name), None)

    def find_model(self, model: str) -> Service | None:
        """Return the engine service that serves the model, or None."""
        return next((s for s in self.services if s.model == model), None)

    def find_workspace(self, name: str) -> Workspace | None:
        """Return the workspace with this name, or None."""
        return next((w for w in self.workspaces if w.name == name), None)

    def find_assistant(self, service: str) -> Assistant:
        """Return the first assistant of the service, or one with default values."""
        found = next((a for a in self.assistants if a.service == service), None)
        return found or Assistant(name="default", service=service)


def _require_unique(kind: str, names: list[str]) -> None:
    duplicates = sorted({name for name in names if names.count(name) > 1})
    if duplicates:
        raise ValueError(f"{kind} named twice: {', '.join(duplicates)}")


def _require_known(kind: str, names: list[str], known: set[str]) -> None:
    unknown = sorted(set(names) - known)
    if unknown:
        raise ValueError(f"unknown {kind}: {', '.join(unknown)}")


def canonical_json(configuration: Configuration) -> str:
    """Return the compact JSON text of a configuration, with sorted keys."""
    document = configuration.model_dump(mode="json")
    return json.dumps(document, sort_keys=True, separators=(",", ":"))


def parse_configuration(document: str) -> Configuration:
    """Parse and validate a configuration.

    Raises
    ------
    pydantic.ValidationError
        If the document is not a valid configuration.
    """
    return Configuration.model_validate_json(document)
