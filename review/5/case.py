"""Take-up of streams on a route that is split over three services."""

import http.client
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import harness

SERVICES = ("llm-a", "llm-b", "llm-c")
STREAMS = 90
EVENTS = 120
EVENT_S = 0.05
MIN_TAKEN_UP = 12


class Stream:
    """Stream of a client that takes it up once if its connection breaks.

    Parameters
    ----------
    deployment : Deployment
        Deployment to call.
    record : Record
        Record of the case.
    number : int
        Number of the stream.
    """

    def __init__(self, deployment, record, number):
        self._deployment = deployment
        self._record = record
        self._number = number
        self.last_id = 0
        self.sources = set()
        self.first_status = None
        self.take_up_status = None

    def run(self, first_ip, other_ips):
        """Send the stream, and send it once more if it breaks."""
        ends_s = time.monotonic() + 14.0
        first_id = f"s{self._number}"
        self.first_status = self._attempt(first_ip, first_id, ends_s)
        if self.first_status != 200 or self.last_id in (0, EVENTS):
            return
        time.sleep(0.3)
        before = self.last_id
        ip = other_ips[self._number % len(other_ips)]
        self.take_up_status = self._attempt(ip, f"s{self._number}-2", ends_s, first_id)
        self._record.write(
            f"client: s{self._number} taken up at {ip} after event {before}"
            f" -> {self.take_up_status}, last event {self.last_id},"
            f" events from {sorted(self.sources)}"
        )

    def _attempt(self, ip, request_id, ends_s, first_id=None):
        remaining_s = ends_s - time.monotonic()
        headers = harness.build_headers(request_id, deadline_ms=int(remaining_s * 1000))
        if first_id is not None:
            headers["Last-Event-Id"] = str(self.last_id)
            headers["Resumes"] = first_id
        port = self._deployment.base + 10
        connection = http.client.HTTPConnection(ip, port, timeout=remaining_s)
        status = 0
        try:
            connection.request("POST", "/reply/x", b"%d" % self._number, headers)
            response = connection.getresponse()
            status = response.status
            if status != 200:
                self._record.write(
                    f"client: {request_id} -> {status} {response.read()}"
                )
                return status
            number = 0
            while line := response.readline():
                name, _, value = line.decode().strip().partition(": ")
                if name == "id":
                    number = int(value)
                elif name == "data":
                    self.last_id = number
                    self.sources.add(value)
        except (OSError, http.client.HTTPException) as error:
            self._record.write(f"client: {request_id}: {type(error).__name__}")
        finally:
            connection.close()
        return status


def play(deployment, record, has_trouble):
    """Kill the machine that serves the streams; the clients take them up elsewhere."""
    releases = ("v1", "v1", "v2", "v2") if has_trouble else ("v1",) * 4
    deployment.cloud.servers = [
        harness.Engine(
            f"e-{service}-{n}",
            service,
            record,
            {},
            release=release,
            events=EVENTS,
            event_s=EVENT_S,
        )
        for service in SERVICES
        for n, release in enumerate(releases)
    ]
    deployment.start()
    document = harness.build_document(
        1,
        [harness.build_engine_service(name) for name in SERVICES],
        [{"service": name, "weight": 1} for name in SERVICES],
        [harness.build_tenant("t1", harness.KEY)],
    )
    if not deployment.operate("/v1/configuration/put", document, 20):
        return None
    if not deployment.wait_until_ready():
        return None
    time.sleep(5.0)
    victim, others = deployment.ips[-1], deployment.ips[:-1]
    streams = [Stream(deployment, record, number) for number in range(STREAMS)]
    threads = [
        threading.Thread(target=stream.run, args=(victim, others)) for stream in streams
    ]
    for thread in threads:
        thread.start()
        time.sleep(0.02)
    time.sleep(1.5)
    deployment.kill("entry", victim)
    for thread in threads:
        thread.join()
    begun = sum(stream.first_status == 200 for stream in streams)
    taken_up = [stream for stream in streams if stream.take_up_status is not None]
    gone_on = sum(stream.take_up_status == 200 for stream in taken_up)
    joined = sum(len({s.split()[1] for s in stream.sources}) > 1 for stream in streams)
    record.write(f"streams: {STREAMS}, begun at the first attempt: {begun}")
    record.write(f"taken up: {len(taken_up)}, of which went on: {gone_on}")
    record.write(f"streams with events of two software versions: {joined}")
    if len(taken_up) < MIN_TAKEN_UP:
        return None
    return gone_on / len(taken_up) >= 0.5 * begun / STREAMS


if __name__ == "__main__":
    sys.exit(harness.run_case(Path(__file__).parent, play, machines=7))
