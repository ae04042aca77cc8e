"""Integration tests of streams while servers of two software versions serve."""

import http.client
import signal
import threading
import time
from dataclasses import dataclass, field

import pytest

from .builders import KEY
from .crashing_engine import EVENT_INTERVAL_S, CrashingEngine
from .fake_platform import IPS, FakePlatform

STREAMS = 24
EVENTS = 60
DEADLINE_S = 14.0
# Interval at which no stream ends before a disturbance does.
SLOW_INTERVAL_S = 0.25
MIN_SHARE = 0.95
OLD, NEW = "v1", "v2"


@dataclass
class Stream:
    """Stream of a caller that takes it up again after each break.

    Parameters
    ----------
    number : int
        Number of the stream, which selects the instance of the first attempt.
    """

    platform: FakePlatform
    number: int
    events: list = field(default_factory=list)
    statuses: list = field(default_factory=list)

    @property
    def is_joined(self):
        """Whether events of two software versions were received."""
        return len({release for _, release in self.events}) > 1

    @property
    def is_whole(self):
        """Whether all events were received once and in order."""
        return [number for number, _ in self.events] == list(range(1, EVENTS + 1))

    @property
    def was_taken_up(self):
        """Whether the stream had events when it was sent again."""
        return len(self.statuses) > 1

    def run(self):
        """Send the stream until it is complete, refused for good or too late."""
        ends_s = time.monotonic() + DEADLINE_S
        while time.monotonic() < ends_s and not self.is_whole:
            ip = IPS[(self.number + len(self.statuses)) % len(IPS)]
            retry_s = self.attempt(ip, ends_s - time.monotonic())
            time.sleep(min(retry_s, 1.0))

    def attempt(self, ip, remaining_s, events=EVENTS):
        """Send the stream once; return the time in s after which to send it again."""
        had_events = bool(self.events)
        headers = {
            "Host": "h.example",
            "X-Api-Key": KEY,
            "Papayacrank-Request-Id": f"s{self.number}-{time.monotonic_ns()}",
            "Papayacrank-Deadline-Ms": str(int(remaining_s * 1_000)),
            "Papayacrank-Model": "m1",
            "Papayacrank-Token-Count": "300,20",
            "Papayacrank-Prompt-Prefix": f"{self.number:04x}:300",
        }
        if had_events:
            headers["Last-Event-Id"] = str(self.events[-1][0])
            headers["Resumes"] = self._first_id
        connection = self.platform.connect(ip, remaining_s)
        try:
            connection.request("POST", "/reply/x", b"%d" % self.number, headers)
            response = connection.getresponse()
            if had_events or response.status == 200:
                self.statuses.append(response.status)
            if response.status != 200:
                response.read()
                return float(response.headers.get("Retry-After", 0.3))
            while len(self.events) < events and (line := response.readline()):
                name, _, value = line.decode().strip().partition(": ")
                if name == "id":
                    number = int(value)
                elif name == "data":
                    if not self.events:
                        self._first_id = headers["Papayacrank-Request-Id"]
                    self.events.append((number, value))
        except (OSError, http.client.HTTPException):
            return 0.1
        finally:
            connection.close()
        return 0.1


@pytest.fixture
def platform(tmp_path):
    """Return a running deployment with two engines of each software version."""
    running = FakePlatform(tmp_path)
    running.engines = [
        CrashingEngine(f"x-{n}", release=release, events=EVENTS)
        for n, release in enumerate((OLD, OLD, NEW, NEW))
    ]
    running.cloud.servers = [*running.plain, *running.engines[:2]]
    try:
        running.start_serving()
        yield running
    finally:
        running.stop()
        for engine in running.engines:
            engine.close()


def add_new_servers_at(platform, ip):
    """Add the servers of the new version, and wait until one instance uses them."""
    add_new_servers(platform, (ip,))


def add_new_servers(platform, ips=IPS):
    """Add the servers of the new version, and wait until they serve."""
    platform.cloud.servers = [*platform.plain, *platform.engines]
    deadline = time.monotonic() + 8
    number = 0
    while time.monotonic() < deadline:
        stream = Stream(platform, 10_000 + number)
        stream.attempt(ips[number % len(ips)], 1.0, events=1)
        if stream.events and stream.events[0][1] == NEW:
            return
        number += 1
    raise AssertionError("the new servers do not serve")


def run_streams(platform, disturb, count=STREAMS):
    """Run streams, disturb them in the middle, and return them."""
    streams = [Stream(platform, number) for number in range(count)]
    threads = [threading.Thread(target=s.run, daemon=True) for s in streams]
    for thread in threads:
        thread.start()
        time.sleep(0.02)
    time.sleep(0.2)
    disturb()
    for thread in threads:
        thread.join()
    taken = [s for s in streams if s.was_taken_up]
    whole = sum(s.is_whole for s in taken)
    print(f"{sum(s.is_joined for s in streams)} joined, {len(taken)} taken up,")
    print(f"{whole} of them whole, {sum(s.is_whole for s in streams)} whole in all")
    return streams


