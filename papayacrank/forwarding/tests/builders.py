"""Builders of test data and fakes of the interfaces of the forwarder."""

import random

from papayacrank.admission import LocalShares
from papayacrank.control import digest_key
from papayacrank.forwarding import (
    CallerProtocol,
    CallerResponse,
    Forwarder,
    ForwardingSettings,
    ForwardRequest,
    PromptPart,
    ResponseMetadata,
    StartQuery,
)
from papayacrank.forwarding._continuity import StreamContinuity
from papayacrank.forwarding._path_monitor import PathMonitor
from papayacrank.forwarding._path_port import PathPort
from papayacrank.forwarding._quota import QuotaEnforcer
from papayacrank.forwarding._relay import Relay
from papayacrank.forwarding._suspects import SuspectTracker
from papayacrank.kernel import ManualClock
from papayacrank.messages import (
    EngineProfile,
    FindRelease,
    FleetLoad,
    FleetTarget,
    FleetView,
    ReleaseFound,
    RequestKind,
    Route,
    RoutingConfiguration,
    ServiceProfile,
    ServiceShare,
    ShareGrant,
    StoreProfile,
    WorkspaceProfile,
)
from papayacrank.permits import PermitClient, PermitPort, read_rate_statement
from papayacrank.quarantine import AddressCheck, QuarantineClient, QuarantinePort
from papayacrank.releases import ReleasePort
from papayacrank.transport import HttpExchange, RequestHead

KEY = "secret-1"
MODEL = "model-1"
STORE_ADDRESS = "10.0.9.9:80"


def build_route(name="lookup", kind=RequestKind.IDEMPOTENT, service="plain", **fields):
    """Return a route of host ``h`` whose prefix is its name."""
    shares = (ServiceShare(service, 1),)
    route = Route(name, "h", f"/{name}/", kind, shares, 5_000, 500)
    return _replace(route, **fields)


def build_configuration(version=1, **fields):
    """Return a configuration with a route of each kind and two workspaces."""
    stream = RequestKind.STREAM
    routes = (
        build_route(max_attempts=2),
        build_route("claim", RequestKind.NON_IDEMPOTENT),
        build_route("reply", stream, "engines", resumable=True, max_attempts=2),
        build_route("appraise", stream, "engines"),
        build_route("open", public=True, max_attempts=2),
    )
    services = (
        ServiceProfile("plain", max_connections=60),
        ServiceProfile("engines", engine=EngineProfile(64, 100_000, models=(MODEL,))),
        ServiceProfile("store", store=StoreProfile(STORE_ADDRESS, "east")),
    )
    workspaces = (
        WorkspaceProfile("w1", (digest_key(KEY),)),
        WorkspaceProfile("w2", (digest_key("secret-2"),), isolated=True, priority=1),
    )
    configuration = RoutingConfiguration(version, routes, services, workspaces)
    return _replace(configuration, **fields)


def build_target(name, service="plain", domain="east", version=1, **fields):
    """Return a target; engines serve the model in the given version."""
    weights = {MODEL: version} if service == "engines" else {}
    target = FleetTarget(
        name, f"10.0.0.{ord(name[-1])}:80", service, domain, slots=6, weights=weights
    )
    return _replace(target, **fields)


def build_view(*targets, term=1, sequence=1, stores=None):
    """Return a view of the targets, numbered from 1, and of the store incarnations."""
    numbered = [_replace(t, number=n) for n, t in enumerate(targets, 1)]
    return FleetView(term, sequence, numbered, [], stores or {})


def build_load(table, totals, reported=0):
    """Return a load message of term 1 from totals by target name."""
    numbers = {t.name: t.number for t in table.targets}
    return FleetLoad(1, reported, {numbers[n]: load for n, load in totals.items()})


def build_head(path="/lookup/x", method="GET", **headers):
    """Return the head of a request in the form that `StubProtocol` parses."""
    fields = {"id": "r1", "host": "h", "key": KEY} | headers
    pairs = [(k.encode(), str(v).encode()) for k, v in fields.items() if v is not None]
    return RequestHead(method, path, pairs)


