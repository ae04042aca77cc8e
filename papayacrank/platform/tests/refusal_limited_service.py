"""Servers that fall over if they must turn away too many requests in a second."""

import asyncio
import time
from collections import deque

from .crashing_engine import CrashingService

CONTACT_S = 3.0
SERVICE_S = 0.1
WINDOW_S = 1.0


class RefusalLimitedService(CrashingService):
    """Server of a plain service with a limited number of slots and waiting requests.

    Parameters
    ----------
    name : str
        ID in the target list.
    slots : int
        Requests that are served at the same time.
    room : int
        Requests that may wait.
    limited_room : int
        The same while the server states a limit, from `CONTACT_S` after the first time.
    max_refusals : int
        Refusals for want of room in a second that the server bears meanwhile.
    """

    def __init__(self, name, slots=2, room=8, limited_room=1, max_refusals=5):
        super().__init__(name)
        self.slots = slots
        self.room = room
        self.limited_room = limited_room
        self.max_refusals = max_refusals
        self.served = 0
        self.refusals = 0
        self.falls = 0
        self._limited_since_s = None
        self._running = 0
        self._waiting = deque()
        self._refused_s = deque()

    def entry(self):
        """Return the entry of the server in the target list."""
        return super().entry() | {"slots": self.slots}

    def set_refusal_limited(self, is_refusal_limited):
        """Begin or stop to state a refusal limit."""
        self._limited_since_s = time.monotonic() if is_refusal_limited else None

    @property
    def _is_settled(self):
        since_s = self._limited_since_s
        return since_s is not None and time.monotonic() >= since_s + CONTACT_S

    async def _respond(self, connection, writer, path, headers, body):
        own = [
            ("Papayacrank-Request-Id", headers["papayacrank-request-id"]),
            ("Papayacrank-Server-Seal", "seal"),
        ]
        if self._limited_since_s is not None:
            own.append(("Server-Brittle", str(self.max_refusals)))
        room = self.limited_room if self._is_settled else self.room
        if self._running >= self.slots and len(self._waiting) >= room:
            self._reply(
                connection, writer, 503, b"", [*own, ("Papayacrank-Not-Executed", "1")]
            )
            await self._on_refused()
            return
        await self._take_slot()
        try:
            await asyncio.sleep(SERVICE_S)
        finally:
            self._release_slot()
        if writer in self._writers:
            self.served += 1
            self._reply(connection, writer, 200, b"served", own)

    async def _take_slot(self):
        if self._running >= self.slots:
            turn = asyncio.get_running_loop().create_future()
            self._waiting.append(turn)
            await turn
        else:
            self._running += 1

    def _release_slot(self):
        if self._waiting:
            self._waiting.popleft().set_result(None)
        else:
            self._running -= 1

    async def _on_refused(self):
        self.refusals += 1
        now_s = time.monotonic()
        self._refused_s.append(now_s)
        while self._refused_s[0] <= now_s - WINDOW_S:
            self._refused_s.popleft()
        if self._is_settled and len(self._refused_s) > self.max_refusals:
            self.falls += 1
            self._refused_s.clear()
            await self._crash("refusals")
