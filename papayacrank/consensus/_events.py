"""Log events of the replicated log."""

from papayacrank.kernel import LogEvent, declare_events

TORN_TAIL_TRUNCATED = LogEvent(
    4001,
    "torn_tail_truncated",
    "warning",
    "The last, unacknowledged write to the log was incomplete and was removed.",
)
IDENTITY_CREATED = LogEvent(
    4002,
    "identity_created",
    "info",
    "The data folder was empty and got a new member identity.",
    "If the folder should have had content, check the disk and its mount point.",
)
IDENTITY_DISCARDED = LogEvent(
    4003,
    "identity_discarded",
    "error",
    "The data folder is older than what this member had acknowledged. The member"
    " continues as a learner with a new identity.",
    "Find out who restored the folder; restored copies must not be used.",
)
LEADER_ELECTED = LogEvent(4004, "leader_elected", "info", "This member leads.")
LEADER_STEPPED_DOWN = LogEvent(
    4005,
    "leader_stepped_down",
    "warning",
    "This member no longer leads.",
    "If it recurs, check the network and the sync time of the disk.",
)
MEMBERSHIP_CHANGED = LogEvent(
    4006, "membership_changed", "info", "A membership entry was added to the log."
)
VOTER_SILENT = LogEvent(
    4007,
    "voter_silent",
    "error",
    "A member has been silent for longer than voter_silence_ms and is removed.",
    "Repair the instance; it joins again as a learner by itself.",
)
GROUP_FOUNDED = LogEvent(
    4008, "group_founded", "info", "A new group was started from initial_voters."
)
WAITING_TO_FOUND = LogEvent(
    4009,
    "waiting_to_found",
    "warning",
    "No member knows a log, and some members have not answered yet.",
    "Start the members named in `missing`, or remove them from the settings.",
)
SNAPSHOT_INSTALLED = LogEvent(
    4010, "snapshot_installed", "info", "The state was replaced by the leader's."
)
START_CHECKED = LogEvent(
    4011,
    "start_checked",
    "info",
    "The folder was compared with what the other members know; the member may vote.",
)

declare_events(
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
)
