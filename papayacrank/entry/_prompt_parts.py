"""Names of the parts of a prompt that several requests may share."""

from collections.abc import Mapping, Sequence
from typing import Any

import msgspec
import xxhash

from papayacrank.quarantine import MAX_PARTS_PER_REQUEST

MAX_MESSAGE_PARTS = 12
MAX_PREFIX_PARTS = MAX_PARTS_PER_REQUEST - MAX_MESSAGE_PARTS
# Numbers of blocks, two for each doubling: 1, 2, 3, 4, 6, 8, 12, 16, 24, ...
PREFIX_LENGTHS = tuple(
    sorted(base << shift for base in (1, 3) for shift in range(MAX_PREFIX_PARTS))
)[:MAX_PREFIX_PARTS]


def name_shared_parts(
    model: str, messages: Sequence[Mapping[str, Any]], blocks: Sequence[int]
) -> tuple[str, ...]:
    """Name the parts of a prompt by which a crash can be traced to its content.

    Every message but the last is a part, whatever stands before it and whoever sends
    it. Prefixes of the prompt, by the block hashes of the prefix index, are parts as
    well, because requests may share the beginning of their only message. The hash of a
    prefix depends on the workspace and the weights.

    Parameters
    ----------
    model : str
        Name of the model.
    messages : sequence of mapping
        Messages with ``role`` and ``content``.
    blocks : sequence of int
        Chained hashes of the full blocks of the prompt.

    Returns
    -------
    tuple of str
        At most `MAX_PARTS_PER_REQUEST` names without duplicates: of the first
        `MAX_MESSAGE_PARTS` messages and of `MAX_PREFIX_PARTS` prefixes, whose lengths
        do not depend on the length of the prompt.
    """
    names = [
        _name_message(model, message) for message in messages[:-1][:MAX_MESSAGE_PARTS]
    ]
    names += [
        f"prefix-{blocks[length - 1]:032x}"
        for length in PREFIX_LENGTHS
        if length <= len(blocks)
    ]
    return tuple(dict.fromkeys(names))


def _name_message(model: str, message: Mapping[str, Any]) -> str:
    fields = [model, message.get("role"), message.get("content")]
    digest = xxhash.xxh3_128_hexdigest(msgspec.msgpack.encode(fields))
    return f"message-{digest}"
