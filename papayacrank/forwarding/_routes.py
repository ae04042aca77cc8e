"""Lookup of routes and keys."""

from papayacrank.messages import (
    Route,
    RoutingConfiguration,
    ServiceProfile,
    StoreProfile,
    WorkspaceProfile,
)


class RouteIndex:
    """Routing configuration in the form that requests need.

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
        stores = [item.store for item in configuration.services if item.store]
        self._store = stores[0] if stores else None

    @property
    def configuration(self) -> RoutingConfiguration:
        """Configuration in force."""
        return self._configuration

    @property
    def requires_keys(self) -> bool:
        """Whether routes that are not public need a key."""
        return bool(self._configuration.workspaces)

    @property
    def store(self) -> StoreProfile | None:
        """Store of cached prompt parts, if there is one."""
        return self._store

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix of the path."""
        for route in self._routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_service(self, name: str) -> ServiceProfile | None:
        """Return the service of that name."""
        return self._services.get(name)

    def find_workspace(self, key_digest: str) -> WorkspaceProfile | None:
        """Return the workspace that a key belongs to."""
        return self._workspaces.get(key_digest)