def freeze_entry(platform, ip, duration_s):
    """Suspend an entry process for some time."""
    process = platform.processes[("entry", ip)]
    process.send_signal(signal.SIGSTOP)
    time.sleep(duration_s)
    process.send_signal(signal.SIGCONT)


def restart_all(platform):
    """Kill all processes at once, and start them again."""
    for process in platform.processes.values():
        process.kill()
    for process in platform.processes.values():
        process.wait(10)
    platform.start(bootstrap="false")


def set_event_interval(platform, interval_s):
    """Set the time between two events of all streams."""
    for engine in platform.engines:
        engine.event_interval_s = interval_s


def kill_entry(platform, ip=IPS[0]):
    """Kill an entry process, and start it again."""
    process = platform.processes[("entry", ip)]
    process.kill()
    process.wait(10)
    platform.start_process("entry", ip)


def assert_no_stream_is_joined(streams):
    """Check the rule on streams of two software versions."""
    assert [s.events for s in streams if s.is_joined] == []


def share_of_taken_up(streams):
    """Return the share of the streams that were taken up and came to their end."""
    taken = [s for s in streams if s.was_taken_up]
    assert taken
    return sum(s.is_whole for s in taken) / len(taken)


@pytest.mark.prove
@pytest.mark.parametrize("number", [0, 2])
def test_stream_does_not_go_on_at_another_release_within_a_response(platform, number):
    """Guards against a response that is joined from two software versions."""
    add_new_servers(platform)
    streams = run_streams(platform, platform.engines[number].crash)
    assert_no_stream_is_joined(streams)
    assert sum(s.is_whole for s in streams) >= MIN_SHARE * STREAMS


@pytest.mark.prove
def test_stream_is_taken_up_at_the_release_that_began_it(platform):
    """Guards against a take-up that is joined after its instance was killed."""
    add_new_servers(platform)
    streams = run_streams(platform, lambda: kill_entry(platform))
    assert_no_stream_is_joined(streams)
    assert share_of_taken_up(streams) >= MIN_SHARE


@pytest.mark.prove
@pytest.mark.parametrize("leaves", [False, True])
def test_stream_is_not_joined_after_all_instances_were_killed(platform, leaves):
    """Guards against take-ups that are joined since no instance knows their begin."""

    def disturb():
        if leaves:
            platform.cloud.servers = [*platform.plain, *platform.engines[2:]]
        restart_all(platform)

    add_new_servers(platform)
    time.sleep(1.0)
    streams = run_streams(platform, disturb)
    assert_no_stream_is_joined(streams)
    if not leaves:
        assert share_of_taken_up(streams) >= 0.5


@pytest.mark.prove
def test_stream_begun_before_a_release_is_taken_up_during_it(platform):
    """Guards against a release that joins the streams in progress."""

    def disturb():
        set_event_interval(platform, SLOW_INTERVAL_S)
        add_new_servers(platform)
        kill_entry(platform)
        set_event_interval(platform, EVENT_INTERVAL_S)

    streams = run_streams(platform, disturb)
    assert_no_stream_is_joined(streams)
    assert share_of_taken_up(streams) >= MIN_SHARE


@pytest.mark.prove
def test_stream_of_the_only_release_is_taken_up_after_a_restart_of_all(platform):
    """Guards against refused take-ups where only one version ever served."""
    time.sleep(1.0)
    streams = run_streams(platform, lambda: restart_all(platform))
    assert_no_stream_is_joined(streams)
    assert share_of_taken_up(streams) == 1.0


@pytest.mark.prove
@pytest.mark.parametrize("restarts", [False, True])
def test_stream_is_not_joined_at_an_instance_that_is_out_of_step(platform, restarts):
    """Guards against an instance that does not know of the servers of a new version."""

    def disturb():
        stalled = threading.Thread(target=freeze_entry, args=(platform, IPS[1], 3.0))
        stalled.start()
        add_new_servers_at(platform, IPS[2])
        if restarts:
            kill_entry(platform, IPS[1])
        kill_entry(platform, IPS[0])
        for engine in platform.engines[2:]:
            engine.reset_connections()
        stalled.join()

    streams = run_streams(platform, disturb)
    assert_no_stream_is_joined(streams)
    assert sum(s.is_whole for s in streams) >= STREAMS / 2


@pytest.mark.prove
def test_stream_does_not_go_on_at_a_server_with_the_same_id_and_another_release(
    platform,
):
    """Guards against a restart with another release that the list does not show yet."""
    first, second = platform.engines[:2]

    def disturb():
        second.upgrade(NEW)
        time.sleep(0.3)
        first.crash()
        time.sleep(2.0)
        second.update_list()

    streams = run_streams(platform, disturb)
    assert_no_stream_is_joined(streams)


@pytest.mark.prove
def test_stream_goes_on_at_a_server_with_the_same_id_and_release(platform):
    """Guards against streams that end because each restart makes a server doubtful."""
    first, second = platform.engines[:2]

    def disturb():
        second.upgrade(OLD)
        second.update_list()
        time.sleep(2.5)

    streams = run_streams(platform, disturb)
    assert_no_stream_is_joined(streams)
    assert sum(s.is_whole for s in streams) >= MIN_SHARE * STREAMS
