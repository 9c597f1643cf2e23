"""Routes of one configuration version."""

import attrs

from anvilford.placement import QueuePolicy


@attrs.frozen
class Route:
    """A queue and the requests that belong to it.

    Attributes:
        host: Host that callers name.
        path_prefix: Start of the path.
        policy: The queue's policy.
        needs_advice: True if targets must be approved by an outside service
            for each step.
    """

    host: str
    path_prefix: str
    policy: QueuePolicy
    needs_advice: bool = False


@attrs.frozen
class RequestLimits:
    """Bounds on callers' requests."""

    header_bytes: int = 16384
    body_bytes: int = 262144


@attrs.frozen
class RoutingTable:
    """All routes of a version.

    Attributes:
        version: Version of the configuration.
        routes: The routes, longest prefix first within a host.
        limits: Bounds on requests.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    limits: RequestLimits

    @classmethod
    def build(
        cls, version: int, routes: list[Route], limits: RequestLimits
    ) -> "RoutingTable":
        """Groups routes by host."""
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host, []).append(route)
        return cls(
            version,
            {
                host: tuple(sorted(group, key=lambda r: -len(r.path_prefix)))
                for host, group in by_host.items()
            },
            limits,
        )

    def find_route(self, host: str, path: str) -> Route | None:
        """Finds the route with the longest prefix of a path."""
        name = host.rpartition(":")[0] if ":" in host else host
        for route in self.routes.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
