"""Control process, and the decision code by which other processes reach it."""

from ._client import ControlClient, RequestFinished
from ._contact import ContactSettings, ControlContact, FeedChanged, GrantsReceived
from ._digest import digest_key
from ._leader import LeaderHint

__all__ = [
    "ContactSettings",
    "ControlClient",
    "ControlContact",
    "FeedChanged",
    "GrantsReceived",
    "LeaderHint",
    "RequestFinished",
    "digest_key",
]
