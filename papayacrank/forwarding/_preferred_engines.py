"""Engines that compute the uncached parts of a prompt."""

import heapq
import math
from collections.abc import Callable

import xxhash

from papayacrank.messages import FleetTarget

from ._base import PromptPart

# Demand for a part that most prompts begin with grows with the service, so one engine
# in this many computes it.
ENGINES_PER_COPY = 9


class PreferredEngines:
    """Engines that compute uncached parts of a prompt, by rendezvous hashing.

    Many prompts begin with the same part. Instances that do not know yet where it is
    cached would all send them to one engine, so in a large service each part has
    several engines, among which the last shared part of a prompt chooses.

    Parameters
    ----------
    salt : str
        Salt prefix of the workspace.
    model : str
        Requested model.
    shared : tuple of PromptPart
        Parts of the prompt that other requests may also contain.
    targets : list of FleetTarget
        Candidates; those with the newest weights count.
    """

    def __init__(
        self,
        salt: str,
        model: str,
        shared: tuple[PromptPart, ...],
        targets: list[FleetTarget],
    ):
        self._salt = salt
        self._model = model
        self._shared = shared
        self._targets = targets
        self._names: list[str] = []
        self._found: dict[str, str] = {}

    def find(self, part: PromptPart) -> str:
        """Return the preferred engine of a shared part of the prompt."""
        if part.name not in self._found:
            self._found[part.name] = self._choose(part)
        return self._found[part.name]

    def _choose(self, part: PromptPart) -> str:
        if not self._names:
            newest = max(t.weights[self._model] for t in self._targets)
            self._names = [
                t.name for t in self._targets if t.weights[self._model] == newest
            ]
        size = math.ceil(len(self._names) / ENGINES_PER_COPY)
        group = heapq.nlargest(size, self._names, self._hash_with(part))
        return max(group, key=self._hash_with(self._shared[-1]))

    def _hash_with(self, part: PromptPart) -> Callable[[str], int]:
        prefix = f"{self._salt}/{part.name}/"
        return lambda name: xxhash.xxh3_64_intdigest((prefix + name).encode())
