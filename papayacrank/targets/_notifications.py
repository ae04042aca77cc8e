"""Circuits events fired by the components of this subpackage."""

# ruff: noqa: N801 - circuits events are lower case
from circuits import Event


class target_headers(Event):
    """The response head was received: ``(request_id, status, headers)``.

    ``headers`` is a tuple of pairs without hop-by-hop headers.
    """


class target_rate(Event):
    """The response head was received: ``(request_id, statement, is_success)``.

    ``statement`` is the `RateStatement` in the head, None if there is none, and
    ``is_success`` whether the status is 2xx. It precedes `target_headers`, and is
    fired for refused streams too.
    """


class target_data(Event):
    """Part of the body of a plain response: ``(request_id, data)``."""


class target_token(Event):
    """A token of a stream, in order: ``(request_id, offset, text)``."""


class target_finished(Event):
    """The response is complete: ``(request_id, usage)``.

    ``usage`` is a `TargetUsage` for streams, else None.
    """


class target_failed(Event):
    """The attempt failed: ``(request_id, failure)``.

    No further event follows for the attempt.
    """


class load_observed(Event):
    """An engine reported its load: ``(target, report)``."""


class load_failed(Event):
    """The load of an engine could not be read: ``(target, failure)``."""


class cache_batch(Event):
    """A published or replayed batch of cache events.

    Arguments are ``(target, sequence, payload)``.
    """


class cache_replay_ended(Event):
    """A replay ended: ``(target, complete)``.

    ``complete`` is False if the engine has no replay address or a message of the
    replay did not arrive in time.
    """


class cache_listed(Event):
    """A listing of cached blocks arrived: ``(target, payload)``, the JSON as bytes."""


class cache_listing_failed(Event):
    """A listing of cached blocks failed: ``(target, failure)``."""


class cache_socket_ready(Event):
    """A ZeroMQ socket may have messages to read: ``(descriptor,)``; internal."""
