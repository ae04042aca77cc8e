"""Targets and their load, as the leader pushes them to entry processes."""

import msgspec

from ._costs import ServiceCost, TargetCost
from ._demand import ServiceDemand
from ._rollouts import ReleaseReport, RolloutShare


class FleetTarget(msgspec.Struct, frozen=True, array_like=True):
    """A target on the platform's list.

    Attributes
    ----------
    name : str
        Identity of the current start of the target.
    number : int
        Short identifier of the target, unique within a term of the leader.
    leaving : bool
        Whether the target is being removed and gets no new requests.
    loading : bool
        Whether the target loads weights or is about to.
    weights : dict of str to int
        Active version of the weights, by model.
    release : str
        Release of the target's software.
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
    release: str = ""


class FleetView(msgspec.Struct, tag=True, frozen=True):
    """All targets. The view with the highest pair of term and sequence is the newest.

    Attributes
    ----------
    control : list of str
        Link names of the members of the control group.
    stores : dict of str to int
        Start number of each store, by its service; 0 for a store that does not
        respond. Stores that were not checked yet are missing.
    mixed : list of str
        Services of which several releases may have begun streams.
    rollouts : list of RolloutShare
        Rollouts that are running, and the last one of each service.
    """

    term: int
    sequence: int
    targets: list[FleetTarget]
    control: list[str] = []
    stores: dict[str, int] = {}
    mixed: list[str] = []
    rollouts: list[RolloutShare] = []


class FleetChange(msgspec.Struct, tag=True, frozen=True):
    """Changes since an earlier view; a receiver without that view ignores them.

    Changes save bandwidth: a view of 34 targets takes 4 kB, and a rollout of weights
    changes it about 40 times a second.

    Attributes
    ----------
    base, sequence : int
        Sequences of the view before and after the change.
    targets : list of FleetTarget
        Targets that are new or have changed.
    gone : list of int
        Numbers of the removed targets.
    control : list of str
        As in `FleetView`; empty if unchanged.
    """

    term: int
    base: int
    sequence: int
    targets: list[FleetTarget]
    gone: list[int] = []
    control: list[str] = []
    stores: dict[str, int] = {}
    mixed: list[str] = []
    rollouts: list[RolloutShare] = []


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load that entry processes put on a target.

    Attributes
    ----------
    running : int
        Number of requests sent that have not ended.
    prefill_tokens : int
        Prompt tokens of the requests that have not returned a first event.
    memory_tokens : int
        Tokens of all running requests together.
    decode_tokens : int
        Expected output tokens that are still to be generated.
    """

    running: int = 0
    prefill_tokens: int = 0
    memory_tokens: int = 0
    decode_tokens: int = 0


class PartLocation(msgspec.Struct, frozen=True, array_like=True):
    """Location of a prompt part that an engine has cached, or saved to a store.

    Attributes
    ----------
    salt : str
        Separates the caches of weight versions and of isolated workspaces.
    store : str
        Service of the store that also has the part; empty if none.
    """

    target: str
    salt: str
    part: str
    store: str = ""


class EntryLoad(msgspec.Struct, tag=True, frozen=True):
    """Load that one entry process puts on the targets, reported to the leader.

    Attributes
    ----------
    silent : list of str
        Targets that did not respond to a connection attempt since the last message.
    parts : list of PartLocation
        Locations of parts first seen since the last message.
    leaving : list of (str, int)
        Name and start number of targets whose responses announce that they are
        leaving although the view doesn't list them as leaving.
    paused : list of (str, int)
        Targets that requested a pause since the last message, and its remaining time
        in milliseconds.
    refusal_limited : list of str
        Services of which a target has stated a refusal limit since the last message.
    full : list of str
        Targets of such services that have refused a request for want of room since the
        last message.
    wanted : dict of str to int
        Most requests that could have been open at each such service at one time since
        the last message.
    leases : dict of str to int
        Leases of the process by target; see `FleetLoad`.
    releases : list of ReleaseReport
        Outcomes of the requests of running rollouts.
    costs : dict of str to TargetCost
        Speeds of targets that have changed since the last message.
    service_costs : list of ServiceCost
        Models of services that have changed since the last message.
    demand : list of ServiceDemand
        Demand at the process.
    utilization : int
        Utilization of the scarcest resource of the process, in eighths.
    """

    instance: str
    sequence: int
    loads: dict[str, TargetLoad]
    silent: list[str] = []
    parts: list[PartLocation] = []
    leaving: list[tuple[str, int]] = []
    paused: list[tuple[str, int]] = []
    refusal_limited: list[str] = []
    full: list[str] = []
    wanted: dict[str, int] = {}
    leases: dict[str, int] = {}
    releases: list[ReleaseReport] = []
    costs: dict[str, TargetCost] = {}
    service_costs: list[ServiceCost] = []
    demand: list[ServiceDemand] = []
    utilization: int = 0


class PartLocationGroup(msgspec.Struct, frozen=True, array_like=True):
    """Locations of prompt parts with equal salt and store, as in `PartLocation`.

    Attributes
    ----------
    places : list of (int, str)
        Number of a target and a part that it has cached.
    """

    salt: str
    store: str
    places: list[tuple[int, str]]


# Utilization in eighths from which an entry process counts as busy.
BUSY_EIGHTHS = 6


class FleetLoad(msgspec.Struct, tag=True, frozen=True):
    """Load of all entry processes together.

    Attributes
    ----------
    term : int
        Term of the leader in which the target numbers are valid.
    reported : int
        Sequence of the receiver's last `EntryLoad` that is included.
    loads : dict of int to TargetLoad
        Load by target number.
    silent : list of int
        Numbers of targets that do not respond to connection attempts.
    parts : list of PartLocationGroup
        Locations that entry processes reported since the last message.
    paused : list of (int, int)
        Numbers of targets that requested a pause from the leader since the last
        message, and its remaining time in milliseconds. It is only sent to entry
        processes on the leader's machine, because the pause applies to that machine.
    refusal_limited : list of str
        Services whose targets have stated lately that they are refusal-limited.
    leases : dict of int to int, or None
        Number of requests that the receiver may have open at each target of such a
        service, by target number; 0 for those that are not listed. None if the slots
        of the targets are not divided.
    costs : dict of int to TargetCost
        Speeds of targets that have changed since the last message, by target number.
    service_costs : list of ServiceCost
        Models of services that have changed since the last message.
    demand : list of ServiceDemand
        Demand at all entry processes together, for services with more than they serve.
    busy : dict of str to int, or None
        Utilization of the busy entry processes in eighths, by instance; others are not
        busy. None if it has not changed since the last message.
    list_age_s : int
        Age of the leader's list of targets in seconds; 0 while it is up to date.
    """

    term: int
    reported: int
    loads: dict[int, TargetLoad]
    silent: list[int] = []
    parts: list[PartLocationGroup] = []
    paused: list[tuple[int, int]] = []
    refusal_limited: list[str] = []
    leases: dict[int, int] | None = None
    costs: dict[int, TargetCost] = {}
    service_costs: list[ServiceCost] = []
    demand: list[ServiceDemand] = []
    busy: dict[str, int] | None = None
    list_age_s: int = 0
