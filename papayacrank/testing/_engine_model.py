"""Model of the speed, cache and output of the stand-in engine, without I/O."""

from collections import OrderedDict, deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import msgspec
import xxhash

from papayacrank.targets import encode_tokens, render_prompt

from ._blocks import chain_blocks

MS_PER_SECOND = 1000
LETTERS = "abcdefghijklmnopqrstuvwxyz"
LETTERS_PER_TOKEN = 3


@dataclass(frozen=True, slots=True)
class EngineSpeed:
    """Speed and sizes of an engine.

    Parameters
    ----------
    prefill_tokens_per_s : float
        Prompt tokens computed per second; prefill handles one request at a time.
    decode_tokens_per_s : float
        Output tokens per second of each request in the batch.
    max_batch, max_waiting : int
        Requests in the batch and in the queue.
    cache_blocks, block_tokens : int
        Size of the prefix cache, and of one block in tokens.
    output_tokens : int
        Typical length of an output.
    load_weights_ms : int
        Time to load weights, in milliseconds.
    import_tokens_per_s : float
        Tokens per second whose cache blocks are imported from another engine.
    """

    prefill_tokens_per_s: float = 50_000.0
    decode_tokens_per_s: float = 200.0
    max_batch: int = 16
    max_waiting: int = 256
    cache_blocks: int = 256
    block_tokens: int = 2_048
    output_tokens: int = 64
    load_weights_ms: int = 600
    import_tokens_per_s: float = 500_000.0


@dataclass(slots=True, eq=False)
class Job:
    """A request in the engine.

    Parameters
    ----------
    request_id : str
        Id of the request.
    prompt : str
        Text of the prompt.
    salt : str
        Cache salt, which separates the cache entries of workspaces.
    output : list of str
        Tokens of the whole output.
    finish_reason : str
        Reason for the end of the output, as in the response.
    first_offset : int
        Offset of the first output token to send.
    priority : int
        Lower numbers are served first.
    """

    request_id: str
    prompt: str
    salt: str
    output: list[str]
    finish_reason: str
    first_offset: int = 0
    priority: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    next_offset: int = 0
    due_ms: float = 0.0
    arrival: int = 0


@dataclass(frozen=True, slots=True)
class CacheChange:
    """Blocks that entered or left the cache."""

    stored: tuple[bytes, ...] = ()
    parent: bytes | None = None
    tokens: bytes = b""
    salt: str = ""
    removed: tuple[bytes, ...] = ()


class BlockCache:
    """Prefix cache with least-recently-used eviction.

    Parameters
    ----------
    max_blocks : int
        Capacity in blocks.
    """

    def __init__(self, max_blocks: int):
        self._max_blocks = max_blocks
        self._blocks: OrderedDict[bytes, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._blocks)

    @property
    def hashes(self) -> list[bytes]:
        """Hashes of all blocks."""
        return list(self._blocks)

    def match(self, hashes: Sequence[bytes]) -> int:
        """Return the number of leading blocks in the cache; mark them recently used."""
        count = 0
        while count < len(hashes) and hashes[count] in self._blocks:
            count += 1
        for value in reversed(hashes[:count]):
            self._blocks.move_to_end(value)
        return count

    def store(self, hashes: Sequence[bytes]) -> tuple[list[bytes], list[bytes]]:
        """Add blocks; return the new ones and the evicted ones.

        Later blocks of a chain are evicted before earlier ones.
        """
        new = [value for value in hashes if value not in self._blocks]
        for value in reversed(hashes):
            self._blocks[value] = None
            self._blocks.move_to_end(value)
        evicted = []
        while len(self._blocks) > self._max_blocks:
            evicted.append(self._blocks.popitem(last=False)[0])
        kept = [value for value in new if value in self._blocks]
        return kept, [value for value in evicted if value not in set(new)]

    def clear(self) -> None:
        """Remove all blocks."""
        self._blocks.clear()


@dataclass(slots=True)
class StepResult:
    """Tokens, finished requests and cache changes of one `advance`."""

    tokens: list[tuple[Job, int, str]] = field(default_factory=list)
    finished: list[Job] = field(default_factory=list)
    changes: list[CacheChange] = field(default_factory=list)


