"""Control process, and the client code with which other processes reach it."""

from ._client import ControlClient, RequestFinished
from ._connector import ControlConnector
from ._contact import ContactSettings, ControlContact, FeedChanged, GrantsReceived
from ._digest import digest_key
from ._effects import HttpCall, HttpResult
from ._fleet import FleetController
from ._leader import LeaderHint
from ._target_protocol import (
    EngineStatus,
    ListedTarget,
    ListingPage,
    LoadOrder,
    OrderOutcome,
    RunningRequestPolicy,
    TargetProtocol,
    TargetSignals,
)

__all__ = [
    "ContactSettings",
    "ControlClient",
    "ControlConnector",
    "ControlContact",
    "EngineStatus",
    "FeedChanged",
    "FleetController",
    "GrantsReceived",
    "HttpCall",
    "HttpResult",
    "LeaderHint",
    "ListedTarget",
    "ListingPage",
    "LoadOrder",
    "OrderOutcome",
    "RequestFinished",
    "RunningRequestPolicy",
    "TargetProtocol",
    "TargetSignals",
    "digest_key",
]
