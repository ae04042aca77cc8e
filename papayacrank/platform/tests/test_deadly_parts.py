"""Integration tests of prompt parts that crash each server which begins to answer."""

import http.client
import json
import threading
import time
from dataclasses import dataclass

import pytest

from .builders import KEY
from .crashing_engine import CrashingEngine
from .fake_platform import IPS, FakePlatform

CONTACT_S = 3.0
# From `CONTACT_S` after the fifth crash on, at most three requests with the part reach
# servers; sound ones are compared from twice this time on.
CRASHES_UNTIL_VERDICT = 5
MAX_DEADLY_REQUESTS = 3
MIN_SHARE_OF_BEFORE = 0.5
BEFORE_S = 4.0
DURATION_S = 16.0
SOUND_PER_S = 24
DEADLY_PER_S = 3
DEADLY = "dead01"
COMMON = "c0ffee"
ENGINES = 4


@dataclass(frozen=True)
class Outcome:
    """Outcome of one request of a caller."""

    ip: str
    sent_s: float
    status: int
    events: int
    code: str


def send_stream(platform, ip, request_id, parts):
    """Send a streaming request and return its outcome."""
    prefix = ",".join(f"{part}:100" for part in (*parts, f"own-{request_id}"))
    headers = {
        "Host": "h.example",
        "X-Api-Key": KEY,
        "Papayacrank-Request-Id": request_id,
        "Papayacrank-Deadline-Ms": "6000",
        "Papayacrank-Model": "m1",
        "Papayacrank-Token-Count": f"{100 * (len(parts) + 1)},20",
        "Papayacrank-Prompt-Prefix": prefix,
    }
    sent_s = time.monotonic()
    connection = platform.connect(ip, 8)
    status, body = 0, b""
    try:
        connection.request("POST", "/reply/x", b"body", headers)
        response = connection.getresponse()
        status = response.status
        body = response.read()
    except http.client.IncompleteRead as error:
        body = error.partial
    except (OSError, http.client.HTTPException):
        pass
    finally:
        connection.close()
    code = json.loads(body)["error"] if status >= 400 else ""
    return Outcome(ip, sent_s, status, body.count(b"data:"), code)


def send_steadily(platform, name, rate_per_s, duration_s, choose_parts):
    """Start threads that send requests to all instances in turn; return them."""
    outcomes, started = [], time.monotonic()
    threads = []

    def send(number):
        wait_s = started + number / rate_per_s - time.monotonic()
        time.sleep(max(0.0, wait_s))
        ip = platform.entry_ips[number % len(platform.entry_ips)]
        parts = choose_parts(number)
        outcomes.append(send_stream(platform, ip, f"{name}-{number}", parts))

    for number in range(int(duration_s * rate_per_s)):
        thread = threading.Thread(target=send, args=(number,), daemon=True)
        thread.start()
        threads.append(thread)
    return outcomes, threads


def sound_parts(number):
    """Return the shared parts of a sound request."""
    return [COMMON, f"middle-{number % 7}", f"late-{number % 3}"]


def deadly_parts(number):
    """Return parts with the deadly one first or in the middle, no two lists alike."""
    others = [f"middle-{number % 7}", f"extra-{number}"]
    return [DEADLY, *others] if number % 3 == 0 else [COMMON, DEADLY, *others]


def share_of_begun(outcomes, from_s, to_s):
    """Return the share of requests that began at once, and their number."""
    chosen = [o for o in outcomes if from_s <= o.sent_s < to_s]
    begun = sum(o.status == 200 and o.events > 0 for o in chosen)
    return begun / max(1, len(chosen)), len(chosen)


@pytest.fixture
def platform(tmp_path):
    """Return a running deployment with engines that crash on a part."""
    running = FakePlatform(tmp_path)
    engines = [CrashingEngine(f"x-{n}", {DEADLY}) for n in range(ENGINES)]
    running.cloud.servers = [*running.plain, *engines]
    running.engines = engines
    try:
        running.start_serving()
        for ip in IPS:
            running.wait(
                lambda ip=ip: (
                    send_stream(running, ip, f"w-{ip}", [COMMON]).status == 200
                )
            )
        yield running
    finally:
        running.stop()
        for engine in engines:
            engine.close()


def collect_crashes(platform):
    """Return the crashes of all engines as sorted times."""
    return sorted(at_s for engine in platform.engines for at_s, _ in engine.crashes)


