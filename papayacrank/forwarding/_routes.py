"""Lookup of routes, services, API keys and prompt stores."""

from collections.abc import Set

import xxhash

from papayacrank.messages import (
    Route,
    RoutingConfiguration,
    ServiceProfile,
    WorkspaceProfile,
)

from ._base import PromptPart


class RouteIndex:
    """Lookup tables of a routing configuration.

    Parameters
    ----------
    configuration : RoutingConfiguration
        Configuration in force.
    """

    def __init__(self, configuration: RoutingConfiguration):
        self._configuration = configuration
        self._routes: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self._routes.setdefault(route.host, []).append(route)
        for routes in self._routes.values():
            routes.sort(key=lambda route: -len(route.prefix))
        self._services = {item.name: item for item in configuration.services}
        self._workspaces = {
            digest: workspace
            for workspace in configuration.workspaces
            for digest in workspace.key_digests
        }
        self._isolated = {w.name: w.isolated for w in configuration.workspaces}
        self._stores = [item for item in configuration.services if item.store]

    @property
    def configuration(self) -> RoutingConfiguration:
        """Configuration in force."""
        return self._configuration

    @property
    def requires_keys(self) -> bool:
        """Whether routes that are not public need a key."""
        return bool(self._configuration.workspaces)

    def cache_salt_base(self, workspace: str | None) -> str:
        """Return the prefix of the cache salt of a workspace, without the version.

        Isolated workspaces have one of their own, as have those that were removed. The
        others share one, which changes when one of them becomes isolated.

        Parameters
        ----------
        workspace : str or None
            Name of the workspace; None for requests without a key.
        """
        if workspace is not None and self._isolated.get(workspace, True):
            return f"{workspace}/"
        epoch = self._configuration.cache_epoch
        return f"{epoch}:" if epoch else ""

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest matching path prefix."""
        for route in self._routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_service(self, name: str) -> ServiceProfile | None:
        """Return the service with the given name."""
        return self._services.get(name)

    def choose_store(
        self, shared: tuple[PromptPart, ...], unavailable: Set[str]
    ) -> ServiceProfile | None:
        """Return the store for the shared parts of a prompt.

        A prompt is fetched from one store, so all its parts are saved to the same
        one. Rendezvous hashing of the last part spreads prompts that start with equal
        parts, and lets instances agree without communication.

        Parameters
        ----------
        shared : tuple of PromptPart
            Shared parts of the prompt in order.
        unavailable : set of str
            Names of stores that do not respond.

        Returns
        -------
        ServiceProfile or None
            None if no store is available.
        """
        usable = [item for item in self._stores if item.name not in unavailable]
        last = shared[-1].name if shared else ""
        return max(
            usable,
            key=lambda s: xxhash.xxh3_64_intdigest(f"{last}/{s.name}".encode()),
            default=None,
        )

    def find_workspace(self, key_digest: str) -> WorkspaceProfile | None:
        """Return the workspace that the key with a digest belongs to."""
        return self._workspaces.get(key_digest)
