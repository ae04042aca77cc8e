"""Client for the commands that a control process submits to its own group."""

import random
import uuid
from collections.abc import Callable, Iterable
from typing import Any

from papayacrank.consensus import Member
from papayacrank.messages import ControlReply, NotLeader

from ._client import TIMER_PREFIX, ControlClient
from ._leader import LeaderHint


class LocalClient:
    """Client of the control group inside one of its members, for operator requests.

    Parameters
    ----------
    name : str
        Link name of this process.
    """

    def __init__(self, name: str):
        self._hint = LeaderHint([name], accepts_new=True)
        boot = uuid.uuid4().int >> 66
        self._client = ControlClient(name, boot, self._hint, random.Random())
        self._callbacks: dict[str, Callable] = {}

    def update_group(self, leader: str, members: Iterable[Member]) -> None:
        """Set the leader and the members as the log shows them."""
        self._hint.extend(member.name for member in members)
        self._hint.learn(leader)

    def submit(
        self, command: Any, callback: Callable, timeout_ms: int, now_ms: int
    ) -> list[Any]:
        """Send a command; `callback` is called with its outcome."""
        request_id, effects = self._client.submit(
            command, now_ms, timeout_ms=timeout_ms
        )
        self._callbacks[request_id] = callback
        return effects

    def finish(self, request_id: str, outcome: Any) -> None:
        """Call the callback of a command with its outcome."""
        callback = self._callbacks.pop(request_id, None)
        if callback is not None:
            callback(outcome)

    @staticmethod
    def accepts(message: Any) -> bool:
        """Return whether a message is a reply to a command."""
        return isinstance(message, ControlReply) or (
            isinstance(message, NotLeader) and bool(message.request_id)
        )

    @staticmethod
    def owns_timer(name: str) -> bool:
        """Return whether a timer belongs to a command."""
        return name.startswith(TIMER_PREFIX)

    def receive(self, sender: str, message: Any, now_ms: int) -> list[Any]:
        """Handle a reply."""
        return self._client.receive(sender, message, now_ms)

    def tick(self, name: str, now_ms: int) -> list[Any]:
        """Handle a timer."""
        return self._client.tick(name, now_ms)
