"""The part of the replicated state that entry processes need."""

import msgspec

from ._commands import TargetStatus
from ._routing import RoutingConfiguration


class KeyEntry(msgspec.Struct, frozen=True):
    """A key in force."""

    key_id: str
    workspace: str
    digest: str


class EntryAddress(msgspec.Struct, frozen=True):
    """A live entry process.

    Attributes
    ----------
    address : str
        Callers' address as ``ip:port``.
    status : str
        ``"starting"``, ``"serving"`` or ``"draining"``.
    """

    instance: str
    boot: int
    failure_domain: str
    address: str
    status: str


class ConfigurationChange(msgspec.Struct, tag=True, frozen=True):
    """A new configuration, as canonical JSON."""

    version: int
    document: str


class KeyChange(msgspec.Struct, tag=True, frozen=True):
    """A key was granted (`entry` set) or withdrawn (`entry` is None)."""

    key_id: str
    entry: KeyEntry | None = None


class TargetsChange(msgspec.Struct, tag=True, frozen=True):
    """The platform's list of targets."""

    targets: list[TargetStatus]


class InstanceChange(msgspec.Struct, tag=True, frozen=True):
    """An entry process came or changed (`entry` set) or is gone (`entry` is None)."""

    instance: str
    entry: EntryAddress | None = None


class RoutingChange(msgspec.Struct, tag=True, frozen=True):
    """A new routing configuration."""

    configuration: RoutingConfiguration


class WeightsChange(msgspec.Struct, tag=True, frozen=True):
    """Named versions of weights, by model."""

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
    """The whole feed at `version`."""

    version: int
    configuration: ConfigurationChange
    keys: list[KeyEntry]
    targets: list[TargetStatus]
    instances: list[EntryAddress]
    routing: RoutingChange | None = None
    weights: WeightsChange | None = None
