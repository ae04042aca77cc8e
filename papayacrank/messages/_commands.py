"""Commands that a process sends to the control group."""

import msgspec

from ._routing import RoutingConfiguration


class FileConfiguration(msgspec.Struct, tag=True, frozen=True):
    """Replace the configuration if `expected_version` is still in force.

    Attributes
    ----------
    expected_version : int
        Version that the operator saw; 0 before the first configuration.
    document : str
        Configuration as canonical JSON.
    operator : str
        Who files it.
    """

    expected_version: int
    document: str
    operator: str


class FileRouting(msgspec.Struct, tag=True, frozen=True):
    """Replace the routing configuration if its version is higher.

    Attributes
    ----------
    source : bytes
        Document of the operator, which is read back unchanged.
    """

    configuration: RoutingConfiguration
    source: bytes


class NameWeights(msgspec.Struct, tag=True, frozen=True):
    """Name the version of a model's weights that all engines shall load."""

    model: str
    version: int


class GrantKey(msgspec.Struct, tag=True, frozen=True):
    """Grant a key, of which only the digest is known to the control group.

    Attributes
    ----------
    key_id : str
        Public identifier of the key.
    workspace : str
        The only workspace that the key opens.
    digest : str
        Hexadecimal BLAKE2b-256 digest of the key.
    operator : str
        Who grants it.
    """

    key_id: str
    workspace: str
    digest: str
    operator: str


class WithdrawKey(msgspec.Struct, tag=True, frozen=True):
    """Withdraw a key for good."""

    key_id: str
    operator: str


class BeginAction(msgspec.Struct, tag=True, frozen=True):
    """Record the intent to run an unrepeatable action.

    Attributes
    ----------
    workspace, idempotency_key : str
        Identity of the action.
    fingerprint : str
        Digest of service, method, path and body.
    service : str
        Service that receives the action.
    owner : str
        Instance that runs it.
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
    """Record the answer of an action, or that its outcome is unknown.

    Attributes
    ----------
    status : int
        HTTP status of the answer; 0 if the outcome is unknown.
    content_type : str
        Content type of `body`.
    body : bytes
        Recorded answer, at most 64 KiB.
    """

    workspace: str
    idempotency_key: str
    owner: str
    owner_boot: int
    status: int
    content_type: str = ""
    body: bytes = b""


class AbandonAction(msgspec.Struct, tag=True, frozen=True):
    """Record that an action provably did not run, so that it may start again."""

    workspace: str
    idempotency_key: str
    owner: str
    owner_boot: int


class UsageDelta(msgspec.Struct, frozen=True):
    """Usage of one workspace since the last report.

    Attributes
    ----------
    asked, served, refused, failed : int
        Numbers of requests.
    refused_by_code : dict of str to int
        Refusals by failure code.
    may_have_run : int
        Failures of which the outcome is unknown.
    prompt_tokens, cached_tokens, output_tokens, charged_tokens : int
        Numbers of tokens.
    refused_within_rate : int
        Refusals while the workspace was within its rate.
    actions_finished, actions_unknown : int
        Outcomes of unrepeatable actions.
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
    """Add usage; a report with a sequence number already seen is ignored.

    Attributes
    ----------
    minute : int
        Wall-clock minute since the epoch that the usage is booked on.
    """

    instance: str
    boot: int
    sequence: int
    minute: int
    deltas: list[UsageDelta]


class SetInstanceState(msgspec.Struct, tag=True, frozen=True):
    """Set the state an operator wants for an instance: serving or draining."""

    instance: str
    state: str
    operator: str


class TargetStatus(msgspec.Struct, frozen=True):
    """Entry of the platform's list: live, leaving or gone."""

    target: str
    state: str


class ObserveTargets(msgspec.Struct, tag=True, frozen=True):
    """Record the platform's list of targets."""

    targets: list[TargetStatus]


class PlaceOrder(msgspec.Struct, tag=True, frozen=True):
    """Order a target to load weights, load an adapter or change its role.

    Attributes
    ----------
    kind : str
        ``"load_weights"``, ``"load_adapter"`` or ``"change_role"``.
    argument : str
        Version, adapter or role.
    """

    target: str
    kind: str
    argument: str
    operator: str


class ConfirmOrder(msgspec.Struct, tag=True, frozen=True):
    """Record the state that was read back from a target after an order."""

    order_id: str
    observed: str


class ReplaceMember(msgspec.Struct, tag=True, frozen=True):
    """Replace a voter of the control group by a caught-up learner."""

    old: str
    new: str
    operator: str


class ReadState(msgspec.Struct, tag=True, frozen=True):
    """Read one part of the state.

    Attributes
    ----------
    what : str
        ``"configuration"``, ``"routing"``, ``"keys"``, ``"targets"``,
        ``"instances"``, ``"budgets"``, ``"actions"``, ``"orders"``, ``"members"``,
        ``"usage"`` or ``"status"``.
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
    | ReadState
)
