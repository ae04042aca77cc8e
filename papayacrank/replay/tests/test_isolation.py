"""Test that a workspace far above its rate does not slow down the others."""

import importlib.util
from pathlib import Path

import papayacrank
from papayacrank.replay import Runner, load_trace

# Allowed relative increase of the other workspaces' 99th percentile of the time to
# first token while one workspace sends five times its rate.
MAX_P99_INCREASE = 0.10
BENCHMARKS = Path(papayacrank.__file__).parents[1] / "benchmarks"


def load_benchmark():
    """Import benchmarks/replay_isolation.py."""
    path = BENCHMARKS / "replay_isolation.py"
    spec = importlib.util.spec_from_file_location("replay_isolation", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def test_five_times_the_rate_moves_the_others_by_the_stated_share_at_most():
    """Guards against a workspace that starves the others of engine time."""
    benchmark = load_benchmark()
    trace = load_trace(benchmark.TRACE)
    heavy = benchmark.find_most_loaded(trace)
    flooded = benchmark.repeat_requests(trace, heavy, 4)
    assert benchmark.compute_load_factor(flooded, heavy) >= 5.0
    times = []
    for variant in (benchmark.repeat_requests(trace, heavy, 0), flooded):
        run = Runner(variant, benchmark.POLICY, 1).run()
        times.append(benchmark.measure_others(run, heavy)[0])
    alone_ms, flooded_ms = times
    assert flooded_ms <= alone_ms * (1 + MAX_P99_INCREASE)
