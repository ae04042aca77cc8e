"""Requests to targets, and their outcomes."""

from dataclasses import dataclass, field
from typing import Any

CONNECT_TIMEOUT_MS = 1_000
FIRST_BYTE_TIMEOUT_MS = 20_000
FIRST_TOKEN_TIMEOUT_MS = 20_000
PROGRESS_TIMEOUT_MS = 5_000
IDLE_CONNECTION_MS = 15_000
PROBE_TIMEOUT_MS = 300
PROBE_AFTER_IDLE_MS = 1_000
MAX_IDLE_PER_TARGET = 32
MAX_IDLE = 1_000
MAX_ACTIVE_REQUESTS = 4_000
MAX_RESPONSE_HEADER_BYTES = 65_536
MAX_RESPONSE_BODY_BYTES = 16 * 1024 * 1024
MAX_SSE_EVENT_BYTES = 262_144


@dataclass(frozen=True, slots=True)
class TargetTimeouts:
    """Timeouts of one request, in milliseconds.

    Parameters
    ----------
    connect_ms : int
        From the start of the connection attempt until it is established.
    first_byte_ms : int
        From the last written byte until the response head is complete.
    first_token_ms : int
        From the response head until the first token; streams only.
    progress_ms : int
        Between two pieces of a plain response body, two tokens of a stream, or two
        writes of the request.
    """

    connect_ms: int = CONNECT_TIMEOUT_MS
    first_byte_ms: int = FIRST_BYTE_TIMEOUT_MS
    first_token_ms: int = FIRST_TOKEN_TIMEOUT_MS
    progress_ms: int = PROGRESS_TIMEOUT_MS


@dataclass(frozen=True, slots=True)
class TargetRequest:
    """One attempt to run a request at a target.

    Parameters
    ----------
    request_id : str
        ID of the attempt. It must be unique among all attempts of the process,
        because events of an earlier attempt may still be queued when the next one
        starts.
    channel : str
        Circuits channel that receives the events.
    address : str
        Address of the target as ``ip:port``.
    method, path : str
        Method and path of the request line; the path includes the query.
    headers : tuple of (str, str)
        Headers to send. Hop-by-hop and credential headers are removed.
    body : bytes
        Request body.
    stream : bool
        Whether the response is the token stream of an engine.
    idempotent : bool
        Whether the request may be sent more than once. A request that is not
        idempotent always uses a new connection.
    first_offset : int
        Offset of the first token to deliver; streams only.
    pass_headers : frozenset of str
        Lower-case names of credential headers to forward despite the filter.
    echo_id : str or None
        ID sent as ``X-Request-Id``, which the response must carry in the same header
        and in each chunk of a stream; ``request_id`` if None.
    check_echo : bool
        Whether a response with another ``X-Request-Id`` is rejected; False for plain
        services that generate their own. IDs of chunks are always checked.
    require_echo : bool
        Whether a response without ``X-Request-Id`` is rejected.
    cancel_path : str or None
        Path to which `TargetClient.cancel` posts ``{"request_id": ...}``.
    probe_path : str or None
        Path of an inexpensive GET that checks an idle connection before reuse.
        Without it, connections idle for at least
        `TargetClientLimits.probe_after_idle_ms` are closed instead of reused.
    timeouts : TargetTimeouts
        Timeouts of the attempt.
    max_body_bytes : int
        Largest accepted response body.
    send_before_ms : int or None
        Time from which the request must not be sent any more, because its permit has
        expired. Such a request is sent once at most.
    """

    request_id: str
    channel: str
    address: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    stream: bool = False
    idempotent: bool = False
    first_offset: int = 0
    pass_headers: frozenset[str] = frozenset()
    echo_id: str | None = None
    check_echo: bool = True
    require_echo: bool = False
    cancel_path: str | None = None
    probe_path: str | None = None
    timeouts: TargetTimeouts = field(default_factory=TargetTimeouts)
    max_body_bytes: int = MAX_RESPONSE_BODY_BYTES
    send_before_ms: int | None = None

    @property
    def expected_id(self) -> str:
        """ID that the response must carry."""
        return self.request_id if self.echo_id is None else self.echo_id


@dataclass(frozen=True, slots=True)
class TargetFailure:
    """Outcome of a failed attempt.

    Parameters
    ----------
    code : str
        ``"invalid_request"``, ``"overloaded"``, ``"permit_expired"``,
        ``"connect_failed"``,
        ``"connect_timeout"``, ``"write_failed"``, ``"first_byte_timeout"``,
        ``"first_token_timeout"``, ``"progress_timeout"``, ``"connection_lost"``,
        ``"malformed_answer"``, ``"truncated_answer"``, ``"answer_too_large"``,
        ``"wrong_answer"`` (ID of another request), ``"offset_gap"``,
        ``"target_status"`` (the target refused a stream, or a load or listing
        request) or ``"engine_error"``.
    bytes_written : bool
        Whether any byte of the request was handed to the operating system. If
        False, the target cannot have run the request.
    message : str
        Explanation, which may reach the caller; contains no prompt or output text.
    status : int or None
        HTTP status of the response, if its head was received.
    body : bytes
        First bytes of the body of a refused stream, at most 4 KiB.
    opened_ms : int or None
        Time at which the connection was opened, if it was.
    """

    code: str
    bytes_written: bool
    message: str = ""
    status: int | None = None
    body: bytes = b""
    opened_ms: int | None = None


@dataclass(frozen=True, slots=True)
class TargetUsage:
    """Token counts and finish reason at the end of an engine's stream.

    Parameters
    ----------
    prompt_tokens, completion_tokens, cached_tokens : int
        Number of tokens in the prompt, in the whole output from offset 0, and in the
        part of the prompt found in the engine's cache.
    finish_reason : str
        ``"stop"`` or ``"length"``.
    """

    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int
    finish_reason: str

    @classmethod
    def parse(cls, usage: dict[str, Any], finish_reason: str) -> "TargetUsage":
        """Build from the ``usage`` object of the last chunk.

        Raises
        ------
        KeyError, TypeError, ValueError
            If a count is missing or is not an integer.
        """
        details = usage.get("prompt_tokens_details") or {}
        return cls(
            int(usage["prompt_tokens"]),
            int(usage["completion_tokens"]),
            int(details.get("cached_tokens", 0)),
            str(finish_reason),
        )


@dataclass(frozen=True, slots=True)
class TargetClientLimits:
    """Limits of the client.

    Parameters
    ----------
    max_active : int
        Concurrent requests; further ones fail with ``"overloaded"``.
    max_idle_per_target, max_idle : int
        Idle connections kept for each address, and in total.
    idle_ms : int
        Time after which an idle connection is closed, in milliseconds.
    probe_after_idle_ms : int
        Idle time from which a connection is probed or closed before reuse, in
        milliseconds.
    probe_timeout_ms : int
        Time allowed for the response to a probe, in milliseconds.
    """

    max_active: int = MAX_ACTIVE_REQUESTS
    max_idle_per_target: int = MAX_IDLE_PER_TARGET
    max_idle: int = MAX_IDLE
    idle_ms: int = IDLE_CONNECTION_MS
    probe_after_idle_ms: int = PROBE_AFTER_IDLE_MS
    probe_timeout_ms: int = PROBE_TIMEOUT_MS
