"""Outcomes by request id, so that a resent request returns the first outcome."""

import msgspec

from papayacrank.messages import ControlReply

from ._base import Table, evict_oldest
from ._limits import MAX_OPERATOR_OUTCOMES, MAX_PROCESS_OUTCOMES


class OutcomesDump(msgspec.Struct):
    """Snapshot of `RequestOutcomes`."""

    operator: list[ControlReply]
    process: list[ControlReply]


class RequestOutcomes(Table):
    """Bounded record of the outcomes of commands.

    Commands of operators and of processes are stored separately, so that the frequent
    commands of processes don't evict the rare ones of operators.
    """

    def __init__(self):
        self._operator: dict[str, ControlReply] = {}
        self._process: dict[str, ControlReply] = {}

    def find(self, request_id: str) -> ControlReply | None:
        """Return the first outcome of a request id, None if it is not stored."""
        return self._operator.get(request_id) or self._process.get(request_id)

    def record(self, reply: ControlReply, by_operator: bool) -> None:
        """Record an outcome and evict the oldest ones beyond the limit.

        The document in the details of a conflict is omitted, because it can take
        megabytes.
        """
        reply = _without_document(reply)
        if by_operator:
            self._operator[reply.request_id] = reply
            evict_oldest(self._operator, MAX_OPERATOR_OUTCOMES)
        else:
            self._process[reply.request_id] = reply
            evict_oldest(self._process, MAX_PROCESS_OUTCOMES)

    def dump(self) -> OutcomesDump:
        """Return the snapshot."""
        return OutcomesDump(list(self._operator.values()), list(self._process.values()))

    def load(self, dumped: OutcomesDump) -> None:
        """Restore a snapshot."""
        self._operator = {reply.request_id: reply for reply in dumped.operator}
        self._process = {reply.request_id: reply for reply in dumped.process}


def _without_document(reply: ControlReply) -> ControlReply:
    failure = reply.failure
    if failure is None or "document" not in failure.details:
        return reply
    details = {k: v for k, v in failure.details.items() if k != "document"}
    failure = msgspec.structs.replace(failure, details=details)
    return msgspec.structs.replace(reply, failure=failure)
