"""Crashes and the names that they are counted against, without I/O."""

from collections import Counter, OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from papayacrank.messages import CrashReport, PartSuspicion

from ._names import MAX_NAMES_PER_REQUEST, is_request

# Reports on the same start of a target within this time tell of the same crash, unless
# a connection was opened after the crash: the target has started again since, and its
# start number is out of date.
SAME_CRASH_MS = 3_000
# Bound on the difference between the delays of two reports.
REPORT_DELAY_MS = 1_000
# Crashes after which a request or a part is on trial, and the same for a part that was
# sound before. Hot parts are in many crashes of other causes.
CRASHES_ON_TRIAL = 2
SOUND_CRASHES_ON_TRIAL = 3
# A part without a further crash is forgotten after this time.
SUSPICION_KEPT_MS = 600_000
EXPIRY_INTERVAL_MS = 1_000
MAX_SUSPICIONS = 2_000
MAX_CRASHES = 512
MAX_REQUESTS_PER_CRASH = 512
# Crashes kept as evidence against one part.
MAX_CRASHES_PER_PART = 64
MAX_BEGUN = 4_000
BEGUN_KEPT_MS = 600_000


@dataclass(frozen=True, slots=True)
class Suspect:
    """Request that a target had not begun to answer when it crashed."""

    instance: str
    workspace: str
    parts: frozenset[str]
    trial: int


@dataclass(slots=True)
class Crash:
    """Crash of a target with the requests that may have caused it.

    `trials` are the requests whose trials the leader has granted itself; of those of an
    earlier leader it does not know which others ran. `explained_by` is the number of
    the verdict that names the cause, 0 if none does.
    """

    number: int
    target: str
    start: int
    at_ms: int
    seen_ms: int
    suspects: dict[Suspect, None] = field(default_factory=dict)
    trials: set[Suspect] = field(default_factory=set)
    explained_by: int = 0
    is_decided: bool = False


@dataclass(slots=True)
class Suspicion:
    """Evidence against a part.

    `crashes` are the times of the crashes by number. `inherited` is the number of
    crashes that entry processes have repeated after an election; they include those
    before `inherited_ms`. `was_sound` is set if a response on the part was begun before
    the crashes. `is_exclusive` is set once a trial of the part has crashed
    together with another suspected request.
    """

    name: str
    workspace: str
    revision: int = 0
    crashes: dict[int, int] = field(default_factory=dict)
    inherited: int = 0
    inherited_ms: int = 0
    was_sound: bool = False
    is_exclusive: bool = False
    is_named: bool = False

    @property
    def count(self) -> int:
        """Number of crashes since the last response on the part."""
        if not self.inherited:
            return len(self.crashes)
        later = sum(
            at_ms > self.inherited_ms + SAME_CRASH_MS for at_ms in self.crashes.values()
        )
        return max(len(self.crashes), self.inherited + later)

    @property
    def last_ms(self) -> int:
        """Time of the last crash."""
        return max([self.inherited_ms, *self.crashes.values()])

    @property
    def needs_trial(self) -> bool:
        """Whether requests with the part may only be sent under a trial."""
        is_sound_part = self.was_sound and not self.is_request
        limit = SOUND_CRASHES_ON_TRIAL if is_sound_part else CRASHES_ON_TRIAL
        return self.is_named or self.count >= limit

    @property
    def is_request(self) -> bool:
        """Whether the name is that of a whole request."""
        return is_request(self.name)


