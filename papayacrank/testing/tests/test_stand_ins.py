"""Tests of the stand-in engine: speed, cache, orders and import."""

import json

import pytest

from papayacrank.targets.tests._bench import Bench, plain_request, stream_request
from papayacrank.testing import EngineSpeed
from papayacrank.testing._engine_model import EngineModel, Job

SPEED = EngineSpeed(
    prefill_tokens_per_s=1_000,
    decode_tokens_per_s=100,
    max_batch=2,
    cache_blocks=10,
    block_tokens=100,
)
LONG_PROMPT = "x" * 4_000


@pytest.fixture
def bench():
    """Event loop that is closed after the test."""
    bench = Bench()
    bench.open_client()
    yield bench
    bench.close()


def build_job(name, prompt=LONG_PROMPT, tokens=3, **fields):
    """Build a request for the model; its prompt has one token per 4 bytes."""
    return Job(name, prompt, "team-a", [" abc"] * tokens, "stop", **fields)


def run_model(model, until_ms):
    """Advance the model by 1 ms steps; return time, request and offset of tokens."""
    times = []
    for now_ms in range(until_ms):
        result = model.advance(now_ms)
        times += [(now_ms, j.request_id, offset) for j, offset, _ in result.tokens]
    return times


def test_cached_prefix_shortens_the_time_to_first_token():
    """Guards against a model in which cache hits do not shorten prefill."""
    model = EngineModel(SPEED, "sample", "1")
    model.submit(build_job("r1"), 0)
    assert run_model(model, 1_100)[0] == (1_000, "r1", 0)
    model.submit(build_job("r2"), 1_100)
    times = [model.advance(now_ms).tokens for now_ms in range(1_100, 1_110)]
    assert [t[0][0].request_id for t in times if t] == ["r2"]


def test_other_salt_has_no_hit():
    """Guards against cache entries shared between workspaces."""
    model = EngineModel(SPEED, "sample", "1")
    first, second = build_job("r1"), build_job("r2")
    second.salt = "team-b"
    model.submit(first, 0)
    model.submit(second, 0)
    run_model(model, 2_500)
    assert (first.cached_tokens, second.cached_tokens) == (0, 0)


def test_batch_is_bounded_and_priority_goes_first():
    """Guards against an unlimited batch, and against ignored priorities."""
    model = EngineModel(SPEED, "sample", "1")
    model.submit(build_job("low", "a" * 400, tokens=50, priority=5), 0)
    model.submit(build_job("high", "b" * 400, tokens=50, priority=-5), 0)
    model.submit(build_job("mid", "c" * 400, tokens=50, priority=0), 0)
    assert model.queued_prefill_tokens == 300
    first_token_order = [
        name for _, name, offset in run_model(model, 1_500) if offset == 0
    ]
    assert first_token_order == ["high", "mid", "low"]
    assert (model.running, model.waiting) == (0, 0)


def test_cache_is_bounded_and_evicts_the_end_of_a_chain_first():
    """Guards against an unbounded cache, and against evicting a prefix first."""
    model = EngineModel(SPEED, "sample", "1")
    long, other = build_job("r1"), build_job("r2", "y" * 2_000)
    hashes = model.hash_job(long)
    model.store_chain(hashes, long)
    changes = model.store_chain(model.hash_job(other), other)
    removed = [value for change in changes for value in change.removed]
    assert removed == list(reversed(hashes))[: len(removed)]
    assert len(model.cache) == 10
    assert model.cache.match(hashes) == 5


def build_order(order_id, token, kind="change_role", **arguments):
    """Build the body of an order."""
    return {
        "order_id": order_id,
        "fencing_token": token,
        "kind": kind,
        "arguments": arguments or {"role": "decode"},
    }


def post(bench, address, path, document, request_id):
    """Post a document; return the status and the decoded response."""
    request = plain_request(
        address, request_id, path, method="POST", body=json.dumps(document).encode()
    )
    assert bench.run_request(request) is None
    status = bench.recorder.heads[request_id][0]
    return status, json.loads(bench.recorder.data[request_id])


