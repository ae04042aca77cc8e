"""Faults that a stand-in injects on request."""

from dataclasses import dataclass, field
from typing import Any

MAX_FAULTS = 100


@dataclass(slots=True)
class Fault:
    """A fault that is still to be injected.

    Parameters
    ----------
    kind : str
        Name of the fault.
    count : int
        How many more times it is injected.
    path : str
        Prefix of the paths that it applies to.
    arguments : dict
        Further arguments.
    """

    kind: str
    count: int = 1
    path: str = "/"
    arguments: dict[str, Any] = field(default_factory=dict)

    def number(self, name: str, default: int) -> int:
        """Return a numeric argument."""
        return int(self.arguments.get(name, default))


class FaultPlan:
    """Faults in the order in which they were requested.

    Parameters
    ----------
    kinds : frozenset of str
        Faults that the stand-in supports.
    """

    def __init__(self, kinds: frozenset[str]):
        self._kinds = kinds
        self._faults: list[Fault] = []

    def add(self, document: dict[str, Any]) -> Fault:
        """Take the body of ``POST /fault``.

        Raises
        ------
        ValueError
            If the fault is unknown or too many are planned.
        """
        arguments = dict(document)
        kind = arguments.pop("kind", None)
        if kind not in self._kinds:
            known = ", ".join(sorted(self._kinds))
            raise ValueError(f"unknown fault {kind!r}; known: {known}")
        if len(self._faults) >= MAX_FAULTS:
            raise ValueError("too many faults are planned")
        count = int(arguments.pop("count", 1))
        fault = Fault(kind, count, str(arguments.pop("path", "/")), arguments)
        self._faults.append(fault)
        return fault

    def take(self, kind: str, path: str = "/") -> Fault | None:
        """Return a planned fault that applies now, and count it."""
        for fault in self._faults:
            if fault.kind == kind and path.startswith(fault.path):
                fault.count -= 1
                if fault.count <= 0:
                    self._faults.remove(fault)
                return fault
        return None

    def clear(self) -> None:
        """Forget all planned faults."""
        self._faults.clear()
