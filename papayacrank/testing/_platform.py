"""Stand-in for the platform's HTTP list of live and leaving targets."""

import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class StandInPlatform:
    """HTTP server on loopback, run by a thread, that publishes a list of targets.

    The list changes only through `set_state`, so a test controls how stale it is.
    """

    def __init__(self):
        self._states: dict[str, str] = {}
        self._server = ThreadingHTTPServer(("127.0.0.1", 0), self._make_handler())
        self._thread = threading.Thread(target=self._server.serve_forever, daemon=True)
        self._thread.start()

    @property
    def url(self) -> str:
        """URL of the list."""
        host, port = self._server.server_address[:2]
        return f"http://{host}:{port}/v1/instances"

    def set_state(self, target: str, state: str) -> None:
        """Set the state of a target: ``"live"``, ``"leaving"`` or ``"gone"``."""
        self._states = self._states | {target: state}

    def close(self) -> None:
        """Stop the server and its thread."""
        self._server.shutdown()
        self._server.server_close()
        self._thread.join()

    def _make_handler(self) -> type[BaseHTTPRequestHandler]:
        platform = self

        class Handler(BaseHTTPRequestHandler):
            """Request handler that responds with the list."""

            def do_GET(self):  # noqa: N802 - name required by the library
                """Send the list."""
                rows = [
                    {"target": target, "state": state}
                    for target, state in sorted(platform._states.items())
                ]
                body = json.dumps(rows).encode()
                self.send_response(200)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, format, *args):
                """Suppress the access log."""

        return Handler
