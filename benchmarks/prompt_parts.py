"""Measures names of prompt parts, checks of requests, and the size of the table.

Run ``python benchmarks/prompt_parts.py``.
"""

import time
import tracemalloc

import msgspec

from papayacrank.cache import hash_prompt
from papayacrank.entry._prompt_parts import name_shared_parts
from papayacrank.messages import (
    CrashReport,
    PartSuspicion,
    QuarantineTable,
    QuarantineVerdict,
    SuspectRequest,
)
from papayacrank.quarantine import MAX_PARTS_PER_REQUEST, QuarantineClient
from papayacrank.targets import encode_tokens, render_prompt

SUSPICIONS = 2_000
VERDICTS = 500
BLOCK_TOKENS = 16
REPEATS = 2_000


def build_messages(messages: int, characters: int) -> list[dict]:
    """Build a conversation."""
    return [
        {"role": "user", "content": f"{number} " + "x" * characters}
        for number in range(messages)
    ]


def build_table(suspicions: int, verdicts: int) -> QuarantineTable:
    """Build a table with names of the completions interface."""
    return QuarantineTable(
        1,
        0,
        1,
        [PartSuspicion(f"prefix-{n:032x}", 2, True, 0, 1) for n in range(suspicions)],
        [
            QuarantineVerdict(
                n + 1, [f"message-{n:032x}"], ["team-a"], 3, 600_000, 1, 1
            )
            for n in range(verdicts)
        ],
    )


def measure_us(function) -> float:
    """Return the time of a call in microseconds."""
    started = time.perf_counter()
    for _ in range(REPEATS):
        function()
    return (time.perf_counter() - started) / REPEATS * 1e6


def main() -> None:
    """Print the measurements."""
    for messages, characters in ((2, 400), (13, 4_000), (40, 4_000)):
        built = build_messages(messages, characters)
        tokens = encode_tokens(render_prompt(built))
        blocks = hash_prompt("team-a", "m", "1", tokens, BLOCK_TOKENS)
        names = name_shared_parts("m", built, blocks)
        took = measure_us(lambda b=built, k=blocks: name_shared_parts("m", b, k))
        print(f"{messages} messages: {len(names)} names in {took:.1f} us")
    for suspicions, verdicts in ((0, 0), (SUSPICIONS, VERDICTS)):
        table = build_table(suspicions, verdicts)
        tracemalloc.start()
        client = QuarantineClient("i1@1")
        client.apply(table, 0)
        memory = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        check = measure_us(lambda c=client: c.check("team-a", names, 0))
        size = len(msgspec.msgpack.encode(table))
        print(
            f"{suspicions} suspicions, {verdicts} verdicts: check {check:.2f} us,"
            f" {memory / 1e6:.2f} MB, table {size} bytes"
        )
    for count in (1, 8, 64):
        parts = list(names[:MAX_PARTS_PER_REQUEST])
        report = CrashReport("i1@1", "t1", 1, 0, [SuspectRequest("w", parts)] * count)
        print(
            f"report of {count} requests: {len(msgspec.msgpack.encode(report))} bytes"
        )


if __name__ == "__main__":
    main()
