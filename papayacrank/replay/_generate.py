"""Seeded generator of the traces of both deployments."""

import random
from dataclasses import dataclass

import msgspec

from ._trace import (
    Arrival,
    EngineSettings,
    Fault,
    Header,
    Location,
    ScoreWeights,
    Trace,
    TraceWorkspace,
)

BLOCK_TOKENS = 2_048
ENGINES = 9
ENTRIES = 9


@dataclass(frozen=True, slots=True)
class CatalogueShape:
    """Deployment 1: long nested prefixes; the most requested ones change over time."""

    duration_ms: int = 120_000
    requests_per_s: float = 9.0
    catalogues: int = 14
    catalogue_blocks: tuple[int, int] = (22, 44)
    sections: int = 5
    section_blocks: tuple[int, int] = (4, 10)
    policy_blocks: int = 6
    hot_catalogues: int = 4
    hot_share: float = 0.5
    shift_every_ms: int = 30_000
    reply_share: float = 0.3


@dataclass(frozen=True, slots=True)
class InspectionShape:
    """Deployment 2: short prompts, some long histories, bursts, one overload phase."""

    duration_ms: int = 120_000
    requests_per_s: float = 14.0
    burst_every_ms: int = 15_000
    burst_ms: int = 3_000
    burst_factor: float = 3.0
    rules_blocks: int = 2
    stations: int = 24
    station_blocks: tuple[int, int] = (1, 3)
    long_share: float = 0.05
    history_blocks: tuple[int, int] = (12, 40)
    follow_ups: tuple[int, int] = (1, 5)
    follow_up_gap_ms: tuple[int, int] = (1_500, 9_000)
    overload_from_ms: int = 30_000
    overload_until_ms: int = 75_000
    overload_factor: float = 5.0


def generate_trace(name: str, seed: int) -> Trace:
    """Generate a trace by name; equal seeds give equal traces.

    Parameters
    ----------
    name : str
        ``"catalogue"`` or ``"inspection"``, with ``"-faults"`` for the same requests
        with faults.
    seed : int
        Seed of all random choices.

    Raises
    ------
    ValueError
        If the name is unknown.
    """
    base, _, suffix = name.partition("-")
    if base not in ("catalogue", "inspection") or suffix not in ("", "faults"):
        raise ValueError(f"unknown trace {name!r}")
    random_state = random.Random(f"{base}/{seed}")
    if base == "catalogue":
        trace = _generate_catalogue(CatalogueShape(), seed, random_state)
    else:
        trace = _generate_inspection(InspectionShape(), seed, random_state)
    return _with_faults(trace) if suffix else trace


def _create_locations(prefix: str, count: int, domains: list[str]) -> list[Location]:
    return [
        Location(f"{prefix}-{i + 1}", domains[i % len(domains)]) for i in range(count)
    ]


def _pick_weighted(random_state: random.Random, count: int, exponent: float) -> int:
    weights = [1 / (rank + 1) ** exponent for rank in range(count)]
    return random_state.choices(range(count), weights)[0]


