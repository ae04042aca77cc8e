"""Targets whose responses do not state the request that they belong to."""

# Connections to such a target are not reused for this long. It is the time after which
# an idle connection is closed anyway, so none is left on which such a response may
# still be on its way.
NEW_CONNECTIONS_MS = 10_000


class UnidentifiedResponses:
    """Targets to which a request needs a new connection.

    On a new connection a response without an id can belong to no earlier request.
    """

    def __init__(self):
        self._until_ms: dict[str, int] = {}

    def record(self, target: str, now_ms: int) -> None:
        """Record a response without an id."""
        self._until_ms[target] = now_ms + NEW_CONNECTIONS_MS

    def requires_new_connection(self, target: str, now_ms: int) -> bool:
        """Whether a target recently sent a response without an id."""
        return now_ms < self._until_ms.get(target, 0)

    def forget(self, target: str) -> None:
        """Remove a target that is gone."""
        self._until_ms.pop(target, None)
