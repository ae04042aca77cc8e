"""Digests of keys."""

import hashlib

DIGEST_BYTES = 32


def digest_key(key: str) -> str:
    """Return the hexadecimal BLAKE2b-256 digest of a key.

    Parameters
    ----------
    key : str
        Key as callers send it after ``Bearer``.
    """
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES).hexdigest()
