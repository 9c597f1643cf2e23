"""The committed schema and texts derived from it."""

import importlib.resources
import ipaddress
import json
from typing import Any

import jsonschema


def load_schema() -> dict[str, Any]:
    """Reads the committed schema."""
    files = importlib.resources.files("anvilford.settings")
    return json.loads(files.joinpath("schema.json").read_text("utf-8"))


def parse_address(text: str) -> tuple[str, int] | None:
    """Splits "IP:port"; IPv6 addresses are written in brackets.

    Args:
        text: Address to split.

    Returns:
        IP without brackets and port, or None when the text has another form,
        such as a host name.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not (port.isascii() and port.isdigit()):
        return None
    bracketed = host.startswith("[") and host.endswith("]")
    if bracketed:
        host = host[1:-1]
    try:
        ip = ipaddress.ip_address(host)
    except ValueError:
        return None
    if bracketed != (ip.version == 6) or not 1 <= int(port) <= 65535:
        return None
    # Addresses are compared as text, so each may have only one spelling.
    if str(ip) != host or "%" in host or str(int(port)) != port:
        return None
    return host, int(port)


def create_validator() -> jsonschema.Draft202012Validator:
    """Makes a validator that also checks the "ip-port" format."""
    formats = jsonschema.FormatChecker(formats=())

    @formats.checks("ip-port")
    def is_address(value: Any) -> bool:
        return not isinstance(value, str) or parse_address(value) is not None

    return jsonschema.Draft202012Validator(
        load_schema(), format_checker=formats
    )


def describe_allowed_values(schema: dict[str, Any]) -> str:
    """Describes the values that a part of the schema allows."""
    match schema:
        case {"enum": values}:
            return "one of " + ", ".join(values)
        case {"format": "ip-port"}:
            return (
                "an IP address and a port from 1 to 65535, such as "
                "10.0.0.5:7100 or [fd00::5]:7100; host names are refused"
            )
        case {"unit": "secret"}:
            return "16 to 256 printable ASCII characters without spaces"
        case {"unit": "name"}:
            return "1 to 64 letters, digits, dots, dashes or underscores"
        case {"minimum": low, "maximum": high, "type": kind, "unit": unit}:
            article = "an" if kind == "integer" else "a"
            suffix = "" if unit == "none" else f" ({unit})"
            return f"{article} {kind} from {low} to {high}{suffix}"
        case {"type": "array", "items": items, "maxItems": most}:
            content = (
                "objects with " + ", ".join(items["properties"])
                if "properties" in items
                else "distinct addresses IP:port"
            )
            return f"a list of {schema.get('minItems', 0)} to {most} {content}"
        case {"properties": properties}:
            return "an object with the keys " + ", ".join(properties)
    return schema["type"]
