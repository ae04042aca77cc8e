"""Streams of a service without an engine whose server crashes in the middle."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_2 import (  # noqa: E402
    IPS,
    StreamServer,
    build_document,
    build_route,
    build_service,
    run_case,
)

STREAMS = 24


def play(deployment, has_trouble):
    """Stream from four servers, of which one crashes in the middle."""
    record = deployment.record
    servers = [
        StreamServer(name, "plain", record) for name in ("p-1", "p-2", "p-3", "p-4")
    ]
    deployment.servers = servers
    route = build_route("r1", "/reply/", "streaming", "plain", resumable=True)
    deployment.start(build_document(1, [route], [build_service("plain")]))
    answers = []

    def stream(number):
        answers.append(deployment.request("/reply/x", IPS[number % len(IPS)]))

    threads = [threading.Thread(target=stream, args=(n,)) for n in range(STREAMS)]
    for thread in threads:
        thread.start()
    time.sleep(1.0)
    if has_trouble:
        servers[0].crash()
    for thread in threads:
        thread.join()
    return [text for answer in answers for text in find_breaks(answer, record)]


def find_breaks(answer, record):
    """Return how an answer breaks ORDER."""
    events = answer.events
    record.add(f"{answer.request_id}: {[data for _, data in events]}")
    breaks = []
    numbers = [number for number, _ in events]
    if numbers != list(range(1, len(numbers) + 1)):
        breaks.append(f"{answer.request_id}: pieces {numbers}")
    for (_, before), (number, data) in zip(events, events[1:], strict=False):
        words = data.split()
        goes_on_after = int(words[words.index("after") + 1])
        is_other_run = before.split()[2] != words[2]
        if is_other_run and goes_on_after != number - 1:
            breaks.append(
                f"{answer.request_id}: '{before}' is followed by '{data}', a run that"
                " was begun anew and not told to go on"
            )
    return breaks


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