def run_outbreak(platform, choose_deadly=deadly_parts, disturb=None, left_out=()):
    """Send sound and then deadly requests as well, and check the rules.

    Parameters
    ----------
    platform : FakePlatform
        Running deployment.
    choose_deadly : callable
        Returns the parts of a deadly request, given its number.
    disturb : callable, optional
        Called while deadly requests are sent.
    left_out : collection of str
        Addresses of instances that are disturbed; their sound requests are not counted.
    """
    total_s = BEFORE_S + DURATION_S
    sound, threads = send_steadily(platform, "s", SOUND_PER_S, total_s, sound_parts)
    time.sleep(BEFORE_S)
    from_s = time.monotonic()
    deadly, others = send_steadily(
        platform, "d", DEADLY_PER_S, DURATION_S, choose_deadly
    )
    if disturb is not None:
        disturb()
    for thread in (*threads, *others):
        thread.join()
    crashes = collect_crashes(platform)
    last_s = 0.0
    for part in sorted(platform.engines[0].deadly_parts):
        last_s = max(last_s, check_budget(platform, part))
    sound = [outcome for outcome in sound if outcome.ip not in left_out]
    before, _ = share_of_begun(sound, 0, from_s)
    settled_s = last_s + 2 * CONTACT_S
    after, count = share_of_begun(sound, settled_s, from_s + DURATION_S)
    middle, middle_count = share_of_begun(sound, from_s, settled_s)
    print(f"crashes at {[round(at_s - from_s, 2) for at_s in crashes]}")
    print(f"{len(deadly)} deadly requests sent")
    print(f"begun {before:.3f} before, {middle:.3f} of {middle_count} until settled")
    print(f"begun {after:.3f} of {count} after")
    assert count >= 20
    assert after >= MIN_SHARE_OF_BEFORE * before


def check_budget(platform, part):
    """Check the rule on requests with a deadly part; return when its verdict is due."""
    engines = platform.engines
    crashes = sorted(at_s for e in engines for at_s, name in e.crashes if name == part)
    last_s = crashes[:CRASHES_UNTIL_VERDICT][-1]
    arrivals = [at_s for e in engines for at_s, _, parts in e.arrivals if part in parts]
    late = [at_s for at_s in arrivals if at_s > last_s + CONTACT_S]
    print(f"{part}: {len(crashes)} crashes, {len(arrivals)} arrivals, {len(late)} late")
    assert len(late) <= MAX_DEADLY_REQUESTS
    return last_s


def find_leader(platform):
    """Return the address of the control process that became the leader last."""
    return max(
        (line["timestamp"], ip)
        for ip in IPS
        for line in platform.log("control", ip)
        if line["event"] == "leader_active"
    )[1]


def restart(platform, role, ip):
    """Kill a process and start it again."""
    process = platform.processes[(role, ip)]
    process.kill()
    process.wait(10)
    platform.start_process(role, ip)


def test_requests_with_a_part_that_crashes_servers_are_contained(platform):
    """Guards against a part that takes down one server after the other."""
    run_outbreak(platform)


@pytest.mark.prove
@pytest.mark.parametrize("after_s", [0.2, 1.0, 5.0])
def test_containment_survives_a_new_leader(platform, after_s):
    """Guards against evidence and verdicts that end with an election."""

    def disturb():
        time.sleep(after_s)
        restart(platform, "control", find_leader(platform))

    run_outbreak(platform, disturb=disturb)


@pytest.mark.prove
def test_containment_survives_restarts_of_instances(platform):
    """Guards against a started instance that sends quarantined requests."""

    def disturb():
        for _ in range(3):
            time.sleep(2.0)
            restart(platform, "entry", IPS[1])

    run_outbreak(platform, disturb=disturb, left_out={IPS[1]})


@pytest.mark.prove
def test_two_deadly_parts_are_contained(platform):
    """Guards against a second deadly part that hides behind the first."""
    for engine in platform.engines:
        engine.deadly_parts.add("dead02")

    def choose(number):
        parts = deadly_parts(number)
        second = [part.replace(DEADLY, "dead02") for part in parts]
        return second if number % 2 else parts

    run_outbreak(platform, choose)


@pytest.mark.prove
def test_deadly_part_that_shares_all_other_parts_is_contained(platform):
    """Guards against verdicts on the parts of sound requests."""
    run_outbreak(platform, lambda n: [*sound_parts(n), DEADLY])


def test_crashes_of_another_cause_blame_no_part(platform):
    """Guards against sound requests that are refused for a part they all share."""
    for engine in platform.engines:
        engine.deadly_parts.clear()
    sound, threads = send_steadily(
        platform, "s", 2 * SOUND_PER_S, DURATION_S / 2, lambda _: [COMMON]
    )
    for number in range(6):
        time.sleep(1.0)
        platform.engines[number % ENGINES].crash()
    for thread in threads:
        thread.join()
    share, count = share_of_begun(sound, 0, time.monotonic())
    print(f"begun {share:.3f} of {count}, {len(collect_crashes(platform))} crashes")
    assert not [o for o in sound if o.code == "quarantined"]
    assert share >= 0.98
