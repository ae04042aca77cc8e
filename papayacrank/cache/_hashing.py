"""Chained hashes of the token blocks of a prompt."""

import msgspec
import xxhash

TOKEN_BYTES = 4
HASH_BYTES = 16


def hash_root(workspace: str, model: str, weights_version: str) -> bytes:
    """Return the root of the hash chains of a workspace, model and weights version.

    Another workspace, model or weights version has another root, so block hashes are
    equal only by a collision of 128-bit hashes.
    """
    fields = msgspec.msgpack.encode([workspace, model, weights_version])
    return xxhash.xxh3_128_digest(fields)


def hash_prompt(
    workspace: str, model: str, weights_version: str, tokens: bytes, block_tokens: int
) -> tuple[int, ...]:
    """Hash the full blocks of a prompt.

    Parameters
    ----------
    workspace, model, weights_version : str
        Owner of the prompt, and the weights that process it.
    tokens : bytes
        Token ids, 4 bytes each.
    block_tokens : int
        Number of tokens in a block.

    Returns
    -------
    tuple of int
        One 128-bit hash for each full block, which covers the block and all blocks
        before it.

    Raises
    ------
    ValueError
        If the length of `tokens` is not a multiple of 4 bytes or `block_tokens` is not
        positive.
    """
    if block_tokens < 1:
        raise ValueError(f"block_tokens must be positive, got {block_tokens}")
    if len(tokens) % TOKEN_BYTES:
        raise ValueError(f"{len(tokens)} bytes are not a whole number of tokens")
    parent = hash_root(workspace, model, weights_version)
    block_bytes = block_tokens * TOKEN_BYTES
    hashes = []
    for end in range(block_bytes, len(tokens) + 1, block_bytes):
        hasher = xxhash.xxh3_128(parent)
        hasher.update(memoryview(tokens)[end - block_bytes : end])
        parent = hasher.digest()
        hashes.append(int.from_bytes(parent, "big"))
    return tuple(hashes)


def pack_hash(value: int) -> bytes:
    """Encode a hash as 16 bytes, big-endian."""
    return value.to_bytes(HASH_BYTES, "big")


def unpack_hash(packed: bytes) -> int:
    """Decode a hash from 16 bytes, big-endian."""
    return int.from_bytes(packed, "big")
