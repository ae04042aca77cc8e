"""Plots of replays."""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

from ._metrics import ReplayMetrics  # noqa: E402
from ._runner import Run  # noqa: E402

WINDOW_MS = 5_000
MEASURES = ("score", "hit_rate", "wasted_recompute", "worst_workspace")


def plot_runs(
    runs: list[Run], measures: list[ReplayMetrics], folder: Path
) -> list[Path]:
    """Write the plots of one trace.

    Parameters
    ----------
    runs : list of Run
        Replays of one trace with several policies.
    measures : list of ReplayMetrics
        Metrics of the replays, in the same order.
    folder : Path
        Folder for the PNG files; created if missing.

    Returns
    -------
    list of Path
        Files written.
    """
    folder.mkdir(parents=True, exist_ok=True)
    name = runs[0].trace.header.name
    return [
        _plot_measures(measures, folder / f"{name}-measures.png"),
        _plot_ttft(runs, folder / f"{name}-ttft.png"),
        _plot_hit_rate(runs, folder / f"{name}-hit-rate.png"),
    ]


def _plot_measures(measures: list[ReplayMetrics], path: Path) -> Path:
    figure, axes = pyplot.subplots(1, len(MEASURES), figsize=(14, 4), sharey=True)
    names = [m.policy for m in measures]
    for axis, measure in zip(axes, MEASURES, strict=True):
        axis.barh(names, [getattr(m, measure) for m in measures])
        axis.set_title(measure)
        axis.set_xlim(0, 1)
    return _save(figure, path)


def _plot_ttft(runs: list[Run], path: Path) -> Path:
    figure, axis = pyplot.subplots(figsize=(8, 5))
    for run in runs:
        times = sorted(r.ttft_ms for r in run.records if r.ttft_ms is not None)
        shares = [(i + 1) / len(times) for i in range(len(times))]
        axis.plot(times, shares, label=run.policy)
    axis.set_xscale("log")
    axis.set_xlabel("time to first token (ms)")
    axis.set_ylabel("share of served requests")
    axis.legend()
    return _save(figure, path)


def _plot_hit_rate(runs: list[Run], path: Path) -> Path:
    figure, axis = pyplot.subplots(figsize=(10, 5))
    header = runs[0].trace.header
    windows = range(0, header.duration_ms, WINDOW_MS)
    for run in runs:
        hits = [0] * len(windows)
        tokens = [1] * len(windows)
        for record in run.records:
            if record.ttft_ms is not None:
                window = record.arrival.at_ms // WINDOW_MS
                hits[window] += record.cached_blocks * header.block_tokens
                tokens[window] += record.arrival.prompt_tokens * max(1, record.tries)
        rates = [h / t for h, t in zip(hits, tokens, strict=True)]
        axis.plot([w / 1_000 for w in windows], rates, label=run.policy)
    for fault in runs[0].trace.faults:
        axis.axvline(fault.at_ms / 1_000, color="grey", linestyle=":")
    axis.set_xlabel("arrival (s); dotted: faults")
    axis.set_ylabel("prefix hit rate")
    axis.legend()
    return _save(figure, path)


def _save(figure, path: Path) -> Path:
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
    return path