def _generate_catalogue(
    shape: CatalogueShape, seed: int, random_state: random.Random
) -> Trace:
    domains = ["sapporo", "asahikawa", "hakodate", "kushiro"]
    shares = {
        "sapporo-floors": 0.36,
        "hakodate-fit": 0.27,
        "kushiro-home": 0.19,
        "otaru-craft": 0.11,
        "nemuro-diy": 0.07,
    }
    names = list(shares)
    library = {
        (workspace, number): _generate_sections(shape, workspace, number, random_state)
        for workspace in names
        for number in range(shape.catalogues)
    }
    arrivals = []
    now_ms = 0.0
    hot: list[tuple[str, int]] = []
    shifts = -1
    while True:
        now_ms += random_state.expovariate(shape.requests_per_s / 1_000)
        if now_ms >= shape.duration_ms:
            break
        if int(now_ms // shape.shift_every_ms) != shifts:
            shifts = int(now_ms // shape.shift_every_ms)
            hot = _pick_hot_catalogues(shape, shares, random_state)
        if random_state.random() < shape.hot_share:
            workspace, number = hot[_pick_weighted(random_state, len(hot), 0.8)]
        else:
            workspace = random_state.choices(names, list(shares.values()))[0]
            number = _pick_weighted(random_state, shape.catalogues, 0.7)
        prefix = library[(workspace, number)]
        arrivals.append(
            _generate_catalogue_request(
                shape, workspace, prefix, len(arrivals), now_ms, random_state
            )
        )
    header = Header(
        name="catalogue",
        seed=seed,
        duration_ms=shape.duration_ms,
        deployment="deployment-1",
        block_tokens=BLOCK_TOKENS,
        model="assist",
        failure_domains=domains,
        domain_latency_ms=1.0,
        engines=_create_locations("assist-llm", ENGINES, domains),
        entries=_create_locations("entry", ENTRIES, domains),
        workspaces=_derive_budgets(arrivals, names, shape.duration_ms, 1.8),
        engine=EngineSettings(),
        ttft_objective_ms=2_000,
        deadline_ms=60_000,
        goals={"hit_rate": 2.0, "recompute": 2.0, "tail": 1.0, "fairness": 1.0},
        score=ScoreWeights(0.3, 0.3, 0.15, 0.15, 0.1),
    )
    return Trace(header, arrivals, [])


def _pick_hot_catalogues(
    shape: CatalogueShape, shares: dict[str, float], random_state: random.Random
) -> list[tuple[str, int]]:
    hot: list[tuple[str, int]] = []
    while len(hot) < shape.hot_catalogues:
        workspace = random_state.choices(list(shares), list(shares.values()))[0]
        pick = (workspace, random_state.randrange(shape.catalogues))
        if pick not in hot:
            hot.append(pick)
    return hot


def _generate_sections(
    shape: CatalogueShape, workspace: str, number: int, random_state: random.Random
) -> list[list[tuple[str, int]]]:
    policy = ("policy", shape.policy_blocks)
    body = (f"catalogue-{number}", random_state.randint(*shape.catalogue_blocks))
    return [
        [policy, body, (f"section-{s}", random_state.randint(*shape.section_blocks))]
        for s in range(shape.sections)
    ]


def _generate_catalogue_request(
    shape: CatalogueShape,
    workspace: str,
    sections: list[list[tuple[str, int]]],
    number: int,
    now_ms: float,
    random_state: random.Random,
) -> Arrival:
    prefix = sections[_pick_weighted(random_state, len(sections), 1.0)]
    is_reply = random_state.random() < shape.reply_share
    if is_reply:
        prefix = prefix[:2]
    own_tokens = random_state.randint(60, 2_500)
    shared = sum(blocks for _, blocks in prefix) * BLOCK_TOKENS
    return Arrival(
        at_ms=int(now_ms),
        request_id=f"c{number}",
        workspace=workspace,
        entry=random_state.randrange(ENTRIES),
        prefix=prefix,
        prompt_tokens=shared + own_tokens,
        output_tokens=random_state.randint(20, 60 if is_reply else 220),
        idempotent=random_state.random() < 0.9,
    )


def _generate_inspection(
    shape: InspectionShape, seed: int, random_state: random.Random
) -> Trace:
    domains = ["kl-sentral", "petaling", "shah-alam"]
    shares = {
        "cheras": 0.32,
        "subang": 0.26,
        "klang": 0.2,
        "ampang": 0.13,
        "kajang": 0.09,
    }
    names = list(shares)
    overloading = "klang"
    stations = {
        (workspace, number): random_state.randint(*shape.station_blocks)
        for workspace in names
        for number in range(shape.stations)
    }
    arrivals: list[Arrival] = []
    now_ms = 0.0
    while True:
        now_ms += random_state.expovariate(_inspection_rate(shape, now_ms) / 1_000)
        if now_ms >= shape.duration_ms:
            break
        weights = dict(shares)
        if shape.overload_from_ms <= now_ms < shape.overload_until_ms:
            weights[overloading] *= shape.overload_factor
        workspace = random_state.choices(names, list(weights.values()))[0]
        station = _pick_weighted(random_state, shape.stations, 0.9)
        prefix = [
            ("rules", shape.rules_blocks),
            (f"station-{station}", stations[(workspace, station)]),
        ]
        if random_state.random() < shape.long_share:
            _add_history(shape, workspace, prefix, now_ms, arrivals, random_state)
        else:
            _add_note(workspace, prefix, now_ms, arrivals, random_state)
    arrivals = [a for a in arrivals if a.at_ms < shape.duration_ms]
    arrivals.sort(key=lambda arrival: arrival.at_ms)
    usual = [a for a in arrivals if a.at_ms < shape.overload_from_ms]
    header = Header(
        name="inspection",
        seed=seed,
        duration_ms=shape.duration_ms,
        deployment="deployment-2",
        block_tokens=BLOCK_TOKENS,
        model="verdict",
        failure_domains=domains,
        domain_latency_ms=1.5,
        engines=_create_locations("verdict-llm", ENGINES, domains),
        entries=_create_locations("entry", ENTRIES, domains),
        workspaces=_derive_budgets(usual, names, shape.overload_from_ms, 2.0),
        engine=EngineSettings(cache_blocks=200),
        ttft_objective_ms=1_000,
        deadline_ms=30_000,
        goals={"hit_rate": 1.0, "recompute": 1.0, "tail": 2.0, "fairness": 2.0},
        score=ScoreWeights(0.1, 0.1, 0.35, 0.35, 0.1),
    )
    return Trace(header, arrivals, [])


def _inspection_rate(shape: InspectionShape, now_ms: float) -> float:
    rate = shape.requests_per_s
    if now_ms % shape.burst_every_ms < shape.burst_ms:
        rate *= shape.burst_factor
    if shape.overload_from_ms <= now_ms < shape.overload_until_ms:
        rate *= 1.5
    return rate


def _add_note(
    workspace: str,
    prefix: list[tuple[str, int]],
    now_ms: float,
    arrivals: list[Arrival],
    random_state: random.Random,
) -> None:
    shared = sum(blocks for _, blocks in prefix) * BLOCK_TOKENS
    arrivals.append(
        Arrival(
            at_ms=int(now_ms),
            request_id=f"i{len(arrivals)}",
            workspace=workspace,
            entry=random_state.randrange(ENTRIES),
            prefix=prefix,
            prompt_tokens=shared + random_state.randint(50, 1_500),
            output_tokens=random_state.randint(15, 80),
            idempotent=random_state.random() < 0.9,
        )
    )


def _add_history(
    shape: InspectionShape,
    workspace: str,
    prefix: list[tuple[str, int]],
    now_ms: float,
    arrivals: list[Arrival],
    random_state: random.Random,
) -> None:
    history = (f"history-{len(arrivals)}", random_state.randint(*shape.history_blocks))
    at_ms = now_ms
    for _ in range(random_state.randint(*shape.follow_ups)):
        _add_note(workspace, [*prefix, history], at_ms, arrivals, random_state)
        at_ms += random_state.randint(*shape.follow_up_gap_ms)


def _derive_budgets(
    arrivals: list[Arrival], names: list[str], duration_ms: int, headroom: float
) -> list[TraceWorkspace]:
    """Return budgets of `headroom` times the mean demand in `arrivals`."""
    budgets = []
    for name in names:
        tokens = sum(
            a.prompt_tokens + a.output_tokens for a in arrivals if a.workspace == name
        )
        rate = int(tokens * 1_000 / duration_ms * headroom)
        budgets.append(TraceWorkspace(name, rate, burst_tokens=rate * 8))
    return budgets


def _with_faults(trace: Trace) -> Trace:
    engines = [location.name for location in trace.header.engines]
    entries = [location.name for location in trace.header.entries]
    step = trace.header.duration_ms // 12
    faults = [
        Fault(step, "events_lost", engines[1], duration_ms=4_000),
        Fault(2 * step, "crash", engines[2], duration_ms=3_000),
        Fault(3 * step, "slow", engines[5], duration_ms=3 * step, factor=4.0),
        Fault(4 * step, "events_lost", engines[0], duration_ms=6_000),
        Fault(5 * step, "entry_restart", entries[0]),
        Fault(5 * step, "entry_restart", entries[1]),
        Fault(5 * step, "entry_restart", entries[2]),
        Fault(7 * step, "crash", engines[3], duration_ms=5_000),
        Fault(7 * step + 500, "crash", engines[4], duration_ms=5_000),
        Fault(8 * step, "loads_lost", engines[7], duration_ms=8_000),
        Fault(9 * step, "crash", engines[6], duration_ms=2_000),
        Fault(10 * step, "slow", engines[8], duration_ms=step, factor=6.0),
    ]
    header = msgspec.structs.replace(
        trace.header,
        name=f"{trace.header.name}-faults",
        arrivals_from=trace.header.name,
    )
    return Trace(header, trace.arrivals, faults)
