"""Verdicts on combinations of prompt parts, without I/O."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from papayacrank.messages import QuarantineVerdict

# A verdict lapses after this time, and after twice the time with each failed trial.
LAPSE_MS = 600_000
MAX_LAPSE_MS = 21_600_000
MAX_VERDICTS = 500
MAX_LIFTED = 1_000
# Numbers of verdicts are unique in the fleet: they contain the term of the leader.
NUMBERS_PER_TERM = 1_000_000


@dataclass(slots=True)
class HeldVerdict:
    """Verdict in force or lapsed.

    Attributes
    ----------
    workspaces : set of str
        Workspaces whose requests are refused; empty for all.
    crash : int
        Number of the crash that led to the verdict; 0 if another leader decided.
    crashed_ms : int
        Time of the last crash of a request with its parts.
    trials_from_ms : int
        Time before which no request with some of the parts is sent as a trial.
    narrowings : int
        Number of failed trials of such requests.
    position : tuple of int
        Term and revision of a verdict that was learned from an entry process.
    """

    number: int
    parts: frozenset[str]
    workspaces: set[str]
    crashes: int
    lapses_ms: int
    confirmations: int
    crash: int
    crashed_ms: int
    revision: int = 0
    position: tuple[int, int] = (0, 0)
    trials_from_ms: int = 0
    narrowings: int = 0
    counted: set[int] = field(default_factory=set)

    @classmethod
    def learn(
        cls, stated: QuarantineVerdict, position: tuple[int, int], now_ms: int
    ) -> "HeldVerdict":
        """Return a verdict that an entry process repeats after an election."""
        lapses_ms = now_ms + stated.lapses_in_ms
        crashed_ms = min(now_ms, lapses_ms - _lapse_ms(stated.confirmations))
        return cls(
            stated.number,
            frozenset(stated.parts),
            set(stated.workspaces),
            stated.crashes,
            lapses_ms,
            stated.confirmations,
            0,
            crashed_ms,
            position=position,
        )

    def matches(self, parts: frozenset[str]) -> bool:
        """Whether a request contains all parts of the verdict."""
        return self.parts <= parts

    def binds(self, workspace: str) -> bool:
        """Whether requests of a workspace are refused."""
        return not self.workspaces or workspace in self.workspaces

    def is_in_force(self, now_ms: int) -> bool:
        """Whether requests are refused; a lapsed verdict allows trials."""
        return now_ms < self.lapses_ms

    def prolong(self, now_ms: int) -> None:
        """Start the next time of the verdict, after a failed trial."""
        self.confirmations += 1
        self.lapses_ms = now_ms + _lapse_ms(self.confirmations)

    def add_workspace(self, workspace: str) -> bool:
        """Extend the verdict to a workspace; with the second one it binds all."""
        if self.binds(workspace):
            return False
        self.workspaces = set()
        return True

    def state(self, now_ms: int) -> QuarantineVerdict:
        """Return the message that describes the verdict."""
        return QuarantineVerdict(
            self.number,
            sorted(self.parts),
            sorted(self.workspaces),
            self.crashes,
            max(0, self.lapses_ms - now_ms),
            self.confirmations,
            self.revision,
        )


def _lapse_ms(confirmations: int) -> int:
    return min(MAX_LAPSE_MS, LAPSE_MS << min(max(0, confirmations - 1), 10))


class LiftedVerdicts:
    """Numbers of verdicts that were lifted, so that no process brings them back."""

    def __init__(self):
        self._numbers: OrderedDict[int, None] = OrderedDict()

    def __contains__(self, number: int) -> bool:
        return number in self._numbers

    def clear(self) -> None:
        """Forget all numbers."""
        self._numbers.clear()

    def add(self, number: int) -> None:
        """Add a number; the oldest ones are forgotten beyond the size."""
        self._numbers[number] = None
        while len(self._numbers) > MAX_LIFTED:
            self._numbers.popitem(last=False)


class VerdictTable:
    """Verdicts of the fleet by number."""

    def __init__(self):
        self._verdicts: dict[int, HeldVerdict] = {}
        self._by_part: dict[str, set[int]] = {}
        self._last = 0

    def __len__(self) -> int:
        return len(self._verdicts)

    def __iter__(self) -> Iterator[HeldVerdict]:
        return iter(list(self._verdicts.values()))

    def clear(self, term: int) -> None:
        """Forget all verdicts; the numbers of the next ones are those of a term."""
        self._verdicts.clear()
        self._by_part.clear()
        self._last = term * NUMBERS_PER_TERM

    def get(self, number: int) -> HeldVerdict | None:
        """Return a verdict, None if it is not known."""
        return self._verdicts.get(number)

    def next_number(self) -> int:
        """Return the number of a new verdict."""
        self._last += 1
        return self._last

    def add(self, verdict: HeldVerdict) -> None:
        """Add a verdict, or replace the one of its number."""
        self.remove(verdict.number)
        self._verdicts[verdict.number] = verdict
        for name in verdict.parts:
            self._by_part.setdefault(name, set()).add(verdict.number)

    def set_parts(self, verdict: HeldVerdict, parts: frozenset[str]) -> None:
        """Narrow a verdict to fewer parts."""
        self.remove(verdict.number)
        verdict.parts = parts
        self.add(verdict)

    def remove(self, number: int) -> HeldVerdict | None:
        """Remove a verdict; None if it is not known."""
        verdict = self._verdicts.pop(number, None)
        if verdict is not None:
            for name in verdict.parts:
                self._by_part[name].discard(number)
                if not self._by_part[name]:
                    del self._by_part[name]
        return verdict

    def naming(self, name: str) -> list[HeldVerdict]:
        """Return the verdicts that name a part."""
        return [self._verdicts[n] for n in sorted(self._by_part.get(name, ()))]

    def matching(self, parts: frozenset[str]) -> list[HeldVerdict]:
        """Return the verdicts all of whose parts a request contains."""
        found = {n for name in parts for n in self._by_part.get(name, ())}
        return [
            self._verdicts[n] for n in sorted(found) if self._verdicts[n].matches(parts)
        ]

    def pop_excess(self) -> list[HeldVerdict]:
        """Remove and return the verdicts beyond the size of the table."""
        excess = len(self._verdicts) - MAX_VERDICTS
        if excess <= 0:
            return []
        weakest = sorted(self, key=lambda v: (v.crashes, v.crashed_ms))[:excess]
        for verdict in weakest:
            self.remove(verdict.number)
        return weakest
