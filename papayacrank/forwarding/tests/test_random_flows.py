"""Random sequences of events at the ports of the forwarder."""

import itertools
import random

import pytest

from papayacrank.forwarding._target_call import CallFailure
from papayacrank.messages import (
    PartSuspicion,
    PermitReply,
    PermitRequest,
    QuarantineTable,
    RequestKind,
    TargetRate,
    TargetRates,
    TrialReply,
    TrialRequest,
)

from .builders import (
    Bench,
    FakePort,
    build_configuration,
    build_route,
    build_target,
    build_view,
)

SEEDS = range(24)
STEPS = 150
EVENTS = 4
# The rules allow a replaced run to go on for 400 ms beside the new one.
MAX_OVERLAP_MS = 400
PATHS = ("/lookup/x", "/claim/x", "/reply/x", "/appraise/x", "/open/x")
TARGETS = (
    *(build_target(f"p{n}", born_ms=5) for n in (1, 2, 3)),
    *(build_target(f"e{n}", "engines", born_ms=5) for n in (1, 2, 3)),
)
ALL_ROUTES = tuple(
    build_route(
        f"{kind.value}-{resumable}-{service}",
        kind,
        service,
        resumable=resumable,
        max_attempts=3,
    )
    for kind, resumable, service in itertools.product(
        RequestKind, (False, True), ("plain", "engines")
    )
)
FAILURES = ("connection_lost", "malformed_answer", "answer_too_large")
UNSENT = ("connect_failed", "connect_timeout", "permit_expired")


class _Port(FakePort):
    """Port that fails some calls before `submit` returns, or reuses a connection."""

    def __init__(self, chance):
        super().__init__()
        self._chance = chance
        self.on_submit = lambda call: None

    def submit(self, call):
        super().submit(call)
        self.on_submit(call)
        call.head, call.number, call.was_refused = None, 0, False
        if self._chance.random() < 0.1:
            call.is_open = False
            failure = CallFailure("too_many_connections", False)
            call.listener.on_failed(call, failure)
        elif not call.needs_new_connection:
            call.reused = self._chance.random() < 0.5


