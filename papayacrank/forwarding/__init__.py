"""Forwarding of requests to engines and plain services by host and path."""

from ._base import (
    AnswerFacts,
    CallerAnswer,
    CallerProtocol,
    Dispatch,
    ForwardRequest,
    HeaderList,
    PromptPart,
)
from ._forwarder import Forwarder, ForwardingSettings
from ._process import ForwardingProcess, ForwardingProcessSettings

__all__ = [
    "AnswerFacts",
    "CallerAnswer",
    "CallerProtocol",
    "Dispatch",
    "ForwardRequest",
    "Forwarder",
    "ForwardingProcess",
    "ForwardingProcessSettings",
    "ForwardingSettings",
    "HeaderList",
    "PromptPart",
]