class StubProtocol(CallerProtocol):
    """Protocol with short header names."""

    def __init__(self):
        self.dispatches = []

    def read_request(self, head):
        """Parse the headers that `build_head` writes.

        These are ``id``, ``host``, ``key``, ``deadline``, ``tokens``, ``parts``,
        ``after``, ``first``, ``relayed`` and ``runs``.
        """
        known = {n.decode(): v.decode() for n, v in head.headers}
        tokens = known.get("tokens")
        parts = [p.split(":") for p in known.get("parts", "").split(",") if p]
        return ForwardRequest(
            known["id"],
            head.method,
            head.target,
            known["host"],
            head.target.split("?")[0],
            [(b"id", known["id"].encode())],
            int(known["deadline"]) if "deadline" in known else None,
            known.get("key"),
            MODEL if "tokens" in known else None,
            int(tokens) if tokens else None,
            0 if tokens else None,
            tuple(PromptPart(name, int(count)) for name, count in parts),
            known.get("after"),
            known.get("first"),
            "relayed" in known,
            prior_runs=int(known.get("runs", 0)),
        )

    def target_headers(self, request, dispatch):
        """Record the dispatch metadata; return the headers of the request."""
        self.dispatches.append(dispatch)
        return list(request.headers)

    def relay_headers(self, head, remaining_ms, prior_runs):
        """Return the headers with the remaining time, the runs and the mark."""
        kept = [pair for pair in head.headers if pair[0] != b"deadline"]
        return [
            *kept,
            (b"deadline", str(remaining_ms).encode()),
            (b"runs", str(prior_runs).encode()),
            (b"relayed", b"1"),
        ]

    def read_response(self, status, headers):
        """Parse the head of a response with short header names."""
        known = {n.decode(): v.decode() for n, v in headers}
        weights = known.get("weights")
        return ResponseMetadata(
            known.get("id"),
            "not-run" in known,
            status == 421,
            "spoiled" not in known,
            "no-stream" not in known,
            known.get("server"),
            int(weights) if weights else None,
            "leaving" in known,
            int(known["pause-ms"]) if "pause-ms" in known else None,
            read_rate_statement([known["rate"]] if "rate" in known else []),
            float(known["refusal-limit"]) if "refusal-limit" in known else None,
            status in (429, 503),
        )

    def build_start_query(self, target_name):
        """Return a request for the start time."""
        return StartQuery("GET", "/start", [(b"host", target_name.encode())])

    def build_failure(self, failure, request_id):
        """Return code, verdict and retry time as headers."""
        headers = [
            (b"code", failure.code.encode()),
            (b"verdict", failure.verdict.value.encode()),
            (b"retry-after-ms", str(failure.retry_after_ms).encode()),
        ]
        return CallerResponse(failure.status, headers)

    def build_addresses(self, addresses, keep_ms):
        """Return the addresses as a comma-separated body."""
        return CallerResponse(200, [], ",".join(addresses).encode())

    def read_failure_domain(self, head):
        """Return the request target as the failure domain."""
        return head.target


class FakePort:
    """Port that records calls; the test supplies the responses."""

    def __init__(self):
        self.calls = []
        self.cancelled = []
        self.dropped = []

    def submit(self, call):
        """Record a call."""
        self.calls.append(call)

    def cancel(self, call):
        """Record a cancelled call."""
        call.is_open = False
        self.cancelled.append(call)

    def drop_idle(self, address):
        """Record an address whose idle connections are closed."""
        self.dropped.append(address)


class FakeConnectCheck:
    """Check that records addresses; the test supplies the outcomes."""

    def __init__(self):
        self.addresses = []
        self._callbacks = []

    def start(self, address, callback):
        """Record a check."""
        self.addresses.append(address)
        self._callbacks.append(callback)

    def finish(self, outcome):
        """End all open checks with an outcome."""
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            callback(outcome)


class FakeAddressCheck(FakeConnectCheck, AddressCheck):
    """The same for checks that tell only whether an address refuses connections."""

    def finish(self, is_refused):
        """End all open checks with a result."""
        super().finish(is_refused)


class FakeTimers:
    """Timers that `Bench.advance` fires."""

    def __init__(self):
        self.set_timers = {}

    def set(self, name, at_ms, callback):
        """Set or replace a timer."""
        self.set_timers[name] = (at_ms, callback)

    def cancel(self, name):
        """Remove a timer if it is set."""
        self.set_timers.pop(name, None)


