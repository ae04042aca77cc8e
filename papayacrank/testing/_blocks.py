"""Block hashes as defined by the target protocol."""

import msgspec
import xxhash

TOKEN_BYTES = 4


def chain_blocks(
    salt: str, model: str, weights_version: str, prompt: bytes, block_tokens: int
) -> tuple[bytes, ...]:
    """Return the chained 128-bit hashes of the full blocks of a prompt.

    This implementation is independent of `papayacrank.cache.hash_prompt`, so that
    the stand-in does not share its bugs.
    """
    fields = msgspec.msgpack.encode([salt, model, weights_version])
    parent = xxhash.xxh3_128_digest(fields)
    size = block_tokens * TOKEN_BYTES
    chain = []
    for end in range(size, len(prompt) + 1, size):
        parent = xxhash.xxh3_128_digest(parent + prompt[end - size : end])
        chain.append(parent)
    return tuple(chain)
