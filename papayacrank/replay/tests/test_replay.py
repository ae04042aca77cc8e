"""Tests of the trace format, generator, engine model, runner and baselines."""

import json

import pytest

from papayacrank.replay import (
    Fault,
    Runner,
    Trace,
    compute_metrics,
    compute_offline_bound,
    generate_trace,
    load_trace,
    read_trace,
    write_trace,
)
from papayacrank.replay.__main__ import main
from papayacrank.replay._cli import ReplayCommands
from papayacrank.replay._engine import EngineModel, Job
from papayacrank.replay._required_outcome import load_required_outcome
from papayacrank.replay._schedule import Schedule
from papayacrank.replay._trace import TRACE_NAMES, EngineSettings

SHORT_MS = 20_000


def shorten(trace, faults=()):
    arrivals = [a for a in trace.arrivals if a.at_ms < SHORT_MS]
    return Trace(trace.header, arrivals, list(faults))


def build_engine(**settings):
    schedule = Schedule()
    engine = EngineModel("e1", EngineSettings(**settings), 2_048, schedule)
    return engine, schedule


def build_job(name, blocks, log, source=None):
    return Job(
        request_id=name,
        blocks=tuple(blocks),
        prompt_tokens=len(blocks) * 2_048,
        output_tokens=10,
        kv_source=source,
        on_prefill=lambda job: None,
        on_first_token=lambda job: log.append((name, "first")),
        on_finished=lambda job: log.append((name, "finished")),
        on_lost=lambda job: log.append((name, "lost")),
    )


@pytest.mark.parametrize("name", TRACE_NAMES)
def test_committed_traces_come_from_the_generator(name, tmp_path):
    """Guards against traces edited by hand, which cannot be generated again."""
    committed = load_trace(name)
    generated = generate_trace(name, committed.header.seed)
    assert committed.header == generated.header
    assert committed.arrivals == generated.arrivals
    assert committed.faults == generated.faults
    assert load_required_outcome(name) is not None


def test_traces_round_trip(tmp_path):
    """Guards against a format that loses fields."""
    trace = shorten(load_trace("inspection"), [Fault(5, "slow", "e", 10, 2.0)])
    write_trace(trace, tmp_path / "t.jsonl")
    assert read_trace(tmp_path / "t.jsonl") == trace
    (tmp_path / "bad.jsonl").write_text('{"kind": "fault"}\n')
    with pytest.raises(ValueError):
        read_trace(tmp_path / "bad.jsonl")


def test_equal_seeds_give_equal_runs():
    """Guards against randomness that does not come from the seed."""
    trace = shorten(load_trace("inspection-faults"))
    first = compute_metrics(Runner(trace, "papayacrank", seed=5).run())
    assert first == compute_metrics(Runner(trace, "papayacrank", seed=5).run())


def test_engine_evicts_the_least_recently_used_block_last_first():
    """Guards against evicting the first blocks of a prompt before the last ones."""
    engine, schedule = build_engine(cache_blocks=6)
    log = []
    engine.submit(build_job("a", [1, 2, 3, 4], log))
    schedule.run(10_000)
    engine.submit(build_job("b", [5, 6, 7], log))
    schedule.run(20_000)
    assert list(engine.cached) == [3, 2, 1, 7, 6, 5]
    assert engine.match((1, 2, 3, 4)) == 3


def test_crashed_engine_loses_work_and_cache():
    """Guards against requests that complete on an engine that is down."""
    engine, schedule = build_engine()
    log = []
    engine.submit(build_job("a", [1, 2], log))
    schedule.run(10)
    engine.crash()
    engine.submit(build_job("b", [1], log))
    schedule.run(10_000)
    assert log == [("a", "lost"), ("b", "lost")]
    engine.restart()
    assert (engine.incarnation, engine.match((1, 2))) == (2, 0)


def test_import_takes_blocks_from_the_source():
    """Guards against a model that recomputes what it imports."""
    source, _ = build_engine()
    engine, schedule = build_engine()
    source._touch(tuple(range(10)))
    log = []
    job = build_job("a", range(12), log, source)
    engine.submit(job)
    schedule.run(10_000)
    assert (job.cached_blocks, job.imported_blocks) == (0, 10)
    assert log == [("a", "first"), ("a", "finished")]


def test_lost_events_and_restarts_do_not_stop_service():
    """Guards against instances that stop serving during the faults of the traces."""
    trace = load_trace("inspection-faults")
    run = Runner(trace, "papayacrank").run()
    measures = compute_metrics(run)
    assert measures.refusals.get("unfinished", 0) == 0
    assert measures.refused_within_rate < 0.03
    assert all(r.is_done for r in run.records)


def test_views_agree_with_engines_after_losses():
    """Guards against an index that drifts from the caches as events are lost."""
    trace = shorten(
        load_trace("catalogue"),
        [Fault(2_000, "events_lost", "assist-llm-1", duration_ms=3_000)],
    )
    runner = Runner(trace, "papayacrank")
    runner.run()
    for entry in runner.entries:
        for name, engine in runner.engines.items():
            chain = list(engine.cached)
            known = sum(name in entry.router.index.match([b]) for b in chain)
            assert known == len(chain)
            assert entry.events[name].is_complete


def test_no_policy_exceeds_the_offline_bound():
    """Guards against a bound that a policy exceeds, and against miscounted hits."""
    trace = load_trace("catalogue")
    bound = compute_metrics(compute_offline_bound(trace))
    for policy in ("papayacrank", "longest_match"):
        measures = compute_metrics(Runner(trace, policy).run())
        assert measures.hit_rate + measures.imported_rate <= bound.hit_rate + 0.01


@pytest.mark.parametrize("name", TRACE_NAMES)
def test_shipped_policy_is_ahead_of_every_baseline(name):
    """Guards against changes that make the shipped policy worse than a baseline."""
    trace = load_trace(name)
    shipped = compute_metrics(Runner(trace, "papayacrank").run()).score
    for policy in ("consistent_hash", "longest_match", "least_loaded"):
        assert shipped > compute_metrics(Runner(trace, policy).run()).score


def test_bench_prints_the_promised_fields(capsys):
    """Guards against changing the output fields that other tools read."""
    ReplayCommands().bench(traces="catalogue", policies="papayacrank,random")
    lines = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert [line["policy"] for line in lines] == ["papayacrank", "random"]
    required = {
        "trace",
        "policy",
        "hit_rate",
        "ttft_p99_ms",
        "wasted_recompute",
        "worst_workspace",
        "refused_within_rate",
        "ttft_p50_ms",
        "ttft_p95_ms",
        "score",
    }
    assert all(required <= set(line) for line in lines)


def test_plot_writes_images(tmp_path):
    """Guards against plots that fail on a run without faults or refusals."""
    ReplayCommands().plot(str(tmp_path), "catalogue", "papayacrank")
    assert len(list(tmp_path.glob("*.png"))) == 3


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (["--policies", "misspelt"], "longest_match"),
        (["--traces", "/no/such/trace.jsonl"], "/no/such/trace.jsonl"),
    ],
)
def test_unusable_arguments_stop_with_exit_code_2(arguments, expected, capsys):
    """Guards against a traceback, or a run of something else, for an unknown name."""
    with (
        pytest.raises(SystemExit) as stopped,
        pytest.MonkeyPatch.context() as patch,
    ):
        patch.setattr("sys.argv", ["papayacrank-replay", "bench", *arguments])
        main()
    assert stopped.value.code == 2
    assert expected in capsys.readouterr().err
