"""Collects evidence against prompt parts and distributes it, on the leader."""

from collections.abc import Callable

from papayacrank.kernel import Send
from papayacrank.messages import (
    CrashReport,
    PartsCleared,
    QuarantineKnowledge,
    TrialEnded,
    TrialRequest,
)
from papayacrank.quarantine import QuarantineRegistry

from ._push_log import PushLog

QUARANTINE_MESSAGES = (
    CrashReport,
    PartsCleared,
    QuarantineKnowledge,
    TrialEnded,
    TrialRequest,
)


class QuarantineService:
    """Passes messages to the registry and pushes its changes to all entry processes.

    Parameters
    ----------
    registry : QuarantineRegistry
        Suspected and quarantined parts.
    """

    def __init__(self, registry: QuarantineRegistry):
        self._registry = registry
        self._pushes = PushLog()

    @property
    def registry(self) -> QuarantineRegistry:
        """Suspected and quarantined parts."""
        return self._registry

    def reset(self, term: int) -> None:
        """Discard all state after an election."""
        self._registry.reset(term)
        self._pushes.clear()

    def tick(self, now_ms: int) -> None:
        """End what has lapsed."""
        self._registry.tick(now_ms)

    def receive(
        self,
        sender: str,
        message: CrashReport
        | PartsCleared
        | QuarantineKnowledge
        | TrialEnded
        | TrialRequest,
        now_ms: int,
    ) -> list[Send]:
        """Handle a message of an entry process and return the reply to it."""
        if isinstance(message, TrialRequest):
            return [Send(sender, self._registry.request_trial(message, now_ms))]
        if isinstance(message, CrashReport):
            self._registry.report_crash(message, now_ms)
        elif isinstance(message, PartsCleared):
            self._registry.clear(message, now_ms)
        elif isinstance(message, QuarantineKnowledge):
            self._registry.learn(message, now_ms)
        else:
            self._registry.end_trial(message, now_ms)
        return []

    def push(self, list_receivers: Callable[[], list[str]], now_ms: int) -> list[Send]:
        """Return the messages that bring changes to all entry processes.

        Parameters
        ----------
        list_receivers : callable
            Returns the link names of the entry processes.
        now_ms : int
            Current time in milliseconds.
        """
        change = self._registry.pop_change(now_ms)
        if change is None:
            return []
        self._pushes.record(change.revision, now_ms)
        return [Send(receiver, change) for receiver in list_receivers()]

    def resend(self, sender: str, term: int, revision: int, now_ms: int) -> list[Send]:
        """Return the whole table for a process that lacks a change.

        Parameters
        ----------
        sender : str
            Link name of the entry process.
        term, revision : int
            Position of the table that the process reports.
        now_ms : int
            Current time in milliseconds.
        """
        own = self._registry.position
        if not self._pushes.lacks_change(own, (term, revision), now_ms):
            return []
        return [Send(sender, self._registry.table(now_ms))]
