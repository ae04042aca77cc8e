"""Model of an engine in virtual time: batch, prefill, decode and prefix cache."""

from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass

from papayacrank.cache import encode_batch, encode_listing
from papayacrank.routing import LoadReport

from ._schedule import Schedule
from ._trace import EngineSettings


@dataclass(slots=True)
class Job:
    """A request at an engine.

    Attributes
    ----------
    on_prefill, on_first_token, on_finished, on_lost : callable
        Called with the job when its prefill starts, when its first token is computed,
        when its decoding ends, and when the engine is down or crashes.
    cached_blocks, imported_blocks : int
        Blocks found in the cache and imported from `kv_source`; set when prefill
        starts.
    """

    request_id: str
    blocks: tuple[int, ...]
    prompt_tokens: int
    output_tokens: int
    kv_source: "EngineModel | None"
    on_prefill: Callable[["Job"], None]
    on_first_token: Callable[["Job"], None]
    on_finished: Callable[["Job"], None]
    on_lost: Callable[["Job"], None]
    cached_blocks: int = 0
    imported_blocks: int = 0
    lost: bool = False
    was_refused: bool = False


class EngineModel:
    """Simulated engine.

    Prefill is serial, first come first served. A request occupies a slot of the
    batch from the start of its prefill to the end of its decoding; its blocks are
    pinned during that time. Eviction removes the least recently used block,
    and the last block of a prompt before the earlier ones.

    Parameters
    ----------
    settings : EngineSettings
        Speeds and sizes.
    block_tokens : int
        Tokens in one block.
    schedule : Schedule
        Virtual time.
    """

    def __init__(
        self, name: str, settings: EngineSettings, block_tokens: int, schedule: Schedule
    ):
        self.name = name
        self.settings = settings
        self.block_tokens = block_tokens
        self.schedule = schedule
        self.incarnation = 1
        self.is_up = True
        self.slowdown = 1.0
        self.sequence = 0
        self.batches: deque[tuple[int, bytes]] = deque(maxlen=settings.replay_batches)
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._pins: Counter[int] = Counter()
        self._queue: deque[Job] = deque()
        self._prefilling: Job | None = None
        self._prefill_until_ms = 0.0
        self._running: dict[str, Job] = {}
        self._stored: dict[int, None] = {}
        self._removed: dict[int, None] = {}

    @property
    def cached(self) -> OrderedDict[int, None]:
        """Blocks in the cache; do not modify."""
        return self._cache

    def submit(self, job: Job) -> None:
        """Queue a request; call its `on_lost` at once if the engine is down."""
        if not self.is_up:
            job.was_refused = True
            job.on_lost(job)
            return
        self._queue.append(job)
        self._start_next()

    def crash(self) -> None:
        """Drop all requests and the cache."""
        jobs = [*self._queue, *self._running.values()]
        self.is_up = False
        self._queue.clear()
        self._running.clear()
        self._prefilling = None
        self._cache.clear()
        self._pins.clear()
        self._stored.clear()
        self._removed.clear()
        for job in jobs:
            job.lost = True
            job.on_lost(job)

    def restart(self) -> None:
        """Start with an empty cache and a new incarnation."""
        self.is_up = True
        self.incarnation += 1
        self.sequence = 0
        self.batches.clear()

    def report_load(self) -> LoadReport:
        """Return the current load."""
        queued = sum(job.prompt_tokens for job in self._queue)
        if self._prefilling is not None:
            left_ms = self._prefill_until_ms - self.schedule.now_ms
            speed = self.settings.prefill_tokens_per_s / 1_000
            queued += int(max(0.0, left_ms) * speed)
        queued -= sum(self.match(job.blocks) * self.block_tokens for job in self._queue)
        return LoadReport(
            incarnation=self.incarnation,
            weights_version="1",
            running=len(self._running),
            waiting=len(self._queue),
            queued_prefill_tokens=max(0, queued),
        )

    def match(self, blocks: tuple[int, ...]) -> int:
        """Return the number of leading blocks in the cache."""
        for depth, block in enumerate(blocks):
            if block not in self._cache:
                return depth
        return len(blocks)

    def take_batch(self) -> tuple[int, bytes] | None:
        """Return the events since the last call as a numbered batch."""
        if not self._stored and not self._removed:
            return None
        self.sequence += 1
        payload = encode_batch(self.incarnation, self._stored, self._removed)
        self._stored, self._removed = {}, {}
        self.batches.append((self.sequence, payload))
        return self.sequence, payload

    def list_blocks(self) -> bytes:
        """Return a listing of the cache; unpublished events are batched first."""
        self.take_batch()
        return encode_listing(self.incarnation, self.sequence, self._cache)

    def _start_next(self) -> None:
        if self._prefilling is not None or not self._queue:
            return
        if len(self._running) >= self.settings.max_batch:
            return
        job = self._queue.popleft()
        self._prefilling = job
        self._running[job.request_id] = job
        duration_ms = self._begin_prefill(job)
        self._prefill_until_ms = self.schedule.now_ms + duration_ms
        self.schedule.call_later(duration_ms, self._end_prefill, job)

    def _begin_prefill(self, job: Job) -> float:
        settings = self.settings
        job.cached_blocks = self.match(job.blocks)
        self._touch(job.blocks[: job.cached_blocks])
        self._pins.update(job.blocks)
        import_ms = 0.0
        source = job.kv_source
        if source is not None and source.is_up:
            matched = source.match(job.blocks)
            job.imported_blocks = max(0, matched - job.cached_blocks)
        if job.imported_blocks:
            import_ms = settings.import_setup_ms
            import_ms += job.imported_blocks * settings.import_ms_per_block
        job.on_prefill(job)
        present = (job.cached_blocks + job.imported_blocks) * self.block_tokens
        missing = max(1, job.prompt_tokens - present)
        prefill_ms = missing * 1_000 / settings.prefill_tokens_per_s
        batch_share = len(self._running) / settings.max_batch
        prefill_ms *= 1 + settings.decode_slowdown * batch_share
        return (import_ms + prefill_ms) * self.slowdown

    def _end_prefill(self, job: Job) -> None:
        if job.lost:
            return
        self._prefilling = None
        self._touch(job.blocks)
        self._evict()
        job.on_first_token(job)
        settings = self.settings
        step_ms = settings.decode_step_ms
        step_ms += settings.decode_step_per_request_ms * len(self._running)
        decode_ms = job.output_tokens * step_ms * self.slowdown
        self.schedule.call_later(decode_ms, self._end_decode, job)
        self._start_next()

    def _end_decode(self, job: Job) -> None:
        if job.lost:
            return
        del self._running[job.request_id]
        for block in job.blocks:
            self._pins[block] -= 1
            if not self._pins[block]:
                del self._pins[block]
        job.on_finished(job)
        self._start_next()

    def _touch(self, blocks: tuple[int, ...]) -> None:
        for block in reversed(blocks):
            if block not in self._cache:
                self._cache[block] = None
                self._record_change(block, self._stored, self._removed)
            else:
                self._cache.move_to_end(block)

    def _evict(self) -> None:
        excess = len(self._cache) - self.settings.cache_blocks
        if excess <= 0:
            return
        evicted = []
        for block in self._cache:
            if block not in self._pins:
                evicted.append(block)
                if len(evicted) == excess:
                    break
        for block in evicted:
            del self._cache[block]
            self._record_change(block, self._removed, self._stored)

    def _record_change(
        self, block: int, into: dict[int, None], undo: dict[int, None]
    ) -> None:
        if block in undo:
            del undo[block]
        else:
            into[block] = None
