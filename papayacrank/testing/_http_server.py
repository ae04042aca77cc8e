"""HTTP server that the stand-ins share."""

import itertools
import json
import socket
import struct
import time
from typing import Any

from circuits import BaseComponent, handler
from circuits.net.events import close
from circuits.web import BaseServer
from circuits.web.events import response, stream
from circuits.web.headers import Headers

from papayacrank.kernel import Clock
from papayacrank.transport import Timers

from ._faults import Fault, FaultPlan

LOOPBACK = "127.0.0.1"
RECEIVE_BYTES = 65_536
MS_PER_SECOND = 1000
COMMON_FAULTS = frozenset(
    {
        "clear",
        "delay",
        "drop_after",
        "drop_before",
        "freeze",
        "rate_limit",
        "refuse",
        "silent",
        "silent_connections",
        "swap_answers",
    }
)


_numbers = itertools.count(1)


class StreamHeaders(Headers):
    """Headers of a chunked response.

    Without this class, circuits adds a ``Content-Length`` of 0, or closes the
    connection after a response that has none. These headers therefore claim to
    contain the field and ignore assignments to it.
    """

    def __contains__(self, name):
        return name.lower() == "content-length" or super().__contains__(name)

    def __setitem__(self, name, value):
        if name.lower() != "content-length":
            super().__setitem__(name, value)


class StandInServer(BaseComponent):
    """Base class of the stand-ins: HTTP server and fault injection.

    A subclass implements `_serve`, which returns the response, or True if the response
    is sent later or never.

    Parameters
    ----------
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    port : int
        Port to listen on; 0 lets the system choose.
    faults : frozenset of str
        Fault kinds of the subclass in addition to the common ones.
    """

    def __init__(self, clock: Clock, timers: Timers, port: int, faults: frozenset[str]):
        # A channel of its own lets several stand-ins run in one process.
        super().__init__(channel=f"stand-in-{next(_numbers)}")
        self._clock = clock
        self._timers = timers
        self._faults = FaultPlan(COMMON_FAULTS | faults)
        self._server = BaseServer(
            (LOOPBACK, port),
            channel=self.channel,
            display_banner=False,
            bufsize=RECEIVE_BYTES,
        ).register(self)
        self._sockets: set[socket.socket] = set()
        self._delays = 0
        self._rate_limit = ""
        self.connections_accepted_ = 0

    @property
    def address(self) -> str:
        """Address that the stand-in listens on."""
        return f"{LOOPBACK}:{self._server.port}"

    def inject(self, document: dict[str, Any]) -> None:
        """Plan a fault, or apply it at once if it does not depend on a request.

        Parameters
        ----------
        document : dict
            ``kind``, and optionally ``count`` (number of injections), ``path``
            (prefix), ``ms`` and further arguments of the fault.

        Raises
        ------
        ValueError
            If the kind is unknown or too many faults are planned.
        """
        fault = self._faults.plan(document)
        if fault.kind == "clear":
            self._faults.clear()
        elif fault.kind == "freeze":
            self._faults.consume("freeze", fault.path)
            self._call_later(
                1, lambda: time.sleep(fault.get_int("ms", 100) / MS_PER_SECOND)
            )
        elif fault.kind == "rate_limit":
            self._faults.consume("rate_limit", fault.path)
            self._rate_limit = str(fault.arguments.get("per_s", ""))
        elif fault.kind == "silent_connections":
            self._faults.consume("silent_connections", fault.path)
            self._call_later(1, self._silence_connections)

    def _serve(self, req, res):
        raise NotImplementedError

    @handler("request", priority=1.0)
    def _on_request(self, event, req, res, *_):
        event.stop()
        if req.path == "/fault" and req.method == "POST":
            return self._on_fault(req, res)
        if req.path == "/health":
            return self._fill_response(res, 200, {"status": "ok"})
        delay = self._faults.consume("delay", req.path)
        if delay is None:
            return self._dispatch(req, res)
        self._call_later(
            delay.get_int("ms", 100), lambda: self._dispatch_delayed(req, res)
        )
        return True

    def _on_fault(self, req, res):
        try:
            self.inject(json.loads(req.body.read()))
        except (ValueError, TypeError) as error:
            return self._fill_response(res, 400, {"error": str(error)})
        return self._fill_response(res, 200, {"status": "injected"})

    def _dispatch(self, req, res):
        refusal = self._faults.consume("refuse", req.path)
        if refusal is not None:
            return self._fill_response(
                res, refusal.get_int("status", 503), {"error": "refused"}
            )
        if self._faults.consume("silent", req.path) is not None:
            return True
        drop = self._faults.consume("drop_before", req.path)
        if drop is not None:
            self._drop(req.sock, drop)
            return True
        return self._serve(req, res)

    def _dispatch_delayed(self, req, res) -> None:
        if self._dispatch(req, res) is res:
            self._send_response(res)

    def _fill_response(
        self, res, status: int, document: Any, headers: dict | None = None
    ):
        res.status = status
        res.headers["Content-Type"] = "application/json"
        for name, value in (self._limit_headers() | (headers or {})).items():
            res.headers[name] = value
        res.body = json.dumps(document)
        return res

    def _limit_headers(self) -> dict[str, str]:
        """Return the header that states the request rate limit, if one is set."""
        return {"X-Request-Rate-Limit": self._rate_limit} if self._rate_limit else {}

    def _send_response(self, res) -> None:
        """Send a response that the request handler did not return."""
        if self._is_open(res.request.sock):
            self.fire(response(res), self.channel)

    def _start_stream(self, res, headers: dict) -> None:
        res.headers = StreamHeaders()
        for name, value in (self._limit_headers() | headers).items():
            res.headers[name] = value
        res.headers["Transfer-Encoding"] = "chunked"
        res.stream = True
        res.chunked = True
        res.body = b""
        self._send_response(res)

    def _send_body(self, res, data: bytes | None) -> None:
        """Send part of the body of a stream, or end the stream if `data` is None."""
        if self._is_open(res.request.sock):
            self.fire(stream(res, data), self.channel)

    def _drop(self, sock, fault: Fault) -> None:
        """Close a connection, by default with a reset."""
        if fault.arguments.get("how", "reset") == "reset" and self._is_open(sock):
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.fire(close(sock), self.channel)

    def _is_open(self, sock) -> bool:
        return sock in self._sockets

    def _silence_connections(self) -> None:
        """Stop reading from the open connections; new ones are not affected."""
        for sock in list(self._sockets):
            self._server.server._poller.discard(sock)
            self._sockets.discard(sock)

    def _call_later(self, ms: int, callback) -> None:
        self._delays += 1
        name = f"stand-in/{self._delays}"
        self._timers.set(name, self._clock.now_ms() + ms, callback)

    @handler("connect")
    def _on_connect(self, sock, *_):
        self._sockets.add(sock)
        self.connections_accepted_ += 1

    @handler("disconnect", priority=-1.0)
    def _on_disconnect(self, sock, *_):
        self._sockets.discard(sock)
        # circuits does not release the parser of a connection that closes mid-request.
        self._server.http._buffers.pop(sock, None)
        self._on_connection_closed(sock)

    def _on_connection_closed(self, sock) -> None:
        """Cancel the work of a closed connection; subclasses override this."""


def read_json(req) -> dict[str, Any]:
    """Return the body of a request as a JSON object.

    Raises
    ------
    ValueError
        If the body is not a JSON object.
    """
    document = json.loads(req.body.read())
    if not isinstance(document, dict):
        raise ValueError("the body is no JSON object")
    return document
