"""Tests of the division of slots among entry processes."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from papayacrank.control._room import (
    INTERVAL_MS,
    RECOVERY_MS,
    STATEMENT_LIFETIME_MS,
    RoomAllocator,
    divide_fairly,
)
from papayacrank.messages import EntryLoad, FleetTarget, TargetLoad

SLOTS = 6
TARGETS = [FleetTarget(f"t{n}", "", "plain", "", slots=SLOTS) for n in range(2)]


class Fleet:
    """Allocator with entry processes that apply their leases or do not."""

    def __init__(self, *wanted):
        self.now_ms = 0
        self.allocator = RoomAllocator()
        self.wanted = {f"i{n}": count for n, count in enumerate(wanted)}
        self.running = {name: {} for name in self.wanted}
        self.held = {name: {} for name in self.wanted}
        self.deaf = set()
        self.full = []

    def reports(self):
        """Return the load report of each process."""
        return {
            name: EntryLoad(
                name,
                1,
                {t: TargetLoad(n) for t, n in self.running[name].items() if n},
                refusal_limited=["plain"],
                full=self.full,
                wanted={"plain": wanted} if wanted else {},
                leases=dict(self.held[name]),
            )
            for name, wanted in self.wanted.items()
        }

    def step(self):
        """Report, divide, and apply the leases."""
        reports = self.reports()
        for report in reports.values():
            self.allocator.observe(report, self.now_ms)
        self.now_ms += INTERVAL_MS
        self.allocator.divide(TARGETS, reports.values(), self.now_ms)
        for name in self.wanted:
            leases = self.allocator.leases_of(name)
            if name not in self.deaf and leases is not None:
                self.held[name] = leases
        self.full = []

    def total(self, name):
        """Return the leases of a process over all targets."""
        return sum(self.held[name].values())

    def in_use(self, target):
        """Return what all processes may have open at a target at the same time."""
        return sum(
            max(self.held[name].get(target, 0), self.running[name].get(target, 0))
            for name in self.wanted
        )


@pytest.mark.parametrize(
    ("wanted", "total", "shares"),
    [
        ([1, 9, 9], 11, [1, 5, 5]),
        ([2, 2, 2], 9, [2, 2, 2]),
        ([4, 4, 4], 4, [1, 1, 2]),
        ([3, 3], 0, [0, 0]),
    ],
)
def test_slots_are_divided_fairly(wanted, total, shares):
    """Guards against instances whose callers get less room than others."""
    result = divide_fairly({f"i{n}": count for n, count in enumerate(wanted)}, total)
    assert list(result.values()) == shares


def test_slots_go_to_those_that_want_them():
    """Guards against room that is kept for instances without requests."""
    fleet = Fleet(0, 20, 20)
    fleet.step()
    fleet.step()
    assert fleet.total("i0") == 1
    assert fleet.total("i1") + fleet.total("i2") == 2 * SLOTS - 1


def test_reduced_lease_counts_until_the_process_has_heard_of_it():
    """Guards against the same slot in use by two instances."""
    fleet = Fleet(20, 0)
    fleet.step()
    fleet.deaf = {"i0"}
    fleet.wanted["i1"] = 20
    for _ in range(5):
        fleet.step()
        assert max(fleet.in_use(t.name) for t in TARGETS) <= SLOTS
    fleet.deaf = set()
    for _ in range(5):
        fleet.step()
    assert abs(fleet.total("i0") - fleet.total("i1")) <= 1


def test_requests_in_progress_count_beyond_a_reduced_lease():
    """Guards against new requests beside long ones of a former lease."""
    fleet = Fleet(20, 0)
    fleet.step()
    fleet.running["i0"] = {"t0": SLOTS, "t1": SLOTS - 1}
    fleet.wanted["i1"] = 20
    for _ in range(4):
        fleet.step()
    assert fleet.total("i1") == 1
    assert max(fleet.in_use(t.name) for t in TARGETS) <= SLOTS


def test_refusal_lowers_the_slots_of_a_target_for_a_while():
    """Guards against repeated refusals by a target with less room than listed."""
    fleet = Fleet(20, 20)
    fleet.step()
    fleet.full = ["t0"]
    fleet.step()
    fleet.step()
    assert fleet.in_use("t0") == int(0.8 * SLOTS)
    assert fleet.in_use("t1") == SLOTS
    for _ in range(3 * RECOVERY_MS // INTERVAL_MS):
        fleet.step()
    assert fleet.in_use("t0") == SLOTS


def test_new_leader_takes_the_leases_over():
    """Guards against slots that are leased twice after an election."""
    fleet = Fleet(20, 20)
    fleet.step()
    held = {name: dict(leases) for name, leases in fleet.held.items()}
    fleet.allocator = RoomAllocator()
    fleet.step()
    assert fleet.held == held


def test_division_ends_with_the_last_statement():
    """Guards against a limit that outlasts its reason."""
    fleet = Fleet(20)
    fleet.step()
    fleet.now_ms += STATEMENT_LIFETIME_MS
    fleet.allocator.divide(TARGETS, fleet.reports().values(), fleet.now_ms)
    assert fleet.allocator.list_services(fleet.now_ms) == []
    assert fleet.allocator.leases_of("i0") is None


@settings(max_examples=60, deadline=None)
@given(
    steps=st.lists(
        st.tuples(
            st.lists(st.integers(0, 15), min_size=4, max_size=4),
            st.sets(st.sampled_from(["i0", "i1", "i2", "i3"])),
            st.randoms(use_true_random=False),
        ),
        max_size=12,
    )
)
def test_no_slot_is_ever_leased_twice(steps):
    """Guards against more open requests than slots, whoever misses a message."""
    fleet = Fleet(0, 0, 0, 0)
    for wanted, deaf, random in steps:
        fleet.wanted = dict(zip(fleet.wanted, wanted, strict=True))
        fleet.deaf = deaf
        for name, held in fleet.held.items():
            kept = {
                t: n for t, n in fleet.running[name].items() if random.random() < 0.5
            }
            started = {t: random.randint(0, n) for t, n in held.items()}
            fleet.running[name] = {
                t: max(kept.get(t, 0), started.get(t, 0)) for t in {*kept, *started}
            }
        fleet.step()
        assert max(fleet.in_use(t.name) for t in TARGETS) <= SLOTS
