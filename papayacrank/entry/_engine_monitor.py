"""Monitoring of the load and the cached prefixes of engines."""

import random
from collections.abc import Iterable
from typing import Any

from circuits import BaseComponent, handler

from papayacrank.admission import AdmissionPolicy
from papayacrank.cache import EngineEvents, ListingRequest, ReplayRequest
from papayacrank.config import TargetAddress
from papayacrank.kernel import CancelTimer, Clock, Send, SetTimer
from papayacrank.routing import LoadReport, Router
from papayacrank.targets import (
    CacheEventSource,
    CacheEventSubscriber,
    LoadPoller,
    TargetClient,
)
from papayacrank.transport import Timers

MONITOR_CHANNEL = "engine-watch"


class EngineMonitor(BaseComponent):
    """Component that feeds load reports and cache events to the router.

    Parameters
    ----------
    client : TargetClient
        Client for load polls and cache listings.
    router : Router
        Router that receives load reports and owns the prefix index.
    admission : AdmissionPolicy
        Admission queue for engines. Its limit of requests in flight is adjusted to
        the number of requests waiting in the engines.
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    random_state : random.Random
        Random number generator for the phases of polls.
    interval_ms : int
        Time between two polls of an engine, in milliseconds.
    """

    channel = MONITOR_CHANNEL

    def __init__(
        self,
        client: TargetClient,
        router: Router,
        admission: AdmissionPolicy,
        clock: Clock,
        timers: Timers,
        random_state: random.Random,
        interval_ms: int,
    ):
        super().__init__()
        self._router = router
        self._admission = admission
        self._clock = clock
        self._timers = timers
        self._events: dict[str, EngineEvents] = {}
        self._loads: dict[str, LoadReport] = {}
        self._reports_since_adjustment = 0
        self._load_poller = LoadPoller(
            client, clock, timers, MONITOR_CHANNEL, random_state, interval_ms
        ).register(self)
        self._subscriber = CacheEventSubscriber(
            client, clock, timers, MONITOR_CHANNEL
        ).register(self)

    @property
    def loads(self) -> dict[str, LoadReport]:
        """Latest load report of each engine."""
        return self._loads

    @property
    def is_complete(self) -> bool:
        """Whether the index is complete for all engines that publish cache events."""
        return all(events.is_complete for events in self._events.values())

    def update_targets(self, engines: Iterable[TargetAddress]) -> None:
        """Set the engines to monitor."""
        engines = {engine.name: engine for engine in engines}
        self._load_poller.update_targets({n: e.address for n, e in engines.items()})
        sources = {
            name: CacheEventSource(e.address, e.events_address, e.replay_address)
            for name, e in engines.items()
            if e.events_address is not None
        }
        self._subscriber.update_targets(sources)
        for removed in set(self._loads) - set(engines):
            del self._loads[removed]
        for removed in set(self._events) - set(sources):
            self._timers.cancel(self._events.pop(removed).timer_name)
        for added in sorted(set(sources) - set(self._events)):
            events = EngineEvents(added, self._router.index)
            self._events[added] = events
            self._apply_effects(events, events.start(self._clock.now_ms()))

    @handler("load_observed")
    def _on_load_observed(self, target, report):
        now_ms = self._clock.now_ms()
        self._loads[target] = report
        self._router.observe_load(target, report, now_ms)
        events = self._events.get(target)
        if events is not None:
            self._apply_effects(
                events, events.observe_incarnation(report.incarnation, now_ms)
            )
        self._adjust_limit()

    @handler("cache_batch")
    def _on_cache_batch(self, target, sequence, payload):
        events = self._events.get(target)
        if events is not None:
            effects = events.receive(sequence, payload, self._clock.now_ms())
            self._apply_effects(events, effects)

    @handler("cache_replay_ended")
    def _on_cache_replay_ended(self, target, complete):
        events = self._events.get(target)
        if events is not None:
            self._apply_effects(events, events.receive_replay_end(self._clock.now_ms()))

    @handler("cache_listed")
    def _on_cache_listed(self, target, payload):
        events = self._events.get(target)
        if events is not None:
            self._apply_effects(
                events, events.receive_listing(payload, self._clock.now_ms())
            )

    def _adjust_limit(self) -> None:
        """Adjust the limit of requests in flight once per round of load reports."""
        self._reports_since_adjustment += 1
        if self._reports_since_adjustment < len(self._loads):
            return
        self._reports_since_adjustment = 0
        waiting = sum(report.waiting for report in self._loads.values())
        self._admission.limiter.observe(
            waiting / len(self._loads), self._admission.in_flight
        )

    def _apply_effects(self, events: EngineEvents, effects: list[Any]) -> None:
        for effect in effects:
            match effect:
                case Send(target, ReplayRequest() as request):
                    self._subscriber.request_replay(target, request.first)
                case Send(target, ListingRequest()):
                    self._subscriber.request_listing(target)
                case SetTimer(name, at_ms):
                    self._timers.set(name, at_ms, lambda: self._tick(events))
                case CancelTimer(name):
                    self._timers.cancel(name)

    def _tick(self, events: EngineEvents) -> None:
        self._apply_effects(events, events.tick(self._clock.now_ms()))
