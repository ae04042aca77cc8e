"""Digests of several fields."""

from typing import Protocol


class Digest(Protocol):
    """Part of the interface of the digests of `hashlib`."""

    def update(self, data: bytes, /) -> None:
        """Add data."""


def hash_fields(digest: Digest, *fields: str | bytes) -> None:
    """Add fields with their lengths, so that equal digests mean equal fields."""
    for field in fields:
        if isinstance(field, str):
            # Text of callers may hold lone surrogates.
            field = field.encode("utf-8", "surrogatepass")
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
