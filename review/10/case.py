"""Bookings on a route that is `unsafe`, whose server crashes while it works on them."""

import sys
import threading
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_2 import (  # noqa: E402
    IPS,
    Server,
    build_document,
    build_route,
    build_service,
    respond,
    run_case,
)

BOOKINGS = 32


class BookingServer(Server):
    """Server that takes a while to answer."""

    work_s = 0.6

    def run(self, request, sock):
        """Begin to work on the booking, and answer after the work."""
        request_id = request.get("papayacrank-request-id")
        self.runs.append(request_id)
        self.record.add(f"server {self.name} runs {request_id}")
        time.sleep(self.work_s)
        respond(sock, 200, f"booked {request_id}".encode(), self.seal(request))


def play(deployment, has_trouble):
    """Send bookings, and crash a server while it works on some of them."""
    servers = [
        BookingServer(name, "app", deployment.record)
        for name in ("a-1", "a-2", "a-3", "a-4")
    ]
    deployment.servers = servers
    route = build_route(
        "r1", "/claim/", "unsafe", "app", resumable=True, target_latency_ms=1_000
    )
    deployment.start(build_document(1, [route], [build_service("app")]))

    def book(number):
        deployment.request("/claim/x", IPS[number % len(IPS)])

    threads = [threading.Thread(target=book, args=(n,)) for n in range(BOOKINGS)]
    for thread in threads:
        thread.start()
    time.sleep(0.3)
    if has_trouble:
        servers[0].crash()
    for thread in threads:
        thread.join()
    runs = Counter(run for server in servers for run in server.runs)
    return [
        f"{request_id} has run {count} times"
        for request_id, count in runs.items()
        if count > 1
    ]


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
