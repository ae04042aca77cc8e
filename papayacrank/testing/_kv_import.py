"""Import of cache blocks from another engine."""

import itertools
import json
from collections.abc import Callable, Sequence

from circuits import BaseComponent, handler

from papayacrank.targets import TargetClient, TargetRequest

IMPORT_CHANNEL = "kv-import"
EXPORT_PATH = "/v1/kv/export"
_numbers = itertools.count(1)


class KvImporter(BaseComponent):
    """Fetches the leading cached blocks of a chain from other engines.

    Parameters
    ----------
    client : TargetClient
        Client for the requests.
    """

    def __init__(self, client: TargetClient):
        super().__init__(channel=f"{IMPORT_CHANNEL}-{next(_numbers)}")
        self._client = client
        self._imports: dict[str, tuple[str, Callable, bytearray]] = {}

    def fetch(
        self,
        source: str,
        hashes: Sequence[bytes],
        weights_version: str,
        on_done: Callable[[tuple[bytes, ...]], None],
    ) -> None:
        """Fetch blocks.

        Parameters
        ----------
        source : str
            Address of the other engine.
        hashes : sequence of bytes
            Chain of block hashes.
        weights_version : str
            Weights version that the blocks must have been computed with.
        on_done : Callable
            Called with the hashes of the imported blocks; empty after a failure.
        """
        import_id = f"import-{next(_numbers)}"
        self._imports[import_id] = (weights_version, on_done, bytearray())
        document = {"block_hashes": [value.hex() for value in hashes]}
        request = TargetRequest(
            import_id,
            self.channel,
            source,
            "POST",
            EXPORT_PATH,
            headers=(("Content-Type", "application/json"),),
            body=json.dumps(document).encode(),
            idempotent=True,
        )
        self._client.submit(request)

    @handler("target_data")
    def _on_data(self, request_id, data):
        self._imports[request_id][2].extend(data)

    @handler("target_finished")
    def _on_finished(self, request_id, usage):
        weights_version, on_done, body = self._imports.pop(request_id)
        try:
            document = json.loads(body)
            hashes = [bytes.fromhex(value) for value in document["block_hashes"]]
            usable = document["weights_version"] == weights_version
        except (ValueError, KeyError, TypeError):
            usable = False
        on_done(tuple(hashes) if usable else ())

    @handler("target_failed")
    def _on_failed(self, request_id, failure):
        _, on_done, _ = self._imports.pop(request_id)
        on_done(())
