"""Duration of the phases of a start, without I/O."""


class StartPhases:
    """Times at which an entry process had what it needs to serve requests.

    Parameters
    ----------
    started_ms : int
        Start of the process in milliseconds.
    """

    def __init__(self, started_ms: int):
        self._started_ms = started_ms
        self._after_ms: dict[str, int] = {}

    def reach(self, phase: str, now_ms: int) -> None:
        """Record the end of a phase; only the first call for a phase counts."""
        self._after_ms.setdefault(f"{phase}_after_ms", now_ms - self._started_ms)

    def to_fields(self) -> dict[str, int]:
        """Return the time from the start to the end of each phase, for the log."""
        return dict(self._after_ms)
