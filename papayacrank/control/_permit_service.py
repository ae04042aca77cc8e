"""Serves permits and distributes request rate limits, on the leader."""

from collections.abc import Callable

from papayacrank.kernel import Send
from papayacrank.messages import PermitRequest, PermitReturn, RateReport
from papayacrank.permits import PermitAllocator

from ._push_log import PushLog

PERMIT_MESSAGES = (PermitRequest, PermitReturn, RateReport)


class PermitService:
    """Answers permit requests and pushes changed limits to all entry processes.

    Parameters
    ----------
    allocator : PermitAllocator
        Limits and permits.
    """

    def __init__(self, allocator: PermitAllocator):
        self._allocator = allocator
        self._pushes = PushLog()

    def reset(self, term: int) -> None:
        """Discard all state after an election."""
        self._allocator.reset(term)
        self._pushes.clear()

    def receive(
        self,
        sender: str,
        message: PermitRequest | PermitReturn | RateReport,
        now_ms: int,
    ) -> list[Send]:
        """Handle a message of an entry process and return the reply to it."""
        if isinstance(message, RateReport):
            for observation in message.observations:
                self._allocator.observe(observation, message.instance, now_ms)
        elif isinstance(message, PermitReturn):
            self._allocator.give_back(message, now_ms)
        else:
            return [Send(sender, self._allocator.request(message, now_ms))]
        return []

    def push(self, list_receivers: Callable[[], list[str]], now_ms: int) -> list[Send]:
        """Return the messages that bring changed limits to all entry processes.

        Parameters
        ----------
        list_receivers : callable
            Returns the link names of the entry processes.
        now_ms : int
            Current time in milliseconds.
        """
        self._allocator.log_allocations(now_ms)
        change = self._allocator.pop_change()
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
        own = self._allocator.position
        if not self._pushes.lacks_change(own, (term, revision), now_ms):
            return []
        return [Send(sender, self._allocator.table())]