class FakeCaller:
    """Caller's side of an exchange that records the response."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.chunks = []
        self.ended = False
        self.aborted = False

    @property
    def body(self):
        """Body received so far."""
        return b"".join(self.chunks)

    def begin_response(self, exchange, status, headers):
        """Record the head."""
        self.status = status
        self.headers = {n.decode(): v.decode() for n, v in headers}

    def send_body(self, exchange, data):
        """Record a chunk of the body."""
        self.chunks.append(data)

    def end_response(self, exchange):
        """Record the end of the response."""
        exchange.is_open = False
        self.ended = True

    def abort(self, exchange):
        """Record an aborted response."""
        exchange.is_open = False
        self.aborted = True


class Bench:
    """Forwarder with fake port, timers, protocol and callers."""

    def __init__(self, *targets, configuration=None, weights=None, port=None):
        self.clock = ManualClock(1_000_000)
        self.timers = FakeTimers()
        self.port = port or FakePort()
        self.protocol = StubProtocol()
        self.shares = LocalShares()
        self.quota = QuotaEnforcer(self.shares)
        self.leader_messages = []
        self.permits = PermitPort(
            PermitClient("i1"), self._send_to_leader, self.clock, self.timers
        )
        self.quarantine = QuarantinePort(
            QuarantineClient("i1@1"), self._send_to_leader, self.clock, self.timers
        )
        self.releases = ReleasePort(
            "i1@1", self._send_to_leader, self.clock, self.timers
        )
        self.address_check = FakeAddressCheck()
        self.prober = FakeConnectCheck()
        self.paths = PathPort(
            PathMonitor(random.Random(1)), self.prober, self.clock, self.timers
        )
        self.relay = Relay(
            "i1@1",
            "east",
            self.protocol,
            self.port,
            self.clock,
            self.timers,
            random.Random(1),
        )
        self.forwarder = Forwarder(
            ForwardingSettings("i1", "east"),
            self.protocol,
            self.port,
            self.quota,
            self.permits,
            SuspectTracker(self.quarantine, self.address_check, self.clock),
            StreamContinuity(self.releases),
            self.paths,
            self.relay,
            self.clock,
            self.timers,
            random.Random(1),
        )
        if targets:
            self.forwarder.apply_routing(configuration or build_configuration())
            self.forwarder.apply_fleet(build_view(*targets))
            self.forwarder.apply_weights(weights or {MODEL: 1})

    def _send_to_leader(self, message):
        self.leader_messages.append(message)
        return True

    @property
    def release_questions(self):
        """Questions to the leader for the releases that began streams."""
        return [m for m in self.leader_messages if isinstance(m, FindRelease)]

    def reply_release(self, release, service=""):
        """Reply to the last question."""
        number = self.release_questions[-1].number
        self.releases.receive(ReleaseFound(1, number, release, service))

    @property
    def call(self):
        """Last call at the port."""
        return self.port.calls[-1]

    def send(self, path="/lookup/x", body=b"", **headers):
        """Send a request; return the caller's side."""
        caller = FakeCaller()
        head = build_head(path, **headers)
        exchange = HttpExchange(caller, None, head, body, self.clock.now_ms())
        caller.exchange = exchange
        self.forwarder.on_exchange(exchange)
        return caller

    def target_of(self, call):
        """Return the name of the target of a call."""
        return call.state.attempt.target.name

    def respond(self, status=200, body=b"ok", call=None, **headers):
        """Send a complete response from a target."""
        call = call or self.call
        self.begin(status, call, **headers)
        if body:
            self.forwarder.on_data(call, body)
        self.end(call)

    def begin(self, status=200, call=None, **headers):
        """Send the head of a response from a target."""
        call = call or self.call
        call.bytes_written = True
        fields = {"id": call.state.request.request_id} | headers
        pairs = [
            (k.replace("_", "-").encode(), str(v).encode()) for k, v in fields.items()
        ]
        self.forwarder.on_response(call, status, pairs)

    def event(self, number, call=None, text="x"):
        """Send one event from a target."""
        data = f"id: {number}\ndata: {text}{number}\n\n".encode()
        self.forwarder.on_data(call or self.call, data)

    def end(self, call=None):
        """End the response of a target."""
        call = call or self.call
        call.is_open = False
        self.forwarder.on_ended(call)

    def fail(self, code="connection_lost", sent=True, message="", call=None):
        """Fail a call."""
        from papayacrank.forwarding._target_call import CallFailure

        call = call or self.call
        call.bytes_written = sent
        call.is_open = False
        self.forwarder.on_failed(call, CallFailure(code, sent, message))

    def advance(self, ms):
        """Advance the clock and fire the timers that are due."""
        self.clock.advance(ms)
        for name, (at_ms, callback) in list(self.timers.set_timers.items()):
            if at_ms <= self.clock.now_ms():
                self.timers.set_timers.pop(name, None)
                callback()

    def grant(self, workspace, tokens):
        """Grant tokens under a lease of 3 s from now."""
        grant = ShareGrant(workspace, tokens)
        self.shares.apply_grants([grant], self.clock.now_ms(), 3_000)
        self.forwarder.poll_quota()


def _replace(value, **fields):
    import msgspec

    return msgspec.structs.replace(value, **fields) if fields else value
