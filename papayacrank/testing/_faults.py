"""Fault injection plan of a stand-in."""

from dataclasses import dataclass, field
from typing import Any

MAX_FAULTS = 100


@dataclass(slots=True)
class Fault:
    """A planned fault.

    Parameters
    ----------
    kind : str
        Kind of the fault.
    count : int
        Remaining number of injections.
    path : str
        Path prefix of the requests that it applies to.
    arguments : dict
        Further arguments.
    """

    kind: str
    count: int = 1
    path: str = "/"
    arguments: dict[str, Any] = field(default_factory=dict)

    def get_int(self, name: str, default: int) -> int:
        """Return an argument as an integer."""
        return int(self.arguments.get(name, default))


class FaultPlan:
    """Planned faults, applied in the order in which they were added.

    Parameters
    ----------
    kinds : frozenset of str
        Kinds that the stand-in supports.
    """

    def __init__(self, kinds: frozenset[str]):
        self._kinds = kinds
        self._faults: list[Fault] = []

    def plan(self, document: dict[str, Any]) -> Fault:
        """Add the fault described by the body of ``POST /fault``.

        Raises
        ------
        ValueError
            If the kind is unknown, or `MAX_FAULTS` faults are planned already.
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

    def consume(self, kind: str, path: str = "/") -> Fault | None:
        """Return the first matching fault and decrement its count, or return None."""
        for fault in self._faults:
            if fault.kind == kind and path.startswith(fault.path):
                fault.count -= 1
                if fault.count <= 0:
                    self._faults.remove(fault)
                return fault
        return None

    def clear(self) -> None:
        """Remove all planned faults."""
        self._faults.clear()