class _Play:
    """One seeded play, whose invariants are checked after each step."""

    def __init__(self, seed):
        self.chance = random.Random(seed)
        self.bench = Bench(
            *TARGETS, port=_Port(self.chance), configuration=self.configuration(1)
        )
        self.callers = []
        self.calls_of = {}
        self.sequence = self.version = self.revision = 1
        self.answered = 0

    # Configuration

    def configuration(self, version, **fields):
        """Return the configuration of a version."""
        return build_configuration(version, **fields)

    def paths(self):
        """Return the paths that requests are sent to."""
        return PATHS

    def max_runs(self, route):
        """Return how often a request of a route may run."""
        is_repeatable = route.kind is RequestKind.IDEMPOTENT or (
            route.kind is RequestKind.STREAM and route.resumable
        )
        return route.max_attempts if is_repeatable else 1

    # Steps

    def step(self):
        """Take one random step."""
        steps = (
            (self.send, 3),
            (self.advance, 5),
            (self.act, 16),
            (self.leave, 0.3),
            (self.configure, 0.5),
            (self.reply, 3),
            (self.crash, 0.5),
            (self.suspect, 0.2),
        )
        names, weights = zip(*steps, strict=True)
        self.chance.choices(names, weights)[0]()
        self.check()

    def send(self):
        path = self.chance.choice(self.paths())
        fields = {"id": f"r{len(self.callers)}"}
        if path in ("/reply/x", "/appraise/x") or "engines" in path:
            fields |= {"tokens": 10, "parts": "a:3,b:3,own:4"}
        if self.chance.random() < 0.3:
            fields["deadline"] = self.chance.choice((30, 700, 2_000))
        caller = self.bench.send(path, **fields)
        caller.job = caller.exchange.state
        self.callers.append(caller)

    def advance(self):
        self.bench.advance(self.chance.choice((1, 10, 100, 310, 600, 1_250)))

    def leave(self):
        open_callers = [c for c in self.callers if c.exchange.is_open]
        if open_callers:
            caller = self.chance.choice(open_callers)
            caller.exchange.is_open = False
            caller.left = True
            self.bench.forwarder.on_caller_left(caller.exchange)

    def configure(self):
        """Change routes, targets and limits."""
        forwarder = self.bench.forwarder
        self.sequence += 1
        self.version += 1
        kept = [t for t in TARGETS if self.chance.random() < 0.8]
        forwarder.apply_fleet(build_view(*kept, sequence=self.sequence))
        fields = {}
        if self.chance.random() < 0.5:
            fields["routes"] = (build_route("other"),)
        forwarder.apply_routing(self.configuration(self.version, **fields))
        forwarder.apply_routing(self.configuration(self.version + 1))
        self.version += 1
        self.revision += 1
        rates = [TargetRate("p1", 0, 3.0, 1)] if self.chance.random() < 0.5 else []
        self.bench.permits.receive(TargetRates(1, 0, self.revision, rates))

    def suspect(self):
        self.revision += 1
        needs = self.chance.random() < 0.6
        item = PartSuspicion("a", 2, needs, 0, self.revision)
        table = QuarantineTable(1, 0, self.revision, [item], [])
        self.bench.quarantine.receive(table)

    def reply(self):
        """Reply to the permit and trial requests, or lose them."""
        messages, self.bench.leader_messages = self.bench.leader_messages, []
        for message in messages:
            granted = self.chance.random() < 0.7
            number = getattr(message, "number", 0)
            if self.chance.random() < 0.2:
                continue
            if isinstance(message, PermitRequest):
                name = message.known.target
                reply = PermitReply(
                    1, number, message.sent_ms, name, granted, 20, 3.0, 1
                )
                self.bench.permits.receive(reply)
            elif isinstance(message, TrialRequest):
                reply = TrialReply(1, number, message.sent_ms, granted, 50)
                self.bench.quarantine.receive(reply)

    def crash(self):
        self.bench.address_check.finish(self.chance.random() < 0.5)

    def act(self):
        """Let something happen to an open call."""
        calls = [call for call in self.bench.port.calls if call.is_open]
        if not calls:
            return
        call = self.chance.choice(calls)
        if not call.bytes_written:
            if self.chance.random() < 0.15:
                self.fail(call, self.chance.choice(UNSENT))
            else:
                call.bytes_written = True
        elif self.chance.random() < 0.06:
            self.fail(call, self.chance.choice(FAILURES))
        elif call.head is None:
            self.begin(call)
        else:
            self.go_on(call)

    def fail(self, call, code):
        call.is_open = False
        failure = CallFailure(code, call.bytes_written)
        self.bench.forwarder.on_failed(call, failure)

    def begin(self, call):
        """Send the head of a response, perhaps one that belongs to no request."""
        job, chance = call.state, self.chance
        status = chance.choices((200, 404, 421, 500, 503), (14, 1, 1, 2, 2))[0]
        headers = [(b"id", job.request.request_id.encode())]
        if chance.random() < 0.1:
            headers = [] if chance.random() < 0.5 else [(b"id", b"earlier")]
        for flaw in (b"spoiled", b"no-stream", b"leaving"):
            if chance.random() < 0.05:
                headers.append((flaw, b"1"))
        is_refusal = status == 503 and chance.random() < 0.7
        if is_refusal:
            headers.append((b"not-run", b"1"))
        if not self.bench.forwarder.matches_call(call, status, headers):
            return
        call.head = (status, dict(headers))
        call.was_refused = is_refusal or status == 421
        self.bench.forwarder.on_response(call, status, headers)

    def go_on(self, call):
        """Send a part of the body, or its end."""
        forwarder, status = self.bench.forwarder, call.head[0]
        is_stream = call.state.route.kind is RequestKind.STREAM and status == 200
        if not is_stream or b"no-stream" in call.head[1]:
            if self.chance.random() < 0.3:
                forwarder.on_data(call, b"body")
            else:
                self.bench.end(call)
            return
        if not call.number:
            call.number = self.begin_events(call)
            call.first = call.number
        if call.number >= EVENTS and call.number > call.first:
            self.bench.end(call)
            return
        data = b""
        for _ in range(self.chance.choice((1, 1, 2))):
            if self.chance.random() < 0.3:
                data += b": ping\n\n"
            if call.number < EVENTS:
                call.number += 1
                data += self.event(call)
        if self.chance.random() < 0.05:
            # The end of the response in the middle of an event.
            forwarder.on_data(call, data + b"id: 9\nda")
            if call.is_open:
                self.bench.end(call)
            return
        forwarder.on_data(call, data)

    def begin_events(self, call):
        """Return the number of the event behind which a run begins."""
        return int(self.after(call) or 0)

    def event(self, call):
        """Return the next event of a run."""
        return b"id: %d\ndata: %d\n\n" % (call.number, call.number)

    def after(self, call):
        index = self.bench.port.calls.index(call)
        return self.bench.protocol.dispatches[index].resume_after

    # Checks

    def check(self):
        """Check the loads, the runs at the same time and the answers so far."""
        forwarder, now_ms = self.bench.forwarder, self.bench.clock.now_ms()
        running = {}
        open_calls = {}
        for job in forwarder._requests.jobs.values():
            for attempt in filter(None, (job.attempt, job.silent_attempt)):
                name = attempt.target.name
                running[name] = running.get(name, 0) + 1
                open_calls.setdefault(attempt.call, attempt)
            if job.silent_attempt is not None and job.attempt.call.bytes_written:
                assert now_ms - job.attempt.sent_ms < MAX_OVERLAP_MS
        calls = {call for call in self.bench.port.calls if call.is_open}
        assert calls == set(open_calls)
        for target in TARGETS:
            own = running.get(target.name, 0)
            assert forwarder.table.own_running(target.name) == own
            if not own:
                load = forwarder.table.load(target.name)
                assert (load.prefill_tokens, load.memory_tokens) == (0, 0)
        for caller in self.callers:
            self.check_answer(caller)

    def check_answer(self, caller):
        job = caller.job
        if job is not None and job.is_done:
            is_left = getattr(caller, "left", False)
            assert caller.ended + caller.aborted + is_left == 1
        if job is None:
            return
        is_failure = "verdict" in caller.headers
        events = [int(n) for n in caller.body.split() if n.isdigit()][::2]
        if caller.status == 200 and b"data:" in caller.body:
            assert events == list(range(1, len(events) + 1))
            assert not caller.ended or events[-1] == EVENTS
        runs = [
            call
            for call in self.bench.port.calls
            if call.state is job and call.bytes_written and not call.was_refused
        ]
        assert len(runs) <= self.max_runs(job.route)
        if is_failure and caller.headers["verdict"] == "not-run":
            assert runs == []

    def finish(self):
        """End the play and check that nothing of it is left."""
        bench = self.bench
        if self.chance.random() < 0.5:
            bench.forwarder.end_open_requests()
        else:
            bench.advance(6_000)
        self.check()
        assert bench.forwarder.open_jobs == 0
        bench.address_check.finish(False)
        bench.advance(1_000)
        left = [n for n in bench.timers.set_timers if not n.startswith("quarantine:")]
        assert left == []
        assert bench.permits._callbacks == bench.permits._waiting == {}
        assert bench.quarantine._waiting == {}
        for caller in self.callers:
            assert not caller.exchange.is_open


