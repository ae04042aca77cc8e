"""Weighted fair queueing by served tokens."""

from papayacrank.kernel import register

from ._base import AdmissionPolicy, AdmissionRequest
from ._queue import QueueAdmission

CACHED_TOKEN_COST = 0.1


@register(AdmissionPolicy, "fair")
class FairAdmission(QueueAdmission):
    """Start-time fair queueing over workspaces.

    Each workspace has a virtual time that advances by the cost of its requests divided
    by its weight; the workspace with the lowest virtual time is next. A workspace that
    was idle resumes at the current virtual time, so that it cannot accumulate credit.
    """

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._virtual_time = 0.0
        self._workspace_time: dict[str, float] = {}

    def _next_workspace(self, blocked: set[str]) -> str | None:
        candidates = [name for name in self._queues if name not in blocked]
        return min(
            candidates,
            key=lambda name: (self._workspace_time[name], name),
            default=None,
        )

    def _on_backlogged(self, request: AdmissionRequest) -> None:
        workspace_time = self._workspace_time.get(request.workspace, 0.0)
        self._workspace_time[request.workspace] = max(
            workspace_time, self._virtual_time
        )

    def _on_started(self, request: AdmissionRequest) -> None:
        workspace_time = self._workspace_time[request.workspace]
        self._virtual_time = max(self._virtual_time, workspace_time)
        charge = request.expected_cost / request.weight
        self._workspace_time[request.workspace] = workspace_time + charge

    def _correct_charge(
        self, request: AdmissionRequest, cached_tokens: int, computed_tokens: int
    ) -> None:
        cost = computed_tokens + CACHED_TOKEN_COST * cached_tokens
        correction = (cost - request.expected_cost) / request.weight
        self._workspace_time[request.workspace] += correction
