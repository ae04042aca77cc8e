"""Questionnaire for a team, from which a configuration is generated."""

from pydantic import Field

from ._configuration import (
    Address,
    Assistant,
    Configuration,
    FailureDomain,
    Goals,
    Name,
    PathRule,
    Release,
    Service,
    ServiceKind,
    StrictModel,
    TargetAddress,
    Workspace,
)


class TargetAnswer(StrictModel):
    """Addresses and capabilities of one server."""

    address: Address
    failure_domain: Name
    events_address: Address | None = None
    replay_address: Address | None = None
    checks_fencing: bool = False
    release: Release = ""


class EngineAnswer(StrictModel):
    """A model and the servers that serve it."""

    name: Name
    model: str
    weights_version: str = "1"
    block_tokens: int = Field(default=2048, ge=1, le=65_536)
    servers: list[TargetAnswer] = Field(min_length=1)


class PlainServiceAnswer(StrictModel):
    """A plain service, its servers and the rules of its paths.

    Attributes
    ----------
    idempotent_paths, non_idempotent_paths, public_paths : list of str
        Path prefixes. A public path can be requested without an API key; the other two
        lists state whether it is idempotent.
    """

    name: Name
    servers: list[TargetAnswer] = Field(min_length=1)
    idempotent_paths: list[str] = []
    non_idempotent_paths: list[str] = []
    public_paths: list[str] = []


class AssistantAnswer(StrictModel):
    """An assistant with its engine and its latency objectives."""

    name: Name
    engine: Name
    first_token_within_ms: int = Field(default=2_000, ge=1)
    answer_within_ms: int = Field(default=60_000, ge=1)
    max_output_tokens: int = Field(default=512, ge=1)
    priority: int = Field(default=0, ge=-10, le=10)


class WorkspaceAnswer(StrictModel):
    """A workspace with its limits and the services that it may use."""

    name: Name
    tokens_per_second: int = Field(ge=1)
    burst_tokens: int = Field(ge=1)
    weight: float = Field(default=1.0, gt=0)
    uses: list[Name]


class Questionnaire(StrictModel):
    """Answers of a team, from which its configuration is generated."""

    deployment: Name
    failure_domains: list[FailureDomain] = Field(min_length=1)
    engines: list[EngineAnswer] = []
    plain_services: list[PlainServiceAnswer] = []
    assistants: list[AssistantAnswer] = []
    workspaces: list[WorkspaceAnswer] = Field(min_length=1)
    goals: Goals = Goals()
    keep_route_ms: int = Field(default=5_000, ge=100)
    availability_objective: float = Field(default=0.999, gt=0, lt=1)


def generate_configuration(questionnaire: Questionnaire) -> Configuration:
    """Generate the configuration for a questionnaire.

    Equal questionnaires give equal configurations, byte for byte in canonical JSON.

    Parameters
    ----------
    questionnaire : Questionnaire
        Validated answers.

    Returns
    -------
    Configuration
        Validated configuration.

    Raises
    ------
    pydantic.ValidationError
        If the answers refer to a service or failure domain that they do not define, or
        use a name twice.
    """
    engines = [_engine_service(answer) for answer in questionnaire.engines]
    plain = [_plain_service(answer) for answer in questionnaire.plain_services]
    return Configuration(
        deployment=questionnaire.deployment,
        failure_domains=questionnaire.failure_domains,
        services=engines + plain,
        assistants=[_assistant(answer) for answer in questionnaire.assistants],
        workspaces=[_workspace(answer) for answer in questionnaire.workspaces],
        goals=questionnaire.goals,
        keep_route_ms=questionnaire.keep_route_ms,
        availability_objective=questionnaire.availability_objective,
    )


def _targets(service: str, servers: list[TargetAnswer]) -> list[TargetAddress]:
    return [
        TargetAddress(name=f"{service}-{number}", **server.model_dump())
        for number, server in enumerate(servers, start=1)
    ]


def _engine_service(answer: EngineAnswer) -> Service:
    return Service(
        name=answer.name,
        kind=ServiceKind.ENGINE,
        model=answer.model,
        weights_version=answer.weights_version,
        block_tokens=answer.block_tokens,
        targets=_targets(answer.name, answer.servers),
    )


def _plain_service(answer: PlainServiceAnswer) -> Service:
    idempotent = set(answer.idempotent_paths)
    public = set(answer.public_paths)
    prefixes = sorted(idempotent | public | set(answer.non_idempotent_paths))
    rules = [
        PathRule(
            prefix=prefix, idempotent=prefix in idempotent, public=prefix in public
        )
        for prefix in prefixes
    ]
    return Service(
        name=answer.name,
        kind=ServiceKind.PLAIN,
        targets=_targets(answer.name, answer.servers),
        rules=rules,
    )


def _assistant(answer: AssistantAnswer) -> Assistant:
    return Assistant(
        name=answer.name,
        service=answer.engine,
        ttft_objective_ms=answer.first_token_within_ms,
        deadline_ms=answer.answer_within_ms,
        default_max_output_tokens=answer.max_output_tokens,
        priority=answer.priority,
    )


def _workspace(answer: WorkspaceAnswer) -> Workspace:
    return Workspace(
        name=answer.name,
        rate_tokens_per_s=answer.tokens_per_second,
        burst_tokens=answer.burst_tokens,
        weight=answer.weight,
        services=answer.uses,
    )
