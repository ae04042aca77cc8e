"""Authentication of callers by key."""

import re
from dataclasses import dataclass
from typing import Any, Protocol
from urllib.parse import unquote

from expression import Error, Ok, Result

from papayacrank.control import digest_key
from papayacrank.kernel import Failure, Verdict
from papayacrank.messages import KeyEntry

from ._request_parser import CallerRequest

MAX_KEY_CHARACTERS = 512
_JSON_ESCAPE = re.compile(rb"\\(?:u00([2-7][0-9a-fA-F])|/)")
_BEARER = re.compile(r"[Bb]earer +([\x21-\x7e]+)")


class KeyDirectory(Protocol):
    """Source of the keys in force, such as `papayacrank.control.ControlContact`."""

    def find_key(self, digest: str) -> KeyEntry | None:
        """Return the key of a digest, compared in constant time."""


@dataclass(frozen=True, slots=True)
class Caller:
    """Who sent a request.

    Parameters
    ----------
    workspace : str
        The only workspace that the key opens.
    key_id : str
        Public identifier of the key.
    """

    workspace: str
    key_id: str


def has_key(request: CallerRequest) -> bool:
    """Return whether the request carries credentials."""
    return "authorization" in request.headers


def authenticate(request: CallerRequest, keys: KeyDirectory) -> Result[Caller, Failure]:
    """Find out whose key a request carries.

    Parameters
    ----------
    request : CallerRequest
        Request of a caller.
    keys : KeyDirectory
        Keys in force.

    Returns
    -------
    Result
        Error side: 401 if the key is missing, unknown or withdrawn; 400 if the key
        also appears where it would be passed to a target.
    """
    key = _read_key(request.headers)
    if key is None:
        return Error(_refuse("key_missing", "a key is needed: Authorization: Bearer"))
    entry = keys.find_key(digest_key(key))
    if entry is None:
        return Error(_refuse("key_unknown", "the key is unknown or was withdrawn"))
    if _appears_elsewhere(key, request):
        text = "the key must appear in the Authorization header only"
        return Error(Failure("key_exposed", Verdict.NOT_RUN, text, 400))
    return Ok(Caller(entry.workspace, entry.key_id))


def _read_key(headers: Any) -> str | None:
    found = _BEARER.fullmatch(headers.get("authorization", ""))
    if found is None or len(found.group(1)) > MAX_KEY_CHARACTERS:
        return None
    return found.group(1)


def _appears_elsewhere(key: str, request: CallerRequest) -> bool:
    """Tell whether a target would see the key although the header is removed."""
    if key in request.target or key in unquote(request.target):
        return True
    body = request.body
    if key.encode() in body or key.encode() in _JSON_ESCAPE.sub(_unescape, body):
        return True
    return any(
        key in value
        for name, value in request.headers.items()
        if name.lower() != "authorization"
    )


def _unescape(found: re.Match) -> bytes:
    """Return the ASCII character of a JSON escape sequence."""
    return bytes([int(found.group(1), 16)]) if found.group(1) else b"/"


def _refuse(code: str, message: str) -> Failure:
    return Failure(code, Verdict.NOT_RUN, message, 401)
