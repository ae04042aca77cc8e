"""Division of the slots of refusal-limited targets among the instances, without I/O."""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field

from papayacrank.kernel import log_event
from papayacrank.messages import EntryLoad, FleetTarget

from ._events import TARGET_WITHOUT_ROOM

# Entry processes report a refusal-limited service with each of its responses.
STATEMENT_LIFETIME_MS = 2_000
# Leases are divided anew at this interval; a report and a lease take half of it.
INTERVAL_MS = 200
# After a refusal for want of room, a target is taken to have this fraction of the slots
# that are in use, and one more each RECOVERY_MS.
REFUSAL_FACTOR = 0.8
RECOVERY_MS = 1_000
# Decay of the reported demand per division, so that a short pause costs no lease.
DEMAND_DECAY = 0.8


@dataclass(slots=True)
class _Holder:
    """What one entry process has and wants."""

    wanted: dict[str, int] = field(default_factory=dict)
    leases: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class _Room:
    """Estimated number of requests that a target can run at the same time."""

    slots: int
    raised_ms: int


class RoomAllocator:
    """Leases the slots of refusal-limited targets to entry processes.

    An entry process may have as many requests open at a target as its lease says, so
    that all of them together never send more than the target can start at once. A lease
    that is reduced counts in full until the entry process reports that it uses less.
    """

    def __init__(self):
        self._services: dict[str, int] = {}
        self._rooms: dict[str, _Room] = {}
        self._holders: dict[str, _Holder] = {}
        self._refused: set[str] = set()
        self._next_ms = 0

    def reset(self) -> None:
        """Forget everything after an election; entry processes report their leases."""
        self._services.clear()
        self._rooms.clear()
        self._holders.clear()
        self._refused.clear()
        self._next_ms = 0

    def observe(self, report: EntryLoad, now_ms: int) -> None:
        """Record the refusal-limited services and full targets of a report."""
        if report.refusal_limited and not self._services:
            # The first division waits until all processes have reported.
            self._next_ms = now_ms + INTERVAL_MS
        for service in report.refusal_limited:
            self._services[service] = now_ms + STATEMENT_LIFETIME_MS
        self._refused.update(report.full)

    def list_services(self, now_ms: int) -> list[str]:
        """Return the services whose targets are refusal-limited."""
        self._services = {n: end for n, end in self._services.items() if end > now_ms}
        return sorted(self._services)

    def divide(
        self,
        targets: Iterable[FleetTarget],
        loads: Iterable[EntryLoad],
        now_ms: int,
    ) -> None:
        """Divide the slots of all refusal-limited services anew, if it is time.

        Parameters
        ----------
        targets : iterable of FleetTarget
            Targets that get requests.
        loads : iterable of EntryLoad
            Last report of each live entry process.
        now_ms : int
            Current time in milliseconds.
        """
        refusal_limited = self.list_services(now_ms)
        if not refusal_limited:
            self._holders.clear()
            self._rooms.clear()
            self._refused.clear()
            return
        if now_ms < self._next_ms:
            return
        self._next_ms = now_ms + INTERVAL_MS
        by_service: dict[str, list[FleetTarget]] = {
            name: [] for name in refusal_limited
        }
        for target in targets:
            if target.service in by_service and target.slots:
                by_service[target.service].append(target)
        reports = {load.instance: load for load in loads}
        names = {t.name for group in by_service.values() for t in group}
        self._rooms = {n: room for n, room in self._rooms.items() if n in names}
        self._holders = {
            name: self._holders.get(name) or _Holder(leases=dict(report.leases))
            for name, report in reports.items()
        }
        for holder in self._holders.values():
            holder.leases = {n: c for n, c in holder.leases.items() if n in names}
        for service, group in by_service.items():
            self._divide_service(service, group, reports, now_ms)
        self._refused.clear()

    def leases_of(self, instance: str) -> dict[str, int] | None:
        """Return the leases of an entry process by target, without those of 0.

        Returns
        -------
        dict of str to int or None
            None if the slots have not been divided yet.
        """
        if not self._holders:
            return None
        holder = self._holders.get(instance)
        return {} if holder is None else {n: c for n, c in holder.leases.items() if c}

    def _divide_service(
        self,
        service: str,
        targets: list[FleetTarget],
        reports: dict[str, EntryLoad],
        now_ms: int,
    ) -> None:
        names = {target.name for target in targets}
        used = {n: self._list_used(n, report, names) for n, report in reports.items()}
        in_use = dict.fromkeys(sorted(names), 0)
        for counts in used.values():
            for name, count in counts.items():
                in_use[name] += count
        capacity = {
            t.name: self._estimate_slots(t, in_use[t.name], now_ms) for t in targets
        }
        for instance, report in reports.items():
            holder = self._holders[instance]
            decayed = int(DEMAND_DECAY * holder.wanted.get(service, 0))
            holder.wanted[service] = max(report.wanted.get(service, 0), decayed)
        shares = divide_fairly(
            {n: self._holders[n].wanted[service] + 1 for n in sorted(reports)},
            sum(capacity.values()),
        )
        self._shrink(capacity, sorted(reports))
        missing = {}
        for instance in sorted(reports):
            held = sum(c for n, c in self._leases(instance).items() if n in names)
            missing[instance] = shares[instance] - held
            if missing[instance] < 0:
                self._reduce(instance, reports[instance], names, -missing[instance])
        free = {name: capacity[name] - count for name, count in in_use.items()}
        self._grant(missing, used, free)

    def _leases(self, instance: str) -> dict[str, int]:
        return self._holders[instance].leases

    def _list_used(
        self, instance: str, report: EntryLoad, names: set[str]
    ) -> dict[str, int]:
        """Return the most requests that a process may have open, by target."""
        used: dict[str, int] = {}
        running = {name: load.running for name, load in report.loads.items()}
        for counts in (self._leases(instance), report.leases, running):
            for name in counts.keys() & names:
                used[name] = max(counts[name], used.get(name, 0))
        return used

    def _estimate_slots(self, target: FleetTarget, in_use: int, now_ms: int) -> int:
        room = self._rooms.get(target.name)
        if room is None:
            room = self._rooms[target.name] = _Room(target.slots, now_ms)
        if target.name in self._refused:
            room.slots = max(1, int(REFUSAL_FACTOR * min(room.slots, in_use)))
            room.raised_ms = now_ms
            log_event(
                TARGET_WITHOUT_ROOM,
                target=target.name,
                slots=room.slots,
                listed=target.slots,
                in_use=in_use,
            )
        elif now_ms - room.raised_ms >= RECOVERY_MS:
            room.slots = min(target.slots, room.slots + 1)
            room.raised_ms = now_ms
        return room.slots

    def _shrink(self, capacity: dict[str, int], instances: list[str]) -> None:
        """Take back the leases of targets beyond their slots, the largest ones first.

        They are below the listed slots only after a refusal.
        """
        leased = dict.fromkeys(capacity, 0)
        for instance in instances:
            for name in self._leases(instance).keys() & leased.keys():
                leased[name] += self._leases(instance)[name]
        for name, count in leased.items():
            for _ in range(count - capacity[name]):
                largest = max(instances, key=lambda n: self._leases(n).get(name, 0))
                self._leases(largest)[name] -= 1

    def _reduce(
        self, instance: str, report: EntryLoad, names: set[str], excess: int
    ) -> None:
        """Take some leases of a process back, those that are not in use first."""
        leases = self._leases(instance)
        unused = {
            name: count - (report.loads[name].running if name in report.loads else 0)
            for name, count in sorted(leases.items())
            if count and name in names
        }
        for _ in range(excess):
            name = max(unused, key=unused.get)
            leases[name] -= 1
            unused[name] -= 1
            if not leases[name]:
                del unused[name]

    def _grant(
        self,
        missing: dict[str, int],
        used: dict[str, dict[str, int]],
        free: dict[str, int],
    ) -> None:
        """Lease free slots to those below their share, one slot each in turn.

        Parameters
        ----------
        missing : dict of str to int
            Slots that each process has less than its share.
        used : dict of str to dict
            Requests that each process may have open, by target.
        free : dict of str to int
            Slots of each target that nobody may use.
        """
        heap = [(-count, name) for name, count in free.items() if count > 0]
        heapq.heapify(heap)
        waiting = [instance for instance, count in missing.items() if count > 0]
        while heap and waiting:
            for instance in waiting:
                if not heap:
                    break
                count, name = heapq.heappop(heap)
                leases = self._leases(instance)
                leases[name] = leases.get(name, 0) + 1
                missing[instance] -= 1
                # A lease that grows back into what is still counted takes nothing.
                taken = leases[name] > used[instance].get(name, 0)
                if count + taken < 0:
                    heapq.heappush(heap, (count + taken, name))
            waiting = [instance for instance in waiting if missing[instance] > 0]


def divide_fairly(wanted: dict[str, int], total: int) -> dict[str, int]:
    """Divide a number of slots so that nobody gets more than wanted (max-min fair).

    Parameters
    ----------
    wanted : dict of str to int
        Slots that each entry process can use.
    total : int
        Number of slots.
    """
    shares: dict[str, int] = {}
    left = max(0, total)
    names = sorted(wanted, key=lambda name: (wanted[name], name))
    for position, name in enumerate(names):
        # The last ones get the remainder of the division.
        shares[name] = min(wanted[name], left // (len(names) - position))
        left -= shares[name]
    return shares
