"""Random losses, splits, restarts and replacements of the members of a group."""

from collections.abc import Callable
from dataclasses import replace
from random import Random

from papayacrank.consensus import LossTolerance
from papayacrank.consensus.tests._simulation import Cluster, Host, ViolationError

# Time after which a group has to serve again once all instances are back.
RECOVERY_MS = 12_000
# Time after its return for which an instance still counts as lost.
CATCH_UP_MS = 4_000
MAX_POWER_FAILURE_MS = 1_000
CORE_SETTINGS = {
    "target_voters": 7,
    "election_timeout_ms": 400,
    "leader_lease_ms": 320,
}


def build_core(seed: int, size: int, losses: int) -> Cluster:
    """Return a started group whose voters have reached their final number."""
    tolerance = LossTolerance(instances=losses)
    cluster = Cluster(seed, size, loss_tolerance=tolerance, **CORE_SETTINGS).start()
    cluster.run(3_000)
    return cluster


def check_tolerance(cluster: Cluster) -> None:
    """Check that any tolerated loss leaves a majority of each electorate."""
    for host in cluster.hosts.values():
        if host.node is None or not host.node.is_leader:
            continue
        tolerance = host.settings.loss_tolerance
        for voters in host.node.electorates:
            if not tolerance.is_met_by(voters):
                names = [voter.name for voter in voters]
                raise ViolationError(f"{names} do not survive the tolerated losses")


def check_recovery(cluster: Cluster) -> None:
    """Check that the group serves in time and still has all acknowledged writes."""
    cluster.write_and_wait(RECOVERY_MS)
    cluster.run(CATCH_UP_MS)
    cluster.history.check_final(cluster.lease_holder())
    check_tolerance(cluster)


class CoreSimulation:
    """Random faults within a loss tolerance, which is checked after each step.

    Splits, restarts and stalls come in any number, but at most the tolerated number of
    instances has lost its folder, or was replaced, at any time.

    Parameters
    ----------
    seed, size, losses : int
        Seed, number of instances, and number of folders that may be lost at once.
    """

    def __init__(self, seed: int, size: int, losses: int):
        self.random = Random(f"{seed} {size} {losses}")
        self.cluster = build_core(seed, size, losses)
        self.losses = losses
        self.steps = 0
        self._lost_until_ms: dict[str, float] = {}

    def step(self) -> None:
        """Run one random fault, along with client operations."""
        faults: tuple[Callable[[], None], ...] = (
            self._split,
            self._lose_disks,
            self._replace_instance,
            self._restart_leader,
            self._stall_leader,
            self._power_failure,
        )
        self.random.choice(faults)()
        self._run(self.random.uniform(100, 2_000))
        if self.random.random() < 0.5:
            self.cluster.heal()
        self.steps += 1

    def finish(self) -> None:
        """End all faults, lose as many folders as tolerated, and check the rest."""
        self._settle()
        self.cluster.write_and_wait(RECOVERY_MS)
        hosts = list(self.cluster.hosts.values())
        for host in self.random.sample(hosts, self.losses):
            self.cluster.lose_disk(host)
        check_recovery(self.cluster)

    def _run(self, duration_ms: float) -> None:
        end_ms = self.cluster.now_ms + duration_ms
        while self.cluster.now_ms < end_ms:
            self.cluster.run_clients(100)
            check_tolerance(self.cluster)

    def _settle(self) -> None:
        """Reconnect all instances until none of them counts as lost any more."""
        self.cluster.heal()
        resumed_ms = max(h.paused_until_ms for h in self.cluster.hosts.values())
        self._run(resumed_ms - self.cluster.now_ms)
        self.cluster.write_and_wait(RECOVERY_MS)
        self._run(CATCH_UP_MS)
        self._lost_until_ms.clear()

    def _find_lost(self) -> set[str]:
        now_ms = self.cluster.now_ms
        return {n for n, until_ms in self._lost_until_ms.items() if until_ms > now_ms}

    def _list_free(self) -> list[str]:
        return sorted(set(self.cluster.hosts) - self._find_lost())

    def _may_lose(self, count: int) -> bool:
        if len(self._find_lost()) + count <= self.losses:
            return True
        self._settle()
        return count <= self.losses

    def _mark_lost(self, name: str) -> None:
        # A successor catches up only while it is connected.
        duration_ms = CATCH_UP_MS if not self.cluster.blocked else float("inf")
        self._lost_until_ms[name] = self.cluster.now_ms + duration_ms

    def _prolong_losses(self, duration_ms: float) -> None:
        """Count lost instances until they could catch up after another fault."""
        until_ms = self.cluster.now_ms + duration_ms + CATCH_UP_MS
        for name, lost_until_ms in self._lost_until_ms.items():
            if lost_until_ms > self.cluster.now_ms:
                self._lost_until_ms[name] = max(lost_until_ms, until_ms)

    def _split(self) -> None:
        names = sorted(self.cluster.hosts)
        self.cluster.partition(set(self.random.sample(names, len(names) // 2)))
        self._prolong_losses(float("inf"))
        self._run(self.random.uniform(500, 6_000))

    def _lose_disks(self) -> None:
        count = self.random.randint(1, self.losses)
        if self._may_lose(count):
            free = self._list_free()
            for name in self.random.sample(free, min(count, len(free))):
                self._mark_lost(name)
                self.cluster.lose_disk(self.cluster.hosts[name])

    def _replace_instance(self) -> None:
        """Remove an instance for good and start another one with another name."""
        if not self._may_lose(1):
            return
        free = self._list_free()
        old = self.cluster.hosts[self.random.choice(free)]
        old.crash()
        del self.cluster.hosts[old.name]
        name = f"{old.name}x"
        seeds = self.random.sample(sorted(self.cluster.hosts), 2)
        settings = replace(
            old.settings, name=name, peers=tuple(seeds), initial_voters=()
        )
        host = Host(self.cluster, settings, 1.0)
        self.cluster.hosts[name] = host
        self.cluster.after(self.random.uniform(10, 500), host.start)
        self._mark_lost(name)

    def _restart_leader(self) -> None:
        host = self.cluster.lease_holder()
        if host is not None:
            down_ms = self.random.uniform(10, 1_500)
            self._prolong_losses(down_ms)
            self.cluster.restart(host, down_ms)

    def _stall_leader(self) -> None:
        host = self.cluster.lease_holder()
        if host is not None:
            stalled_ms = self.random.uniform(100, 5_000)
            self._prolong_losses(stalled_ms)
            self.cluster.pause(host, stalled_ms)

    def _power_failure(self) -> None:
        self._prolong_losses(MAX_POWER_FAILURE_MS)
        for host in self.cluster.hosts.values():
            host.crash()
            self.cluster.after(
                self.random.uniform(100, MAX_POWER_FAILURE_MS), host.start
            )
