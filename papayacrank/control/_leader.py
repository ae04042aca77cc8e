"""Discovery of the leader of the control group."""

from collections.abc import Iterable
from typing import Any

from papayacrank.kernel import Send


class LeaderHint:
    """Last known leader of the control group, shared by client and contact.

    Parameters
    ----------
    members : iterable of str
        Link names of the control processes.
    accepts_new : bool
        Whether a member may redirect to a leader whose name is not configured, because
        the group may have changed since the configuration.
    """

    def __init__(self, members: Iterable[str], accepts_new: bool = False):
        self._members = tuple(members)
        self._accepts_new = accepts_new
        self._leader: str | None = None

    @property
    def leader(self) -> str | None:
        """Name of the presumed leader, None while unknown."""
        return self._leader

    @property
    def members(self) -> tuple[str, ...]:
        """Names of the control processes."""
        return self._members

    def learn(self, leader: str | None) -> bool:
        """Record the leader that a member has reported.

        Returns
        -------
        bool
            Whether the presumed leader has changed.
        """
        if leader and self._accepts_new:
            self.extend([leader])
        if not leader or leader not in self._members or leader == self._leader:
            return False
        self._leader = leader
        return True

    def extend(self, members: Iterable[str]) -> list[str]:
        """Add members of the control group; return the new ones."""
        new = [name for name in members if name not in self._members]
        self._members = (*self._members, *new)
        return new

    def forget(self) -> None:
        """Forget the leader, so that messages go to all members."""
        self._leader = None

    def build_sends(self, message: Any) -> list[Send]:
        """Return the sends to the leader, or to all members while it is unknown."""
        receivers = self._members if self._leader is None else (self._leader,)
        return [Send(name, message) for name in receivers]
