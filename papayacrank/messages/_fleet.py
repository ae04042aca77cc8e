"""The leader's view of the targets and of their load, pushed to entry processes."""

import msgspec


class FleetTarget(msgspec.Struct, frozen=True):
    """A target on the platform's list.

    Attributes
    ----------
    name : str
        Identity of this start of the target.
    leaving : bool
        Whether the target is being removed and gets no new work.
    loading : bool
        Whether the target is about to load weights or does so.
    weights : dict of str to int
        Version of the weights in force, by model.
    """

    name: str
    address: str
    service: str
    failure_domain: str
    leaving: bool = False
    loading: bool = False
    slots: int = 0
    born_ms: int = 0
    weights: dict[str, int] = {}


class FleetView(msgspec.Struct, tag=True, frozen=True):
    """All targets; the highest pair of term and sequence is the newest view.

    Attributes
    ----------
    control : list of str
        Link names of the members of the control group.
    stores : dict of str to int
        Number of the current start of each store, by its service; 0 for a store that
        does not answer. A store that was not checked yet is missing.
    """

    term: int
    sequence: int
    targets: list[FleetTarget]
    control: list[str] = []
    stores: dict[str, int] = {}


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """Work of entry processes at one target.

    Attributes
    ----------
    running : int
        Requests that were sent and have not ended.
    prefill_tokens : int
        Prompt tokens of the requests without a first event.
    memory_tokens : int
        Tokens of all running requests.
    """

    running: int = 0
    prefill_tokens: int = 0
    memory_tokens: int = 0


class PartPlace(msgspec.Struct, frozen=True, array_like=True):
    """A prompt part that an engine has read, or saved to a store.

    Attributes
    ----------
    salt : str
        Separates the caches of versions and isolated workspaces.
    store : str
        Service of the store that has it, too; empty if none.
    """

    target: str
    salt: str
    part: str
    store: str = ""


class EntryLoad(msgspec.Struct, tag=True, frozen=True):
    """Load that one entry process puts on the targets.

    Attributes
    ----------
    silent : list of str
        Targets that did not answer a connection attempt since the last message.
    parts : list of PartPlace
        Parts seen at a place for the first time since the last message.
    """

    instance: str
    sequence: int
    loads: dict[str, TargetLoad]
    silent: list[str] = []
    parts: list[PartPlace] = []


class FleetLoad(msgspec.Struct, tag=True, frozen=True):
    """Load of all entry processes together.

    Attributes
    ----------
    reported : int
        Sequence of the receiver's last `EntryLoad` that is contained.
    silent : list of str
        Targets that do not answer connection attempts.
    parts : list of PartPlace
        Parts that entry processes saw since the last message.
    """

    reported: int
    loads: dict[str, TargetLoad]
    silent: list[str] = []
    parts: list[PartPlace] = []
