"""Forwarding of requests to engines and plain services by host and path."""

from ._base import (
    CallerProtocol,
    CallerResponse,
    Dispatch,
    ForwardRequest,
    PromptPart,
    ResponseMetadata,
    StartQuery,
)
from ._forwarder import Forwarder
from ._headers import CONNECTION_HEADERS, HeaderList, drop_headers
from ._process import ForwardingProcess
from ._process_settings import ForwardingProcessSettings
from ._settings import ForwardingSettings

__all__ = [
    "CONNECTION_HEADERS",
    "ResponseMetadata",
    "CallerResponse",
    "CallerProtocol",
    "Dispatch",
    "ForwardRequest",
    "Forwarder",
    "ForwardingProcess",
    "ForwardingProcessSettings",
    "ForwardingSettings",
    "HeaderList",
    "PromptPart",
    "StartQuery",
    "drop_headers",
]
