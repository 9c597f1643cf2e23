"""Configuration document: its classes and the check of its JSON form."""

import enum
import math
from collections.abc import Mapping
from typing import Any

import attrs
import cattrs
import jsonschema
from expression import Error
from expression import Ok
from expression import Result


class Preset(enum.StrEnum):
    """Mode of operation that an operator selects for the whole system.

    Attributes:
        ORDINARY: Normal operation.
        PEAK: Operation at peak load.
        MAINTENANCE: New jobs are refused.
    """

    ORDINARY = "ordinary"
    PEAK = "peak"
    MAINTENANCE = "maintenance"


@attrs.frozen
class ServiceDocument:
    """Configuration of one service.

    Attributes:
        restart_failed: True if a task that is known to have failed may be
            started again.
        weight: Share of the service, relative to the weights of the others,
            while tasks are queued.
        max_queued_tasks: Most queued tasks of the service per entry; None for
            the default of the scheduling policy.
    """

    restart_failed: bool = False
    weight: float = 1.0
    max_queued_tasks: int | None = None


@attrs.frozen
class Document:
    """A valid configuration document.

    Attributes:
        preset: Mode of operation.
        services: Configuration by service name. A service that is absent uses
            the defaults of `ServiceDocument`.
        quotas: Most tasks in progress, by caller name. A caller that is absent
            has no quota.
    """

    preset: Preset
    services: Mapping[str, ServiceDocument] = attrs.field(factory=dict)
    quotas: Mapping[str, int] = attrs.field(factory=dict)

    @property
    def accepts_jobs(self) -> bool:
        """Whether new jobs are accepted; False in maintenance."""
        return self.preset is not Preset.MAINTENANCE


@attrs.frozen
class DocumentFailure:
    """An invalid part of a document or row.

    Attributes:
        path: Path of the key, e.g. "services/line-brain/weight"; empty for
            the whole document.
        found: Value found there, or None if it is absent.
        allowed: Description of the values that are allowed there.
    """

    path: str
    found: Any
    allowed: str


# JSON schema of a document. "allowed" is not a keyword of JSON schema: it holds
# the description for `DocumentFailure`. The limits on the numbers of services
# and callers and on the length of names keep the row well below a megabyte.
_SCHEMA = {
    "type": "object",
    "allowed": "an object with the keys preset, services, quotas",
    "required": ["preset"],
    "additionalProperties": False,
    "properties": {
        "preset": {
            "enum": [preset.value for preset in Preset],
            "allowed": "one of " + ", ".join(Preset),
        },
        "services": {
            "type": "object",
            "maxProperties": 1000,
            "propertyNames": {
                "minLength": 1,
                "maxLength": 128,
                "allowed": "a name of 1 to 128 characters",
            },
            "allowed": "an object with at most 1000 services",
            "additionalProperties": {
                "type": "object",
                "additionalProperties": False,
                "allowed": "an object with the keys restart_failed, weight, "
                "max_queued_tasks",
                "properties": {
                    "restart_failed": {
                        "type": "boolean",
                        "allowed": "true or false",
                    },
                    "weight": {
                        "type": "number",
                        "minimum": 0.01,
                        "maximum": 100,
                        "allowed": "a number from 0.01 to 100",
                    },
                    "max_queued_tasks": {
                        "type": ["integer", "null"],
                        "minimum": 1,
                        "maximum": 10_000_000,
                        "allowed": "an integer from 1 to 10000000, or null",
                    },
                },
            },
        },
        "quotas": {
            "type": "object",
            "maxProperties": 1000,
            "propertyNames": {
                "minLength": 1,
                "maxLength": 64,
                "allowed": "a name of 1 to 64 characters",
            },
            "allowed": "an object with at most 1000 callers",
            "additionalProperties": {
                "type": "integer",
                "minimum": 0,
                "maximum": 10_000_000,
                "allowed": "an integer from 0 to 10000000",
            },
        },
    },
}
_VALIDATOR = jsonschema.Draft202012Validator(_SCHEMA)


def parse_document(value: Any) -> Result[Document, list[DocumentFailure]]:
    """Checks a configuration document and converts it.

    Args:
        value: The document as decoded JSON.

    Returns:
        The document, or all failures found, sorted by path.
    """
    by_path = {
        failure.path: failure
        for error in _VALIDATOR.iter_errors(value)
        for failure in _failures_of_violation(error)
    }
    if by_path:
        return Error([by_path[path] for path in sorted(by_path)])
    document = cattrs.structure(value, Document)
    # JSON schema bounds do not reject NaN, because every comparison with NaN
    # is false.
    failures = [
        DocumentFailure(f"services/{name}/weight", "NaN", "a finite number")
        for name, service in document.services.items()
        if not math.isfinite(service.weight)
    ]
    return Error(failures) if failures else Ok(document)


def encode_document(document: Document) -> dict[str, Any]:
    """Returns the JSON form of a document, with all defaults written out."""
    return cattrs.unstructure(document)


def _failures_of_violation(
    error: jsonschema.ValidationError,
) -> list[DocumentFailure]:
    path = [str(part) for part in error.absolute_path]
    properties = error.schema.get("properties", {})
    match error.validator:
        case "additionalProperties":
            allowed = "one of " + ", ".join(properties)
            return [
                DocumentFailure("/".join([*path, key]), found, allowed)
                for key, found in error.instance.items()
                if key not in properties
            ]
        case "required":
            return [
                DocumentFailure(
                    "/".join([*path, key]), None, properties[key]["allowed"]
                )
                for key in error.validator_value
                if key not in error.instance
            ]
    allowed = error.schema["allowed"]
    return [DocumentFailure("/".join(path), error.instance, allowed)]
