"""Losses of data folders that a group has to survive."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from ._messages import Member

MIN_VOTERS = 3


def majority(count: int) -> int:
    """Return the size of the smallest majority of `count` voters."""
    return count // 2 + 1


@dataclass(frozen=True)
class LossTolerance:
    """Data folders that may be lost at the same time.

    A group of `n` voters survives the loss of `k` of them if the others are still a
    majority of `n`, because each committed entry is then on one of the others, and they
    can elect it. For any `k` voters, `2 * k + 1` voters suffice.

    Parameters
    ----------
    instances : int
        Number of instances, whichever they are.
    failure_domains : int
        Number of failure domains, each with all its instances.
    regions : int
        Number of regions, each with all its failure domains.
    region_of : Mapping
        Region of each failure domain; one that is missing is a region of its own.
    """

    instances: int = 1
    failure_domains: int = 0
    regions: int = 0
    region_of: Mapping[str, str] = field(default_factory=dict)

    @property
    def required_voters(self) -> int:
        """Smallest number of voters that suffices if they are spread evenly."""
        losses = max(self.instances, self.failure_domains, self.regions)
        return max(MIN_VOTERS, 2 * losses + 1)

    def is_met_by(self, voters: Sequence[Member]) -> bool:
        """Whether any tolerated loss leaves a majority of the voters.

        A volatile voter does not count as one of the others, because it loses its
        folder with each restart, unless all voters are volatile.
        """
        durable = [voter for voter in voters if not voter.volatile] or voters
        return len(durable) - self._largest_loss(durable) >= majority(len(voters))

    def _largest_loss(self, voters: Iterable[Member]) -> int:
        domains = Counter(voter.failure_domain for voter in voters)
        regions: Counter[str] = Counter()
        for domain, count in domains.items():
            regions[self.region_of.get(domain, domain)] += count
        return max(
            self.instances,
            sum(count for _, count in domains.most_common(self.failure_domains)),
            sum(count for _, count in regions.most_common(self.regions)),
        )