@pytest.mark.parametrize("ignores_fencing", [False, True])
def test_old_fencing_token_is_refused_unless_ignored(bench, ignores_fencing):
    """Guards against fencing checks that are always on or always off."""
    engine = bench.open_engine()
    if ignores_fencing:
        engine.inject({"kind": "ignore_fencing"})
    path = "/v1/orders"
    assert post(bench, engine.address, path, build_order("o1", [2, 1]), "r1")[0] == 202
    status, _ = post(bench, engine.address, path, build_order("o2", [1, 9]), "r2")
    assert status == (202 if ignores_fencing else 409)
    assert post(bench, engine.address, path, build_order("o1", [2, 1]), "r3")[0] == 200


def test_loaded_weights_clear_the_cache_and_refuse_old_requests(bench):
    """Guards against responses and cache hits from the previous weights."""
    engine = bench.open_engine(EngineSpeed(block_tokens=4, load_weights_ms=50))
    bench.run_request(stream_request(engine.address, "r1"))
    load = build_order("o1", [1, 1], "load_weights", weights_version="2")
    post(bench, engine.address, "/v1/orders", load, "r2")
    failure = bench.run_request(stream_request(engine.address, "r3"))
    assert failure.status == 503
    bench.run_ms(80)
    bench.run_request(plain_request(engine.address, "r4", "/v1/kv/blocks"))
    assert json.loads(bench.recorder.data["r4"])["block_hashes"] == []
    bench.run_request(plain_request(engine.address, "r5", "/v1/orders/state"))
    state = json.loads(bench.recorder.data["r5"])
    assert (state["weights_version"], state["orders"][0]["status"]) == ("2", "done")
    old = stream_request(engine.address, "r6", {"weights_version": "1"})
    assert bench.run_request(old).status == 409


def test_blocks_are_imported_from_another_engine(bench):
    """Guards against an import whose blocks are not used."""
    speed = EngineSpeed(block_tokens=4, prefill_tokens_per_s=1_000_000)
    first, second = bench.open_engine(speed), bench.open_engine(speed)
    bench.run_request(stream_request(first.address, "r1"))
    document = {"kv_source": first.address}
    usage = bench.run_request(stream_request(second.address, "r2", document))
    assert usage.cached_tokens > 0
    other = stream_request(second.address, "r3", document | {"cache_salt": "team-b"})
    assert bench.run_request(other).cached_tokens == 0


def test_failed_import_is_not_fatal(bench):
    """Guards against requests that hang when the source engine is unreachable."""
    engine = bench.open_engine(EngineSpeed(block_tokens=4))
    request = stream_request(engine.address, "r1", {"kv_source": "127.0.0.1:9"})
    assert bench.run_request(request).cached_tokens == 0


def test_exported_blocks_can_be_imported_only_into_equal_weights(bench):
    """Guards against importing blocks that other weights computed."""
    speed = EngineSpeed(block_tokens=4)
    first = bench.open_engine(speed)
    second = bench.open_engine(speed, weights_version="2")
    bench.run_request(stream_request(first.address, "r1"))
    bench.run_request(plain_request(first.address, "r2", "/v1/kv/blocks"))
    listing = json.loads(bench.recorder.data["r2"])
    document = {"block_hashes": listing["block_hashes"], "weights_version": "1"}
    status, _ = post(bench, second.address, "/v1/kv/import", document, "r3")
    assert status == 409
    document = {"kv_source": first.address}
    usage = bench.run_request(stream_request(second.address, "r4", document))
    assert usage.cached_tokens == 0


def test_load_report_lags(bench):
    """Guards against load reports that ignore `load_lag_ms`."""
    engine = bench.open_engine(
        EngineSpeed(prefill_tokens_per_s=1), load_lag_ms=150, role="prefill"
    )

    def report(request_id):
        bench.run_request(plain_request(engine.address, request_id, "/v1/load"))
        return json.loads(bench.recorder.data[request_id])

    assert (report("r1")["running"], report("r2")["role"]) == (0, "prefill")
    bench.client.submit(stream_request(engine.address, "r3"))
    bench.run_until(lambda: engine.active_)
    assert report("r4")["running"] == 0
    bench.run_ms(200)
    assert report("r5")["running"] == 1


def test_malformed_requests_are_refused(bench):
    """Guards against a stand-in that fails on a malformed request."""
    engine = bench.open_engine()
    path = "/v1/chat/completions"
    assert post(bench, engine.address, path, {"messages": 1}, "r1")[0] == 400
    assert post(bench, engine.address, "/fault", {"kind": "x"}, "r2")[0] == 400
    assert post(bench, engine.address, "/unknown", {}, "r3")[0] == 404
