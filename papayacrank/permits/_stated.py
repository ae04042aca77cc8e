"""Request rates that targets have stated to this process."""

from papayacrank.kernel import log_event

from ._events import RATE_STATED, RATE_UNREADABLE
from ._rate import RateStatement


class StatedRates:
    """Last request rate limit that each target has stated to this process."""

    def __init__(self):
        self._rates: dict[str, float] = {}

    def has_limit(self, target: str) -> bool:
        """Whether the last readable response of a target stated a limit."""
        return target in self._rates

    def observe(
        self, target: str, statement: RateStatement | None, request_id: str
    ) -> None:
        """Record what a response states and log a change.

        Parameters
        ----------
        target : str
            Target that sent the response.
        statement : RateStatement or None
            Limit in the response; None if the response states none.
        request_id : str
            Request that the response belongs to.
        """
        known = self._rates.get(target)
        if statement is not None and statement.per_s is None:
            log_event(
                RATE_UNREADABLE,
                target=target,
                text=statement.text,
                request_id=request_id,
            )
            return
        per_s = statement.per_s if statement is not None else None
        if per_s == known:
            return
        if per_s is None:
            del self._rates[target]
        else:
            self._rates[target] = per_s
        log_event(
            RATE_STATED, target=target, per_s=per_s, known=known, request_id=request_id
        )

    def forget(self, target: str) -> None:
        """Remove a target that was removed from the fleet."""
        self._rates.pop(target, None)
