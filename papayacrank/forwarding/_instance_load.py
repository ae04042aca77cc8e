"""Connection limits and utilization of an instance, from its capacity."""

from dataclasses import dataclass

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
# Mean delay of timers at which a process is full: requests with an objective of 160 ms
# are then late.
FULL_LATE_MS = 100
# Time over which the utilization is averaged, so that a burst of a second does not move
# callers.
SMOOTHING_MS = 2_000


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


@dataclass(frozen=True, slots=True)
class LoadSample:
    """What a process has used up to a moment.

    Parameters
    ----------
    now_ms : int
        Time of the sample in milliseconds.
    processor_ms : float
        Processor time of the process since its start.
    buffered : float
        Bytes in buffers over their limit.
    descriptors : int
        Open connections.
    late_ms : float
        Mean delay of the timers of the event loop since the last sample.
    """

    now_ms: int
    processor_ms: float
    buffered: float = 0.0
    descriptors: int = 0
    late_ms: float = 0.0


class InstanceLoad:
    """Utilization of an instance, without I/O.

    Parameters
    ----------
    capacity : InstanceCapacity
        Resources of the process; utilization of unknown ones is not counted.
    """

    def __init__(self, capacity: InstanceCapacity):
        self._capacity = capacity
        self._last: LoadSample | None = None
        self._smoothed = 0.0

    @property
    def utilization(self) -> float:
        """Utilization of the scarcest resource; 1 is full."""
        return self._smoothed

    @property
    def eighths(self) -> int:
        """Utilization in eighths, rounded down, at most 8."""
        return min(int(8 * self._smoothed), 8)

    def observe(self, sample: LoadSample) -> None:
        """Update the utilization."""
        last, self._last = self._last, sample
        if last is None or sample.now_ms <= last.now_ms:
            return
        elapsed_ms = sample.now_ms - last.now_ms
        used = [sample.buffered, min(sample.late_ms / FULL_LATE_MS, 1.0)]
        if self._capacity.processor > 0:
            processor = (sample.processor_ms - last.processor_ms) / elapsed_ms
            used.append(processor / self._capacity.processor)
        if self._capacity.descriptors > 0:
            free = self._capacity.descriptors - RESERVED_DESCRIPTORS
            used.append(sample.descriptors / max(free, 1))
        weight = min(elapsed_ms / SMOOTHING_MS, 1.0)
        self._smoothed += weight * (max(used) - self._smoothed)
