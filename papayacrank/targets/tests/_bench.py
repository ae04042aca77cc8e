"""Test bench: a client and stand-ins that run in one event loop."""

import json

from circuits import BaseComponent, handler

from papayacrank.kernel import MonotonicClock
from papayacrank.targets import TargetClient, TargetClientLimits, TargetRequest
from papayacrank.testing import EngineSpeed, StandInEngine, StandInService
from papayacrank.transport import Timers, install_process_handlers

CHANNEL = "requester"
FAST = EngineSpeed(
    prefill_tokens_per_s=1_000_000, decode_tokens_per_s=1_000, output_tokens=20
)


class Recorder(BaseComponent):
    """Component that records the events of attempts."""

    channel = CHANNEL

    def __init__(self):
        super().__init__()
        self.heads = {}
        self.data = {}
        self.tokens = {}
        self.outcomes = {}
        self.rates = {}
        self.on_token = None

    @handler("target_headers")
    def _on_headers(self, request_id, status, headers):
        self.heads[request_id] = (status, dict(headers))

    @handler("target_rate")
    def _on_rate(self, request_id, statement, is_success):
        self.rates[request_id] = (statement, is_success)

    @handler("target_data")
    def _on_data(self, request_id, data):
        self.data.setdefault(request_id, bytearray()).extend(data)

    @handler("target_token")
    def _on_token(self, request_id, offset, text):
        self.tokens.setdefault(request_id, []).append((offset, text))
        if self.on_token is not None:
            self.on_token(request_id, offset)

    @handler("target_finished", "target_failed")
    def _on_outcome(self, request_id, outcome):
        assert request_id not in self.outcomes, "an attempt ended twice"
        self.outcomes[request_id] = outcome


class Bench:
    """Event loop with a client, a recorder and stand-ins."""

    def __init__(self):
        self.clock = MonotonicClock()
        self.root = BaseComponent()
        install_process_handlers(self.root)
        self.timers = Timers(self.clock).register(self.root)
        self.recorder = Recorder().register(self.root)
        self.client = None
        self._clients = []
        self.root._running = True

    def open_client(self, **limits):
        """Add a client with the given limits and make it the current one."""
        limits = TargetClientLimits(**limits)
        self.client = TargetClient(self.clock, self.timers, limits).register(self.root)
        self._clients.append(self.client)
        return self.client

    def open_engine(self, speed=FAST, **parameters):
        """Add a stand-in engine."""
        engine = StandInEngine(self.clock, self.timers, speed=speed, **parameters)
        return engine.register(self.root)

    def open_service(self, **parameters):
        """Add a stand-in service."""
        service = StandInService(self.clock, self.timers, **parameters)
        return service.register(self.root)

    def run_until(self, condition, timeout_ms=5_000):
        """Run the loop until the condition holds."""
        deadline_ms = self.clock.now_ms() + timeout_ms
        while not condition():
            assert self.clock.now_ms() < deadline_ms, "timed out"
            self.root.tick(0.002)

    def run_ms(self, ms):
        """Run the loop for a number of milliseconds."""
        end_ms = self.clock.now_ms() + ms
        self.run_until(lambda: self.clock.now_ms() >= end_ms, ms + 1_000)

    def run_request(self, request):
        """Run one attempt and return its outcome."""
        self.client.submit(request)
        self.run_until(lambda: request.request_id in self.recorder.outcomes)
        return self.recorder.outcomes[request.request_id]

    def close(self):
        """Stop all components, which closes their sockets."""
        self.root.stop()
        for _ in range(5):
            self.root.tick(0)


def plain_request(address, request_id="r1", path="/lookups", **overrides):
    """Build an idempotent request to a plain service."""
    fields = {"method": "GET", "idempotent": True, "path": path} | overrides
    return TargetRequest(request_id, CHANNEL, address, **fields)


MESSAGES = ({"role": "user", "content": "List all oak remnants."},)


def stream_request(address, request_id="r1", document=None, **overrides):
    """Build a stream request to an engine."""
    body = {"request_id": request_id, "stream": True, "messages": list(MESSAGES)}
    body |= document or {}
    fields = {"stream": True, "idempotent": True, "cancel_path": "/v1/cancel"}
    fields |= {"headers": (("Content-Type", "application/json"),)} | overrides
    return TargetRequest(
        request_id,
        CHANNEL,
        address,
        "POST",
        "/v1/chat/completions",
        body=json.dumps(body).encode(),
        **fields,
    )
