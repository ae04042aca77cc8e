"""Formats of entries that the members of the group read."""

from collections.abc import Mapping

# Format of a member that has stated none to this process, or to a leader that has
# recorded it. In messages of builds that state none, the format is 0.
UNKNOWN_FORMAT = -1
MAX_STATED_FORMATS = 64


class EntryFormats:
    """Highest format of entries that each process reads, as it has stated last.

    An entry that a member cannot decode stops the member until it runs a newer build,
    so an entry of a new format is proposed only once every member reads it.

    Parameters
    ----------
    own_identity : str
        Identity of this process.
    own_format : int
        Highest format that this process reads.
    """

    def __init__(self, own_identity: str, own_format: int):
        self._own_identity = own_identity
        self._own_format = own_format
        self._stated: dict[str, int] = {}
        self._required_format = 0

    def rename(self, own_identity: str) -> None:
        """Set a new identity of this process."""
        self._own_identity = own_identity

    def require(self, entry_format: int) -> None:
        """Note that the log may hold entries of a format."""
        self._required_format = max(self._required_format, entry_format)

    def may_join(self, entry_format: int) -> bool:
        """Whether a process with this format reads the entries in the log."""
        return entry_format >= self._required_format

    def find(self, identity: str) -> int:
        """Return the highest format that a process reads, or `UNKNOWN_FORMAT`."""
        if identity == self._own_identity:
            return self._own_format
        return self._stated.get(identity, UNKNOWN_FORMAT)

    def state(self, identity: str, entry_format: int) -> None:
        """Store a statement of a process.

        Above `MAX_STATED_FORMATS`, the least recently updated ones are evicted.
        """
        self._stated.pop(identity, None)
        self._stated[identity] = entry_format
        while len(self._stated) > MAX_STATED_FORMATS:
            del self._stated[next(iter(self._stated))]

    def forget(self) -> None:
        """Discard all statements, as later ones may have been made to other leaders."""
        self._stated.clear()

    def learn(self, recorded: Mapping[str, int]) -> None:
        """Store the recorded formats of processes that have stated none themselves."""
        for identity, entry_format in recorded.items():
            if self.find(identity) == UNKNOWN_FORMAT:
                self.state(identity, entry_format)
