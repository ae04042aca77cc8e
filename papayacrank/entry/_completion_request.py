"""Parsing and validation of completion requests."""

from dataclasses import dataclass
from typing import Any

import msgspec
from expression import Error, Ok, Result

from papayacrank.config import Assistant, EntryLimits, Service
from papayacrank.kernel import Failure, Verdict
from papayacrank.targets import render_prompt

MAX_OUTPUT_TOKENS = 1_000_000
# Fields that only the system may set in requests to engines. A caller who could set the
# cache salt would get access to the cache entries of another workspace.
ENGINE_FIELDS = (
    "request_id",
    "cache_salt",
    "priority",
    "resume_from",
    "kv_source",
    "weights_version",
)


class _TextPart(msgspec.Struct):
    text: str = ""
    type: str = "text"


class _Message(msgspec.Struct):
    role: str
    content: str | list[_TextPart] | None = None


class _Body(msgspec.Struct):
    model: str
    messages: list[_Message]
    stream: bool | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int | None = None
    assistant: str | None = None


@dataclass(frozen=True, slots=True)
class CompletionRequest:
    """A validated completion request.

    Parameters
    ----------
    document : dict
        Body to forward to an engine, without `ENGINE_FIELDS`, and with the text
        parts of each message joined.
    model : str
        Model name from the request.
    text : str
        Rendered prompt.
    stream : bool
        Whether the response is streamed as server-sent events.
    requested_output_tokens : int or None
        Output limit from the request.
    assistant : str or None
        Assistant name from the request.
    """

    document: dict[str, Any]
    model: str
    text: str
    stream: bool
    requested_output_tokens: int | None
    assistant: str | None


def parse_completion(body: bytes) -> Result[CompletionRequest, Failure]:
    """Parse and validate the body of a completion request.

    Returns
    -------
    Result
        Error side: 400 with the path of the first invalid value.
    """
    try:
        document = msgspec.json.decode(body)
        fields = msgspec.convert(document, _Body)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        return Error(_refuse("invalid_body", f"invalid body: {error}"))
    if not fields.messages:
        return Error(_refuse("invalid_body", "invalid body: messages is empty"))
    if fields.n not in (None, 1):
        return Error(_refuse("invalid_body", "invalid body: only n = 1 is supported"))
    requested = fields.max_completion_tokens or fields.max_tokens
    if requested is not None and not 1 <= requested <= MAX_OUTPUT_TOKENS:
        text = f"invalid body: max_tokens must be 1 to {MAX_OUTPUT_TOKENS}"
        return Error(_refuse("invalid_body", text))
    forwarded = {k: v for k, v in document.items() if k not in ENGINE_FIELDS}
    forwarded.pop("assistant", None)
    forwarded["messages"] = [
        message | {"content": _join_text(checked)}
        for message, checked in zip(document["messages"], fields.messages, strict=True)
    ]
    return Ok(
        CompletionRequest(
            forwarded,
            fields.model,
            render_prompt(forwarded["messages"]),
            bool(fields.stream),
            requested,
            fields.assistant,
        )
    )


def check_size(
    prompt_tokens: int, limits: EntryLimits, burst_tokens: int, output_tokens: int
) -> Failure | None:
    """Return a failure for a prompt that the instance or workspace can never serve."""
    if prompt_tokens > limits.max_prompt_tokens:
        text = f"the prompt exceeds {limits.max_prompt_tokens} tokens"
        return Failure("prompt_too_large", Verdict.NOT_RUN, text, 413)
    if prompt_tokens + output_tokens > burst_tokens:
        text = f"prompt and output exceed the burst of {burst_tokens} tokens"
        return Failure("request_exceeds_burst", Verdict.NOT_RUN, text, 413)
    return None


def find_assistant(
    assistants: list[Assistant], service: Service, name: str | None
) -> Assistant | None:
    """Return the assistant of a request.

    Without a name, this is the first assistant of the service, or a default one if
    the service has none. None is returned if the named assistant is unknown.
    """
    candidates = [item for item in assistants if item.service == service.name]
    if name is None:
        return (
            candidates[0]
            if candidates
            else Assistant(name="default", service=service.name)
        )
    return next((item for item in candidates if item.name == name), None)


def _join_text(message: _Message) -> str:
    if message.content is None:
        return ""
    if isinstance(message.content, str):
        return message.content
    return "".join(part.text for part in message.content)


def _refuse(code: str, message: str) -> Failure:
    return Failure(code, Verdict.NOT_RUN, message, 400)
