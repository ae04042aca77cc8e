"""Results of commands."""

import msgspec


class Done(msgspec.Struct, tag=True, frozen=True):
    """The command took effect and has no further result."""


class ConfigurationFiled(msgspec.Struct, tag=True, frozen=True):
    """Version of the accepted configuration."""

    version: int


class RoutingFiled(msgspec.Struct, tag=True, frozen=True):
    """Active version of the routing configuration."""

    version: int


class KeyChanged(msgspec.Struct, tag=True, frozen=True):
    """Feed version that contains the change of the key."""

    key_id: str
    feed_version: int


class ActionRecord(msgspec.Struct, tag=True, frozen=True):
    """State of a non-idempotent action.

    Attributes
    ----------
    state : str
        ``"started"``, ``"finished"``, ``"abandoned"`` or ``"unknown"``.
    started_now : bool
        Whether this command started the action; only then may the action be sent.
    status : int
        HTTP status of the recorded response, 0 if there is none.
    """

    workspace: str
    idempotency_key: str
    state: str
    started_now: bool = False
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class OrderPlaced(msgspec.Struct, tag=True, frozen=True):
    """Identifier and fencing token of an accepted order."""

    order_id: str
    fencing_token: int


class StateView(msgspec.Struct, tag=True, frozen=True):
    """One part of the state as JSON."""

    what: str
    document: str


Result = (
    Done
    | ConfigurationFiled
    | RoutingFiled
    | KeyChanged
    | ActionRecord
    | OrderPlaced
    | StateView
)
