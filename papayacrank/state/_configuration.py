"""Active configuration and the history of its changes."""

import json

import msgspec

from papayacrank.messages import (
    ConfigurationChange,
    ConfigurationFiled,
    FailureRecord,
    FileConfiguration,
)

from ._base import Table, refuse
from ._limits import MAX_CONFIGURATION_HISTORY


class ConfigurationRecord(msgspec.Struct, frozen=True):
    """An accepted change of the configuration.

    Attributes
    ----------
    wall_ms : int
        Wall clock of the accepting leader, in milliseconds since the epoch.
    """

    version: int
    operator: str
    request_id: str
    wall_ms: int


class ConfigurationDump(msgspec.Struct):
    """Snapshot of `ConfigurationTable`."""

    version: int
    document: str
    history: list[ConfigurationRecord]


class ConfigurationTable(Table):
    """Configuration that is replaced by compare-and-set on its version."""

    def __init__(self):
        self._version = 0
        self._document = ""
        self._history: list[ConfigurationRecord] = []
        self._workspaces: frozenset[str] = frozenset()

    @property
    def version(self) -> int:
        """Active version, 0 before the first configuration."""
        return self._version

    @property
    def document(self) -> str:
        """Active configuration as canonical JSON, empty before the first one."""
        return self._document

    @property
    def history(self) -> list[ConfigurationRecord]:
        """Latest accepted changes, oldest first."""
        return list(self._history)

    def has_workspace(self, name: str) -> bool:
        """Return whether a workspace exists; True before the first configuration."""
        return self._version == 0 or name in self._workspaces

    def change(self) -> ConfigurationChange:
        """Return the active configuration as a change of the feed."""
        return ConfigurationChange(self._version, self._document)

    def replace(
        self, command: FileConfiguration, request_id: str, wall_ms: int
    ) -> ConfigurationFiled | FailureRecord:
        """Replace the configuration if the expected version is the active one."""
        if command.expected_version != self._version:
            return self._conflict(command)
        self._version += 1
        self._document = command.document
        self._workspaces = _read_workspaces(command.document)
        record = ConfigurationRecord(
            self._version, command.operator, request_id, wall_ms
        )
        self._history = [*self._history, record][-MAX_CONFIGURATION_HISTORY:]
        return ConfigurationFiled(self._version)

    def dump(self) -> ConfigurationDump:
        """Return the snapshot."""
        return ConfigurationDump(self._version, self._document, self._history)

    def load(self, dumped: ConfigurationDump) -> None:
        """Restore a snapshot."""
        self._version = dumped.version
        self._document = dumped.document
        self._workspaces = _read_workspaces(dumped.document)
        self._history = list(dumped.history)

    def _conflict(self, command: FileConfiguration) -> FailureRecord:
        details: dict = {"version": self._version}
        if self._history:
            latest = self._history[-1]
            details |= {
                "operator": latest.operator,
                "request_id": latest.request_id,
                "wall_ms": latest.wall_ms,
                "document": self._document,
            }
        return refuse(
            "conflict",
            f"version {command.expected_version} was expected, but version "
            f"{self._version} is in force",
            details=details,
        )


def _read_workspaces(document: str) -> frozenset[str]:
    if not document:
        return frozenset()
    return frozenset(item["name"] for item in json.loads(document)["workspaces"])