class EngineModel:
    """Queue, batch and prefix cache of an engine.

    Parameters
    ----------
    speed : EngineSpeed
        Speed and sizes.
    model, weights_version : str
        Model and weights version that the engine serves.
    """

    def __init__(self, speed: EngineSpeed, model: str, weights_version: str):
        self.speed = speed
        self.model = model
        self.weights_version = weights_version
        self.cache = BlockCache(speed.cache_blocks)
        self._waiting: deque[Job] = deque()
        self._prefilling: Job | None = None
        self._prefill_free_ms = 0.0
        self._decoding: list[Job] = []
        self._arrivals = 0

    @property
    def running(self) -> int:
        """Requests in the batch."""
        return len(self._decoding) + (self._prefilling is not None)

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return len(self._waiting)

    @property
    def is_full(self) -> bool:
        """Whether the queue accepts no further request."""
        return len(self._waiting) >= self.speed.max_waiting

    @property
    def queued_prefill_tokens(self) -> int:
        """Prompt tokens still to be computed; ignores cache hits of queued requests."""
        jobs = [*self._waiting, *([self._prefilling] if self._prefilling else [])]
        return sum(job.prompt_tokens - job.cached_tokens for job in jobs)

    def submit(self, job: Job, now_ms: float) -> None:
        """Queue a request."""
        self._arrivals += 1
        job.arrival = self._arrivals
        job.prompt_tokens = count_tokens(job.prompt)
        job.next_offset = job.first_offset
        self._waiting.append(job)
        if self._prefilling is None:
            self._prefill_free_ms = max(self._prefill_free_ms, now_ms)

    def cancel(self, job: Job) -> None:
        """Remove a request; a finished one is ignored."""
        if job in self._waiting:
            self._waiting.remove(job)
        if job in self._decoding:
            self._decoding.remove(job)
        if job is self._prefilling:
            self._prefilling = None

    def clear(self) -> None:
        """Remove all requests and cached blocks."""
        self._waiting.clear()
        self._decoding.clear()
        self._prefilling = None
        self.cache.clear()

    def next_due_ms(self) -> float | None:
        """Return the time of the next event, or None if the engine is idle."""
        due = [job.due_ms for job in self._decoding]
        if self._prefilling is not None:
            due.append(self._prefilling.due_ms)
        elif self._waiting and self.running < self.speed.max_batch:
            due.append(self._prefill_free_ms)
        return min(due, default=None)

    def advance(self, now_ms: float) -> StepResult:
        """Process all events up to `now_ms`."""
        result = StepResult()
        while True:
            due_ms = self.next_due_ms()
            if due_ms is None or due_ms > now_ms:
                return result
            self._step(due_ms, result)

    def _step(self, due_ms: float, result: StepResult) -> None:
        if self._prefilling is not None and self._prefilling.due_ms <= due_ms:
            self._finish_prefill(result)
        elif (
            self._prefilling is None
            and self._waiting
            and self._can_start_prefill(due_ms)
        ):
            self._start_prefill(due_ms)
        else:
            for job in [j for j in self._decoding if j.due_ms <= due_ms]:
                self._decode(job, result)

    def _can_start_prefill(self, due_ms: float) -> bool:
        return self.running < self.speed.max_batch and self._prefill_free_ms <= due_ms

    def _start_prefill(self, now_ms: float) -> None:
        job = min(self._waiting, key=lambda j: (j.priority, j.arrival))
        self._waiting.remove(job)
        hashes = self.hash_job(job)
        job.cached_tokens = self.cache.match(hashes) * self.speed.block_tokens
        computed = job.prompt_tokens - job.cached_tokens + job.first_offset
        job.due_ms = now_ms + computed * MS_PER_SECOND / self.speed.prefill_tokens_per_s
        self._prefilling = job

    def _finish_prefill(self, result: StepResult) -> None:
        job, self._prefilling = self._prefilling, None
        self._prefill_free_ms = job.due_ms
        result.changes += self.store_chain(self.hash_job(job), job)
        self._decoding.append(job)
        self._decode(job, result)

    def store_chain(self, hashes: tuple[bytes, ...], job: Job) -> list[CacheChange]:
        """Add a chain of blocks to the cache and return the changes."""
        stored, removed = self.cache.store(hashes)
        changes = []
        if removed:
            changes.append(CacheChange(removed=tuple(removed)))
        if stored:
            first = hashes.index(stored[0])
            parent = hashes[first - 1] if first else None
            size = self.speed.block_tokens * 4
            data = encode_tokens(job.prompt)
            tokens = data[first * size : (first + len(stored)) * size]
            changes.append(CacheChange(tuple(stored), parent, tokens, job.salt))
        return changes

    def _decode(self, job: Job, result: StepResult) -> None:
        if job.next_offset < len(job.output):
            token = job.output[job.next_offset]
            result.tokens.append((job, job.next_offset, token))
            job.next_offset += 1
        job.due_ms += MS_PER_SECOND / self.speed.decode_tokens_per_s
        if job.next_offset >= len(job.output):
            self._decoding.remove(job)
            result.finished.append(job)

    def hash_job(self, job: Job) -> tuple[bytes, ...]:
        """Return the chain of block hashes of a prompt."""
        return chain_blocks(
            job.salt,
            self.model,
            self.weights_version,
            encode_tokens(job.prompt),
            self.speed.block_tokens,
        )


def count_tokens(text: str) -> int:
    """Return the number of tokens of a text, one per 4 UTF-8 bytes, rounded up."""
    return -(-len(text.encode()) // 4)


def expected_output(
    messages: Sequence[Mapping[str, str]],
    max_tokens: int = 512,
    typical_tokens: int = EngineSpeed().output_tokens,
) -> tuple[list[str], str]:
    """Return the output tokens and the finish reason of a stand-in engine.

    Parameters
    ----------
    messages : sequence of mapping
        Chat messages with ``role`` and ``content``.
    max_tokens : int
        Limit of the request.
    typical_tokens : int
        Typical length; the output is between half and one and a half of it.
    """
    seed = xxhash.xxh3_64_intdigest(render_prompt(messages).encode())
    length = typical_tokens // 2 + seed % (typical_tokens + 1)
    reason = "stop" if length <= max_tokens else "length"
    count = min(length, max_tokens)
    return [_token(seed, offset) for offset in range(count)], reason


def _token(seed: int, offset: int) -> str:
    value = xxhash.xxh3_64_intdigest(msgspec.msgpack.encode([seed, offset]))
    letters = []
    for _ in range(LETTERS_PER_TOKEN):
        value, index = divmod(value, len(LETTERS))
        letters.append(LETTERS[index])
    return " " + "".join(letters)
