"""Epochs of the cached prompt parts that workspaces share, without I/O."""

from papayacrank.messages import RoutingConfiguration

# With more removed workspaces that may have made shared parts, a new epoch begins.
MAX_REMOVED = 2_000


class SharedCacheEpochs:
    """Ends the use of shared parts once one of their makers becomes isolated.

    Targets keep parts by a salt and do not know which workspace has made one. Therefore
    all workspaces that share parts leave those of the former epoch behind.
    """

    def __init__(self, epoch: int = 0, members: frozenset[str] = frozenset()):
        self._epoch = epoch
        self._members = members

    @property
    def epoch(self) -> int:
        """Version of the configuration with which the epoch began; 0 for the first."""
        return self._epoch

    @property
    def members(self) -> frozenset[str]:
        """Workspaces that may have made shared parts in this epoch."""
        return self._members

    def apply(self, configuration: RoutingConfiguration) -> None:
        """Note the workspaces of a new configuration; begin an epoch if need be."""
        isolated = {item.name for item in configuration.workspaces if item.isolated}
        shared = frozenset(item.name for item in configuration.workspaces) - isolated
        members = self._members | shared
        if self._members & isolated or len(members - shared) > MAX_REMOVED:
            self._epoch = configuration.version
            members = shared
        self._members = members
