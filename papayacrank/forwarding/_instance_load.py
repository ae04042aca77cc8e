"""Connection limits of an instance, from its capacity."""

from papayacrank.messages import InstanceCapacity
from papayacrank.transport import HttpLimits

from ._target_port import MAX_IDLE

# Descriptors that the platform reserves for files.
RESERVED_DESCRIPTORS = 200
# Listening sockets, links to other instances, log streams and the event loop.
OWN_DESCRIPTORS = 100
# Part of the remaining descriptors for callers. Each caller waits for one connection to
# a target at a time, and other targets have idle ones.
CALLER_SHARE = 0.5
MAX_CALLERS = HttpLimits().max_connections
MIN_CALLERS = 64


def count_caller_descriptors(capacity: InstanceCapacity) -> int:
    """Return the number of connections of callers that an instance accepts."""
    if not capacity.descriptors:
        return MAX_CALLERS
    free = capacity.descriptors - RESERVED_DESCRIPTORS - OWN_DESCRIPTORS
    return min(max(int(CALLER_SHARE * free), MIN_CALLERS), MAX_CALLERS)


def count_idle_descriptors(capacity: InstanceCapacity) -> int:
    """Return the number of idle connections to targets that an instance keeps.

    As many remain for requests in progress, whose number the callers limit.
    """
    if not capacity.descriptors:
        return MAX_IDLE
    free = capacity.descriptors - RESERVED_DESCRIPTORS - OWN_DESCRIPTORS
    return max(0, min(MAX_IDLE, (free - count_caller_descriptors(capacity)) // 2))
