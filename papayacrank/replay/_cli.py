"""Command line of the replay."""

import json
from collections.abc import Iterator
from pathlib import Path

import msgspec

from papayacrank.kernel import configure_logging, list_registered
from papayacrank.routing import RoutingPolicy

from ._generate import generate_trace
from ._metrics import ReplayMetrics, compute_metrics
from ._offline_bound import compute_offline_bound
from ._required_outcome import find_missed_bounds, load_required_outcome
from ._runner import Run, Runner
from ._trace import TRACE_NAMES, TRACES_FOLDER, Trace, load_trace, write_trace

SHIPPED_POLICY = "papayacrank"


class ReplayInputError(ValueError):
    """A named trace or policy is unknown or unreadable."""


class ReplayCommands:
    """Replay traces through the routing and admission code in virtual time."""

    def bench(self, traces: str = "", policies: str = "", seed: int = 1):
        """Print one JSON object a line for each trace and policy.

        Parameters
        ----------
        traces : str
            Names or paths, separated by commas; all committed traces by default.
        policies : str
            Registered names, separated by commas; all by default.
        seed : int
            Seed of delays, losses and random choices.
        """
        configure_logging("replay", "error")
        for trace in _load_traces(traces):
            done = []
            for run in _replay(trace, _split_policies(policies), seed):
                done.append(compute_metrics(run))
            for measures in done:
                print(json.dumps(_describe(measures, done)), flush=True)

    def plot(
        self,
        folder: str = "build/replay",
        traces: str = "",
        policies: str = "",
        seed: int = 1,
    ):
        """Write PNG files that compare the policies.

        Parameters
        ----------
        folder : str
            Folder for the files.
        traces, policies : str
            As for `bench`.
        seed : int
            As for `bench`.
        """
        from ._plot import plot_runs

        configure_logging("replay", "error")
        for trace in _load_traces(traces):
            runs = list(_replay(trace, _split_policies(policies), seed))
            for path in plot_runs(
                runs, [compute_metrics(r) for r in runs], Path(folder)
            ):
                print(path)

    def generate(self, folder: str = str(TRACES_FOLDER), seed: int = 1):
        """Write the four traces.

        Parameters
        ----------
        folder : str
            Folder for the files; by default the committed ones are replaced.
        seed : int
            Seed of the requests.
        """
        for name in TRACE_NAMES:
            path = Path(folder) / f"{name}.jsonl"
            write_trace(generate_trace(name, seed), path)
            print(path)


def _split(names: str | tuple) -> list[str]:
    if isinstance(names, tuple):
        return list(names)
    return [name for name in names.split(",") if name]


def _split_policies(policies: str | tuple) -> list[str]:
    names, known = _split(policies), list_registered(RoutingPolicy)
    unknown = sorted(set(names) - set(known))
    if unknown:
        raise ReplayInputError(
            f"--policies: got {', '.join(unknown)}; expected some of {', '.join(known)}"
        )
    return names


def _load_traces(traces: str | tuple) -> list[Trace]:
    loaded = []
    for name in _split(traces) or TRACE_NAMES:
        try:
            loaded.append(load_trace(name))
        except (OSError, ValueError, msgspec.MsgspecError) as error:
            raise ReplayInputError(f"--traces: {name}: {error}") from error
    return loaded


def _replay(trace: Trace, policies: list[str], seed: int) -> Iterator[Run]:
    for policy in policies or list_registered(RoutingPolicy):
        yield Runner(trace, policy, seed).run()
    if not policies:
        yield compute_offline_bound(trace)


def _describe(measures: ReplayMetrics, done: list[ReplayMetrics]) -> dict:
    described = measures.to_dict()
    required = load_required_outcome(measures.trace)
    if required is not None and measures.policy == required.policy:
        not_baselines = (required.policy, "offline_bound")
        baselines = [other for other in done if other.policy not in not_baselines]
        described["missed_targets"] = find_missed_bounds(required, measures, baselines)
    return described
