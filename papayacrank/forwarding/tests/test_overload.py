"""Tests of requests that are refused because the queues of engines are too long."""

import pytest

from papayacrank.costs import PRIOR_PREFILL_TOKENS_PER_MS
from papayacrank.forwarding._forecast import QueueForecast
from papayacrank.messages import TargetLoad

from .builders import Bench, build_load, build_target, build_view

OBJECTIVE_MS = 500


def test_forecast_learns_what_an_engine_needs():
    """Guards against a fixed speed for engines that differ."""
    forecast = QueueForecast()
    assert forecast.wait_ms("s", 0, 1_000) == 0
    for _ in range(100):
        forecast.observe("s", 0, 400, 800, has_event=True)
    assert forecast.wait_ms("s", 0, 1_000) == pytest.approx(2_000, rel=0.01)
    for _ in range(100):
        forecast.observe("s", 0, 400, 100, has_event=True)
    assert forecast.wait_ms("s", 0, 1_000) == pytest.approx(250, rel=0.01)


def test_forecast_keeps_urgencies_apart():
    """Guards against urgent requests refused for the wait of others."""
    forecast = QueueForecast()
    for _ in range(100):
        forecast.observe("s", 0, 400, 800, has_event=True)
    assert forecast.wait_ms("s", 1, 1_000) == 0


def test_attempt_without_an_event_is_a_lower_bound():
    """Guards against forecasts that fall because callers left early."""
    forecast = QueueForecast()
    for _ in range(100):
        forecast.observe("s", 0, 400, 800, has_event=True)
    forecast.observe("s", 0, 400, 10, has_event=False)
    assert forecast.wait_ms("s", 0, 1_000) == pytest.approx(2_000, rel=0.01)
    forecast.observe("s", 0, 400, 1_200, has_event=False)
    assert forecast.wait_ms("s", 0, 1_000) > 2_050


class Loaded(Bench):
    """Forwarder with one engine whose queue holds prompts of other instances."""

    def __init__(self):
        super().__init__(build_target("e1", "engines"))
        self.set_queue_ms(OBJECTIVE_MS)
        for number in range(60):
            self.send("/reply/x", id=f"known{number}", tokens=100)
            self.advance(OBJECTIVE_MS)
            self.begin()
            self.event(1)
            self.end()

    def set_queue_ms(self, queue_ms):
        """Set the expected time for the prompts of other instances."""
        tokens = int(queue_ms * PRIOR_PREFILL_TOKENS_PER_MS)
        loads = {"e1": TargetLoad(1, tokens, 0)}
        self.forwarder.apply_load(build_load(self.forwarder.table, loads))


@pytest.fixture
def loaded():
    """Return a forwarder that has learned how long its engine takes."""
    return Loaded()


def test_request_behind_a_long_queue_is_refused_at_once(loaded):
    """Guards against requests held until their callers leave."""
    loaded.set_queue_ms(2 * OBJECTIVE_MS)
    calls = len(loaded.port.calls)
    caller = loaded.send("/reply/x", tokens=100)
    assert (caller.status, caller.headers["code"]) == (503, "overloaded")
    assert caller.headers["verdict"] == "not-run"
    assert len(loaded.port.calls) == calls


def test_retry_times_of_refused_requests_follow_the_queue_and_differ(loaded):
    """Guards against callers that return together or too early."""
    loaded.set_queue_ms(4 * OBJECTIVE_MS)
    times = {
        int(caller.headers["retry-after-ms"])
        for caller in (
            loaded.send("/reply/x", id=f"r{number}", tokens=100) for number in range(9)
        )
    }
    assert len(times) > 1
    assert min(times) >= 0.9 * 3 * OBJECTIVE_MS


def test_request_is_sent_once_the_queue_is_short_again(loaded):
    """Guards against refusals that outlast the overload."""
    loaded.set_queue_ms(4 * OBJECTIVE_MS)
    assert loaded.send("/reply/x", tokens=100).status == 503
    loaded.set_queue_ms(OBJECTIVE_MS / 2)
    loaded.send("/reply/x", id="r2", tokens=100)
    assert loaded.call.state.request.request_id == "r2"


def test_long_prompt_without_a_queue_is_not_refused(loaded):
    """Guards against prompts that no retry can help."""
    loaded.set_queue_ms(0)
    tokens = int(4 * OBJECTIVE_MS * PRIOR_PREFILL_TOKENS_PER_MS)
    loaded.send("/reply/x", id="r2", tokens=tokens)
    assert loaded.call.state.request.request_id == "r2"


def test_request_is_not_refused_before_the_speed_of_engines_is_known():
    """Guards against refusals by a guess after a restart."""
    bench = Bench(build_target("e1", "engines"))
    tokens = int(4 * OBJECTIVE_MS * PRIOR_PREFILL_TOKENS_PER_MS)
    loads = {"e1": TargetLoad(1, tokens, 0)}
    bench.forwarder.apply_load(build_load(bench.forwarder.table, loads))
    bench.send("/reply/x", tokens=100)
    assert len(bench.port.calls) == 1


def test_stream_that_may_have_run_continues_behind_a_long_queue(loaded):
    """Guards against refusals of streams that other engines can finish."""
    targets = [build_target("e1", "engines"), build_target("e2", "engines")]
    loaded.forwarder.apply_fleet(build_view(*targets, sequence=2))
    caller = loaded.send("/reply/x", id="r2", tokens=100)
    loaded.begin()
    loaded.event(1)
    calls = len(loaded.port.calls)
    tokens = int(4 * OBJECTIVE_MS * PRIOR_PREFILL_TOKENS_PER_MS)
    loads = {name: TargetLoad(1, tokens, 0) for name in ("e1", "e2")}
    loaded.forwarder.apply_load(build_load(loaded.forwarder.table, loads))
    loaded.fail()
    assert len(loaded.port.calls) == calls + 1
    assert not caller.aborted


def test_late_requests_give_way_in_part_and_are_told_to_return(loaded):
    """Guards against late work that makes all requests behind it late."""
    wait_ms = 0.9 * OBJECTIVE_MS
    loaded.set_queue_ms(wait_ms)
    tokens = int(0.3 * OBJECTIVE_MS * PRIOR_PREFILL_TOKENS_PER_MS)
    callers = [
        loaded.send("/reply/x", id=f"late{number}", tokens=tokens)
        for number in range(20)
    ]
    refused = [caller for caller in callers if caller.status == 503]
    assert 0 < len(refused) < len(callers)
    assert {caller.headers["verdict"] for caller in refused} == {"not-run"}
    assert min(int(c.headers["retry-after-ms"]) for c in refused) >= 100
