"""Prompt text and tokens as the engines compute them."""

from collections.abc import Iterable, Mapping
from typing import Any

TOKEN_BYTES = 4


def render_prompt(messages: Iterable[Mapping[str, Any]]) -> str:
    """Return the prompt text that an engine renders from chat messages.

    Parameters
    ----------
    messages : iterable of mapping
        Messages with ``role`` and ``content``. The content is a string, None, or a
        list of parts; parts without ``text`` are skipped.

    Returns
    -------
    str
    """
    return "".join(f"<|{m['role']}|>{_join(m.get('content'))}\n" for m in messages)


def _join(content: Any) -> str:
    if content is None or isinstance(content, str):
        return content or ""
    return "".join(part.get("text") or "" for part in content)


def encode_tokens(text: str) -> bytes:
    """Encode text with the ``bytes4`` tokenizer.

    Each token is 4 bytes of UTF-8; the last token is padded with zero bytes.
    """
    data = text.encode()
    return data + b"\0" * (-len(data) % TOKEN_BYTES)
