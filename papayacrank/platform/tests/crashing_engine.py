"""Servers that crash on given prompt parts or requests, and come back later."""

import asyncio
import json
import socket
import struct
import threading
import time

import h11

from .builders import encode

PREFILL_S = 0.02
EVENT_INTERVAL_S = 0.02
EVENTS = 5
DOWN_S = 2.0
# What a crashing engine has written of its response.
CRASH_POINTS = ("nothing", "head", "half_event", "one_event")
RESET = struct.pack("ii", 1, 0)


class CrashingEngine:
    """Engine that closes all connections and refuses new ones when it crashes.

    Parameters
    ----------
    name : str
        ID in the target list.
    deadly_parts : set of str
        Parts that crash the engine once it would begin a response.
    deadly_bodies : set of bytes
        Bodies that crash the engine in the same way.
    release : str
        Version of the software, which each event of a stream tells.
    events : int
        Number of events of a stream.
    """

    service = "llm"

    def __init__(
        self, name, deadly_parts=(), deadly_bodies=(), release="v1", events=EVENTS
    ):
        self.name = name
        self.deadly_parts = set(deadly_parts)
        self.deadly_bodies = set(deadly_bodies)
        self.arrivals = []
        self.bodies = []
        self.crashes = []
        self.resets = False
        self.release = release
        self.events = events
        # Time in s for which the operating system accepts connections after a crash.
        self.listen_close_delay_s = 0.0
        # Time in s after each event.
        self.event_interval_s = EVENT_INTERVAL_S
        self._version = 1
        self._orders = 0
        self._born = 1_700_000_000_000
        self._stale_entry = None
        # Time in s from a crash until the engine serves again.
        self.down_s = DOWN_S
        self._server = None
        self._port = 0
        self._writers = set()
        self._loop = asyncio.new_event_loop()
        threading.Thread(target=self._loop.run_forever, daemon=True).start()
        self._run(self._listen())

    def entry(self):
        """Return the entry of the engine in the target list."""
        return self._stale_entry or {
            "id": self.name,
            "service": self.service,
            "address": f"127.0.0.1:{self._port}",
            "zone": "a",
            "version": self.release,
            "slots": 16,
            "state": "ready",
            "cold_remaining_ms": 0,
            "models": [{"name": "m1", "version": self._version}],
            "born": self._born,
        }

    def crash(self):
        """Crash for a cause outside the requests."""
        self._run(self._crash(""))

    def upgrade(self, release, down_s=0.1):
        """Restart with another release under the same id; the list does not show it.

        Parameters
        ----------
        release : str
            Release after the restart.
        down_s : float
            Time in s for which the engine is down.
        """
        self._stale_entry = self.entry()
        self.down_s = down_s
        self.crash()
        self.release = release
        time.sleep(down_s + 0.1)

    def update_list(self):
        """Let the list show the engine as it is."""
        self._stale_entry = None

    def reset_connections(self):
        """Reset all connections and keep on accepting new ones."""
        self._loop.call_soon_threadsafe(self._close_all)

    def close(self):
        """Stop the engine."""
        self._run(self._stop())
        self._loop.call_soon_threadsafe(self._loop.stop)

    def _run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(5)

    async def _listen(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self._port, backlog=256
        )
        self._port = self._server.sockets[0].getsockname()[1]

    async def _stop(self):
        self._server.close()
        self._close_all()

    def _close_all(self):
        writers, self._writers = self._writers, set()
        for writer in writers:
            if self.resets:
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort() if self.resets else writer.close()

    async def _crash(self, part):
        if not self._server.is_serving():
            return
        self.crashes.append((time.monotonic(), part))
        listening = [sock.dup() for sock in self._server.sockets]
        self._server.close()
        self._loop.call_later(self.listen_close_delay_s, _close_sockets, listening)
        self.resets = not self.resets
        self._close_all()
        self._loop.call_later(
            self.down_s, lambda: self._loop.create_task(self._restart())
        )

    async def _restart(self):
        self._born += 5_000
        self._version = 1
        await self._listen()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        connection = h11.Connection(h11.SERVER)
        try:
            while writer in self._writers:
                request, body = await self._read(connection, reader)
                if request is None:
                    return
                headers = {n.decode(): v.decode() for n, v in request.headers}
                await self._respond(
                    connection, writer, request.target.decode(), headers, body
                )
                connection.start_next_cycle()
        except (OSError, h11.ProtocolError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    @staticmethod
    async def _read(connection, reader):
        request, body = None, b""
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await reader.read(65_536))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return request, body
            else:
                return None, b""

    async def _respond(self, connection, writer, path, headers, body):
        if path == "/v1/report":
            models = [{"name": "m1", "version": self._version}]
            report = {"busy": False, "sequence": self._orders, "models": models}
            self._reply(connection, writer, 200, encode(report | {"born": self._born}))
        elif path == "/v1/order":
            self._orders += 1
            self._version = json.loads(body)["version"]
            self._reply(connection, writer, 202, b"")
        elif headers.get("papayacrank-expect-version") != str(self._version):
            own = [("Papayacrank-Instance-Id", self.name)]
            self._reply(connection, writer, 421, b"", own)
        else:
            self.bodies.append((time.monotonic(), body))
            await self._stream(connection, writer, headers, body)

    @staticmethod
    def _reply(connection, writer, status, body, headers=()):
        headers = [*headers, ("Content-Length", str(len(body)))]
        response = h11.Response(status_code=status, headers=headers)
        for event in (response, h11.Data(data=body), h11.EndOfMessage()):
            writer.write(connection.send(event))

    async def _stream(self, connection, writer, headers, body):
        entries = headers.get("papayacrank-prompt-prefix", "").split(",")
        parts = [entry.strip().partition(":")[0] for entry in entries]
        request_id = headers["papayacrank-request-id"]
        self.arrivals.append((time.monotonic(), request_id, parts))
        await asyncio.sleep(PREFILL_S)
        deadly = next((part for part in parts if part in self.deadly_parts), None)
        if body in self.deadly_bodies:
            deadly = body
        if writer not in self._writers:
            return
        point = CRASH_POINTS[len(self.crashes) % len(CRASH_POINTS)]
        if deadly is None or point != "nothing":
            response = [
                ("Content-Type", "text/event-stream"),
                ("Papayacrank-Request-Id", request_id),
                ("Papayacrank-Server-Seal", "seal"),
                ("Transfer-Encoding", "chunked"),
            ]
            head = h11.Response(status_code=200, headers=response)
            writer.write(connection.send(head))
        if deadly is not None:
            text = {"half_event": b"id: 1\nda", "one_event": b"id: 1\ndata: t\n\n"}
            if point in text:
                writer.write(connection.send(h11.Data(data=text[point])))
            await self._crash(deadly)
            return
        last = int(headers.get("last-event-id", 0))
        for number in range(last + 1, self.events + 1):
            if writer not in self._writers or writer.is_closing():
                return
            data = f"id: {number}\ndata: {self.release}\n\n".encode()
            writer.write(connection.send(h11.Data(data=data)))
            await asyncio.sleep(self.event_interval_s)
        writer.write(connection.send(h11.EndOfMessage()))


def _close_sockets(sockets):
    for sock in sockets:
        sock.close()


class CrashingService(CrashingEngine):
    """Server of a plain service that crashes on given bodies."""

    service = "plain"

    def entry(self):
        """Return the entry of the server in the target list."""
        return super().entry() | {"slots": 6, "models": []}

    async def _respond(self, connection, writer, path, headers, body):
        self.bodies.append((time.monotonic(), body))
        await asyncio.sleep(PREFILL_S)
        if writer not in self._writers:
            return
        if body in self.deadly_bodies:
            await self._crash(body)
            return
        own = [
            ("Papayacrank-Request-Id", headers["papayacrank-request-id"]),
            ("Papayacrank-Server-Seal", "seal"),
        ]
        self._reply(connection, writer, 200, b"served", own)
