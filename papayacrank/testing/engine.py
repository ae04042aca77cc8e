"""Program of the stand-in engine: ``python -m papayacrank.testing.engine``."""

import fire

from ._engine import StandInEngine
from ._engine_model import EngineSpeed
from ._program import run_stand_in


def run_engine(
    port: int = 0,
    events_port: int = 0,
    replay_port: int = 0,
    model: str = "sample",
    weights_version: str = "1",
    role: str = "both",
    checks_fencing: bool = True,
    prefill_tokens_per_s: float = 50_000.0,
    decode_tokens_per_s: float = 200.0,
    max_batch: int = 16,
    max_waiting: int = 256,
    cache_blocks: int = 256,
    block_tokens: int = 2_048,
    output_tokens: int = 64,
    load_weights_ms: int = 600,
    import_tokens_per_s: float = 500_000.0,
    load_lag_ms: int = 0,
    crash_text: str = "",
) -> None:
    """Run a stand-in engine on loopback.

    Prints one JSON line with address, events_address and replay_address once it
    listens.

    Args:
        port: TCP port for HTTP; 0 lets the system choose.
        events_port: TCP port of the cache events; 0 lets the system choose.
        replay_port: TCP port for replays of cache events; 0 lets the system choose.
        model: Name of the model.
        weights_version: Version of the weights at the start.
        role: Role in load reports.
        checks_fencing: Whether orders with an old fencing token are refused.
        prefill_tokens_per_s: Prompt tokens computed per second.
        decode_tokens_per_s: Output tokens per second of each request.
        max_batch: Requests in the batch.
        max_waiting: Requests in the queue.
        cache_blocks: Size of the prefix cache, in blocks.
        block_tokens: Size of a block, in tokens.
        output_tokens: Typical length of an output, in tokens.
        load_weights_ms: Time to load weights, in milliseconds.
        import_tokens_per_s: Tokens imported per second from another engine.
        load_lag_ms: Time for which a load report is reused, in milliseconds.
        crash_text: Text in a prompt on which the process exits as soon as it begins to
            write the output.
    """
    speed = EngineSpeed(
        prefill_tokens_per_s,
        decode_tokens_per_s,
        max_batch,
        max_waiting,
        cache_blocks,
        block_tokens,
        output_tokens,
        load_weights_ms,
        import_tokens_per_s,
    )

    def build(clock, timers):
        return StandInEngine(
            clock,
            timers,
            port,
            events_port,
            replay_port,
            speed,
            str(model),
            str(weights_version),
            role,
            checks_fencing,
            load_lag_ms,
            str(crash_text),
        )

    names = ("address", "events_address", "replay_address")
    run_stand_in("stand-in-engine", build, names)


if __name__ == "__main__":
    fire.Fire(run_engine)
