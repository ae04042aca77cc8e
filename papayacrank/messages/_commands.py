"""Commands sent to the control group."""

import msgspec

from ._releases import BegunStream
from ._rollouts import ConcludeRollout, StartRollout
from ._routing import RoutingConfiguration


class FileConfiguration(msgspec.Struct, tag=True, frozen=True):
    """Replace the configuration if `expected_version` is still the active one.

    Attributes
    ----------
    expected_version : int
        Version that the operator has read; 0 before the first configuration.
    document : str
        Configuration as canonical JSON.
    operator : str
        Operator who submits the configuration.
    """

    expected_version: int
    document: str
    operator: str


class FileRouting(msgspec.Struct, tag=True, frozen=True):
    """Replace the routing configuration if its version is higher.

    Attributes
    ----------
    source : bytes
        Document submitted by the operator, returned unchanged when it is read.
    """

    configuration: RoutingConfiguration
    source: bytes


class NameWeights(msgspec.Struct, tag=True, frozen=True):
    """Set the version of a model's weights that all engines must load."""

    model: str
    version: int


class GrantKey(msgspec.Struct, tag=True, frozen=True):
    """Grant an API key, of which the control group stores only the digest.

    Attributes
    ----------
    key_id : str
        Public identifier of the key.
    workspace : str
        The only workspace that the key gives access to.
    digest : str
        Hexadecimal BLAKE2b-256 digest of the key.
    operator : str
        Operator who grants the key.
    """

    key_id: str
    workspace: str
    digest: str
    operator: str


class WithdrawKey(msgspec.Struct, tag=True, frozen=True):
    """Withdraw an API key permanently."""

    key_id: str
    operator: str


class BeginAction(msgspec.Struct, tag=True, frozen=True):
    """Record the intent to run a non-idempotent action.

    Attributes
    ----------
    workspace, idempotency_key : str
        Identity of the action.
    fingerprint : str
        Digest of the service and of the method, path and body of the request.
    service : str
        Service that receives the action.
    owner : str
        Instance that runs the action.
    owner_boot : int
        Boot number of the owner's process.
    """

    workspace: str
    idempotency_key: str
    fingerprint: str
    service: str
    owner: str
    owner_boot: int


class FinishAction(msgspec.Struct, tag=True, frozen=True):
    """Record the response of an action, or that its outcome is unknown.

    Attributes
    ----------
    status : int
        HTTP status of the response; 0 if the outcome is unknown.
    content_type : str
        Content type of `body`.
    body : bytes
        Response body, at most 64 KiB.
    """

    workspace: str
    idempotency_key: str
    owner: str
    owner_boot: int
    status: int
    content_type: str = ""
    body: bytes = b""


class AbandonAction(msgspec.Struct, tag=True, frozen=True):
    """Record that an action certainly did not run, so that it may start again."""

    workspace: str
    idempotency_key: str
    owner: str
    owner_boot: int


class UsageDelta(msgspec.Struct, frozen=True):
    """Usage of one workspace since the last report.

    Attributes
    ----------
    asked, served, refused, failed : int
        Number of requests received, served, refused and failed.
    refused_by_code : dict of str to int
        Number of refused requests by failure code.
    may_have_run : int
        Number of failed requests whose outcome is unknown.
    prompt_tokens, cached_tokens, output_tokens, charged_tokens : int
        Number of tokens.
    refused_within_rate : int
        Number of requests refused while the workspace was within its rate.
    actions_finished, actions_unknown : int
        Number of non-idempotent actions by outcome.
    ttft_histogram, token_gap_histogram : bytes
        Encoded HDR histograms in milliseconds; empty if nothing was recorded.
    """

    workspace: str
    asked: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    refused_by_code: dict[str, int] = {}
    may_have_run: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    charged_tokens: int = 0
    refused_within_rate: int = 0
    actions_finished: int = 0
    actions_unknown: int = 0
    ttft_histogram: bytes = b""
    token_gap_histogram: bytes = b""


class ReportUsage(msgspec.Struct, tag=True, frozen=True):
    """Add usage, unless a report with this sequence number was already added.

    Attributes
    ----------
    minute : int
        Wall-clock minute since the epoch to which the usage is added.
    """

    instance: str
    boot: int
    sequence: int
    minute: int
    deltas: list[UsageDelta]


class SetInstanceState(msgspec.Struct, tag=True, frozen=True):
    """Set the operator's state of an instance, ``"serving"`` or ``"draining"``."""

    instance: str
    state: str
    operator: str


class TargetStatus(msgspec.Struct, frozen=True):
    """Item of the platform's list of targets.

    Attributes
    ----------
    state : str
        ``"live"``, ``"leaving"`` or ``"gone"``.
    """

    target: str
    state: str


class ObserveTargets(msgspec.Struct, tag=True, frozen=True):
    """Record the list of targets that the platform publishes."""

    targets: list[TargetStatus]


class PlaceOrder(msgspec.Struct, tag=True, frozen=True):
    """Order a target to load weights, load an adapter or change its role.

    Attributes
    ----------
    kind : str
        ``"load_weights"``, ``"load_adapter"`` or ``"change_role"``.
    argument : str
        Version of the weights, name of the adapter or role, depending on `kind`.
    """

    target: str
    kind: str
    argument: str
    operator: str


class ConfirmOrder(msgspec.Struct, tag=True, frozen=True):
    """Record the state read back from a target after an order."""

    order_id: str
    observed: str


class ReplaceMember(msgspec.Struct, tag=True, frozen=True):
    """Replace a voter of the control group by a caught-up learner."""

    old: str
    new: str
    operator: str


class LiftVerdict(msgspec.Struct, tag=True, frozen=True):
    """Lift a verdict on prompt parts and clear the evidence against them.

    It is executed by the leader without an entry of the log, as verdicts are kept in
    its memory.

    Attributes
    ----------
    number : int
        Number of the verdict.
    operator : str
        Operator who lifts it.
    """

    number: int
    operator: str


class ChangeReleases(msgspec.Struct, tag=True, frozen=True):
    """Add releases that may serve a service, or remove those that ended.

    Attributes
    ----------
    ended : list of str
        Releases whose streams cannot be taken up any more.
    """

    service: str
    added: list[str] = []
    ended: list[str] = []


class RecordStreams(msgspec.Struct, tag=True, frozen=True):
    """Record which releases began streams.

    Attributes
    ----------
    kept_ms : int
        Time in milliseconds for which the streams may be taken up.
    """

    streams: list[BegunStream]
    kept_ms: int


class ReadState(msgspec.Struct, tag=True, frozen=True):
    """Read one part of the state.

    Attributes
    ----------
    what : str
        ``"configuration"``, ``"routing"``, ``"keys"``, ``"targets"``,
        ``"instances"``, ``"budgets"``, ``"actions"``, ``"orders"``, ``"members"``,
        ``"usage"``, ``"releases"``, ``"rollouts"``, ``"quarantine"`` or ``"status"``.
    """

    what: str


Command = (
    FileConfiguration
    | FileRouting
    | NameWeights
    | GrantKey
    | WithdrawKey
    | BeginAction
    | FinishAction
    | AbandonAction
    | ReportUsage
    | SetInstanceState
    | ObserveTargets
    | PlaceOrder
    | ConfirmOrder
    | ReplaceMember
    | LiftVerdict
    | ChangeReleases
    | RecordStreams
    | StartRollout
    | ConcludeRollout
    | ReadState
)
