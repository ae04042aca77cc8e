"""Tests of answers that a server sends while a long request is still being written."""

import threading
import time

import pytest

from .faulty_servers import Entry, build_answer, request_id_of, reset

UPLOAD = b"u" * 3_000_000
PART = b"a part of the answer"


class EarlyServer:
    """Server that answers before it has read a long request, and then resets.

    Parameters
    ----------
    delay_s : float
        Time in seconds from the answer to the reset.
    reads : int
        Bytes that it reads in between.
    """

    def __init__(self, delay_s, reads):
        self._delay_s = delay_s
        self._reads = reads
        self.answered = threading.Event()

    def __call__(self, sock, data, number):
        """Answer the head of the request."""
        sock.sendall(build_answer(request_id_of(data), PART, length=False))
        self.answered.set()
        read = 0
        while read < self._reads:
            read += len(sock.recv(65_536))
        time.sleep(self._delay_s)
        reset(sock)


@pytest.mark.parametrize("delay_s", [0, 0.001, 0.02, 0.1])
@pytest.mark.parametrize("reads", [0, 100_000, 1_000_000])
def test_answer_without_length_that_is_reset_is_not_complete(delay_s, reads):
    """Guards against a part of an answer that is passed on as a complete one."""
    server = EarlyServer(delay_s, reads)
    with Entry(server, service="plain") as entry:
        replies = [
            entry.ask("/claim/x", f"r{n}", deadline_ms=2_000, body=UPLOAD)
            for n in range(5)
        ]
    assert server.answered.is_set()
    assert [reply.status for reply in replies] == [502] * 5


@pytest.mark.parametrize("status", [b"000", b"00", b"099", b"0200"])
@pytest.mark.parametrize("path", ["/claim/x", "/lookup/x"])
def test_answer_with_an_impossible_status_is_a_failure(status, path):
    """Guards against bytes that are no answer and reach the caller as one."""

    def script(sock, data, number):
        answer = build_answer(request_id_of(data))
        sock.sendall(answer.replace(b"200 OK", status + b" OK"))

    with Entry(script, script, service="plain") as entry:
        reply = entry.ask(path, "r1", deadline_ms=1_500)
    assert reply.status in (502, 504)
    assert reply.complete
