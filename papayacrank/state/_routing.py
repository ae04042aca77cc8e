"""Routing configuration and required versions of weights."""

import msgspec

from papayacrank.messages import (
    Done,
    FailureRecord,
    FileRouting,
    NameWeights,
    RoutingChange,
    RoutingConfiguration,
    RoutingFiled,
    WeightsChange,
)

from ._base import Table, refuse
from ._limits import MAX_DOCUMENT_BYTES, MAX_MODELS
from ._shared_cache import SharedCacheEpochs


class RoutingDump(msgspec.Struct):
    """Snapshot of `RoutingTable`."""

    configuration: RoutingConfiguration | None = None
    source: bytes = b""
    cache_members: list[str] = []


class RoutingTable(Table):
    """Routing configuration with the highest version received."""

    def __init__(self):
        self._configuration: RoutingConfiguration | None = None
        self._source = b""
        self._epochs = SharedCacheEpochs()

    @property
    def version(self) -> int:
        """Active version, 0 before the first configuration."""
        return self._configuration.version if self._configuration else 0

    @property
    def configuration(self) -> RoutingConfiguration | None:
        """Active configuration, None before the first one."""
        return self._configuration

    @property
    def source(self) -> bytes:
        """Operator's document of the active configuration."""
        return self._source

    def change(self) -> RoutingChange | None:
        """Return the active configuration as a change of the feed."""
        if self._configuration is None:
            return None
        return RoutingChange(self._configuration)

    def replace(self, command: FileRouting) -> RoutingFiled | FailureRecord:
        """Replace the configuration if the new version is higher, else ignore it."""
        if len(command.source) > MAX_DOCUMENT_BYTES:
            return refuse("too_large", f"the limit is {MAX_DOCUMENT_BYTES} bytes", 413)
        if command.configuration.version > self.version:
            self._epochs.apply(command.configuration)
            self._configuration = msgspec.structs.replace(
                command.configuration, cache_epoch=self._epochs.epoch
            )
            self._source = command.source
        return RoutingFiled(self.version)

    def dump(self) -> RoutingDump:
        """Return the snapshot."""
        return RoutingDump(
            self._configuration,
            self._source,
            sorted(self._epochs.members),
        )

    def load(self, dumped: RoutingDump) -> None:
        """Restore a snapshot."""
        self._configuration = dumped.configuration
        self._source = dumped.source
        epoch = dumped.configuration.cache_epoch if dumped.configuration else 0
        self._epochs = SharedCacheEpochs(epoch, frozenset(dumped.cache_members))


class WeightsDump(msgspec.Struct):
    """Snapshot of `WeightsTable`."""

    versions: dict[str, int] = {}


class WeightsTable(Table):
    """Highest required version of the weights of each model."""

    def __init__(self):
        self._versions: dict[str, int] = {}

    @property
    def versions(self) -> dict[str, int]:
        """Required version by model."""
        return self._versions

    def change(self) -> WeightsChange:
        """Return the versions as a change of the feed."""
        return WeightsChange(dict(self._versions))

    def raise_version(self, command: NameWeights) -> Done | FailureRecord:
        """Set the version of a model if it is higher, else ignore it."""
        known = command.model in self._versions
        if not known and len(self._versions) >= MAX_MODELS:
            return refuse("table_full", f"the limit is {MAX_MODELS} models", 503)
        newest = max(command.version, self._versions.get(command.model, 0))
        self._versions[command.model] = newest
        return Done()

    def dump(self) -> WeightsDump:
        """Return the snapshot."""
        return WeightsDump(dict(self._versions))

    def load(self, dumped: WeightsDump) -> None:
        """Restore a snapshot."""
        self._versions = dict(dumped.versions)
