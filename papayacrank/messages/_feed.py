"""Feed of the replicated state that is sent to entry processes."""

import msgspec

from ._commands import TargetStatus
from ._routing import RoutingConfiguration

# Status of an entry process that serves callers, and of one that cannot reach targets.
SERVING = "serving"
ISOLATED = "isolated"


class KeyEntry(msgspec.Struct, frozen=True):
    """A live API key."""

    key_id: str
    workspace: str
    digest: str


class InstanceCapacity(msgspec.Struct, frozen=True, array_like=True):
    """Resources of an entry process; a value of 0 is unknown.

    Attributes
    ----------
    processor : float
        Share of a core times its relative speed.
    memory_mb : float
        Memory in units of 1,000,000 bytes.
    descriptors : int
        Maximum number of open descriptors.
    link_mbps : float
        Bandwidth of the machine's link in Mbit/s.
    """

    processor: float = 0.0
    memory_mb: float = 0.0
    descriptors: int = 0
    link_mbps: float = 0.0


UNKNOWN_CAPACITY = InstanceCapacity()


class EntryAddress(msgspec.Struct, frozen=True, omit_defaults=True):
    """A live entry process.

    Attributes
    ----------
    address : str
        Address for callers as ``ip:port``.
    status : str
        ``"starting"``, ``"serving"``, ``"isolated"`` or ``"draining"``.
    capacity : InstanceCapacity
        Resources of the process, as it stated them when it registered.
    """

    instance: str
    boot: int
    failure_domain: str
    address: str
    status: str
    capacity: InstanceCapacity = UNKNOWN_CAPACITY


class ConfigurationChange(msgspec.Struct, tag=True, frozen=True):
    """The configuration was replaced; `document` is canonical JSON."""

    version: int
    document: str


class KeyChange(msgspec.Struct, tag=True, frozen=True):
    """A key was granted, or withdrawn if `entry` is None."""

    key_id: str
    entry: KeyEntry | None = None


class TargetsChange(msgspec.Struct, tag=True, frozen=True):
    """The platform's list of targets changed."""

    targets: list[TargetStatus]


class InstanceChange(msgspec.Struct, tag=True, frozen=True):
    """An entry process registered or changed, or expired if `entry` is None."""

    instance: str
    entry: EntryAddress | None = None


class RoutingChange(msgspec.Struct, tag=True, frozen=True):
    """The routing configuration was replaced."""

    configuration: RoutingConfiguration


class WeightsChange(msgspec.Struct, tag=True, frozen=True):
    """The required versions of weights changed; `versions` lists them by model."""

    versions: dict[str, int]


FeedChange = (
    ConfigurationChange
    | KeyChange
    | TargetsChange
    | InstanceChange
    | RoutingChange
    | WeightsChange
)


class FeedUpdate(msgspec.Struct, tag=True, frozen=True):
    """Changes after `from_version` up to `to_version`."""

    from_version: int
    to_version: int
    changes: list[FeedChange]


class FeedSnapshot(msgspec.Struct, tag=True, frozen=True):
    """Complete content of the feed at `version`."""

    version: int
    configuration: ConfigurationChange
    keys: list[KeyEntry]
    targets: list[TargetStatus]
    instances: list[EntryAddress]
    routing: RoutingChange | None = None
    weights: WeightsChange | None = None


class FeedBatch(msgspec.Struct, tag=True, frozen=True):
    """A `FeedUpdate` or `FeedSnapshot`, encoded and compressed with zlib.

    It is sent only to processes whose heartbeats state that they accept it.
    """

    data: bytes
