"""Tests of the rule for the number and the spread of votes."""

import pytest

from papayacrank.consensus import LossTolerance, Member


def build_voters(*domains: str, volatile: int = 0) -> list[Member]:
    """Return a voter for each domain, the first ones without a durable folder."""
    return [
        Member(f"n{i}", f"identity-{i}", domain, True, i < volatile)
        for i, domain in enumerate(domains)
    ]


@pytest.mark.parametrize(
    ("instances", "enough"), [(0, 1), (1, 3), (2, 5), (3, 7), (5, 11)]
)
def test_losses_need_twice_as_many_votes_and_one(instances, enough):
    """Guards against a group that a tolerated loss of instances can end."""
    tolerance = LossTolerance(instances=instances)
    for count in range(1, 12):
        voters = build_voters(*(f"d{i}" for i in range(count)))
        assert tolerance.is_met_by(voters) == (count >= enough)


@pytest.mark.parametrize(
    ("domains", "is_met"),
    [
        ("abc", True),
        ("aabbc", True),
        ("aaabb", False),
        ("aabbccd", True),
        ("ab", False),
    ],
)
def test_failure_domains_need_a_spread_of_the_votes(domains, is_met):
    """Guards against a failure domain that holds too many votes."""
    tolerance = LossTolerance(instances=0, failure_domains=1)
    assert tolerance.is_met_by(build_voters(*domains)) == is_met


def test_regions_count_with_all_their_failure_domains():
    """Guards against a region that holds too many votes in different domains."""
    region_of = {"a": "west", "b": "west", "c": "east", "d": "north"}
    tolerance = LossTolerance(instances=1, regions=1, region_of=region_of)
    assert not tolerance.is_met_by(build_voters(*"abc"))
    assert tolerance.is_met_by(build_voters(*"abcdd"))


def test_volatile_votes_do_not_survive_a_loss():
    """Guards against counting a vote whose folder is lost with a restart."""
    tolerance = LossTolerance(instances=1)
    assert not tolerance.is_met_by(build_voters(*"abc", volatile=1))
    assert tolerance.is_met_by(build_voters(*"abc", volatile=3))
