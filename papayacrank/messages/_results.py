"""Results of commands."""

import msgspec


class Done(msgspec.Struct, tag=True, frozen=True):
    """The command took effect and has no further result."""


class ConfigurationFiled(msgspec.Struct, tag=True, frozen=True):
    """Version under which the configuration was accepted."""

    version: int


class RoutingFiled(msgspec.Struct, tag=True, frozen=True):
    """Version of the routing configuration that is in force."""

    version: int


class KeyChanged(msgspec.Struct, tag=True, frozen=True):
    """Feed version in which the change of the key is contained."""

    key_id: str
    feed_version: int


class ActionRecord(msgspec.Struct, tag=True, frozen=True):
    """State of an unrepeatable action.

    Attributes
    ----------
    state : str
        ``"started"``, ``"finished"``, ``"abandoned"`` or ``"unknown"``.
    started_now : bool
        Whether this command started the action; only then may it be sent.
    status : int
        HTTP status of the recorded answer, 0 if there is none.
    """

    workspace: str
    idempotency_key: str
    state: str
    started_now: bool = False
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class OrderPlaced(msgspec.Struct, tag=True, frozen=True):
    """Identity and fencing token of an accepted order."""

    order_id: str
    fencing_token: int


class StateView(msgspec.Struct, tag=True, frozen=True):
    """Part of the state as JSON."""

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