@pytest.mark.parametrize("seed", SEEDS)
def test_each_request_ends_once_and_leaves_nothing_behind(seed):
    """Guards against lost requests, false "not run", gaps in streams and leaks."""
    play = _Play(seed)
    for _ in range(STEPS):
        play.step()
    play.finish()


class _AllRoutesPlay(_Play):
    """Play with routes of all kinds, and runs that begin anew when they must not."""

    def __init__(self, seed):
        super().__init__(seed)
        self.bench.port.on_submit = self.check_place

    def configuration(self, version, **fields):
        """Return the configuration with a route of each kind."""
        return build_configuration(version, **({"routes": ALL_ROUTES} | fields))

    def paths(self):
        """Return the paths of these routes."""
        return [f"{route.prefix}x" for route in ALL_ROUTES]

    def begin_events(self, call):
        """Begin a run behind the event that it was told, or anew."""
        call.is_anew = self.after(call) is not None and self.chance.random() < 0.5
        return 0 if call.is_anew else super().begin_events(call)

    def event(self, call):
        """Return the next event, whose text tells a run that has begun anew."""
        text = b"anew" if call.is_anew else b"%d" % call.number
        return b"id: %d\ndata: %s\n\n" % (call.number, text)

    def check_place(self, call):
        """Check that a target is told where its stream goes on."""
        job = call.state
        if job.route.kind is not RequestKind.STREAM or not job.route.resumable:
            return
        known = [c for c in self.callers if c.job is job]
        events = known[0].body.count(b"data:") if known else 0
        assert self.after(call) == (str(events) if events else None)

    def check_answer(self, caller):
        """Check that no run that has begun anew is joined to another."""
        super().check_answer(caller)
        assert b"anew" not in caller.body


@pytest.mark.parametrize("seed", SEEDS)
def test_no_kind_of_route_runs_twice_or_joins_runs(seed):
    """Guards against decisions that hold for some kinds of routes only."""
    play = _AllRoutesPlay(seed)
    for _ in range(3 * STEPS):
        play.step()
    play.finish()
