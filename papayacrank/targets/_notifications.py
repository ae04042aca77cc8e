"""Circuits events that the components of this subpackage fire."""

# ruff: noqa: N801 - circuits events are lower case
from circuits import Event


class target_headers(Event):
    """The head arrived: ``(request_id, status, headers)``.

    ``headers`` is a tuple of pairs without hop-by-hop headers.
    """


class target_data(Event):
    """Part of a plain answer's body: ``(request_id, data)``."""


class target_token(Event):
    """The next token of a stream: ``(request_id, offset, text)``."""


class target_finished(Event):
    """The answer is complete: ``(request_id, usage)``.

    ``usage`` is a `TargetUsage` for streams, else None.
    """


class target_failed(Event):
    """The attempt failed: ``(request_id, failure)``; nothing follows."""


class load_observed(Event):
    """An engine reported its load: ``(target, report)``."""


class load_failed(Event):
    """An engine did not report its load: ``(target, failure)``."""


class cache_batch(Event):
    """A batch of cache events: ``(target, sequence, payload)``."""


class cache_replay_ended(Event):
    """A replay ended: ``(target, complete)``.

    ``complete`` is False if the engine did not answer in time.
    """


class cache_listed(Event):
    """A fresh listing arrived: ``(target, payload)``, the JSON text as bytes."""


class cache_listing_failed(Event):
    """A fresh listing failed: ``(target, failure)``."""


class cache_socket_ready(Event):
    """A ZeroMQ socket may have more messages: ``(descriptor,)``; internal."""