class SuspicionTable:
    """Crashes of targets and the parts that are suspected of them."""

    def __init__(self):
        self._crashes: OrderedDict[int, Crash] = OrderedDict()
        self._suspicions: dict[str, Suspicion] = {}
        self._begun: OrderedDict[str, int] = OrderedDict()
        self._changed: set[str] = set()
        # Requests that entry processes were told of.
        self._stated_requests: set[str] = set()
        self._last_crash = 0
        self._expired_ms = 0

    def __len__(self) -> int:
        return len(self._suspicions)

    def __iter__(self) -> Iterator[Suspicion]:
        return iter(self._suspicions.values())

    def clear_all(self) -> None:
        """Forget everything."""
        self._crashes.clear()
        self._suspicions.clear()
        self._begun.clear()
        self._changed.clear()
        self._stated_requests.clear()

    def get(self, name: str) -> Suspicion | None:
        """Return the evidence against a part, None if there is none."""
        return self._suspicions.get(name)

    def was_begun(self, name: str) -> bool:
        """Whether a response on a part is known."""
        return name in self._begun

    def pop_changed(self) -> set[str]:
        """Return the names with changed evidence since the last call.

        Requests that are not on trial are left out unless entry processes know of them:
        each crash has many, and nearly none of them comes again.
        """
        changed, self._changed = self._changed, set()
        return {name for name in changed if self._must_state(name)}

    def _must_state(self, name: str) -> bool:
        if not is_request(name):
            return True
        suspicion = self._suspicions.get(name)
        if suspicion is not None and suspicion.needs_trial:
            self._stated_requests.add(name)
        is_stated = name in self._stated_requests
        if suspicion is None:
            self._stated_requests.discard(name)
        return is_stated

    def list_stated(self) -> list[str]:
        """Return the names that entry processes are told of."""
        return [
            s.name for s in self if not s.is_request or s.name in self._stated_requests
        ]

    # Crashes

    def list_crashes(self) -> list[Crash]:
        """Return the crashes that are kept, the oldest first."""
        return list(self._crashes.values())

    def get_crash(self, number: int) -> Crash | None:
        """Return a crash, None if it is not kept."""
        return self._crashes.get(number)

    def record(self, report: CrashReport, now_ms: int) -> tuple[Crash, list[Suspect]]:
        """Record a report.

        Returns
        -------
        Crash
            Crash that the report tells of; reports of several instances are merged.
        list of Suspect
            Requests that no earlier report has told of.
        """
        at_ms = now_ms - max(0, report.age_ms)
        crash = self._find_crash(report, at_ms, now_ms)
        if crash is None:
            self._last_crash += 1
            crash = Crash(self._last_crash, report.target, report.start, at_ms, now_ms)
            self._crashes[crash.number] = crash
            while len(self._crashes) > MAX_CRASHES:
                self._crashes.popitem(last=False)
        elif at_ms < crash.at_ms:
            self._move_back(crash, at_ms)
        added = []
        for request in report.suspects:
            parts = frozenset(request.parts[:MAX_NAMES_PER_REQUEST])
            suspect = Suspect(report.instance, request.workspace, parts, request.trial)
            is_full = len(crash.suspects) >= MAX_REQUESTS_PER_CRASH
            if suspect in crash.suspects or (is_full and not suspect.trial):
                continue
            crash.suspects[suspect] = None
            added.append(suspect)
        return crash, added

    def _find_crash(self, report: CrashReport, at_ms: int, now_ms: int) -> Crash | None:
        opened_ms = None
        if report.opened_age_ms is not None:
            opened_ms = now_ms - report.opened_age_ms
        same = [
            crash
            for crash in self._crashes.values()
            if crash.target == report.target
            and crash.start == report.start
            and abs(crash.at_ms - at_ms) <= SAME_CRASH_MS
            and (opened_ms is None or opened_ms <= crash.at_ms + REPORT_DELAY_MS)
        ]
        return min(same, key=lambda crash: abs(crash.at_ms - at_ms), default=None)

    def _move_back(self, crash: Crash, at_ms: int) -> None:
        """Record that a crash was earlier; responses since then clear their parts."""
        crash.at_ms = at_ms
        for suspicion in list(self._suspicions.values()):
            if crash.number not in suspicion.crashes:
                continue
            suspicion.crashes[crash.number] = at_ms
            if at_ms < self._begun.get(suspicion.name, at_ms):
                self._remove_crashes(suspicion, [crash.number])

    def suspect(self, crash: Crash, name: str, workspace: str) -> Suspicion | None:
        """Count a crash against a part, unless a response has cleared it since."""
        if crash.at_ms < self._begun.get(name, crash.at_ms):
            return None
        suspicion = self._suspicions.get(name)
        if suspicion is None:
            suspicion = self._suspicions[name] = Suspicion(name, workspace)
            suspicion.was_sound = name in self._begun
        if crash.number in suspicion.crashes:
            return suspicion
        suspicion.crashes[crash.number] = crash.at_ms
        if len(suspicion.crashes) > MAX_CRASHES_PER_PART:
            del suspicion.crashes[min(suspicion.crashes)]
        self._changed.add(name)
        return suspicion

    def learn(self, known: PartSuspicion, crashed_ms: int) -> None:
        """Apply evidence that an entry process repeats after an election."""
        self.decline(known.name)
        if crashed_ms < self._begun.get(known.name, crashed_ms):
            return
        suspicion = self._suspicions.get(known.name)
        if suspicion is None:
            suspicion = self._suspicions[known.name] = Suspicion(known.name, "")
        if known.crashes > suspicion.inherited:
            suspicion.inherited = known.crashes
            suspicion.inherited_ms = max(suspicion.inherited_ms, crashed_ms)

    def decline(self, name: str) -> None:
        """State the evidence against a name again, to a process with another one."""
        self._changed.add(name)
        if is_request(name):
            self._stated_requests.add(name)

    def explain(self, crash: Crash, verdict: int, kept: frozenset[str]) -> list[str]:
        """Record the cause of a crash, so that it counts against no other part.

        Returns
        -------
        list of str
            Parts that are not suspected any more.
        """
        crash.explained_by = verdict
        removed = []
        names = {name for suspect in crash.suspects for name in suspect.parts}
        for name in names - kept:
            suspicion = self._suspicions.get(name)
            if suspicion is None or crash.number not in suspicion.crashes:
                continue
            if self._remove_crashes(suspicion, [crash.number]):
                removed.append(name)
        return removed

    # Clearing

    def clear(self, name: str, at_ms: int) -> bool:
        """Discard the crashes of a part before a response on it.

        Returns
        -------
        bool
            Whether the part was suspected and is not any more.
        """
        self._begun[name] = max(at_ms, self._begun.get(name, at_ms))
        self._begun.move_to_end(name)
        while len(self._begun) > MAX_BEGUN:
            self._begun.popitem(last=False)
        suspicion = self._suspicions.get(name)
        if suspicion is None:
            return False
        if not suspicion.was_sound:
            suspicion.was_sound = True
            self._changed.add(name)
        if 0 < suspicion.inherited_ms < at_ms:
            suspicion.inherited = suspicion.inherited_ms = 0
            self._changed.add(name)
        earlier = [n for n, ms in suspicion.crashes.items() if ms < at_ms]
        return self._remove_crashes(suspicion, earlier)

    def _remove_crashes(self, suspicion: Suspicion, numbers: Iterable[int]) -> bool:
        for number in numbers:
            del suspicion.crashes[number]
            self._changed.add(suspicion.name)
        if suspicion.count == 0 and not suspicion.is_named:
            del self._suspicions[suspicion.name]
            return True
        return False

    def set_named(self, name: str, is_named: bool) -> None:
        """Record whether a verdict names a part; its requests then need a trial."""
        suspicion = self._suspicions.get(name)
        if suspicion is None:
            if not is_named:
                return
            suspicion = self._suspicions[name] = Suspicion(name, "")
        if suspicion.is_named is not is_named:
            suspicion.is_named = is_named
            self._changed.add(name)
        if not is_named and suspicion.count == 0:
            del self._suspicions[name]

    def forget(self, name: str) -> None:
        """Remove all evidence against a part."""
        if self._suspicions.pop(name, None) is not None:
            self._changed.add(name)

    # Bounds

    def expire(self, now_ms: int) -> None:
        """Forget old crashes and clearings, at most once in an interval."""
        if now_ms - self._expired_ms < EXPIRY_INTERVAL_MS:
            return
        self._expired_ms = now_ms
        for crash in list(self._crashes.values()):
            if now_ms - crash.at_ms < SUSPICION_KEPT_MS:
                break
            del self._crashes[crash.number]
        for suspicion in list(self._suspicions.values()):
            is_old = now_ms - suspicion.last_ms >= SUSPICION_KEPT_MS
            if is_old and not suspicion.is_named:
                self.forget(suspicion.name)
        while self._begun:
            name, at_ms = next(iter(self._begun.items()))
            if now_ms - at_ms < BEGUN_KEPT_MS:
                break
            del self._begun[name]

    def evict(self) -> None:
        """Evict the weakest evidence beyond the size of the table.

        A workspace that holds more than half of the table loses its own parts first,
        so that its new parts do not displace those of others.
        """
        if len(self._suspicions) <= MAX_SUSPICIONS // 2:
            return
        owned = Counter(s.workspace for s in self if not s.is_named)
        excess = {
            workspace: number - MAX_SUSPICIONS // 2
            for workspace, number in owned.items()
            if number > MAX_SUSPICIONS // 2
        }
        total = len(self._suspicions) - MAX_SUSPICIONS - sum(excess.values())
        ordered = sorted(
            (s for s in self if not s.is_named),
            key=lambda s: (s.count, not s.is_request, s.last_ms),
        )
        for suspicion in ordered:
            if excess.get(suspicion.workspace, 0) > 0:
                excess[suspicion.workspace] -= 1
            elif total > 0:
                total -= 1
            else:
                continue
            self.forget(suspicion.name)
