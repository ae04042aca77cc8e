"""Trace format: JSON lines with a header, requests and faults (docs/replay.md)."""

from dataclasses import dataclass
from pathlib import Path

import msgspec
import xxhash

from papayacrank.cache import hash_prompt
from papayacrank.config import Goals

FORMAT = 1
TRACES_FOLDER = Path(__file__).with_name("traces")
TRACE_NAMES = ("catalogue", "catalogue-faults", "inspection", "inspection-faults")
# For hashing, a digest of this many tokens stands for the tokens of a block.
DIGEST_TOKENS = 4


class Location(msgspec.Struct, frozen=True):
    """An engine or entry instance and its failure domain."""

    name: str
    failure_domain: str


class TraceWorkspace(msgspec.Struct, frozen=True):
    """A workspace and its budget over all entry instances."""

    name: str
    rate_tokens_per_s: int
    burst_tokens: int
    weight: float = 1.0


class EngineSettings(msgspec.Struct, frozen=True):
    """Parameters of the engine model.

    Attributes
    ----------
    cache_blocks : int
        Blocks that an engine can keep, including those of running requests.
    decode_slowdown : float
        Relative slowdown of prefill when the batch is full.
    lag_ms : int
        Age of a load report on arrival.
    event_delay_ms : int
        Mean delay of cache events; each delay is uniform between 0 and twice this.
    event_loss : float
        Probability that an instance does not receive an event batch.
    """

    prefill_tokens_per_s: int = 40_000
    decode_step_ms: float = 12.0
    decode_step_per_request_ms: float = 0.6
    decode_slowdown: float = 0.3
    max_batch: int = 32
    cache_blocks: int = 320
    import_ms_per_block: float = 12.0
    import_setup_ms: float = 20.0
    lag_ms: int = 150
    poll_interval_ms: int = 500
    event_interval_ms: int = 100
    event_delay_ms: int = 150
    event_loss: float = 0.01
    replay_batches: int = 64


class ScoreWeights(msgspec.Struct, frozen=True):
    """Weights of the deployment's score; they add up to 1."""

    hit_rate: float
    recompute: float
    tail: float
    worst_workspace: float
    refused: float


class Header(msgspec.Struct, tag="header", tag_field="kind", frozen=True):
    """First line of a trace.

    Attributes
    ----------
    arrivals_from : str or None
        Name of another trace whose requests are used; the file has faults only.
    """

    name: str
    seed: int
    duration_ms: int
    deployment: str
    block_tokens: int
    model: str
    failure_domains: list[str]
    domain_latency_ms: float
    engines: list[Location]
    entries: list[Location]
    workspaces: list[TraceWorkspace]
    engine: EngineSettings
    ttft_objective_ms: int
    deadline_ms: int
    goals: dict[str, float]
    score: ScoreWeights
    arrivals_from: str | None = None
    format: int = FORMAT


class Arrival(
    msgspec.Struct, tag="request", tag_field="kind", frozen=True, omit_defaults=True
):
    """A request.

    Attributes
    ----------
    entry : int
        Position of the entry instance in the header.
    prefix : list of (str, int)
        Nested levels, outermost first: label and number of blocks. Equal labels under
        equal parents mean equal tokens.
    prompt_tokens : int
        Length of the whole prompt; tokens after the prefix occur in no other request.
    """

    at_ms: int
    request_id: str
    workspace: str
    entry: int
    prefix: list[tuple[str, int]]
    prompt_tokens: int
    output_tokens: int
    idempotent: bool = True


class Fault(
    msgspec.Struct, tag="fault", tag_field="kind", frozen=True, omit_defaults=True
):
    """A fault.

    Attributes
    ----------
    type : str
        ``"crash"`` (the engine loses all requests and its cache, and restarts after
        `duration_ms`), ``"slow"`` (all work takes `factor` times as long),
        ``"events_lost"`` (no instance receives the engine's cache events),
        ``"loads_lost"`` (no instance receives its load reports) or ``"entry_restart"``
        (the instance discards its view and copies a peer's).
    name : str
        Engine or entry instance.
    """

    at_ms: int
    type: str
    name: str
    duration_ms: int = 0
    factor: float = 1.0


TraceLine = Header | Arrival | Fault


@dataclass(frozen=True, slots=True)
class Trace:
    """A parsed trace."""

    header: Header
    arrivals: list[Arrival]
    faults: list[Fault]

    def goals(self) -> Goals:
        """Return the deployment's goals."""
        return Goals(**self.header.goals)


def read_trace(path: Path) -> Trace:
    """Read a trace.

    Raises
    ------
    msgspec.DecodeError
        If a line is malformed.
    ValueError
        If the first line is not a header of a known format.
    """
    decoder = msgspec.json.Decoder(TraceLine)
    lines = [decoder.decode(line) for line in path.read_bytes().splitlines()]
    if not lines or not isinstance(lines[0], Header) or lines[0].format != FORMAT:
        raise ValueError(f"{path}: the first line is not a header of format {FORMAT}")
    header = lines[0]
    arrivals = [line for line in lines if isinstance(line, Arrival)]
    faults = [line for line in lines if isinstance(line, Fault)]
    if header.arrivals_from:
        source = path.with_name(f"{header.arrivals_from}.jsonl")
        arrivals = read_trace(source).arrivals
    return Trace(header, arrivals, faults)


def load_trace(name: str) -> Trace:
    """Read a committed trace by name, or a file by path."""
    if name in TRACE_NAMES:
        return read_trace(TRACES_FOLDER / f"{name}.jsonl")
    return read_trace(Path(name))


def write_trace(trace: Trace, path: Path) -> None:
    """Write a trace; requests are omitted if they come from another one."""
    lines: list[TraceLine] = [trace.header]
    if trace.header.arrivals_from is None:
        lines += trace.arrivals
    lines += trace.faults
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(b"".join(msgspec.json.encode(line) + b"\n" for line in lines))


class BlockHasher:
    """Hashes the prompts of a trace with the production hash function."""

    def __init__(self, header: Header):
        self.header = header
        self._digests: dict[tuple[str, int], bytes] = {}

    def hash_arrival(self, arrival: Arrival) -> tuple[int, ...]:
        """Return the block hashes of a prompt."""
        full_blocks = arrival.prompt_tokens // self.header.block_tokens
        levels = [*arrival.prefix, (arrival.request_id, full_blocks)]
        digests = [
            self._digest(label, number)
            for label, count in levels
            for number in range(count)
        ]
        tokens = b"".join(digests[:full_blocks])
        return hash_prompt(
            arrival.workspace, self.header.model, "1", tokens, DIGEST_TOKENS
        )

    def _digest(self, label: str, number: int) -> bytes:
        key = (label, number)
        digest = self._digests.get(key)
        if digest is None:
            digest = xxhash.xxh3_128_digest(f"{label}/{number}".encode())
            self._digests[key] = digest
        return digest
