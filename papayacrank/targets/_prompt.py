"""Text of a prompt as the engines read it."""

from collections.abc import Iterable, Mapping

TOKEN_BYTES = 4


def render_prompt(messages: Iterable[Mapping[str, str]]) -> str:
    """Return the text that an engine computes for chat messages.

    Parameters
    ----------
    messages : iterable of mapping
        Messages with ``role`` and ``content``.
    """
    return "".join(f"<|{m['role']}|>{m['content']}\n" for m in messages)


def pad_tokens(text: str) -> bytes:
    """Return text as tokens of the ``bytes4`` tokenizer, 4 bytes each.

    The last token is padded with zero bytes.
    """
    data = text.encode()
    return data + b"\0" * (-len(data) % TOKEN_BYTES)
