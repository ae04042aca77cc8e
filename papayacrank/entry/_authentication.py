"""Authentication of callers by API key."""

import re
from dataclasses import dataclass
from typing import Any, Protocol
from urllib.parse import unquote_to_bytes

from expression import Error, Ok, Result

from papayacrank.control import digest_key
from papayacrank.kernel import Failure, Verdict
from papayacrank.messages import KeyEntry

from ._request_parser import CallerRequest

MAX_KEY_CHARACTERS = 512
_JSON_ESCAPE_PATTERN = re.compile(rb"\\(?:u00([2-7][0-9a-fA-F])|/)")
_GRANTED_KEY_PATTERN = re.compile(rb"ppk_[0-9a-f]{64}")
_BEARER_PATTERN = re.compile(r"[Bb]earer +([\x21-\x7e]+)")


class KeyDirectory(Protocol):
    """Lookup of valid keys, such as `papayacrank.control.ControlContact`."""

    def find_key(self, digest: str) -> KeyEntry | None:
        """Return the key with this digest; digests are compared in constant time."""


@dataclass(frozen=True, slots=True)
class Caller:
    """Authenticated sender of a request.

    Parameters
    ----------
    workspace : str
        The only workspace that the key gives access to.
    key_id : str
        Public identifier of the key.
    """

    workspace: str
    key_id: str


def find_exposed_key(request: CallerRequest, keys: KeyDirectory) -> Failure | None:
    """Return a failure if the request would expose a key to a target.

    The ``Authorization`` header is not forwarded, so a key is allowed there. Its value
    must not appear elsewhere in the request, and neither may any valid key in the
    format that `papayacrank.admin` generates.
    """
    key = _parse_bearer_key(request.headers)
    if key is not None and _is_forwarded(key, request):
        return _key_exposed()
    for text in _GRANTED_KEY_PATTERN.findall(_collect_forwarded_bytes(request)):
        if keys.find_key(digest_key(text.decode())) is not None:
            return _key_exposed()
    return None


def _key_exposed() -> Failure:
    text = "the key must appear in the Authorization header only"
    return Failure("key_exposed", Verdict.NOT_RUN, text, 400)


def authenticate(request: CallerRequest, keys: KeyDirectory) -> Result[Caller, Failure]:
    """Authenticate a request by the key in its ``Authorization`` header.

    Parameters
    ----------
    request : CallerRequest
        Request of a caller.
    keys : KeyDirectory
        Lookup of valid keys.

    Returns
    -------
    Result
        Error side: 401 if the key is missing, unknown or withdrawn; 400 if the key
        also appears in a part that would be forwarded to a target.
    """
    key = _parse_bearer_key(request.headers)
    if key is None:
        return Error(
            _unauthorized("key_missing", "a key is needed: Authorization: Bearer")
        )
    entry = keys.find_key(digest_key(key))
    if entry is None:
        return Error(
            _unauthorized("key_unknown", "the key is unknown or was withdrawn")
        )
    exposed = find_exposed_key(request, keys)
    if exposed is not None:
        return Error(exposed)
    return Ok(Caller(entry.workspace, entry.key_id))


def _parse_bearer_key(headers: Any) -> str | None:
    match = _BEARER_PATTERN.fullmatch(headers.get("authorization", ""))
    if match is None or len(match.group(1)) > MAX_KEY_CHARACTERS:
        return None
    return match.group(1)


def _is_forwarded(key: str, request: CallerRequest) -> bool:
    return key.encode() in _collect_forwarded_bytes(request)


def _collect_forwarded_bytes(request: CallerRequest) -> bytes:
    """Return all bytes that a target would receive.

    The decoded forms of a percent-encoded path and a JSON-escaped body are included.
    """
    parts = [request.target.encode(), unquote_to_bytes(request.target)]
    parts += [
        value.encode("latin-1", "replace")
        for name, value in request.headers.items()
        if name.lower() != "authorization"
    ]
    parts.append(request.body)
    if b"\\" in request.body:
        parts.append(_JSON_ESCAPE_PATTERN.sub(_decode_json_escape, request.body))
    return b"\n".join(parts)


def _decode_json_escape(match: re.Match) -> bytes:
    """Return the ASCII character of a JSON escape sequence."""
    return bytes([int(match.group(1), 16)]) if match.group(1) else b"/"


def _unauthorized(code: str, message: str) -> Failure:
    return Failure(code, Verdict.NOT_RUN, message, 401)
