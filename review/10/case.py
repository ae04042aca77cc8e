"""The last tenant is taken out of the configuration."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_2 import (  # noqa: E402
    IPS,
    Server,
    build_document,
    build_route,
    build_service,
    run_case,
)

CONFIG_APPLY_S = 2.0
NO_KEY = "key-that-no-configuration-had"
REQUESTS = 12


def play(deployment, has_trouble):
    """Take the last tenant away, and send requests with an unknown key."""
    record = deployment.record
    servers = [Server(name, "app", record) for name in ("a-1", "a-2")]
    deployment.servers = servers
    routes = [build_route("r1", "/claim/", "unsafe", "app")]
    services = [build_service("app")]
    deployment.start(build_document(1, routes, services))
    for number in range(REQUESTS):
        deployment.request("/claim/x", IPS[number % len(IPS)])
        deployment.request("/claim/x", IPS[number % len(IPS)], X_Api_Key=NO_KEY)
    changed = {"tenants": []} if has_trouble else {}
    document = build_document(2, routes, services, **changed)
    deployment.order("configuration/put", document)
    time.sleep(CONFIG_APPLY_S + 1)
    breaks = []
    for number in range(REQUESTS):
        answer = deployment.request(
            "/claim/x", IPS[number % len(IPS)], X_Api_Key=NO_KEY
        )
        if any(answer.request_id in server.runs for server in servers):
            breaks.append(
                f"{answer.request_id} has run, though no configuration had its key"
            )
    return breaks


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
