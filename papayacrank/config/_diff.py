"""Difference of two configurations, shown to operators before they file one."""

from dataclasses import dataclass
from typing import Any

from ._configuration import Configuration

ABSENT = "(absent)"


@dataclass(frozen=True, slots=True)
class Change:
    """A value that differs between two configurations.

    Parameters
    ----------
    path : str
        Dotted path in the configuration, for example ``"workspaces.team-a.weight"``.
    before, after : Any
        Values in both configurations; `ABSENT` where there is none.
    """

    path: str
    before: Any
    after: Any

    def __str__(self) -> str:
        return f"{self.path}: {self.before} -> {self.after}"


def diff_configurations(
    before: Configuration | None, after: Configuration
) -> list[Change]:
    """Return the changed values, sorted by path; list items are matched by name."""
    old = _flatten(before.model_dump(mode="json")) if before else {}
    new = _flatten(after.model_dump(mode="json"))
    paths = sorted(old.keys() | new.keys())
    return [
        Change(path, old.get(path, ABSENT), new.get(path, ABSENT))
        for path in paths
        if old.get(path, ABSENT) != new.get(path, ABSENT)
    ]


def _flatten(value: Any, prefix: str = "") -> dict[str, Any]:
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list) and value and isinstance(value[0], dict):
        items = [(_item_name(item, i), item) for i, item in enumerate(value)]
    else:
        return {prefix: value}
    flat: dict[str, Any] = {}
    for key, item in items:
        flat.update(_flatten(item, f"{prefix}.{key}" if prefix else str(key)))
    return flat


def _item_name(item: dict, index: int) -> str:
    return str(item.get("name") or item.get("prefix") or index)
