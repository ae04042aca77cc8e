"""The leader stands still for less than half a second while it reads the list."""

import json
import signal
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_2 import (  # noqa: E402
    IPS,
    LIST_LAG_S,
    CaseError,
    Cloud,
    Server,
    build_document,
    build_route,
    build_service,
    respond,
    run_case,
)

PAGE_ENTRIES = 50
PAGE_S = 0.02
OTHER_SERVERS = 55
FREEZE_S = 0.42
FREEZES = 8
# Bounds of the settings.
CONTACT_S = 3.0
DRAIN_S = 3.0
MARGIN_S = 1.5
REQUESTS = 30


class PagedCloud(Cloud):
    """Target list in pages of `PAGE_ENTRIES`."""

    def __init__(self, *arguments):
        self.begun = threading.Event()
        self.called = time.monotonic()
        super().__init__(*arguments)

    def handle(self, request, sock):
        """Respond with a page of the list."""
        _, _, query = request.path.partition("?")
        start = int(query.removeprefix("page_token=p-") or 0)
        self.called = time.monotonic()
        if not start:
            self.begun.set()
        time.sleep(PAGE_S)
        entries = self._history[0][1]
        end = start + PAGE_ENTRIES
        token = f"p-{end}" if end < len(entries) else None
        page = {"instances": entries[start:end], "next": token}
        respond(sock, 200, json.dumps(page).encode())


class LeavingServer(Server):
    """Server that can be told to leave, and says so in its answers then."""

    state = "ready"

    def entry(self):
        """Return its entry of the target list."""
        return super().entry() | {"state": self.state}

    def seal(self, request):
        """Return the headers of each response to a request of a client."""
        leaving = {"Server-Leaving": "1"} if self.state == "draining" else {}
        return super().seal(request) | leaving


def find_leader(deployment):
    """Return the machine whose control process leads."""
    leaders = {
        line["term"]: ip
        for ip in IPS
        for line in deployment.log("control", ip, "leader_active")
    }
    if not leaders:
        raise CaseError("no leader")
    return leaders[max(leaders)]


def freeze_leaders(deployment):
    """Freeze the leader while it reads the list, until it reads it no more."""
    cloud = deployment.cloud
    for _ in range(FREEZES):
        leader = find_leader(deployment)
        cloud.begun.clear()
        if not cloud.begun.wait(5):
            raise CaseError("nobody reads the list")
        for number, pause_s in ((signal.SIGSTOP, FREEZE_S), (signal.SIGCONT, 0)):
            for role in ("control", "entry"):
                deployment.signal(role, leader, number)
            time.sleep(pause_s)
        time.sleep(CONTACT_S)
        idle_s = time.monotonic() - cloud.called
        deployment.record.add(f"the list was last read {idle_s:.2f} s ago")
        if idle_s > CONTACT_S - 0.5:
            return


def play(deployment, has_trouble):
    """Let a server of a service without traffic leave, and send requests then."""
    record = deployment.record
    app = [LeavingServer(name, "app", record) for name in ("a-1", "a-2")]
    others = [Server(f"o-{n}", "other", record) for n in range(OTHER_SERVERS)]
    deployment.servers = [*app, *others]
    routes = [
        build_route("r1", "/claim/", "unsafe", "app"),
        build_route("r2", "/report/", "safe", "other"),
    ]
    services = [build_service("app"), build_service("other")]
    deployment.start(build_document(1, routes, services))
    if has_trouble:
        freeze_leaders(deployment)
    # All machines are in touch from here on.
    time.sleep(CONTACT_S + MARGIN_S)
    app[0].state = "draining"
    record.add("a-1 leaves")
    time.sleep(LIST_LAG_S + DRAIN_S + MARGIN_S)
    before = len(app[0].runs)
    for number in range(REQUESTS):
        deployment.request("/claim/x", IPS[number % len(IPS)])
    idle_s = time.monotonic() - deployment.cloud.called
    record.add(f"the list was last read {idle_s:.2f} s ago")
    return [
        f"{request_id} was sent over {DRAIN_S} s after the list showed that"
        " a-1 leaves, and reaches it"
        for request_id in app[0].runs[before:]
    ]


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play, PagedCloud))
