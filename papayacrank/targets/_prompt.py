"""Text of a prompt as the engines read it."""

from collections.abc import Iterable, Mapping
from typing import Any

TOKEN_BYTES = 4


def render_prompt(messages: Iterable[Mapping[str, Any]]) -> str:
    """Return the text that an engine computes for chat messages.

    Parameters
    ----------
    messages : iterable of mapping
        Messages with ``role`` and ``content``; the content is a text, None, or a
        list of parts, of which those with a ``text`` count.
    """
    return "".join(f"<|{m['role']}|>{_join(m.get('content'))}\n" for m in messages)


def _join(content: Any) -> str:
    if content is None or isinstance(content, str):
        return content or ""
    return "".join(part.get("text") or "" for part in content)


def pad_tokens(text: str) -> bytes:
    """Return text as tokens of the ``bytes4`` tokenizer, 4 bytes each.

    The last token is padded with zero bytes.
    """
    data = text.encode()
    return data + b"\0" * (-len(data) % TOKEN_BYTES)
