"""Reads pages of the platform's list although single entries cannot be read."""

import json
import re
from typing import Any

MAX_PAGE_TOKEN_CHARS = 1_024
# Strings and brackets; whatever else stands between them is not looked at.
_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
_ENTRIES = re.compile(r'"instances"\s*:\s*\[')
_PAGE_TOKEN = re.compile(rf"[!-~]{{1,{MAX_PAGE_TOKEN_CHARS}}}")


class ListingError(ValueError):
    """A page has no readable structure."""


def read_page(body: bytes) -> tuple[list[Any], str | None]:
    """Return the readable entries of a page and the token of the next one.

    Other writers leave entries that no JSON library reads: nested too deeply, with too
    many digits, or cut off. They are left out, and the others are kept.

    Raises
    ------
    ListingError
        If the page is no object with a list of entries.
    """
    text = body.decode("utf-8", "replace")
    try:
        document = json.loads(text)
    except (ValueError, RecursionError):
        document = _read_without_odd_entries(text)
    entries = document.get("instances") if isinstance(document, dict) else None
    if not isinstance(entries, list):
        raise ListingError("the list has no entries")
    token = document.get("next")
    if token in (None, ""):
        return entries, None
    if not isinstance(token, str) or not _PAGE_TOKEN.fullmatch(token):
        raise ListingError("the token of the next page is odd")
    return entries, token


def _read_without_odd_entries(text: str) -> Any:
    """Parse each entry on its own, and the rest of the page without them."""
    found = _ENTRIES.search(text)
    if found is None:
        raise ListingError("the list has no entries")
    start = found.end()
    texts, end = _split_list(text, start)
    rest = _parse(text[:start] + text[end:])
    if not isinstance(rest, dict):
        raise ListingError("the page cannot be read")
    entries = [entry for item in texts if (entry := _parse(item)) is not None]
    return rest | {"instances": entries}


def _parse(text: str) -> Any:
    """Return the value of a JSON text, None if it cannot be read."""
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        return None


def _split_list(text: str, start: int) -> tuple[list[str], int]:
    """Return the texts of the items of a list, and where its closing bracket stands.

    Parameters
    ----------
    text : str
        Page.
    start : int
        Position behind the opening bracket.
    """
    items, depth, item_start = [], 0, start
    for token in _TOKEN.finditer(text, start):
        mark = token.group()
        if mark in "[{":
            depth += 1
        elif mark in "]}" and depth:
            depth -= 1
        elif mark == "]":
            items.append(text[item_start : token.start()])
            return items, token.start()
        elif mark == "," and not depth:
            items.append(text[item_start : token.start()])
            item_start = token.end()
    raise ListingError("the list has no end")
