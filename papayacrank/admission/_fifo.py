"""Admission in order of arrival, a baseline for comparing fairness."""

from papayacrank.kernel import register

from ._base import AdmissionPolicy
from ._queue import QueueAdmission


@register(AdmissionPolicy, "fifo")
class FifoAdmission(QueueAdmission):
    """Admits the request that arrived first, regardless of its workspace."""

    def _next_workspace(self, blocked: set[str]) -> str | None:
        candidates = [name for name in self._queues if name not in blocked]
        return min(
            candidates,
            key=lambda name: self._queues[name][0].sequence_number,
            default=None,
        )
