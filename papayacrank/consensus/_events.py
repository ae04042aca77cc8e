"""Log events of the replicated log."""

from papayacrank.kernel import LogEvent, declare_events

TORN_TAIL_TRUNCATED = LogEvent(
    4001,
    "torn_tail_truncated",
    "warning",
    "The last write to the log was incomplete and never acknowledged; it was removed.",
)
IDENTITY_CREATED = LogEvent(
    4002,
    "identity_created",
    "info",
    "The data folder was empty; a new member identity was created.",
    "If the folder should not have been empty, check the disk and its mount point.",
)
IDENTITY_DISCARDED = LogEvent(
    4003,
    "identity_discarded",
    "error",
    "The data folder is older than the last state that this member acknowledged. The"
    " member continues as a learner with a new identity.",
    "Find out who restored the folder from a copy; restored copies must not be used.",
)
LEADER_ELECTED = LogEvent(
    4004, "leader_elected", "info", "This member was elected leader."
)
LEADER_STEPPED_DOWN = LogEvent(
    4005,
    "leader_stepped_down",
    "warning",
    "This member is no longer the leader.",
    "If it recurs, check the network and the sync latency of the disk.",
)
MEMBERSHIP_CHANGED = LogEvent(
    4006, "membership_changed", "info", "A membership entry was appended to the log."
)
VOTER_SILENT = LogEvent(
    4007,
    "voter_silent",
    "error",
    "A member has not replied for longer than voter_silence_ms and is removed.",
    "Repair the instance; it rejoins as a learner automatically.",
)
GROUP_FOUNDED = LogEvent(
    4008, "group_founded", "info", "A new group was created from initial_voters."
)
WAITING_TO_FOUND = LogEvent(
    4009,
    "waiting_to_found",
    "warning",
    "No member that replied has a log, and some members have not replied yet.",
    "Start the members listed in `missing`, or remove them from the settings.",
)
SNAPSHOT_INSTALLED = LogEvent(
    4010, "snapshot_installed", "info", "A snapshot from the leader was installed."
)
START_CHECKED = LogEvent(
    4011,
    "start_checked",
    "info",
    "The data folder was verified against the other members; the member may vote.",
)
LOSS_TOLERANCE_UNMET = LogEvent(
    4012,
    "loss_tolerance_unmet",
    "warning",
    "The voters do not survive the losses that the settings name.",
    "Add instances with a disk, in other failure domains if those have most votes.",
)
LOSS_TOLERANCE_MET = LogEvent(
    4013,
    "loss_tolerance_met",
    "info",
    "The voters survive the losses that the settings name.",
)
PEER_DISCOVERED = LogEvent(
    4014,
    "peer_discovered",
    "info",
    "Another process named a process that is not in the settings; it is queried.",
)

JOIN_REFUSED = LogEvent(
    4015,
    "join_refused",
    "warning",
    "A process of an older build cannot read entries in the log and does not join.",
    "Update the process; it stops if it is a member already.",
)

declare_events(
    JOIN_REFUSED,
    TORN_TAIL_TRUNCATED,
    IDENTITY_CREATED,
    IDENTITY_DISCARDED,
    LEADER_ELECTED,
    LEADER_STEPPED_DOWN,
    MEMBERSHIP_CHANGED,
    VOTER_SILENT,
    GROUP_FOUNDED,
    WAITING_TO_FOUND,
    SNAPSHOT_INSTALLED,
    START_CHECKED,
    LOSS_TOLERANCE_UNMET,
    LOSS_TOLERANCE_MET,
    PEER_DISCOVERED,
)
