"""Converts the configuration in force to the policy of a dispatcher."""

from anvilford.configuration import Document
from anvilford.configuration import ServiceDocument
from anvilford.scheduling import Policy
from anvilford.scheduling import ServicePolicy


def build_policy(document: Document | None, service: str) -> Policy:
    """Builds the policy of one service's dispatcher.

    Args:
        document: Configuration in force; None before the first one, in which
            case defaults apply.
        service: Name of the service; defaults apply if it is not configured.
    """
    configured = ServiceDocument()
    preset = "ordinary"
    accepting = True
    if document is not None:
        configured = document.services.get(service, configured)
        preset = str(document.preset)
        accepting = document.accepts_jobs
    service_policy = ServicePolicy(
        name=service,
        restart_failed=configured.restart_failed,
        weight=configured.weight,
        accepting=accepting,
    )
    if configured.max_queued_tasks is None:
        return Policy(preset=preset, services={service: service_policy})
    return Policy(
        preset=preset,
        services={service: service_policy},
        max_queued_tasks=configured.max_queued_tasks,
    )
