"""The leader's view of the targets and of their load, pushed to entry processes."""

import msgspec


class FleetTarget(msgspec.Struct, frozen=True, array_like=True):
    """A target on the platform's list.

    Attributes
    ----------
    name : str
        Identity of this start of the target.
    number : int
        Short form of the name, unique in a term of the leader.
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
    number: int = 0


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


class FleetChange(msgspec.Struct, tag=True, frozen=True):
    """What has changed since a view; a receiver without that view ignores it.

    A view of 34 targets takes 4 kB, and a roll-out of weights changes it some 40 times
    a second.

    Attributes
    ----------
    base, sequence : int
        Sequences of the view before and after the change.
    targets : list of FleetTarget
        Targets that are new or have changed.
    gone : list of int
        Numbers of the targets that are gone.
    control : list of str
        As in `FleetView`; empty if it has not changed.
    """

    term: int
    base: int
    sequence: int
    targets: list[FleetTarget]
    gone: list[int] = []
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


class PartLocation(msgspec.Struct, frozen=True, array_like=True):
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
    parts : list of PartLocation
        Parts seen at a place for the first time since the last message.
    leaving : list of (str, int)
        Targets, by name and start, whose answers say that they are leaving while the
        view does not show it.
    paused : list of (str, int)
        Targets that have asked for a pause since the last message, and its length from
        now in milliseconds.
    """

    instance: str
    sequence: int
    loads: dict[str, TargetLoad]
    silent: list[str] = []
    parts: list[PartLocation] = []
    leaving: list[tuple[str, int]] = []
    paused: list[tuple[str, int]] = []


class PartLocationGroup(msgspec.Struct, frozen=True, array_like=True):
    """Prompt parts with equal salt and store, as in `PartLocation`.

    Attributes
    ----------
    places : list of (int, str)
        Number of a target and a part that it has read.
    """

    salt: str
    store: str
    places: list[tuple[int, str]]


class FleetLoad(msgspec.Struct, tag=True, frozen=True):
    """Load of all entry processes together.

    Attributes
    ----------
    term : int
        Term of the leader, in which the numbers of targets hold.
    reported : int
        Sequence of the receiver's last `EntryLoad` that is contained.
    loads : dict of int to TargetLoad
        Load by number of the target.
    silent : list of int
        Numbers of targets that do not answer connection attempts.
    parts : list of PartLocationGroup
        Parts that entry processes saw since the last message.
    paused : list of (int, int)
        Numbers of targets that have asked the leader for a pause since the last
        message, and its length from now in milliseconds. Only entry processes on the
        machine of the leader are told, because the pause is for that machine.
    """

    term: int
    reported: int
    loads: dict[int, TargetLoad]
    silent: list[int] = []
    parts: list[PartLocationGroup] = []
    paused: list[tuple[int, int]] = []
