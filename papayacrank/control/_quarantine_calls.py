"""Lists and lifts verdicts on prompt parts for operators, on the leader."""

from collections import OrderedDict

from papayacrank.kernel import Verdict
from papayacrank.messages import (
    ControlReply,
    ControlRequest,
    Done,
    FailureRecord,
    QuarantineTable,
)
from papayacrank.quarantine import QuarantineRegistry
from papayacrank.state import check_command

MAX_LISTED_SUSPICIONS = 100
# Part names may be texts of callers.
MAX_LISTED_PARTS = 8
MAX_NAME_CHARACTERS = 64
MAX_KEPT_REPLIES = 64


class QuarantineCalls:
    """Executes the commands of operators on the quarantine.

    Parameters
    ----------
    registry : QuarantineRegistry
        Suspected and quarantined parts.
    """

    def __init__(self, registry: QuarantineRegistry):
        self._registry = registry
        # A resent request gets the first outcome.
        self._replies: OrderedDict[str, ControlReply] = OrderedDict()

    def lift(self, request: ControlRequest, now_ms: int) -> ControlReply:
        """Lift the verdict that a `LiftVerdict` names."""
        known = self._replies.get(request.request_id)
        if known is not None:
            return known
        failure = self._lift(request, now_ms)
        reply = ControlReply(
            request.request_id, Done() if failure is None else None, failure
        )
        self._replies[request.request_id] = reply
        while len(self._replies) > MAX_KEPT_REPLIES:
            self._replies.popitem(last=False)
        return reply

    def _lift(self, request: ControlRequest, now_ms: int) -> FailureRecord | None:
        command = request.command
        failure = check_command(command)
        if failure is not None:
            return failure
        if not self._registry.lift(command.number, command.operator, now_ms):
            text = f"no verdict {command.number} is in force"
            return FailureRecord("unknown_verdict", Verdict.NOT_RUN.value, text, 404)
        return None

    def describe(self, now_ms: int) -> dict[str, list[dict]]:
        """Return the verdicts and the suspicions with the most crashes."""
        table = self._registry.table(now_ms)
        return {
            "verdicts": _describe_verdicts(table),
            "suspicions": _describe_suspicions(table),
        }


def _describe_verdicts(table: QuarantineTable) -> list[dict]:
    return [
        {
            "number": verdict.number,
            "parts": [_shorten(name) for name in verdict.parts[:MAX_LISTED_PARTS]],
            "part_count": len(verdict.parts),
            "workspaces": list(verdict.workspaces) or ["(all)"],
            "crashes": verdict.crashes,
            "confirmations": verdict.confirmations,
            "next_trial_in_s": verdict.lapses_in_ms // 1_000,
        }
        for verdict in sorted(table.verdicts, key=lambda item: item.number)
        if verdict.parts
    ]


def _describe_suspicions(table: QuarantineTable) -> list[dict]:
    known = [item for item in table.suspicions if item.crashes]
    known.sort(key=lambda item: (-item.crashes, item.age_ms))
    return [
        {
            "part": _shorten(suspicion.name),
            "crashes": suspicion.crashes,
            "on_trial": suspicion.needs_trial,
            "last_crash_s_ago": suspicion.age_ms // 1_000,
        }
        for suspicion in known[:MAX_LISTED_SUSPICIONS]
    ]


def _shorten(name: str) -> str:
    return name[:MAX_NAME_CHARACTERS]
