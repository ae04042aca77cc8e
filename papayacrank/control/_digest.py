"""Digests of API keys."""

import hashlib

DIGEST_BYTES = 32


def digest_key(key: str) -> str:
    """Return the hexadecimal BLAKE2b-256 digest of a key.

    Parameters
    ----------
    key : str
        Key as it follows ``Bearer`` in the ``Authorization`` header.
    """
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES).hexdigest()
